"""The matrix: every fault at a request's way, over one node and over two.

What must hold is counted at the upstreams, never believed from the mesh.
"""

import asyncio

import pytest

from rattanridge.kernel import codes
from rattanridge.mesh import connections, node as nodes
from rattanridge.web import headers
from tests import mesh_world

DEADLINE_MS = 900
SHORT = 400  # milliseconds, for faults that last beyond any deadline
LIMIT = 6.0  # seconds; only a hang takes that long

UPSTREAM_FAULTS = ("fail", "shed", "lose", "cut", "unproved", "stray", "silent")
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
# What each method goes to; unsafe work must not run more than once.
REQUESTS = {"GET": "/lookup/1", "POST": "/order/1"}
SERVICE = {"GET": "registry", "POST": "workshop"}


class Scene:
    """One request while one thing goes wrong with the endpoint it is sent to.

    :param hops: 1 if the entry is beside the endpoint, else 2.
    """

    def __init__(self, world, fault, method, hops):
        self.world = world
        self.fault = fault
        self.method = method
        self.entry = 1 if hops == 1 else 0
        self.hops = hops
        self.upstreams = []
        self.later = []

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

    async def break_before(self):
        """Do what is wrong before the request comes."""
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
                assert await self.upstream.say_farewell() == 200
            case "exit-killed-before" if self.hops == 2:
                await self.world.fleet.remove("node-1")
            case "store-down":
                self.world.store.faults.down = True
            case "store-silent":
                self.world.store.faults.silent = True

    async def break_meanwhile(self):
        """Do what is wrong while the request runs."""
        if not await self.begins():
            return
        match self.fault:
            case "exit-killed-meanwhile" if self.hops == 2:
                await self.node.close()
            case "exit-stops":
                self.begin(self.node.stop())
            case "entry-stops":
                self.begin(self.world.nodes[self.entry].stop())
            case "exit-reset":
                for connection in list(self.upstream.runner.server.connections):
                    connection.transport.abort()

    def begin(self, work):
        self.later.append(asyncio.create_task(work))

    async def begins(self):
        """Wait until an upstream runs the request."""
        for _ in range(20):
            if any(item.running for item in self.world.upstreams):
                return True
            await asyncio.sleep(0.005)
        return False

    async def run(self):
        """Send the request; return status, headers and body, or nothing."""
        deadline = SHORT if self.fault == "silent" else DEADLINE_MS
        limit = 0.02 if self.fault == "caller-leaves" else LIMIT
        task = asyncio.create_task(self.break_meanwhile())
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
        """Return how often the request ran."""
        wanted = REQUESTS[self.method]
        return sum(run.path == wanted for item in self.upstreams for run in item.runs)

    async def finish(self):
        """Wait until what was begun has ended."""
        await asyncio.gather(*self.later)


@pytest.fixture(params=[1, 2], ids=["one-node", "two-nodes"])
def hops(request):
    return request.param


class TestMatrix:
    @pytest.mark.parametrize("method", ["GET", "POST"])
    @pytest.mark.parametrize("fault", [*UPSTREAM_FAULTS, *OTHER_FAULTS])
    async def test_what_must_hold(self, fault, method, hops, monkeypatch):
        monkeypatch.setattr(connections, "UNACKED_TIMEOUT", 300)
        monkeypatch.setattr(nodes, "QUESTIONS", 0.3)
        monkeypatch.setattr(nodes, "CLOSING_AFTER", 0.1)
        world = mesh_world.World()
        scene = Scene(world, fault, method, hops)
        try:
            await scene.start()
            await scene.break_before()
            answer = await scene.run()
            self.check_answer(scene, answer)
            self.check_counts(scene, answer)
            await scene.finish()
            await self.check_bounds(scene)
        finally:
            await world.stop()

    def check_answer(self, scene, answer):
        """The answer is whole and the call's own, or a refusal with a code."""
        if answer is None:
            assert scene.fault == "caller-leaves"
            return
        status, found, body = answer
        if status == 200:
            assert REQUESTS[scene.method].encode() in body
            assert found[headers.RAN] == codes.Execution.RAN
        elif headers.CODE in found:
            assert int(found[headers.CODE]) in codes.TABLE
        else:
            assert (scene.fault, status) == ("fail", 500)

    def check_counts(self, scene, answer):
        """Work that must not repeat ran at most once, and 'not run' is true."""
        most = 1 if scene.method == "POST" else 2
        assert scene.count() <= most
        if answer is None:
            return
        status, found, _ = answer
        if found[headers.RAN] == codes.Execution.NOT_RUN:
            assert scene.count() == 0
            assert status == 503
        if status == 200:
            assert scene.count() >= 1

    async def check_bounds(self, scene):
        """Nothing is kept: neither slots nor bytes nor requests in progress."""
        for node in scene.world.nodes:
            await scene.world.wait(lambda node=node: node.busy() == 0)
            assert not node.exit.queue.waiting
            assert node.entry.memory_budget.used == 0
