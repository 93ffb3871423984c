"""Relays and a coordinator in virtual time around a faked platform."""

import random
import types

import msgspec

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
from rattanridge.kernel import clock, codes, metrics, settings
from rattanridge.objectapi import client, objects
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
