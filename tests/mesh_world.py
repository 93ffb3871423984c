"""Nodes with a stand-in store and stand-in upstreams, in one process."""

import asyncio
import itertools
import os
import socket

import aiohttp
import aiohttp.web
import msgspec
import yarl

from rattanridge.mesh import node as nodes, settings
from rattanridge.platform import configs, headers, heartbeats, orders
from rattanridge.standin import metadata

LOOPBACK = "127.0.0.1"
HOST = "shop.example"


# Each test process takes ports of its own, below those that systems give out.
FIRST_PORT = 15_000
PORTS_PER_PROCESS = 800
PROCESS = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0")[2:])
PORTS = itertools.cycle(
    range(
        FIRST_PORT + PROCESS * PORTS_PER_PROCESS,
        FIRST_PORT + (PROCESS + 1) * PORTS_PER_PROCESS,
    )
)


def free_address():
    for port in PORTS:
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
            return f"{LOOPBACK}:{port}"
    return ""


def route(name, prefix, service, kind="safe", **more):
    return configs.WireRoute(
        name, prefix, kind, timeout_ms=2000, target_ms=500, service=service, **more
    )


def configuration(version, *paths, services=("registry", "workshop")):
    wire = configs.WireConfiguration(
        f"{version:08x}",
        [configs.WireHost(HOST, list(paths))],
        [configs.WireService(name) for name in services],
    )
    return msgspec.json.encode(wire)


PLAIN = (
    route("lookup", "/lookup/", "registry", attempts=2),
    route("order", "/order/", "workshop", "unsafe"),
)


class Upstream:
    """A stand-in upstream beside one node; ``mode`` says how it misbehaves."""

    def __init__(self, service, slots=4, version="v1"):
        self.service = service
        self.slots = slots
        self.version = version
        self.endpoint = f"i-{id(self):x}"
        self.born = 1000
        self.sequence = 0
        self.work = 0.01
        self.mode = ""
        self.seen = []
        self.finished = []
        self.running = self.most = 0
        self.address = ""
        self.runner = None

    async def start(self, address=""):
        server = aiohttp.web.Server(self.serve, handler_cancellation=True)
        self.runner = aiohttp.web.ServerRunner(server, shutdown_timeout=0.1)
        await self.runner.setup()
        self.address = address or free_address()
        host, _, port = self.address.rpartition(":")
        await aiohttp.web.TCPSite(self.runner, host, int(port)).start()

    async def stop(self):
        await self.runner.cleanup()

    async def serve(self, request):
        attempt = request.headers.get(headers.ATTEMPT, "")
        if request.headers.get(headers.ENDPOINT) != self.endpoint:
            return aiohttp.web.Response(status=421)
        if self.mode == "shed":
            return aiohttp.web.Response(status=503, headers={headers.NOT_RUN: "1"})
        self.seen.append(request)
        self.running += 1
        self.most = max(self.most, self.running)
        try:
            await asyncio.sleep(self.work)
        finally:
            self.running -= 1
        body = await request.read()
        self.finished.append(attempt)
        return await self.answer(request, attempt, body)

    async def answer(self, request, attempt, body):
        sent = {headers.ATTEMPT: attempt, headers.PROOF: "proof"}
        if self.mode == "lose":
            request.transport.abort()
        if self.mode == "fail":
            return aiohttp.web.Response(status=500, headers=sent, body=b"no")
        if self.mode == "unproved":
            sent.pop(headers.PROOF)
        if self.mode == "cut":
            head = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n"
            head += "".join(f"{name}: {value}\r\n" for name, value in sent.items())
            request.transport.write(f"{head}\r\nhalf".encode())
            request.transport.close()
        if self.mode == "late-extra":
            other = {headers.ATTEMPT: "another", headers.PROOF: "other"}
            extra = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
            extra += "".join(f"{name}: {value}\r\n" for name, value in other.items())
            request.transport.write(f"{extra}\r\nwrong".encode())
        if self.mode.startswith("bytes "):
            body = b"x" * int(self.mode.split()[1])
        return aiohttp.web.Response(headers=sent, body=b"done " + body)

    def beat(self, state="ready"):
        self.sequence += 1
        wire = heartbeats.WireHeartbeat(
            self.service,
            self.address,
            self.version,
            self.slots,
            state,
            self.sequence,
            born=self.born,
        )
        return msgspec.json.encode(wire)


class World:
    """Starts and ends everything."""

    def __init__(self):
        self.store = metadata.Metadata()
        self.nodes = []
        self.upstreams = []
        self.session = None
        self.attempts = 0

    async def start(self, *services, zones=("a", "b"), paths=PLAIN, slots=4):
        await self.store.start()
        self.session = aiohttp.ClientSession()
        await self.configure(1, *paths)
        for index, service in enumerate(services):
            await self.add(service, zones[index % len(zones)], slots)
        await self.settle()

    async def add(self, service, zone="a", slots=4, version="v1"):
        upstream = Upstream(service, slots, version)
        await upstream.start()
        config = settings.Settings(
            name=f"node-{len(self.nodes)}",
            zone=zone,
            service=service,
            upstream=upstream.address,
            store=self.store.address,
            listen=settings.Listen(*(free_address() for _ in range(5))),
        )
        node = nodes.Node(config)
        await node.start()
        self.nodes.append(node)
        self.upstreams.append(upstream)
        await self.wait(node.ready)
        await self.beat(upstream)
        return node

    async def settle(self):
        """Wait until all nodes know each other."""
        count = len(self.nodes)
        await self.wait(
            lambda: all(len(node.directory.candidates) == count for node in self.nodes)
        )

    async def configure(self, version, *paths):
        data = configuration(version, *paths)
        await self.store.put(configs.KIND, configs.NAME, data)

    async def order(self, service, version, seconds):
        wire = orders.WireOrder(service, version, seconds)
        await self.store.put(orders.KIND, service, msgspec.json.encode(wire))

    async def beat(self, upstream, state="ready"):
        node = self.nodes[self.upstreams.index(upstream)]
        url = f"http://{node.config.listen.heartbeats}{heartbeats.PREFIX}"
        async with self.session.put(
            url + upstream.endpoint, data=upstream.beat(state)
        ) as answer:
            return answer.status

    async def leave(self, upstream):
        node = self.nodes[self.upstreams.index(upstream)]
        url = f"http://{node.config.listen.heartbeats}{heartbeats.PREFIX}"
        async with self.session.delete(url + upstream.endpoint) as answer:
            return answer.status

    async def call(
        self, path, method="GET", node=0, deadline=2000, body=b"", host=HOST
    ):
        """Send a request as a caller; return status, headers, body."""
        self.attempts += 1
        sent = {
            "Host": host,
            headers.ATTEMPT: f"{self.attempts:08x}",
            headers.DEADLINE: str(deadline),
        }
        address = self.nodes[node].config.listen.callers
        url = yarl.URL(f"http://{address}{path}", encoded=True)
        async with self.session.request(
            method, url, headers=sent, data=body or None
        ) as answer:
            return answer.status, answer.headers, await answer.read()

    async def wait(self, condition, seconds=5.0):
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.01)

    async def stop(self):
        for node in self.nodes:
            await node.close()
        for upstream in self.upstreams:
            await upstream.stop()
        if self.session is not None:
            await self.session.close()
        await self.store.stop()
