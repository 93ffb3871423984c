"""Steps of the demo in which new versions of a service come up."""

import asyncio

from rattanridge.admin import rollouts as admin_rollouts
from rattanridge.control import rollouts
from rattanridge.kernel import settings
from rattanridge.measure import fleet
from rattanridge.standin import upstream as upstreams

SERVICE = "registry"
TIMES = settings.RolloutSettings(least_hold=0.2, warmup=0.1, keep_progress=0.5)
DEADLINE = 4.0  # seconds
BAKE = 0.5  # seconds
LONG_DEADLINE = 60.0  # seconds; the bad version is taken back long before
LIMIT = 20.0  # seconds
SETTLE = 0.5  # seconds after which no call reaches a version that was taken back


class Rollouts:
    """Moves a service to a good version, then to a bad one.

    :param running: the fleet.
    :param zones: names of its zones.
    :param say: tells a person what happens.
    :param expect: checks what must always hold.
    """

    def __init__(self, running: fleet.Fleet, zones: tuple[str, ...], say, expect):
        self.fleet = running
        self.zones = zones
        self.say = say
        self.expect = expect

    async def run(self) -> None:
        """Show one version that takes over and one that is taken back."""
        await self.add("v2", 0.0)
        stage = await self.move("v1", "v2", DEADLINE)
        self.expect(stage.state == rollouts.DONE, f"v2 ended as {stage.state}")
        before = self.count_runs("v1")
        await asyncio.sleep(SETTLE)
        late = self.count_runs("v1") - before
        self.expect(late == 0, f"the old version got {late} calls after the rollout")
        self.say(f"registry v2 took over in time; v1 got {late} calls since")
        await self.add("v3", 1.0)
        stage = await self.move("v2", "v3", LONG_DEADLINE)
        self.expect(stage.state == rollouts.TAKEN_BACK, f"v3 ended as {stage.state}")
        await asyncio.sleep(SETTLE)
        before = self.count_runs("v3")
        await asyncio.sleep(SETTLE)
        late = self.count_runs("v3") - before
        self.expect(late == 0, f"a version taken back got {late} calls")
        self.say(f"registry v3 was taken back after {before} calls: {stage.reason}")

    async def add(self, version: str, error_rate: float) -> None:
        """Start an endpoint of a version in each zone, beside the old ones."""
        for zone in self.zones:
            shape = upstreams.Shape(SERVICE, version, slots=12)
            name = f"{SERVICE}-{version}-{zone}"
            host = await self.fleet.add(name, zone, shape, rollouts=TIMES)
            host.upstream.faults.error_rate = error_rate
        await self.fleet.wait_endpoints()

    async def move(self, old: str, new: str, deadline: float):
        """Start a rollout; return its last stage once every node knows it."""
        node = next(iter(self.fleet.hosts.values())).node
        operations = admin_rollouts.Rollouts(node.config, node.platform, node.state)
        asked = admin_rollouts.Start(old=old, new=new, deadline=deadline, bake=BAKE)
        await operations.start(SERVICE, asked, "olga")
        self.say(f"rollout of registry from {old} to {new} started")
        await self.fleet.wait(lambda: self.ended(new), LIMIT)
        return node.state.table.records["stage", SERVICE]

    def ended(self, new: str) -> bool:
        """Whether every node knows that the rollout to a version has ended."""
        stages = [
            host.node.state.table.records.get(("stage", SERVICE))
            for host in self.fleet.hosts.values()
        ]
        return all(
            stage is not None and stage.new == new and stage.state != rollouts.RUNNING
            for stage in stages
        )

    def count_runs(self, version: str) -> int:
        return sum(
            len(host.upstream.runs)
            for host in self.fleet.hosts.values()
            if host.upstream is not None
            and host.upstream.shape.service == SERVICE
            and host.upstream.shape.version == version
        )
