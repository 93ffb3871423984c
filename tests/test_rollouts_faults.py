"""Rollouts under every fault at every step, in virtual time.

Real coordinators, pools, leases and platform client; the network between them
and the platform's store are fakes.
"""

import msgspec
import pytest

from rattanridge.admin import rollouts as admin_rollouts
from rattanridge.control import (
    rollouts,
)
from rattanridge.kernel import codes, presets, snapshot
from rattanridge.objectapi import client, objects
from rattanridge.policies import schedules
from tests import rollout_world


class Faults:
    """One method for each fault; each ends by itself or in ``mend``."""

    def __init__(self, world: rollout_world.World):
        self.world = world
        self.mending = []

    def coordinator_killed(self) -> None:
        self.replace(self.world.holder() or self.world.relays[0])

    def coordinator_paused(self) -> None:
        (
            self.world.holder() or self.world.relays[0]
        ).paused = rollout_world.FAULT_SECONDS

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
            services={rollout_world.SERVICE: presets.Service()},
            routes=[presets.Route(service=rollout_world.SERVICE)],
        )
        for relay in self.world.relays:
            made = snapshot.build(relay.state.generation + 1, snapshot.split(preset, 1))
            relay.state.swap(made)

    def set(self, name: str, value: object, after: object) -> None:
        setattr(self.world, name, value)
        self.mending.append((self.world, name, after))

    def announce(self, state: str, sequence: int) -> None:
        for relay in self.world.relays:
            relay.state.table.merge(rollout_world.endpoint("v2", state, sequence))

    def replace(self, relay: rollout_world.Relay) -> None:
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


async def run_to(world: rollout_world.World, step: int) -> None:
    """Run until the object is at a step."""
    for _ in range(rollout_world.LIMIT):
        if world.current().step >= step or not world.current().running:
            return
        await world.step()
    raise AssertionError(f"step {step} was not reached")


async def run_fault(world: rollout_world.World, name: str) -> None:
    faults = Faults(world)
    getattr(faults, name)()
    for _ in range(rollout_world.FAULT_SECONDS):
        await world.step()
    faults.mend()


async def run_to_end(world: rollout_world.World, state: str) -> None:
    """Run until object and relays agree on the end."""
    for _ in range(rollout_world.LIMIT):
        stages = {r.stage().state if r.stage() else "" for r in world.relays}
        if world.current().state == state and stages == {state}:
            return
        await world.step()
    raise AssertionError(f"{world.current().state}, {stages}")


@pytest.mark.parametrize("fault", FAULTS)
class TestGoodVersion:
    @pytest.mark.parametrize("point", POINTS)
    async def test_done(self, fault, point):
        world = rollout_world.World(point)
        await world.start()
        await world.step()
        await run_to(world, point)
        await run_fault(world, fault)
        await run_to_end(world, "done")
        world.check_holds()
        assert world.history[-1].ended <= world.history[-1].deadline

    async def test_done_stays_done(self, fault):
        world = rollout_world.World(1)
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
        world = rollout_world.World(point)
        await world.start()
        await world.step()
        await run_to(world, point)
        world.bad = True
        await run_fault(world, fault)
        await run_to_end(world, "taken-back")
        world.check_holds()

    async def test_taken_back_stays(self, fault):
        world = rollout_world.World(1)
        await world.start()
        await world.step()
        world.bad = True
        await run_to_end(world, "taken-back")
        await run_fault(world, fault)
        for _ in range(rollout_world.FAULT_SECONDS):
            await world.step()
        await run_to_end(world, "taken-back")


class TestPlatformDown:
    async def test_verdict_reaches_all_relays_and_later_the_object(self):
        world = rollout_world.World(3)
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
        world = rollout_world.World(3)
        await world.start()
        await run_to(world, 2)
        Faults(world).platform_down()
        for _ in range(60):
            await world.step()
        assert world.current().step == 2


class TestOperators:
    async def start_again(self, world: rollout_world.World) -> rollouts.Rollout:
        relay = world.relays[0]
        operations = admin_rollouts.Rollouts(
            relay.coordinator.config, relay.platform, relay.state
        )
        asked = admin_rollouts.Start(
            old="v1", new="v2", deadline=rollout_world.DEADLINE
        )
        return await operations.start(rollout_world.SERVICE, asked, "oscar")

    @pytest.mark.parametrize("point", POINTS)
    async def test_second_start_is_refused(self, point):
        world = rollout_world.World(point)
        await world.start()
        await run_to(world, point)
        with pytest.raises(codes.Failure) as caught:
            await self.start_again(world)
        assert caught.value.code is codes.ROLLOUT_RUNNING
        assert "olga" in caught.value.detail

    @pytest.mark.parametrize("point", POINTS)
    async def test_cancel_against_a_coordinator_that_writes(self, point):
        world = rollout_world.World(point)
        await world.start()
        await run_to(world, point)
        relay = world.relays[-1]
        operations = admin_rollouts.Rollouts(
            relay.coordinator.config, relay.platform, relay.state
        )
        await operations.cancel(rollout_world.SERVICE, "olga")
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
        relay = rollout_world.World(1).relays[0]
        operations = admin_rollouts.Rollouts(
            relay.coordinator.config, relay.platform, relay.state
        )
        asked = admin_rollouts.Start(old=old, new=new, deadline=deadline)
        with pytest.raises(codes.Failure) as caught:
            await operations.start(rollout_world.SERVICE, asked, "olga")
        assert caught.value.code is code

    async def test_deadline_that_is_lost_is_reported(self):
        world = rollout_world.World(1)
        await world.start()
        await run_to(world, 1)
        Faults(world).platform_down()
        for _ in range(int(rollout_world.DEADLINE)):
            await world.step()
        for relay in world.relays:
            relay.platform.down = False
        for _ in range(10):
            await world.step()
        assert world.current().late
