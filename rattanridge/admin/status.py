"""What an operator sees: configuration in force, nodes, roles, rollouts."""

import msgspec

from rattanridge.control import messages, replica, roster
from rattanridge.kernel import codes, settings
from rattanridge.platform import client, objects


class Report(msgspec.Struct, kw_only=True):
    """The system's state as one node and the platform tell it.

    :param platform: ``up`` or the reason why it can't be reached.
    :param node: name of the node that answers.
    :param node_generation: generation in force at that node.
    :param in_force: the pointer in the platform, if it can be read.
    :param applied: number of nodes by generation.
    :param rejected: why nodes do not apply the newest generation.
    :param roles: holder by role.
    :param endpoints: number of endpoints by service, version and state.
    :param rollouts: newest stage of each service.
    """

    platform: str
    node: str
    node_generation: int
    preset: str
    revision: int
    in_force: objects.InForce | None = None
    applied: dict[str, int] = {}
    rejected: dict[str, messages.Rejection] = {}
    roles: dict[str, str] = {}
    endpoints: dict[str, int] = {}
    rollouts: list[messages.Stage] = []


class Status:
    """Collects reports.

    :param config: the node's settings.
    :param platform: the platform's client.
    :param state: the node's replica.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        platform: client.Client,
        state: replica.Replica,
    ):
        self.config = config
        self.platform = platform
        self.state = state

    async def collect(self) -> Report:
        """Return a report; what the platform alone knows may be missing."""
        report = self.local()
        try:
            listing = await self.platform.list("in-force", "status/")
        except codes.Failure as failure:
            report.platform = failure.format()
            return report
        for stored in listing.objects:
            if stored.key == "in-force":
                report.in_force = client.value_of(stored, objects.InForce)
                report.in_force.past = []
            else:
                self.add_zone(report, client.value_of(stored, roster.ZoneStatus))
        return report

    def local(self) -> Report:
        head = self.state.snapshot.head if self.state.snapshot else None
        report = Report(
            platform="up",
            node=self.config.name,
            node_generation=self.state.generation,
            preset=head.preset if head else "",
            revision=head.revision if head else 0,
        )
        for record in self.state.table.all(messages.Role):
            report.roles[record.role] = record.holder
        for record in self.state.table.all(messages.Endpoint):
            key = f"{record.service} {record.version} {record.state}"
            report.endpoints[key] = report.endpoints.get(key, 0) + 1
        report.rollouts = self.state.table.all(messages.Stage)
        return report

    def add_zone(self, report: Report, zone: roster.ZoneStatus) -> None:
        for generation, count in zone.applied.items():
            report.applied[generation] = report.applied.get(generation, 0) + count
        report.rejected.update(zone.rejected)
