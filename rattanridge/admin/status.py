"""Status reports: configuration in force, nodes, endpoints and rollouts."""

import asyncio

import msgspec

from rattanridge.admin import presets, zone_reports
from rattanridge.kernel import codes, untrusted_json
from rattanridge.mesh import configs, node as nodes

MAX_CONCURRENT_FETCHES = 64  # nodes whose state is fetched at the same time


class LaggingNode(msgspec.Struct):
    """A node that does not apply the newest generation, and why.

    :param generation: generation that it applies; 0 if that is not known.
    :param code: result code; 0 if there is none.
    """

    node: str
    generation: int
    code: int = 0
    reason: str = ""


class Rollout(msgspec.Struct):
    """A rollout as seen by the node that answers.

    :param new: version that traffic goes to.
    :param share: fraction of the requests that the new version gets.
    """

    service: str
    new: str
    state: str
    share: float


class Report(msgspec.Struct, kw_only=True):
    """The state of the system, collected by one node.

    :param platform: ``up``, or the reason why the platform cannot be reached.
    :param node: name of the node that answers.
    :param node_generation: generation in force at that node.
    :param preset: preset from which that generation was produced; empty if the
        platform's operator wrote it.
    :param revision: revision of that preset; 0 if there is none.
    :param operator: who chose that preset.
    :param generation: highest generation that any node applies.
    :param nodes: number of nodes that have a record.
    :param applied: number of nodes by generation.
    :param behind: nodes that do not apply the highest generation.
    :param refused: reason for which a node refuses a configuration, by node.
    :param endpoints: number of endpoints by service, version and state.
    :param zones: evacuated availability zones.
    """

    platform: str
    node: str
    node_generation: int
    preset: str = ""
    revision: int = 0
    operator: str = ""
    generation: int = 0
    nodes: int = 0
    applied: dict[str, int] = {}
    behind: list[LaggingNode] = []
    refused: dict[str, str] = {}
    endpoints: dict[str, int] = {}
    rollouts: list[Rollout] = []
    zones: list[zone_reports.Zone] = []


class StatusCollector:
    """Collects status reports.

    :param node: the node that serves the administration request.
    """

    def __init__(self, node: nodes.Node):
        self.node = node
        self.presets = presets.Presets(node.store)

    async def collect(self) -> Report:
        """Return a report of the whole system.

        If the store does not answer, the preset and its operator are missing and
        ``platform`` gives the reason.
        """
        report = self.local_report()
        states = await self.fetch_states()
        add_node_states(report, states)
        if self.node.evacuations.evacuated():
            zones = await zone_reports.collect(self.node)
            report.zones = [item for item in zones if item.evacuated]
        try:
            choice = await self.presets.get_choice(report.node_generation)
        except codes.Failure as failure:
            report.platform = failure.format()
            return report
        if choice is not None:
            report.preset = choice.preset
            report.revision = choice.revision
            report.operator = choice.operator
        return report

    def local_report(self) -> Report:
        """Return a report from the data of this node alone."""
        node = self.node
        report = Report(
            platform="up", node=node.config.name, node_generation=node.configs.version
        )
        for record in node.directory.records.values():
            key = f"{record.service} {record.version} {record.state}"
            report.endpoints[key] = report.endpoints.get(key, 0) + 1
        for service, item in sorted(node.versions.rollouts.items()):
            report.rollouts.append(
                Rollout(service, item.order.version, item.state(), item.share())
            )
        return report

    async def fetch_states(self) -> dict[str, configs.State | None]:
        """Fetch the state of every node by name; None for one that does not answer."""
        node = self.node
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_FETCHES)

        async def fetch(name: str, address: str) -> tuple[str, configs.State | None]:
            async with semaphore:
                data = await node.fetch(address, configs.STATE_PATH)
            return name, decode_state(data)

        states = await asyncio.gather(
            *(
                fetch(name, record.hop)
                for name, record in node.directory.records.items()
                if name != node.config.name
            )
        )
        own = decode_state(node.configs.state())
        return {node.config.name: own, **dict(states)}


def decode_state(data: bytes | None) -> configs.State | None:
    """Decode a node's answer; None if there was none or it is unreadable."""
    return (
        untrusted_json.decode_or_none(data, configs.State) if data is not None else None
    )


def add_node_states(report: Report, states: dict[str, configs.State | None]) -> None:
    """Add the nodes to a report: counts by generation, and those that lag behind."""
    report.nodes = len(states)
    generations = [item.version for item in states.values() if item is not None]
    report.generation = max(generations, default=0)
    for name, state in sorted(states.items()):
        if state is None:
            code = codes.NODE_LOST
            report.behind.append(LaggingNode(name, 0, code.number, code.meaning))
            continue
        key = str(state.version)
        report.applied[key] = report.applied.get(key, 0) + 1
        if state.refused:
            report.refused[name] = state.refused
        if state.version < report.generation:
            reason = state.refused or "it has not heard of the newest one"
            report.behind.append(LaggingNode(name, state.version, 0, reason))
