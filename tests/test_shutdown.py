"""Planned stops: nothing that was accepted is cut before the grace period ends."""

import asyncio

import pytest

from rattanridge.mesh import shutdown
from rattanridge.web import headers
from tests import mesh_world, test_pipelining

LONG_WORK = 0.6  # seconds
LARGE_BODY = 16_000_000  # bytes, more than the sockets of a connection hold


async def stop_while(node, moment, action):
    """Stop a node, and run an action just before one of the steps of its stop.

    :param moment: name of the method of the node's ports that is the step.
    """
    step = getattr(node.ports, moment)

    async def run_before():
        await action()
        await step()

    setattr(node.ports, moment, run_before)
    await node.stop()


class TestLastRequests:
    # Guards against: a node passed on what came after it had found no request in
    # progress, and cut it 0.4 s later.
    async def test_nothing_is_passed_on_after_the_last_look(self, world):
        await world.start("workshop", "registry", paths=test_pipelining.PATHS)
        world.upstreams[1].shape.work = LONG_WORK
        caller = test_pipelining.Caller(*await world.connect())

        async def send():
            caller.send(test_pipelining.encode("/order/1", "POST", b"ring"))
            await asyncio.sleep(0.05)

        await stop_while(world.nodes[0], "stop_listening", send)
        status, _, fields = await caller.read()
        assert (status, fields[headers.RAN]) == (503, "not-run")
        assert float(fields["Retry-After"]) > 0
        assert await caller.is_closed()
        assert not world.upstreams[1].runs

    # Guards against: as above, at the exit; another node's entry sent the request.
    async def test_the_exit_accepts_nothing_after_the_last_look(self, world):
        await world.start("workshop", "registry", "registry")
        statuses = []

        async def send():
            for _ in range(6):
                statuses.append((await world.call("/lookup/1"))[0])

        await stop_while(world.nodes[1], "stop_listening", send)
        assert statuses == [200] * 6
        assert not world.upstreams[1].runs

    async def test_what_is_accepted_before_runs_to_its_end(self, world):
        await world.start("workshop", "registry", paths=test_pipelining.PATHS)
        world.upstreams[1].shape.work = LONG_WORK
        node = world.nodes[0]
        caller = test_pipelining.Caller(*await world.connect())
        stopping = asyncio.create_task(node.stop())
        await asyncio.sleep(2.5)
        caller.send(test_pipelining.encode("/order/1", "POST", b"ring"))
        assert (await caller.read())[0] == 200
        await stopping


class TestAnswers:
    # Guards against: an answer that a caller reads slowly was in no count, and was cut.
    async def test_a_slow_reader_gets_the_whole_answer(self, world):
        await world.start("workshop", "registry")
        node = world.nodes[0]
        node.entry.respond = lambda answer: respond_large()
        reader, writer = await world.connect()
        writer.write(test_pipelining.encode("/lookup/1"))
        await world.wait(node.ports.busy_connections)
        stopping = asyncio.create_task(node.stop())
        await asyncio.sleep(3.2)
        assert not stopping.done()
        async with asyncio.timeout(5):
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(LARGE_BODY)
            await stopping

    async def test_a_connection_is_busy_from_the_head_to_the_end(self, world):
        await world.start("registry")
        ports = world.nodes[0].ports
        reader, writer = await world.connect()
        await asyncio.sleep(0.05)
        assert not ports.busy_connections()
        request = test_pipelining.encode("/order/1", "POST", b"body")
        writer.write(request[:-4])
        await world.wait(ports.busy_connections)
        writer.write(request[-4:])
        await reader.readuntil(b"\r\n\r\n")
        await world.wait(lambda: not ports.busy_connections())


def respond_large():
    return mesh_world.aiohttp.web.Response(body=b"x" * LARGE_BODY)


class TestClaims:
    # Guards against: the outcome of work that ran once was still being written when
    # the node ended, and nobody could tell the next submission.
    async def test_a_stop_waits_until_an_outcome_is_written(self, world):
        await world.start("registry")
        node = world.nodes[0]
        written = asyncio.Event()
        task = node.claims.start_task(written.wait())
        stopping = asyncio.create_task(node.stop())
        await asyncio.sleep(2.8)
        assert not task.done()
        assert not stopping.done()
        written.set()
        await stopping


class TestPhases:
    @pytest.mark.parametrize(
        ("phase", "begun", "closing", "finishes"),
        [
            (shutdown.Phase.RUNNING, False, False, True),
            (shutdown.Phase.DRAINING, True, False, True),
            (shutdown.Phase.CLOSING, True, True, True),
            (shutdown.Phase.REFUSING, True, True, False),
        ],
    )
    async def test_what_each_phase_accepts(self, phase, begun, closing, finishes):
        found = shutdown.Shutdown()
        found.advance(phase)
        assert (found.begun, found.closing) == (begun, closing)
        assert found.can_finish(0.01) == finishes

    async def test_no_phase_is_taken_back(self):
        found = shutdown.Shutdown()
        found.advance(shutdown.Phase.REFUSING)
        found.begin(asyncio.get_running_loop().time() + 60)
        assert found.refusing

    async def test_only_what_can_end_is_accepted(self):
        found = shutdown.Shutdown()
        found.begin(asyncio.get_running_loop().time() + 3.0)
        assert found.can_finish(0.1)
        assert not found.can_finish(1.0)
        assert found.failure().retry_after > 2.0
