"""Every fault on the path of a request, over one node and over two.

The guarantees are checked against counts at the upstreams, not against what the mesh
reports.
"""

import asyncio

import pytest

from rattanridge.kernel import codes
from rattanridge.mesh import connections, node as nodes
from rattanridge.web import headers
from tests import mesh_world

DEADLINE_MS = 900
SHORT_DEADLINE_MS = 400  # for faults that outlast any deadline
HANG_TIMEOUT = 6.0  # seconds; only a request that hangs takes that long

UPSTREAM_FAULTS = (
    "fail",
    "shed",
    "lose",
    "cut",
    "unproved",
    "invalid_status",
    "stray",
    "silent",
)
OTHER_FAULTS = (
    "upstream-dead",
    "upstream-crashes",
    "upstream-replaced",
    "upstream-drains",
    "upstream-farewell",
    "exit-killed-before",
    "exit-killed-meanwhile",
    "exit-stops",
    "exit-reset",
    "entry-stops",
    "store-down",
    "store-silent",
    "caller-leaves",
)
# Path of each method's request; unsafe work must not run more than once.
REQUESTS = {"GET": "/lookup/1", "POST": "/order/1"}
SERVICE = {"GET": "registry", "POST": "workshop"}


class FaultCase:
    """One request, and one fault at the endpoint that it is sent to.

    :param hops: 1 if the request enters at the node of the endpoint, else 2.
    """

    def __init__(self, world, fault, method, hops):
        self.world = world
        self.fault = fault
        self.method = method
        self.entry = 1 if hops == 1 else 0
        self.hops = hops
        self.upstreams = []
        self.tasks = []

    @property
    def node(self):
        return self.world.nodes[1]

    @property
    def upstream(self):
        return self.world.upstreams[1]

    async def start(self):
        service = SERVICE[self.method]
        other = "workshop" if service == "registry" else "registry"
        await self.world.start(other, service, service, zones=("a", "a", "b"))
        self.upstreams = self.world.upstreams
        self.upstream.shape.work = 0.05

    async def inject_before(self):
        """Inject a fault that precedes the request."""
        if self.fault in UPSTREAM_FAULTS:
            mesh_world.inject_fault(self.upstream, self.fault)
            self.upstream.faults.deaf = self.fault == "silent"
            return
        match self.fault:
            case "upstream-dead":
                await self.upstream.stop()
            case "upstream-crashes":
                self.upstream.faults.crash_on = REQUESTS[self.method]
            case "upstream-replaced":
                self.upstream.endpoint = "i-other"
            case "upstream-drains":
                assert await self.upstream.drain() == 200
            case "upstream-farewell":
                assert await self.upstream.send_farewell() == 200
            case "exit-killed-before" if self.hops == 2:
                await self.world.fleet.remove("node-1")
            case "store-down":
                self.world.store.faults.down = True
            case "store-silent":
                self.world.store.faults.silent = True

    async def inject_during(self):
        """Inject a fault while the request runs."""
        if not await self.wait_running():
            return
        match self.fault:
            case "exit-killed-meanwhile" if self.hops == 2:
                await self.node.close()
            case "exit-stops":
                self.start_task(self.node.stop())
            case "entry-stops":
                self.start_task(self.world.nodes[self.entry].stop())
            case "exit-reset":
                for connection in list(self.upstream.runner.server.connections):
                    connection.transport.abort()

    def start_task(self, work):
        self.tasks.append(asyncio.create_task(work))

    async def wait_running(self):
        """Wait until an upstream runs the request; return False if none does."""
        for _ in range(20):
            if any(item.running for item in self.world.upstreams):
                return True
            await asyncio.sleep(0.005)
        return False

    async def run(self):
        """Send the request; return status, headers and body; None if unanswered."""
        deadline = SHORT_DEADLINE_MS if self.fault == "silent" else DEADLINE_MS
        limit = 0.02 if self.fault == "caller-leaves" else HANG_TIMEOUT
        task = asyncio.create_task(self.inject_during())
        try:
            async with asyncio.timeout(limit):
                return await self.world.call(
                    REQUESTS[self.method], self.method, self.entry, deadline
                )
        except (TimeoutError, mesh_world.aiohttp.ClientError):
            return None
        finally:
            await task

    def count(self):
        """Return how many times the request ran."""
        path = REQUESTS[self.method]
        return sum(run.path == path for item in self.upstreams for run in item.runs)

    async def finish(self):
        """Wait for the tasks that the fault started."""
        await asyncio.gather(*self.tasks)


@pytest.fixture(params=[1, 2], ids=["one-node", "two-nodes"])
def hops(request):
    return request.param


class TestGuarantees:
    @pytest.mark.parametrize("method", ["GET", "POST"])
    @pytest.mark.parametrize("fault", [*UPSTREAM_FAULTS, *OTHER_FAULTS])
    async def test_guarantees_hold(self, fault, method, hops, monkeypatch):
        monkeypatch.setattr(connections, "UNACKED_TIMEOUT_MS", 300)
        monkeypatch.setattr(nodes, "READINESS_WAIT", 0.3)
        monkeypatch.setattr(nodes, "CLOSE_CONNECTIONS_AFTER", 0.1)
        world = mesh_world.World()
        case = FaultCase(world, fault, method, hops)
        try:
            await case.start()
            await case.inject_before()
            answer = await case.run()
            self.check_answer(case, answer)
            self.check_counts(case, answer)
            await case.finish()
            await self.check_bounds(case)
        finally:
            await world.stop()

    def check_answer(self, case, answer):
        """Check that the answer is complete and the call's own, or has a code."""
        if answer is None:
            assert case.fault == "caller-leaves"
            return
        status, found, body = answer
        if status == 200:
            assert REQUESTS[case.method].encode() in body
            assert found[headers.RAN] == codes.Execution.RAN
        elif headers.CODE in found:
            assert int(found[headers.CODE]) in codes.TABLE
        else:
            assert (case.fault, status) == ("fail", 500)

    def check_counts(self, case, answer):
        """Check that POST ran at most once, GET twice, and that 'not run' is true."""
        max_runs = 1 if case.method == "POST" else 2
        assert case.count() <= max_runs
        if answer is None:
            return
        status, found, _ = answer
        if found[headers.RAN] == codes.Execution.NOT_RUN:
            assert case.count() == 0
            assert status == 503
        if status == 200:
            assert case.count() >= 1

    async def check_bounds(self, case):
        """Check that all slots, bytes and requests in progress were released."""
        for node in case.world.nodes:
            await case.world.wait(lambda node=node: node.request_count() == 0)
            assert not node.exit.queue.waiting
            assert node.entry.memory_budget.used == 0
