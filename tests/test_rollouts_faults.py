"""Rollouts under every fault at every step, in virtual time.

Real coordinators, pools, leases and platform client; the network between them
and the platform's store are fakes.
"""

import random
import types

import msgspec
import pytest

from rattanridge.admin import rollouts as admin_rollouts
from rattanridge.control import (
    collector,
    coordinator,
    messages,
    pool,
    replica,
    rollouts,
    source,
)
from rattanridge.kernel import clock, codes, metrics, presets, settings, snapshot
from rattanridge.platform import client, objects
from rattanridge.policies import schedules
from rattanridge.standin import store

SERVICE = "workshop"
KEY = rollouts.key_of(SERVICE)
ROUTE = "GET */workshop"
DEADLINE = 240.0  # seconds
RELAYS = 3
RATE = 40  # calls a second at each relay
FAULT_SECONDS = 8
LIMIT = 400  # seconds after which a rollout must have ended
TIMES = settings.RolloutSettings(least_hold=2.0, warmup=0.01, keep_progress=2.0)


class Platform(client.Client):
    """The real client on a store in memory, with faults."""

    def __init__(self, kept: store.Store):
        super().__init__(["http://127.0.0.1:1"])
        self.store = kept
        self.down = False
        self.lose = 0

    async def call(self, method, path, body=b"", timeout=0.0):
        if self.down:
            self.fail(codes.PLATFORM_DOWN, "down")
        key = path.removeprefix("/v1/objects/")
        if method == "GET":
            return msgspec.json.encode(self.store.get(key))
        stored = self.store.put(key, msgspec.json.decode(body, type=objects.Write))
        if self.lose:
            self.lose -= 1
            self.fail(codes.PLATFORM_DOWN, "answer lost")
        return msgspec.json.encode(stored)


class Relay:
    """One relay: a replica, a pool and a coordinator."""

    def __init__(self, world: "World", name: str):
        config = settings.NodeSettings(
            name=name,
            zone="a",
            platform=["http://127.0.0.1:1"],
            key="test-secret",
            rollouts=TIMES,
        )
        self.name = name
        self.platform = Platform(world.store)
        self.state = replica.Replica(config, metrics.Counters())
        time = world.time
        member = types.SimpleNamespace(
            config=config,
            platform=self.platform,
            state=self.state,
            counters=self.state.counters,
            server=types.SimpleNamespace(address=name),
            source=source.Source(config, self.platform, self.state, time),
            on_relay=[],
        )
        self.pool = pool.Pool(config, self.state, self.state.counters, time)
        self.collector = collector.Collector(
            config, self.state, self.state.counters, time
        )
        self.coordinator = coordinator.Coordinator(member, self.pool, time)
        self.pool.start()
        self.paused = 0
        self.origin = f"{name}/{world.number}"

    def stage(self) -> messages.Stage | None:
        return self.state.table.records.get(("stage", SERVICE))

    def see_platform(self) -> None:
        """Do what the watch does."""
        if not self.platform.down:
            for stored in self.platform.store.list(["rollouts/"]).objects:
                self.coordinator.see(stored)


class World:
    """Relays, their network and the platform's store."""

    def __init__(self, seed: int):
        random.seed(seed)
        self.random = random.Random(seed)
        self.time = clock.ManualClock()
        self.store = store.Store()
        self.number = 0
        self.relays = [self.make() for _ in range(RELAYS)]
        self.bad = False
        self.late = 0
        self.doubled = False
        self.crossed = False
        self.reports: list[tuple[float, Relay, messages.Evidence, bool]] = []
        self.new_up = True
        self.history: list[rollouts.Rollout] = []
        self.write_times: list[float] = []

    def make(self) -> Relay:
        self.number += 1
        made = Relay(self, f"relay-{self.number}")
        for known in getattr(self, "relays", []):
            for record in known.state.table.all():
                made.state.table.merge(record)
        for version in ("v1", "v2"):
            made.state.table.merge(endpoint(version, "up", 0))
        return made

    def holder(self) -> Relay | None:
        return next((r for r in self.relays if r.coordinator.lease.held()), None)

    async def start(self) -> None:
        relay = self.relays[0]
        operations = admin_rollouts.Rollouts(
            relay.coordinator.config, relay.platform, relay.state
        )
        asked = admin_rollouts.Start(old="v1", new="v2", deadline=DEADLINE, bake=10.0)
        made = operations.make(SERVICE, asked, "olga", None)
        now = self.time.wall()
        made.started, made.deadline = now, now + DEADLINE
        await relay.platform.put(KEY, made, 0)
        self.note()

    def current(self) -> rollouts.Rollout:
        return rollouts.read(self.store.get(KEY))

    def note(self) -> None:
        """Keep every change of the object, with its time."""
        now = self.current()
        if not self.history or now.turn != self.history[-1].turn:
            self.history.append(now)
            self.write_times.append(self.time.now)

    async def step(self) -> None:
        """Live through one second."""
        self.time.now += 1.0
        for relay in self.relays:
            if relay.paused:
                relay.paused -= 1
                continue
            relay.see_platform()
            # The first act after a pause is a look with the old knowledge.
            await relay.coordinator.look()
            await relay.coordinator.step()
            self.note()
        self.spread()
        for relay in self.relays:
            self.report(relay)
        self.deliver()
        for relay in self.relays:
            if not relay.paused:
                relay.pool.judge()
        self.spread()
        self.check()

    def spread(self) -> None:
        """Send records from relay to relay."""
        for one in self.relays:
            for other in self.relays:
                if one is not other and not one.paused and not other.paused:
                    for record in one.state.table.all():
                        other.state.table.merge(record)

    def report(self, relay: Relay) -> None:
        """Make calls at a relay's nodes and send the reports."""
        stage = relay.stage()
        if stage is None or relay.paused:
            return
        share = stage.share_for(True, ROUTE) if self.new_up else 0.0
        for _ in range(RATE):
            new = self.random.random() < share
            relay.collector.add(
                SERVICE,
                stage.new if new else stage.old,
                ROUTE,
                False,
                self.bad and new,
                self.random.uniform(0.01, 0.02),
            )
        for evidence in relay.collector.reports(relay.origin):
            for other in self.relays:
                direct = other is relay
                copies = 2 if self.doubled else 1
                due = self.time.now + self.random.choice([0, self.late])
                self.reports += [(due, other, evidence, direct)] * copies

    def deliver(self) -> None:
        due = [item for item in self.reports if item[0] <= self.time.now]
        self.reports = [item for item in self.reports if item[0] > self.time.now]
        if self.crossed:
            self.random.shuffle(due)
        for _, relay, evidence, direct in due:
            relay.pool.take(evidence, direct)

    def check(self) -> None:
        """What must hold at any time, at every relay."""
        turns = {item.turn: rollouts.stage_of(item) for item in self.history}
        for relay in self.relays:
            stage = relay.stage()
            if stage is None:
                continue
            written = turns.get(stage.version)
            assert written is not None, "a stage that no write made"
            assert stage.share <= written.share
            assert stage.once_share <= written.once_share
        for relay in self.relays:
            if self.taken_back() and not relay.paused and relay.stage():
                assert relay.stage().share == 0.0

    def taken_back(self) -> bool:
        stages = [relay.stage() for relay in self.relays]
        return any(stage and stage.state == "taken-back" for stage in stages)

    def check_holds(self) -> None:
        """No step was skipped, gone back on, or held for too short a time."""
        steps = [item.step for item in self.history]
        assert steps == sorted(steps)
        assert set(steps) == set(range(max(steps) + 1))
        began: dict[int, float] = {}
        for item, at in zip(self.history, self.write_times, strict=True):
            if item.step not in began:
                if began:
                    held = at - max(began.values())
                    assert held >= TIMES.least_hold
                    # The first steps have too few samples to end early.
                    assert item.step > 2 or held >= item.plan[item.step - 1].hold * 0.8
                began[item.step] = at


def endpoint(version: str, state: str, sequence: int) -> messages.Endpoint:
    return messages.Endpoint(
        f"host-{version}", "a", SERVICE, version, "", 12, 110, state, 1, sequence
    )


class Faults:
    """One method for each fault; each ends by itself or in ``mend``."""

    def __init__(self, world: World):
        self.world = world
        self.mending = []

    def coordinator_killed(self) -> None:
        self.replace(self.world.holder() or self.world.relays[0])

    def coordinator_paused(self) -> None:
        (self.world.holder() or self.world.relays[0]).paused = FAULT_SECONDS

    def coordinator_replaced(self) -> None:
        """Another takes the lease while the holder believes that it holds it."""
        holder = self.world.holder()
        if holder is None:
            return
        other = next(r for r in self.world.relays if r is not holder)
        stored = self.world.store.get("leases/coordinator")
        value = client.value_of(stored, objects.LeaseValue)
        value = objects.LeaseValue(other.name, "", value.epoch + 1, value.term)
        raw = msgspec.Raw(msgspec.json.encode(value))
        taken = self.world.store.put(
            "leases/coordinator", objects.Write(raw, stored.version, "taken")
        )
        other.coordinator.lease.epoch = value.epoch
        other.coordinator.lease.version = taken.version
        other.coordinator.lease.expires = self.world.time.now + 2.0

    def platform_down(self) -> None:
        for relay in self.world.relays:
            relay.platform.down = True
            self.mending.append((relay.platform, "down", False))

    def answer_lost(self) -> None:
        for relay in self.world.relays:
            relay.platform.lose = 3

    def relay_lost(self) -> None:
        holder = self.world.holder()
        self.replace(next(r for r in self.world.relays if r is not holder))

    def reports_late(self) -> None:
        self.set("late", 5, 0)

    def reports_doubled(self) -> None:
        self.set("doubled", True, False)

    def reports_crossed(self) -> None:
        self.set("late", 3, 0)
        self.set("crossed", True, False)

    def new_leaves(self) -> None:
        self.set("new_up", False, True)
        self.announce("gone", 1)

    def preset_switched(self) -> None:
        preset = presets.Preset(
            name="peak",
            services={SERVICE: presets.Service()},
            routes=[presets.Route(service=SERVICE)],
        )
        for relay in self.world.relays:
            made = snapshot.build(relay.state.generation + 1, snapshot.split(preset, 1))
            relay.state.swap(made)

    def set(self, name: str, value: object, after: object) -> None:
        setattr(self.world, name, value)
        self.mending.append((self.world, name, after))

    def announce(self, state: str, sequence: int) -> None:
        for relay in self.world.relays:
            relay.state.table.merge(endpoint("v2", state, sequence))

    def replace(self, relay: Relay) -> None:
        """A relay dies with all it knew; another node takes its place."""
        self.world.relays.remove(relay)
        self.world.relays.append(self.world.make())

    def mend(self) -> None:
        for target, name, value in self.mending:
            setattr(target, name, value)
        if not self.world.new_up or ("new_up" in [m[1] for m in self.mending]):
            self.announce("up", 2)


FAULTS = [
    "coordinator_killed",
    "coordinator_paused",
    "coordinator_replaced",
    "platform_down",
    "answer_lost",
    "relay_lost",
    "reports_late",
    "reports_doubled",
    "reports_crossed",
    "new_leaves",
    "preset_switched",
]
LAST = len(schedules.Staged.steps)  # the step at 100%, the bake
POINTS = [0, 1, 2, 3, 4, 5, 6, LAST]


async def run_to(world: World, step: int) -> None:
    """Run until the object is at a step."""
    for _ in range(LIMIT):
        if world.current().step >= step or not world.current().running:
            return
        await world.step()
    raise AssertionError(f"step {step} was not reached")


async def run_fault(world: World, name: str) -> None:
    faults = Faults(world)
    getattr(faults, name)()
    for _ in range(FAULT_SECONDS):
        await world.step()
    faults.mend()


async def run_to_end(world: World, state: str) -> None:
    """Run until object and relays agree on the end."""
    for _ in range(LIMIT):
        stages = {r.stage().state if r.stage() else "" for r in world.relays}
        if world.current().state == state and stages == {state}:
            return
        await world.step()
    raise AssertionError(f"{world.current().state}, {stages}")


@pytest.mark.parametrize("fault", FAULTS)
class TestGoodVersion:
    @pytest.mark.parametrize("point", POINTS)
    async def test_done(self, fault, point):
        world = World(point)
        await world.start()
        await world.step()
        await run_to(world, point)
        await run_fault(world, fault)
        await run_to_end(world, "done")
        world.check_holds()
        assert world.history[-1].ended <= world.history[-1].deadline

    async def test_done_stays_done(self, fault):
        world = World(1)
        await world.start()
        await run_to_end(world, "done")
        await run_fault(world, fault)
        await run_to_end(world, "done")
        assert {relay.stage().share for relay in world.relays} == {1.0}


@pytest.mark.parametrize("fault", FAULTS)
class TestBadVersion:
    @pytest.mark.parametrize("point", POINTS)
    async def test_taken_back(self, fault, point):
        """The fault comes together with the new version's first errors."""
        world = World(point)
        await world.start()
        await world.step()
        await run_to(world, point)
        world.bad = True
        await run_fault(world, fault)
        await run_to_end(world, "taken-back")
        world.check_holds()

    async def test_taken_back_stays(self, fault):
        world = World(1)
        await world.start()
        await world.step()
        world.bad = True
        await run_to_end(world, "taken-back")
        await run_fault(world, fault)
        for _ in range(FAULT_SECONDS):
            await world.step()
        await run_to_end(world, "taken-back")


class TestPlatformDown:
    async def test_verdict_reaches_all_relays_and_later_the_object(self):
        world = World(3)
        await world.start()
        await run_to(world, 4)
        world.bad = True
        Faults(world).platform_down()
        for _ in range(60):
            await world.step()
        assert {r.stage().state for r in world.relays} == {"taken-back"}
        assert world.current().running
        for relay in world.relays:
            relay.platform.down = False
        await run_to_end(world, "taken-back")

    async def test_share_does_not_grow(self):
        world = World(3)
        await world.start()
        await run_to(world, 2)
        Faults(world).platform_down()
        for _ in range(60):
            await world.step()
        assert world.current().step == 2


class TestOperators:
    async def start_again(self, world: World) -> rollouts.Rollout:
        relay = world.relays[0]
        operations = admin_rollouts.Rollouts(
            relay.coordinator.config, relay.platform, relay.state
        )
        asked = admin_rollouts.Start(old="v1", new="v2", deadline=DEADLINE)
        return await operations.start(SERVICE, asked, "oscar")

    @pytest.mark.parametrize("point", POINTS)
    async def test_second_start_is_refused(self, point):
        world = World(point)
        await world.start()
        await run_to(world, point)
        with pytest.raises(codes.Failure) as caught:
            await self.start_again(world)
        assert caught.value.code is codes.ROLLOUT_RUNNING
        assert "olga" in caught.value.detail

    @pytest.mark.parametrize("point", POINTS)
    async def test_cancel_against_a_coordinator_that_writes(self, point):
        world = World(point)
        await world.start()
        await run_to(world, point)
        relay = world.relays[-1]
        operations = admin_rollouts.Rollouts(
            relay.coordinator.config, relay.platform, relay.state
        )
        await operations.cancel(SERVICE, "olga")
        await run_to_end(world, "taken-back")
        assert "olga" in world.current().reason
        again = await self.start_again(world)
        assert again.number == 2
        for _ in range(3):
            await world.step()
        assert {r.stage().number for r in world.relays} == {2}

    @pytest.mark.parametrize(
        ("old", "new", "deadline", "code"),
        [
            ("v1", "v1", 600.0, codes.ROLLOUT_VERSIONS),
            ("v1", "v9", 600.0, codes.ROLLOUT_VERSIONS),
            ("v9", "v2", 600.0, codes.ROLLOUT_VERSIONS),
            ("v1", "v2", 5.0, codes.ROLLOUT_DEADLINE),
        ],
    )
    async def test_refused_start(self, old, new, deadline, code):
        relay = World(1).relays[0]
        operations = admin_rollouts.Rollouts(
            relay.coordinator.config, relay.platform, relay.state
        )
        asked = admin_rollouts.Start(old=old, new=new, deadline=deadline)
        with pytest.raises(codes.Failure) as caught:
            await operations.start(SERVICE, asked, "olga")
        assert caught.value.code is code

    async def test_deadline_that_is_lost_is_reported(self):
        world = World(1)
        await world.start()
        await run_to(world, 1)
        Faults(world).platform_down()
        for _ in range(int(DEADLINE)):
            await world.step()
        for relay in world.relays:
            relay.platform.down = False
        for _ in range(10):
            await world.step()
        assert world.current().late
