"""What an operator sees: configuration in force, nodes, roles, rollouts."""

import msgspec

from rattanridge.control import messages, replica, source, zone as zones
from rattanridge.kernel import codes, settings
from rattanridge.objectapi import client, objects


class Behind(msgspec.Struct):
    """A node that does not apply the chosen generation, and why.

    :param code: result code; 0 while it has not told of it yet.
    """

    node: str
    generation: int
    code: int = 0
    reason: str = ""


class Report(msgspec.Struct, kw_only=True):
    """The system's state as one node and the platform tell it.

    :param platform: ``up`` or the reason why it can't be reached.
    :param node: name of the node that answers.
    :param node_generation: generation in force at that node.
    :param in_force: the pointer in the platform, if it can be read.
    :param nodes: number of nodes known, those lost lately included.
    :param applied: number of nodes by generation.
    :param behind: nodes that do not apply the chosen generation.
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
    nodes: int = 0
    applied: dict[str, int] = {}
    behind: list[Behind] = []
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
            listing = await self.platform.list(source.POINTER, "status/")
        except codes.Failure as failure:
            report.platform = failure.format()
            return report
        nodes: dict[str, messages.NodeState] = {}
        for stored in listing.objects:
            if stored.key == source.POINTER:
                report.in_force = client.value_of(stored, objects.InForce)
                report.in_force.past = []
            else:
                merge_nodes(nodes, client.value_of(stored, zones.ZoneStatus))
        self.add_nodes(report, nodes)
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

    def add_nodes(self, report: Report, nodes: dict[str, messages.NodeState]) -> None:
        """Count the nodes by generation, and name those that are behind."""
        # This node knows of itself without delay.
        own = messages.NodeState(self.state.generation, self.state.rejection)
        nodes[self.config.name] = own
        chosen = report.in_force.generation if report.in_force else 0
        report.nodes = len(nodes)
        for name, node in sorted(nodes.items()):
            generation = str(node.generation)
            report.applied[generation] = report.applied.get(generation, 0) + 1
            if node.rejection is not None:
                report.rejected[name] = node.rejection
            if node.generation < chosen:
                report.behind.append(why_behind(name, node))


def merge_nodes(nodes: dict[str, messages.NodeState], status: zones.ZoneStatus) -> None:
    """Merge what two relays tell of a node: the higher, and standing, one wins.

    One of them may have died: then its object is old until the next holder of
    its role writes it.
    """
    for name, node in status.nodes.items():
        known = nodes.get(name)
        if known is None or rank(node) > rank(known):
            nodes[name] = node


def rank(node: messages.NodeState) -> tuple:
    """Return the order by which two reports of one node are compared."""
    return (not node.lost_at, node.generation, node.lost_at)


def why_behind(name: str, node: messages.NodeState) -> Behind:
    """Return why a node does not apply the chosen generation."""
    if node.rejection is not None:
        why = node.rejection
        return Behind(name, node.generation, why.code, why.reason)
    if node.lost_at:
        code = codes.NODE_LOST
        return Behind(name, node.generation, code.number, code.meaning)
    return Behind(name, node.generation, 0, "no report yet")
