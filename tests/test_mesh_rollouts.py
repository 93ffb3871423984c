"""Rollouts on running nodes: completed, rolled back, and taken over."""

import asyncio

import pytest

from rattanridge.mesh import (
    coordinator,
    evaluation as evaluations,
    node as nodes,
    versions,
)
from rattanridge.platform import orders, store_objects
from tests import mesh_world

DURATION = 6.0


async def start(world):
    await world.start("workshop", "registry", "registry", slots=12)
    await world.add("registry", "b", 24, "v2")
    await world.wait_for_endpoints()
    await world.order("registry", "v2", DURATION)


async def send_until(world, condition, seconds=DURATION + 1.0):
    """Send requests until a condition holds or the time is over; return statuses."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    found = []
    while loop.time() < end and not condition():
        results = await asyncio.gather(*(world.call("/lookup/1") for _ in range(4)))
        found.extend(status for status, _, _ in results)
        await asyncio.sleep(0.01)
    return found


def state(world):
    return stored_status(world).state


def stored_rollout(revision, elapsed):
    """Return a running rollout as the store has it."""
    order = orders.Order("registry", "v2", DURATION)
    status = orders.Status(
        orders.RUNNING, "v2", share=0.1, elapsed=elapsed, holder="node-1"
    )
    return store_objects.StoredObject(
        "registry", revision, orders.encode_order(order), orders.encode_status(status)
    )


def stored_status(world):
    """Return the stored status; an empty one if there is none."""
    stored = world.store.objects.get((orders.KIND, "registry"))
    return orders.decode_status(bytes(stored.status)) or orders.Status("", "")


def holder(world):
    """Return the name of the node that coordinates; empty if none has written."""
    return stored_status(world).holder


async def restart(world, name):
    """Start a node again, without what it knew; return it when it is ready."""
    host = world.fleet.hosts[name]
    await host.node.close()
    host.node = nodes.Node(host.node.config)
    await host.node.start()
    await world.wait(host.node.ready)
    return host.node


class TestGoodVersion:
    async def test_is_completed_in_time_and_gets_all_requests(self, world):
        await start(world)
        statuses = await send_until(world, lambda: state(world) == orders.COMPLETED)
        assert state(world) == orders.COMPLETED
        assert set(statuses) == {200}
        await asyncio.sleep(0.2)
        old = len(world.upstreams[1].runs) + len(world.upstreams[2].runs)
        await world.call("/lookup/1")
        assert len(world.upstreams[1].runs) + len(world.upstreams[2].runs) == old

    async def test_gets_no_requests_without_an_order(self, world):
        await world.start("workshop", "registry", "registry", slots=12)
        await world.add("registry", "a", 12, "v2")
        await world.wait_for_endpoints()
        for _ in range(20):
            await world.call("/lookup/1")
        assert not world.upstreams[3].runs

    async def test_another_node_takes_over(self, world, monkeypatch):
        monkeypatch.setattr(coordinator, "TAKEOVER_TIMEOUT", 1.0)
        monkeypatch.setattr(coordinator, "RANK_DELAY", 0.3)
        monkeypatch.setattr(coordinator, "RENEW_INTERVAL", 0.5)
        await start(world)
        await send_until(world, lambda: state(world) == orders.RUNNING)
        stopped = world.fleet.hosts[holder(world)].node
        for task in stopped.tasks.items:
            if "Coordinator" in repr(task.get_coro()):
                task.cancel()
        await send_until(world, lambda: state(world) == orders.COMPLETED)
        assert state(world) == orders.COMPLETED

    # Guards against: a coordinator that was restarted takes the status for a fresh one,
    # and a good version takes over too late by the age of the status.
    async def test_restarted_coordinator_knows_the_time(self, world, monkeypatch):
        monkeypatch.setattr(coordinator, "RENEW_INTERVAL", 100.0)
        monkeypatch.setattr(coordinator, "TAKEOVER_TIMEOUT", 100.0)
        await start(world)
        ordered_at = asyncio.get_running_loop().time()
        await send_until(world, lambda: holder(world), 2.0)
        name = holder(world)
        await asyncio.sleep(2.0)
        assert holder(world) == name
        fresh = await restart(world, name)
        running = fresh.coordination.coordinator.evaluations
        await world.wait(lambda: running and running["registry"].heard, 2.0)
        elapsed = asyncio.get_running_loop().time() - ordered_at
        assert abs(running["registry"].ramp.elapsed - elapsed) < 0.5

    # Guards against: a coordinator that was restarted does not renew the status for
    # 2 s, and another node takes over from it (good-version-herd-kills, seed 12: a good
    # version was rolled back).
    async def test_restarted_coordinator_renews_at_once(self, world, monkeypatch):
        monkeypatch.setattr(coordinator, "RENEW_INTERVAL", 100.0)
        monkeypatch.setattr(coordinator, "TAKEOVER_TIMEOUT", 100.0)
        await start(world)
        await send_until(world, lambda: stored_status(world).step == 1, 3.0)
        before = stored_status(world)
        assert before.step == 1
        await restart(world, before.holder)
        await world.wait(lambda: stored_status(world).turn > before.turn, 2.5)
        after = stored_status(world)
        assert (after.holder, after.step) == (before.holder, before.step)

    # Guards against: nodes that were restarted, too, tell their coordinator that the
    # order is as young as their process.
    async def test_restarted_node_learns_the_time_from_the_status(self, world):
        await world.start("registry")
        node = world.nodes[0]
        now = 100.0
        found = versions.Versions(node.log, node.meters, lambda: now)
        found.apply(stored_rollout(revision=5, elapsed=3.0))
        now = 101.5
        found.apply(stored_rollout(revision=6, elapsed=6.0))
        now = 102.0
        found.apply(stored_rollout(revision=7, elapsed=6.1))
        assert found.running_order("registry") == versions.RunningOrder("v2", 6.5)


class TestBadVersion:
    @pytest.mark.parametrize("fault", ["fail", "slow"])
    async def test_is_rolled_back_soon(self, world, fault):
        await start(world)
        bad = world.upstreams[3]
        if fault == "fail":
            mesh_world.inject_fault(bad, "fail")
        else:
            bad.shape.work = 0.12
        statuses = await send_until(world, lambda: state(world) == orders.ROLLED_BACK)
        assert state(world) == orders.ROLLED_BACK
        assert statuses.count(200) >= 0.95 * len(statuses)
        assert len(bad.runs) <= 0.1 * len(statuses) + 50
        before = len(bad.runs)
        await asyncio.sleep(0.2)
        for _ in range(20):
            await world.call("/lookup/1")
        assert len(bad.runs) == before

    async def test_is_braked_while_store_answers_are_lost(self, world):
        await start(world)
        bad = world.upstreams[3]
        versions = world.nodes[0].versions
        await send_until(
            world,
            lambda: versions.rollouts and versions.rollouts["registry"].share() > 0.05,
        )
        mesh_world.inject_fault(bad, "fail")
        await send_until(world, lambda: len(bad.runs) > 3, 3.0)
        world.store.faults.lost = True
        await send_until(world, lambda: world.nodes[3].exit.trial.is_braked())
        assert world.nodes[3].exit.trial.refusal() is not None
        world.store.faults.lost = False


class TestCapacity:
    async def test_version_with_too_few_endpoints_is_rolled_back(self, world):
        await world.start("workshop", "registry", "registry", slots=12)
        await world.add("registry", "b", 6, "v2")
        await world.wait_for_endpoints()
        await world.order("registry", "v2", 4.0)
        statuses = await send_until(world, lambda: state(world) == orders.ROLLED_BACK)
        assert state(world) == orders.ROLLED_BACK
        assert set(statuses) == {200}
        stored = world.store.objects[orders.KIND, "registry"]
        status = orders.decode_status(bytes(stored.status))
        assert status.reason == "too few endpoints"

    # Guards against: a new version whose endpoints limit the rate of their requests
    # takes over, and the endpoints that had the room stop.
    async def test_counts_what_a_limit_allows_to_use(self, world):
        await start(world)
        node = world.nodes[0]
        await world.wait(lambda: "registry" in node.versions.rollouts)
        rollout = node.versions.rollouts["registry"]
        evaluation = evaluations.Evaluation(rollout)
        found = node.directory.candidates_of("registry")
        await node.coordination.coordinator.fetch_reports(evaluation, found)
        assert evaluation.capacity_ratio(found) == pytest.approx(1.0)
        limited = world.nodes[3].exit.queue
        limited.times.record("lookup", 0.1)
        limited.set_limit(20.0)
        await node.coordination.coordinator.fetch_reports(evaluation, found)
        assert evaluation.capacity_ratio(found) == pytest.approx(2 / 24)
