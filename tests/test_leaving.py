"""Upstreams that leave, and nodes that stop."""

import asyncio
import dataclasses

import pytest

from rattanridge.mesh import shutdown
from tests import mesh_world


class TestLeaving:
    @pytest.mark.parametrize("farewell", ["drain", "leave"])
    async def test_nothing_new_after_the_acknowledgement(self, world, farewell):
        await world.start("registry", "registry")
        first = world.upstreams[0]
        if farewell == "drain":
            assert await first.drain() == 200
        else:
            assert await first.send_farewell() == 200
        before = len(first.runs)
        results = [await world.call("/lookup/1") for _ in range(10)]
        assert {status for status, _, _ in results} == {200}
        assert len(first.runs) == before

    # Guards against: a process that has just started gets a farewell that names no
    # incarnation, then an older heartbeat, and considers the upstream ready.
    async def test_a_late_heartbeat_after_a_farewell_to_a_new_process(self, world):
        await world.start("registry")
        first = world.upstreams[0]
        late = first.next_heartbeat()
        upstream = world.nodes[0].upstream
        upstream.identity = None
        upstream.record_farewell(first.endpoint, 0)
        url = f"http://{world.nodes[0].config.listen.heartbeats}/api/instances/"
        async with world.session.put(url + first.endpoint, data=late) as answer:
            assert answer.status == 200
        assert upstream.state == "gone"

    async def test_a_late_heartbeat_after_a_farewell_without_an_incarnation(
        self, world
    ):
        """The node knows only an earlier incarnation, from its record."""
        await world.start("registry")
        first = world.upstreams[0]
        late = first.next_heartbeat()
        upstream = world.nodes[0].upstream
        upstream.identity = dataclasses.replace(upstream.identity, incarnation=5)
        upstream.record_farewell(first.endpoint, 0)
        url = f"http://{world.nodes[0].config.listen.heartbeats}/api/instances/"
        async with world.session.put(url + first.endpoint, data=late) as answer:
            assert answer.status == 200
        assert upstream.state == "gone"

    async def test_a_late_heartbeat_does_not_bring_it_back(self, world):
        await world.start("registry", "registry")
        first = world.upstreams[0]
        first.sequence = 5
        late = first.next_heartbeat()
        first.sequence = 9
        await first.drain()
        upstream = world.nodes[0].upstream
        url = f"http://{world.nodes[0].config.listen.heartbeats}/api/instances/"
        async with world.session.put(url + first.endpoint, data=late) as answer:
            assert answer.status == 200
        assert upstream.state == "draining"

    async def test_an_unreadable_heartbeat_is_refused_and_changes_nothing(self, world):
        await world.start("registry")
        url = f"http://{world.nodes[0].config.listen.heartbeats}/api/instances/i-x"
        for data in (b"", b"[]", b'{"State":"odd"}', b"\xff\xfe", b'{"Slots":"x"}'):
            async with world.session.put(url, data=data) as answer:
                assert answer.status == 400
        status, _, _ = await world.call("/lookup/1")
        assert status == 200

    async def test_a_stopping_node_accepts_nothing_that_it_cannot_finish(self, world):
        """Callers may send until the end if too few nodes of the zone are ready."""
        await world.start("registry")
        node = world.nodes[0]
        node.config.drain.grace = 3.0
        world.upstreams[0].shape.work = 0.05
        stopping = asyncio.create_task(node.stop())
        statuses = []
        while not stopping.done():
            try:
                status, received_headers, _ = await world.call("/lookup/1")
            except mesh_world.aiohttp.ClientError:
                break
            statuses.append(status)
            if status != 200:
                assert (status, received_headers["Rattanridge-Ran"]) == (503, "not-run")
        await stopping
        assert statuses[0] == 200
        assert statuses[-1] == 503
        assert world.upstreams[0].runs == mesh_world.finished_runs(world.upstreams[0])

    async def test_the_exit_of_a_stopping_node_accepts_nothing_that_may_be_cut(
        self, world
    ):
        """While the store is down, other nodes do not see it stop and go on sending."""
        await world.start("workshop", "registry")
        world.store.faults.silent = True
        world.upstreams[1].shape.work = 1.2
        assert (await world.call("/lookup/1"))[0] == 200
        node = world.nodes[1]
        node.config.drain.grace = 4.0
        stopping = asyncio.create_task(node.stop())
        answers = []

        async def send_on():
            while not stopping.done():
                answers.append(await world.call("/lookup/1"))
                await asyncio.sleep(0.02)

        await asyncio.gather(stopping, *(send_on() for _ in range(4)))
        upstream = world.upstreams[1]
        assert upstream.runs == mesh_world.finished_runs(upstream)
        for status, received_headers, _ in answers:
            assert status == 200 or received_headers["Rattanridge-Ran"] == "not-run"

    async def test_a_stopping_node_ends_the_connections_of_other_nodes(self, world):
        """Nothing may be sent on an idle connection that is about to close."""
        await world.start("workshop", "registry")
        idle_connections = world.nodes[0].dispatcher.peers.pool.idle
        hop = world.nodes[1].config.listen.hops
        await asyncio.gather(*(world.call("/lookup/1") for _ in range(3)))
        assert len(idle_connections[hop]) > 1
        world.nodes[1].shutdown.advance(shutdown.Phase.DRAINING)
        assert (await world.call("/lookup/1"))[0] == 200
        assert not idle_connections.get(hop)

    async def test_stop_finishes_running_requests(self, world):
        await world.start("registry", "workshop")
        world.upstreams[0].shape.work = 0.3
        running = asyncio.create_task(world.call("/lookup/1"))
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(world.nodes[0].stop())
        status, _, _ = await running
        assert status == 200
        assert not world.nodes[0].ready()
        late, _, _ = await world.call("/order/1", "POST")
        assert late == 200
        await stopping
