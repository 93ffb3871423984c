"""Two nodes without control around raw upstreams whose bytes tests decide."""

import asyncio
import contextlib
import dataclasses
import os

import msgspec

from rattanridge import node as nodes
from rattanridge.control import messages
from rattanridge.kernel import presets, settings, snapshot
from rattanridge.standin import platform as platforms

KEY = "tests-shared-key"
HANG = 20.0  # seconds after which a test counts as hanging
# A loopback address of this process alone: other test runs on the machine send
# to ports of 127.0.0.1 that were theirs a moment ago.
HOST = f"127.{os.getpid() % 200 + 1}.{os.getpid() // 200 % 250}.1"


@dataclasses.dataclass(slots=True)
class Request:
    """One request as the raw upstream read it."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    connection: int

    def header(self, name: str) -> str:
        found = [value for key, value in self.headers if key.lower() == name.lower()]
        return found[0] if found else ""


def make_answer(request: Request) -> bytes:
    """Return a whole answer that names the request that it belongs to."""
    body = f"done {request.target}".encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class Upstream:
    """An upstream on a raw socket.

    ``script`` answers each request; ``on_connect`` and ``on_head`` run before
    the head and the body are read.
    """

    def __init__(self, service: str = "workshop", slots: int = 4):
        self.service = service
        self.slots = slots
        self.requests: list[Request] = []
        self.begun = 0
        self.connections = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.accept, HOST, 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def accept(self, reader, writer) -> None:
        self.connections += 1
        number = self.connections
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        ends = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ends):
            await self.on_connect(writer)
            while True:
                await self.serve(reader, writer, number)
        writer.close()

    async def serve(self, reader, writer, number: int) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        self.begun += 1
        first, *lines = head.decode("utf-8", "surrogateescape").split("\r\n")[:-2]
        method, target, _ = first.split(" ")
        fields = [tuple(line.split(": ", 1)) for line in lines]
        request = Request(method, target, fields, b"", number)
        await self.on_head(writer)
        length = int(request.header("Content-Length") or 0)
        request.body = await reader.readexactly(length)
        self.requests.append(request)
        await self.script(request, writer)

    async def on_connect(self, writer) -> None:
        pass

    async def on_head(self, writer) -> None:
        pass

    async def script(self, request: Request, writer) -> None:
        writer.write(make_answer(request))
        await writer.drain()

    def reset(self) -> None:
        """Break all connections."""
        for writer in self.writers:
            if writer.transport is not None:
                writer.transport.abort()

    def kill(self) -> None:
        """Die: take no connection, and break those there are."""
        self.server.close()
        self.reset()

    async def stop(self) -> None:
        self.kill()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def make_preset(timeout: float = 5.0, **more: object) -> presets.Preset:
    """Return a preset where GET is idempotent and POST is not."""
    common = {"prefix": "/workshop", "service": "workshop", "timeout": timeout}
    reading = presets.Route(methods=["GET", "HEAD"], idempotent=True, **common, **more)
    return presets.Preset(
        name="day",
        services={"workshop": presets.Service(warmup=0.0)},
        routes=[reading, presets.Route(methods=["*"], **common)],
    )


class Mesh:
    """Nodes that know each other's endpoints at once, without relays.

    The platform is there for claims; each node owns the slices that it uses.
    """

    def __init__(self):
        self.platform = platforms.Platform()
        self.nodes: dict[str, nodes.Node] = {}
        self.upstreams: list[Upstream] = []
        self.generation = 0
        self.platform = platforms.Platform()

    async def add(self, name: str, zone: str = "a", **limits: object) -> nodes.Node:
        if not self.platform.url:
            await self.platform.start()
        config = settings.NodeSettings(
            name=name,
            zone=zone,
            platform=[self.platform.url],
            key=KEY,
            limits=settings.Limits(**limits),
        )
        node = nodes.Node(config)
        await node.entry.start()
        node.caller_url = await node.listen(node.serve_caller, HOST, 0)
        hop = await node.listen(node.hop.serve, HOST, 0)
        node.local_url = await node.listen(node.local.serve, HOST, 0)
        # Not started: announcements of tests hold without renewal.
        node.local.hop = hop.removeprefix("http://")
        node.state.table.listeners.append(self.share)
        self.nodes[name] = node
        return node

    def share(self, record: messages.Record) -> None:
        for node in self.nodes.values():
            node.state.table.merge(record)

    async def attach(self, node: nodes.Node, upstream: Upstream, **more) -> None:
        """Start an upstream beside a node."""
        if not upstream.address:
            await upstream.start()
            self.upstreams.append(upstream)
        said = {
            "service": upstream.service,
            "version": "v1",
            "address": upstream.address,
            "slots": upstream.slots,
        }
        await node.local.announce(msgspec.json.encode(said | more))

    def put(self, preset: presets.Preset) -> None:
        """Put a preset in force on all nodes."""
        self.generation += 1
        resources = snapshot.split(preset, self.generation)
        for node in self.nodes.values():
            node.state.swap(snapshot.build(self.generation, resources))

    async def close(self, name: str) -> None:
        """Let one node die."""
        await end(self.nodes.pop(name))

    async def stop(self) -> None:
        for upstream in self.upstreams:
            await upstream.stop()
        for name in list(self.nodes):
            await self.close(name)
        await self.platform.stop()


async def end(node: nodes.Node) -> None:
    """Break all connections of a node and stop it."""
    for runner in [item for item in node.runners if item.server is not None]:
        for connection in list(runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
    await node.close()


@contextlib.asynccontextmanager
async def pair(preset: presets.Preset, upstream: Upstream, **limits: object):
    """Run a node beside an upstream, and one apart from it."""
    made = Mesh()
    try:
        beside = await made.add("beside", **limits)
        await made.add("apart", **limits)
        made.put(preset)
        await made.attach(beside, upstream)
        yield made
    finally:
        await made.stop()


@dataclasses.dataclass(slots=True)
class Reply:
    """What a raw caller got; ``whole`` only if the framing says so."""

    status: int = 0
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytes = b""
    whole: bool = False

    def header(self, name: str) -> str:
        found = [value for key, value in self.headers if key.lower() == name.lower()]
        return found[0] if found else ""


class Caller:
    """A caller on a raw socket."""

    def __init__(self, url: str):
        host, _, port = url.removeprefix("http://").partition(":")
        self.place = (host, int(port))

    async def __aenter__(self) -> "Caller":
        self.reader, self.writer = await asyncio.open_connection(*self.place)
        return self

    async def __aexit__(self, *error: object) -> None:
        self.writer.close()

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    def request(self, method: str, target: str, body: bytes = b"", *lines: str) -> None:
        length = [f"Content-Length: {len(body)}"] if body else []
        head = [f"{method} {target} HTTP/1.1", "Host: mesh", *length, *lines, "", ""]
        self.send("\r\n".join(head).encode() + body)

    async def reply(self, method: str = "GET") -> Reply:
        """Read one answer, or what there is of it."""
        got = Reply()
        async with asyncio.timeout(HANG):
            try:
                head = await self.reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode().split("\r\n")[:-2]
                got.status = int(first.split(" ")[1])
                got.headers = [tuple(line.split(": ", 1)) for line in lines]
                await self.read_body(got, method)
            except (asyncio.IncompleteReadError, ConnectionError) as error:
                got.body += getattr(error, "partial", b"")
        return got

    async def read_body(self, got: Reply, method: str) -> None:
        if method == "HEAD" or got.status in (204, 304):
            got.whole = True
        elif got.header("Transfer-Encoding") == "chunked":
            while size := int(await self.reader.readuntil(b"\r\n"), 16):
                got.body += (await self.reader.readexactly(size + 2))[:-2]
            await self.reader.readuntil(b"\r\n")
            got.whole = True
        else:
            length = int(got.header("Content-Length"))
            got.body = await self.reader.readexactly(length)
            got.whole = True


async def settled(condition) -> bool:
    """Wait until a condition holds; return whether it came to hold."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(HANG):
            while not condition():
                await asyncio.sleep(0.005)
    return condition()
