"""Leases: pauses, lost and late answers, and never two holders."""

import asyncio

import hypothesis
import pytest
from hypothesis import strategies

from rattanridge.kernel import clock, codes
from rattanridge.objectapi import leases
from rattanridge.standin import store as stores
from tests import fakes

TERM = 3.0


class World:
    """Some nodes that want one role, with one store and one time."""

    def __init__(self, nodes: int = 3):
        self.time = clock.ManualClock()
        self.store = stores.Store()
        self.platforms = [fakes.Platform(self.store, self.time) for _ in range(nodes)]
        self.leases = [
            leases.Lease(platform, "role", f"n{i}", f"n{i}:1", TERM, self.time)
            for i, platform in enumerate(self.platforms)
        ]

    def holders(self) -> list[str]:
        return [lease.holder for lease in self.leases if lease.held()]

    async def step(self, node: int, *plan: str) -> bool:
        self.platforms[node].plan = list(plan)
        return await self.leases[node].step()


@pytest.fixture
def world():
    return World()


actions = strategies.one_of(
    strategies.tuples(
        strategies.just("step"),
        strategies.integers(0, 1),
        strategies.lists(
            strategies.sampled_from(["ok", "down", "lost", "late", "slow"]), max_size=2
        ),
    ),
    strategies.tuples(
        strategies.just("advance"),
        strategies.sampled_from([TERM * part for part in (0.1, 0.5, 1.0)]),
        strategies.none(),
    ),
    strategies.tuples(
        strategies.sampled_from(["deliver", "release"]),
        strategies.integers(0, 1),
        strategies.none(),
    ),
)


class TestHistories:
    @hypothesis.settings(max_examples=400)
    @hypothesis.given(strategies.lists(actions, min_size=10, max_size=40))
    def test_never_two_holders_and_epochs_grow(self, history):
        asyncio.run(self.play(history))

    async def play(self, history):
        world = World(2)
        epochs: dict[int, str] = {}
        for kind, number, plan in history:
            if kind == "advance":
                world.time.now += number
            elif kind == "deliver":
                world.platforms[number].deliver()
            elif kind == "release":
                await world.leases[number].release()
            else:
                await world.step(number, *plan)
            assert len(world.holders()) <= 1
            for lease in world.leases:
                if lease.held():
                    assert epochs.setdefault(lease.epoch, lease.holder) == lease.holder

    async def test_somebody_holds_after_the_faults(self, world):
        for plan in (["lost", "down"], ["late"], ["down"]):
            await world.step(0, *plan)
            await world.step(1, "ok", *plan)
        world.time.now += TERM
        for _ in range(4):
            for node in range(3):
                await world.step(node)
            world.time.now += TERM / 2
        assert world.holders()


class TestLostAnswers:
    async def test_renewal_lost_and_not_read_back_is_no_loss(self, world):
        assert await world.step(0)
        world.time.now += 1
        await world.step(0, "lost", "down")
        assert await world.step(0)
        assert world.leases[0].epoch == 1

    async def test_late_renewal_after_the_end_brings_nobody_back(self, world):
        await world.step(0)
        world.time.now += 1
        await world.step(0, "late")
        world.time.now += TERM
        world.platforms[0].deliver()
        assert not world.holders()
        await world.step(1)
        assert not world.holders()
        assert await world.step(0)
        assert world.leases[0].epoch == 2

    async def test_late_write_after_a_take_over_fails(self, world):
        await world.step(0)
        await world.step(1)
        await world.step(0, "late")
        world.time.now += TERM
        assert await world.step(1)
        world.platforms[0].deliver()
        assert not await world.step(0)
        assert world.holders() == ["n1"]


class TestPauses:
    async def test_pause_between_check_and_act(self, world):
        await world.step(0)
        world.platforms[0].slowness = 2 * TERM
        await world.step(0, "slow")
        assert not world.leases[0].held()

    async def test_paused_holder_meets_its_successor(self, world):
        await world.step(0)
        await world.step(1)
        world.time.now += TERM
        await world.step(1)
        await world.step(0)
        assert world.leases[0].taken()
        assert world.holders() == ["n1"]

    async def test_release_frees_at_once(self, world):
        await world.step(0)
        await world.leases[0].release()
        assert await world.step(1)
        assert world.leases[1].epoch == 2


class TestClient:
    async def test_write_with_lost_answer_is_read_back(self, world):
        platform = world.platforms[0]
        platform.plan = ["lost"]
        stored = await platform.put("key", {"a": 1}, 0)
        assert stored.version == 1

    async def test_unknown_outcome_is_said(self, world):
        platform = world.platforms[0]
        platform.plan = ["late"]
        with pytest.raises(codes.Failure) as caught:
            await platform.put("key", {"a": 1}, 0)
        assert caught.value.code is codes.PLATFORM_DOWN
