"""Every control fault at every step, on real sockets in one process."""

import asyncio
import collections

import pytest

from rattanridge.control import (
    finder,
    member as members,
    messages,
    peers,
    relay as relays,
    replica,
    source as sources,
    zone as zones,
)
from rattanridge.kernel import codes, settings, snapshot
from rattanridge.measure import controls, fleet
from rattanridge.objectapi import client, objects
from rattanridge.standin import platform as platforms

LIMIT = 60.0  # seconds; only a hang takes that long
SPAN = 0.4  # seconds that a fault lasts
STEPS = {
    "put": (platforms.Platform, "put"),
    "use": (controls.preset_store.Presets, "use"),
    "notice": (sources.Source, "choose"),
    "fetch": (sources.Source, "fetch"),
    "check": (replica.Replica, "apply"),
    "swap": (replica.Replica, "swap"),
    "report": (relays.Relay, "take_report"),
    "take over": (members.Member, "serve_role"),
}
TIMES = settings.ControlSettings(
    lease_term=0.8,
    report_interval=0.1,
    beat_interval=0.1,
    node_beat_interval=0.2,
    stream_timeout=1.0,
    silence_limit=2.0,
    lost_after=0.5,
    orphan_after=2.0,
    backoff_first=0.02,
    backoff_limit=0.2,
    watch_wait=1.0,
)


class World:
    """Six nodes in two zones, four of them relays; what was ever in force."""

    def __init__(self, monkeypatch):
        self.monkeypatch = monkeypatch
        self.platform = platforms.Platform(1)
        self.nodes: dict[str, controls.ControlNode] = {}
        self.digests: dict[int, set[str]] = collections.defaultdict(set)
        self.floors: dict[str, int] = {}
        self.broken: list[str] = []
        self.tasks: list[asyncio.Task] = []
        self.choices = 0

    async def __aenter__(self):
        await self.platform.start()
        self.client = client.Client([self.platform.url])
        self.presets = controls.preset_store.Presets(self.client)
        for spec in controls.make_specs(6, controls.ZONES[:2]):
            await self.add(spec)
        return self

    async def __aexit__(self, *error):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await asyncio.gather(*(node.stop() for node in self.nodes.values()))
        await self.client.close()
        await self.platform.stop()

    async def add(self, spec: controls.Spec) -> None:
        node = controls.ControlNode(spec, controls.Setup(self.platform.url, [], TIMES))
        self.nodes[spec.name] = node
        last = self.floors.get(spec.name, 0)

        def watch() -> None:
            nonlocal last
            now = node.state.generation
            if now < last:
                self.broken.append(f"{spec.name} fell from {last} to {now}")
            last = max(now, last)
            self.floors[spec.name] = last
            self.digests[now].add(node.state.digest)

        node.state.listeners.append(watch)
        await node.start()

    def at(self, step: str, fault) -> asyncio.Event:
        """Let a fault happen at the next call of a step."""
        owner, name = STEPS[step]
        original = getattr(owner, name)
        done = asyncio.Event()

        def wrapper(*arguments, **more):
            if not done.is_set():
                done.set()
                fault(self)
            return original(*arguments, **more)

        self.monkeypatch.setattr(owner, name, wrapper)
        return done

    def later(self, work) -> None:
        self.tasks.append(asyncio.ensure_future(work))

    def for_a_while(self, **faults) -> None:
        for name, value in faults.items():
            setattr(self.platform.faults, name, value)
        loop = asyncio.get_running_loop()
        loop.call_later(SPAN, setattr, self.platform, "faults", platforms.Faults())

    async def restart(self, relay: bool) -> None:
        """Stop one node without a word, and start it again."""
        for name, node in list(self.nodes.items()):
            if (node.member.lease is not None) is relay:
                del self.nodes[name]
                await node.stop()
                await self.add(node.spec)
                return
        raise LookupError("no such node")

    async def choose(self, name: str = "day") -> int:
        """Put and use a new preset, again and again until it is accepted."""
        while True:
            self.choices += 1
            preset = fleet.make_preset(name, ["pay"], timeout=1.0 + self.choices)
            try:
                await self.presets.put(name, fleet.preset_text(preset), "olga")
                return (await self.presets.use(name, "olga")).generation
            except codes.Failure:
                await asyncio.sleep(0.05)

    def pointer(self) -> int:
        value = self.platform.store.get(sources.POINTER)
        return client.value_of(value, objects.InForce).generation

    async def converge(self) -> None:
        """Wait until every node applies what the platform says, and check it."""
        async with asyncio.timeout(LIMIT):
            await asyncio.gather(*self.tasks)
            self.tasks.clear()
            while not all(
                node.state.generation == self.pointer() for node in self.nodes.values()
            ):
                await asyncio.sleep(0.02)
        assert not self.broken
        for generation, digests in self.digests.items():
            assert len(digests) == 1, f"generation {generation} has two contents"


def cross_messages(world: World) -> None:
    """Deliver an old configuration and old records again, everywhere."""
    for node in world.nodes.values():
        old = fleet.make_preset("old", ["pay"])
        delta = snapshot.diff(None, snapshot.build(1, snapshot.split(old, 1)))
        if node.state.generation >= 1:
            replica.Replica.apply(node.state, delta)
        for record in node.state.table.all():
            node.state.table.merge(record)


def lapse(world: World) -> None:
    """Let the relays' leases end as if their holders had been paused."""
    for node in world.nodes.values():
        if node.member.lease is not None:
            node.member.lease.expires = float("-inf")


FAULTS = {
    "platform down": lambda world: world.for_a_while(down=True),
    "platform slow": lambda world: world.for_a_while(slow=SPAN),
    "answers lost": lambda world: world.for_a_while(lose_answers=1.0),
    "watches cut": lambda world: world.for_a_while(cut_watches=True),
    "relay killed": lambda world: world.later(world.restart(relay=True)),
    "node restarted": lambda world: world.later(world.restart(relay=False)),
    "messages crossed": cross_messages,
    "lease lapsed": lapse,
    "operators racing": lambda world: world.later(world.choose("peak")),
}


@pytest.fixture
async def world(monkeypatch):
    monkeypatch.setattr(finder, "LOOK_INTERVAL", 0.1)
    monkeypatch.setattr(finder, "CANDIDATE_SPREAD", 0.05)
    monkeypatch.setattr(peers, "PEERS_INTERVAL", 0.3)
    monkeypatch.setattr(peers, "APPOINT_PAUSE", 0.3)
    monkeypatch.setattr(zones, "WRITE_INTERVAL", 0.1)
    async with World(monkeypatch) as made:
        await made.choose()
        await made.converge()
        async with asyncio.timeout(LIMIT):
            while sum(n.member.lease is not None for n in made.nodes.values()) < 4:
                await asyncio.sleep(0.02)
        yield made


class TestMatrix:
    @pytest.mark.parametrize("fault", FAULTS)
    async def test_fault_at_every_step(self, world, fault):
        for step in STEPS:
            with pytest.MonkeyPatch.context() as patch:
                world.monkeypatch = patch
                happened = world.at(step, FAULTS[fault])
                if step == "take over":
                    await world.restart(relay=True)
                await world.choose()
                async with asyncio.timeout(LIMIT):
                    await happened.wait()
                await world.converge()


class TestMembership:
    async def wait(self, condition):
        async with asyncio.timeout(LIMIT):
            while not condition():
                await asyncio.sleep(0.02)

    def states(self, world, name):
        """Return what the other nodes know of an endpoint."""
        tables = [n.state.table for k, n in world.nodes.items() if k != name]
        return {table.records[("endpoint", name)].state for table in tables}

    async def know_all(self, world):
        await self.wait(
            lambda: all(
                len(node.state.table.all(messages.Endpoint)) == len(world.nodes)
                for node in world.nodes.values()
            )
        )

    async def test_leaving_endpoint_is_known_while_the_platform_is_down(self, world):
        await self.know_all(world)
        world.platform.faults.down = True
        world.nodes["node-001"].announce("draining")
        await self.wait(lambda: self.states(world, "node-001") == {"draining"})

    @pytest.mark.parametrize("relay", [True, False])
    async def test_dead_node_is_lost(self, world, relay):
        await self.know_all(world)
        name = next(
            name
            for name, node in world.nodes.items()
            if (node.member.lease is not None) is relay
        )
        await world.nodes.pop(name).stop()
        await self.wait(lambda: self.states(world, name) == {"lost"})

    async def test_changes_pass_while_a_zone_has_no_platform(self, world):
        """The relays of the second zone can't reach the platform."""
        await self.know_all(world)
        for node in world.nodes.values():
            if node.spec.zone == controls.ZONES[1]:
                node.platform.urls = ["http://127.0.0.1:1"]
        await world.choose()
        await world.converge()

    async def test_restart_while_the_platform_is_down(self, world):
        """A relay tells the generation; a node that hears nobody refuses."""
        relay = next(n for n in world.nodes.values() if n.member.lease is not None)
        world.platform.faults.down = True
        alone = controls.ControlNode(
            controls.Spec("alone", "elsewhere", "pay"),
            controls.Setup(world.platform.url, [], TIMES),
        )
        asked = controls.ControlNode(
            controls.Spec("asked", controls.ZONES[0], "pay", relay=False),
            controls.Setup(world.platform.url, [], TIMES),
        )
        asked.config.peers = [relay.server.address]
        await alone.start()
        await asked.start()
        await self.wait(lambda: asked.state.generation == world.pointer())
        assert alone.state.snapshot is None
        await alone.stop()
        await asked.stop()
