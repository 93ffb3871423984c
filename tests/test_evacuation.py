"""Evacuated availability zones: nothing is sent to their endpoints."""

import asyncio
import types
import unittest.mock

import pytest

from rattanridge.kernel import codes
from rattanridge.mesh import evacuation
from rattanridge.platform import evacuations, store_objects
from tests import evacuated_zones as zones, mesh_world, silent_log, test_restarts


class TestChoice:
    # Guards against: a changed preset ends the evacuation, or its end is not heard.
    async def test_endpoints_of_the_zone_get_nothing_until_it_returns(self, world):
        await zones.start(world)
        assert not await zones.serve_all(world)
        await world.configure(2, *mesh_world.DEFAULT_ROUTES)
        await world.wait(lambda: all(item.configs.version == 2 for item in world.nodes))
        assert not await zones.serve_all(world)
        await zones.restore(world)
        assert await zones.serve_all(world)

    # Guards against: an entry that does not know of the evacuation gets its requests
    # through, or loses them or retry budget to refusals; so do calls at the exit's own
    # node.
    async def test_exits_refuse_whatever_an_entry_believes(self, world):
        await zones.start(world)
        answer = await world.nodes[0].exit.run(mesh_world.make_call(world))
        assert (answer.code, answer.ran) == (codes.ZONE_EVACUATED, "not-run")
        entry = await world.add("workshop", "a")
        await world.wait_for_endpoints()
        assert not entry.evacuations.enabled and len(entry.watches) == 3
        assert not await zones.serve_all(world)
        assert not any("budget_repeats" in name for name in entry.meters.values())

    # Guards against: requests that wait for a slot are sent after the order.
    async def test_waiting_requests_are_refused(self, world):
        await world.start("registry", "registry", slots=1, **zones.SETTINGS)
        world.upstreams[0].faults.slow = 1.0
        gate = world.nodes[0].exit
        running = [
            asyncio.create_task(gate.run(mesh_world.make_call(world, attempt)))
            for attempt in ("1", "2")
        ]
        await world.wait(lambda: gate.queue.waiting)
        await zones.evacuate(world)
        first, second = await asyncio.gather(*running)
        assert (first.status, second.code) == (200, codes.ZONE_EVACUATED)
        assert len(world.upstreams[0].runs) == 1


class TestFaults:
    # Guards against: a node whose watch gets no answer does not hear of the order,
    # although the store answers its checks.
    async def test_node_without_a_watch_hears_it_from_others(self, world):
        await world.start("registry", "registry", slots=12, **zones.SETTINGS)
        watch = world.nodes[0].watches[3]
        watch.apply = watch.apply_all = lambda *ignored: None
        await world.store.put(evacuations.KIND, "a", evacuations.SPEC)
        await zones.wait_for(world, True)
        assert not await zones.serve_all(world)

    # Guards against: nobody calls the new process, so it never hears whom to ask.
    @pytest.mark.parametrize("fault", ["down", "silent"])
    async def test_it_holds_without_the_store_also_over_a_restart(self, world, fault):
        await zones.start(world)
        setattr(world.store.faults, fault, True)
        await asyncio.sleep(1.0)
        assert not await zones.serve_all(world)
        node = await test_restarts.restart(world)
        answer = await node.exit.run(mesh_world.make_call(world))
        assert answer.code is codes.NO_ENDPOINT
        await world.wait(node.ready, 12.0)
        assert node.evacuations.is_evacuated("a")
        assert not await zones.serve_all(world)

    async def test_order_that_the_store_has_lost_is_written_again(self, world):
        await world.start("registry", "registry", slots=12, **zones.SETTINGS)
        await asyncio.sleep(0.3)
        await zones.evacuate(world)
        await world.store.restore(0.3)
        assert not zones.objects(world)
        await world.wait(lambda: zones.objects(world), zones.EFFECT)
        assert not await zones.serve_all(world)
        await zones.restore(world)

    # Guards against: an evacuation that ended long ago begins again, and nobody knows.
    async def test_order_that_comes_again_from_an_older_copy_is_deleted(self, world):
        await zones.start(world)
        await asyncio.sleep(0.3)
        await zones.restore(world)
        await world.store.restore(0.3)
        assert zones.objects(world)
        await world.wait(lambda: not zones.objects(world), zones.EFFECT)
        assert await zones.serve_all(world)
        await zones.evacuate(world)


def make():
    """Return the evacuations of a node that has listed none."""
    config = types.SimpleNamespace(zone="a", **zones.SETTINGS)
    fake, log = unittest.mock.Mock(), silent_log.SilentLog()
    found = evacuation.Evacuations(config, fake, fake, fake, log, fake)
    found.apply_all([], at(1))
    return found


def at(revision, era=1):
    return store_objects.make_revision(era, revision)


def order(revision, deleted=False):
    return store_objects.StoredObject("a", revision, deleted=deleted)


def ended():
    """Return evacuations of a node that saw one begin and end."""
    found = make()
    found.apply(order(at(5)))
    found.apply(order(at(9), deleted=True))
    return found


class TestOrderOfChanges:
    def test_late_changes_are_ignored_and_new_ones_believed(self):
        found = ended()
        found.apply(order(at(5)))
        assert not found.is_evacuated("a")
        found.apply_all([order(at(7, era=2))], at(7, era=2))
        assert found.is_evacuated("a")

    def test_list_that_is_older_than_what_another_node_told_ends_nothing(self):
        found = make()
        found.merge("a", evacuation.Zone(at(8), True), "n2")
        found.apply_all([], at(7))
        assert found.is_evacuated("a")
        found.apply_all([], at(9))
        assert not found.is_evacuated("a")

    def test_end_in_the_new_era_is_believed(self):
        found = make()
        found.apply(order(at(5)))
        found.apply_all([], at(3, era=2))
        assert found.is_evacuated("a") and found.lost == {"a"}
        found.merge("a", evacuation.Zone(at(9, era=2), False, (at(5),)), "n2")
        assert not found.is_evacuated("a") and not found.lost

    @pytest.mark.parametrize("told_first", [True, False])
    def test_node_that_knows_of_the_end_is_right(self, told_first):
        knows, fresh = ended(), make()
        listed = [order(at(5, era=2))]
        fresh.apply_all(listed, at(6, era=2))
        if told_first:
            knows.merge("a", fresh.zones["a"], "fresh")
        knows.apply_all(listed, at(6, era=2))
        fresh.merge("a", knows.zones["a"], "knows")
        assert not knows.is_evacuated("a") and not fresh.is_evacuated("a")
        assert knows.revived == {"a": at(5, era=2)}
