"""A store that writes whole numbers with a fraction, under all that reads from it."""

import aiohttp
import pytest

from rattanridge.platform import orders
from rattanridge.standin import fleet, upstream as upstreams
from tests import (
    evacuated_zones,
    mesh_world,
    test_at_most_once,
    test_mesh_rollouts,
    test_presets,
    test_quota,
)


@pytest.fixture
def world_of_fractions(world):
    world.store.faults.fractions = True
    return world


class TestFractions:
    """Guards against a reader for which ``6.0`` is not the number ``6``.

    Without any of these, a record, an order or a claim in the store is none.
    """

    async def test_records_and_configurations(self, world_of_fractions):
        world = world_of_fractions
        await world.start("registry", "workshop")
        await world.apply(2, *mesh_world.DEFAULT_ROUTES)
        for node in range(2):
            assert (await world.call("/lookup/1", node=node))[0] == 200
        fresh = await test_mesh_rollouts.restart(world, "node-0")
        assert fresh.configs.version == 2

    async def test_rollouts(self, world_of_fractions):
        world = world_of_fractions
        await test_mesh_rollouts.start(world)
        statuses = await test_mesh_rollouts.send_until(
            world, lambda: test_mesh_rollouts.state(world) == orders.COMPLETED
        )
        assert test_mesh_rollouts.state(world) == orders.COMPLETED
        assert set(statuses) == {200}

    async def test_evacuations(self, world_of_fractions):
        await evacuated_zones.start(world_of_fractions)
        await evacuated_zones.restore(world_of_fractions)

    async def test_quotas(self, world_of_fractions):
        await test_quota.start(world_of_fractions, burst=40.0)
        assert await test_quota.served(world_of_fractions, 3) == 3

    async def test_presets_and_choices(self):
        async with test_presets.presets_on() as (presets, standin):
            standin.faults.fractions = True
            await presets.put("day", test_presets.DAY, "olga")
            again = await presets.put("day", test_presets.DAY, "oscar")
            assert (again.revision, again.operator) == (1, "olga")
            assert (await presets.use("day", "olga")).generation == 1
            await presets.put("peak", test_presets.PEAK, "olga")
            assert (await presets.use("peak", "olga")).generation == 2
            assert [item.preset for item in await presets.history()] == ["day", "peak"]

    async def test_claims(self):
        async with fleet.Fleet() as running, aiohttp.ClientSession() as session:
            running.store.faults.fractions = True
            await running.add("one", "zone-a", upstreams.Shape("press", work=0.0))
            await running.add("two", "zone-a", upstreams.Shape("other"))
            preset = fleet.make_preset("day", ["press"])
            await running.wait_applied(await running.put_preset(preset))
            await running.wait_endpoints()
            for name in ("one", "two"):
                answer = await test_at_most_once.post(session, running, name)
                assert answer.status == 200
            assert len(running.hosts["one"].upstream.runs) == 1
