"""What an operator sees: configuration in force, nodes, endpoints, rollouts."""

import asyncio

import msgspec

from rattanridge.admin import presets
from rattanridge.kernel import codes, untrusted_json
from rattanridge.mesh import configs, node as nodes

AT_ONCE = 64  # nodes that are asked at the same time


class Behind(msgspec.Struct):
    """A node that does not apply the newest generation, and why.

    :param code: result code; 0 if it has not told any.
    """

    node: str
    generation: int
    code: int = 0
    reason: str = ""


class Rollout(msgspec.Struct):
    """A rollout as the node that answers knows it."""

    service: str
    new: str
    state: str
    share: float


class Report(msgspec.Struct, kw_only=True):
    """The system's state as one node and the store tell it.

    :param platform: ``up`` or the reason why it can't be reached.
    :param node: name of the node that answers.
    :param node_generation: generation in force at that node.
    :param preset: preset that made it; empty if the platform's operator did.
    :param operator: who chose that preset.
    :param generation: highest generation that any node applies.
    :param nodes: number of nodes known by their records.
    :param applied: number of nodes by generation.
    :param behind: nodes that do not apply the highest generation.
    :param refused: why nodes refuse a configuration, by node.
    :param endpoints: number of endpoints by service, version and state.
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
    behind: list[Behind] = []
    refused: dict[str, str] = {}
    endpoints: dict[str, int] = {}
    rollouts: list[Rollout] = []


class Status:
    """Collects reports.

    :param node: the node that serves the operator.
    """

    def __init__(self, node: nodes.Node):
        self.node = node
        self.presets = presets.Presets(node.store)

    async def collect(self) -> Report:
        """Return a report; what the store alone knows may be missing."""
        report = self.local()
        found = await self.ask_nodes()
        add_nodes(report, found)
        try:
            choice = await self.presets.in_force(report.node_generation)
        except codes.Failure as failure:
            report.platform = failure.format()
            return report
        if choice is not None:
            report.preset = choice.preset
            report.revision = choice.revision
            report.operator = choice.operator
        return report

    def local(self) -> Report:
        """Return what this node knows by itself."""
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

    async def ask_nodes(self) -> dict[str, configs.State | None]:
        """Ask every known node what it has in force."""
        node = self.node
        limit = asyncio.Semaphore(AT_ONCE)

        async def ask(name: str, address: str) -> tuple[str, configs.State | None]:
            async with limit:
                data = await node.fetch(address, configs.STATE_PATH)
            return name, read_state(data)

        found = await asyncio.gather(
            *(
                ask(name, record.hop)
                for name, record in node.directory.records.items()
                if name != node.config.name
            )
        )
        own = read_state(node.configs.state())
        return {node.config.name: own, **dict(found)}


def read_state(data: bytes | None) -> configs.State | None:
    """Decode a node's answer; None if it gave none."""
    return (
        untrusted_json.decode_or_none(data, configs.State) if data is not None else None
    )


def add_nodes(report: Report, found: dict[str, configs.State | None]) -> None:
    """Count the nodes by generation, and name those that are behind."""
    report.nodes = len(found)
    told = [item.version for item in found.values() if item is not None]
    report.generation = max(told, default=0)
    for name, state in sorted(found.items()):
        if state is None:
            code = codes.NODE_LOST
            report.behind.append(Behind(name, 0, code.number, code.meaning))
            continue
        key = str(state.version)
        report.applied[key] = report.applied.get(key, 0) + 1
        if state.refused:
            report.refused[name] = state.refused
        if state.version < report.generation:
            reason = state.refused or "it has not heard of the newest one"
            report.behind.append(Behind(name, state.version, 0, reason))
