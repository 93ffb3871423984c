"""A small mesh as plain processes: platform, nodes and upstreams, one each.

The measuring process starts them, so that they do not share its event loop.
"""

import asyncio
import dataclasses
import multiprocessing
import multiprocessing.connection
import os
import pathlib
import typing

import aiohttp
import aiohttp.web

from rattanridge import node as nodes
from rattanridge.kernel import presets, settings, snapshot
from rattanridge.measure import fleet
from rattanridge.standin import platform as platforms, upstream as upstreams

START_LIMIT = 30.0  # seconds
STOP_LIMIT = 5.0  # seconds
STEP = 0.01  # seconds between looks

SPAWN = multiprocessing.get_context("spawn")


@dataclasses.dataclass(slots=True)
class Urls:
    """Where a process listens; what it does not have is empty."""

    main: str
    local: str = ""


class Part(typing.Protocol):
    """What one process runs."""

    async def start(self) -> Urls: ...


@dataclasses.dataclass(slots=True)
class PlatformPart:
    """The platform's stand-in with one preset in force."""

    preset: presets.Preset
    served: platforms.Platform | None = None

    async def start(self) -> Urls:
        self.served = platforms.Platform(1)
        return Urls(await self.served.start())


@dataclasses.dataclass(slots=True)
class NodePart:
    """One node that knows the preset and subscribes as usual.

    :param endpoints: number of endpoints to wait for.
    """

    config: settings.NodeSettings
    preset: presets.Preset
    running: nodes.Node | None = None

    async def start(self) -> Urls:
        self.running = nodes.Node(self.config)
        await self.running.start()
        self.running.state.swap(snapshot.build(1, snapshot.split(self.preset, 1)))
        nodes.settle_memory()
        return Urls(self.running.caller_url, self.running.local_url)


@dataclasses.dataclass(slots=True)
class UpstreamPart:
    """One upstream; without a node it is called directly."""

    shape: upstreams.Shape
    node: str = ""
    running: upstreams.Upstream | None = None

    async def start(self) -> Urls:
        self.running = upstreams.Upstream(self.shape, self.node)
        await self.running.start()
        return Urls(f"http://127.0.0.1:{self.running.port}")


@dataclasses.dataclass(slots=True)
class ForwarderPart:
    """A bare forwarder of the HTTP library, without any decision: the floor.

    :param target: base URL to forward to.
    """

    target: str
    session: aiohttp.ClientSession | None = None
    runner: aiohttp.web.ServerRunner | None = None

    async def start(self) -> Urls:
        self.session = aiohttp.ClientSession(auto_decompress=False)
        served = aiohttp.web.Server(self.forward, access_log=None)
        self.runner = aiohttp.web.ServerRunner(served)
        await self.runner.setup()
        await aiohttp.web.TCPSite(self.runner, "127.0.0.1", 0).start()
        nodes.settle_memory()
        host, port = self.runner.addresses[0][:2]
        return Urls(f"http://{host}:{port}")

    async def forward(
        self, request: aiohttp.web.BaseRequest
    ) -> aiohttp.web.StreamResponse:
        url = f"{self.target}{request.raw_path}"
        async with self.session.request(request.method, url) as got:
            return aiohttp.web.Response(status=got.status, body=await got.read())


def work(part: Part, pipe: multiprocessing.connection.Connection) -> None:
    """Run a part until the pipe closes; the body of a process."""

    async def run() -> None:
        pipe.send(await part.start())
        loop = asyncio.get_running_loop()
        ended = asyncio.Event()
        loop.add_reader(pipe.fileno(), ended.set)
        await ended.wait()

    asyncio.run(run())


class Processes:
    """Starts parts as processes, and ends them."""

    def __init__(self):
        self.started: list[tuple[multiprocessing.Process, object]] = []

    def processor(self) -> list[float]:
        """Return the processor seconds that each process used so far."""
        return [read_processor(process.pid) for process, _ in self.started]

    def memory(self) -> list[float]:
        """Return the private memory of each process in kB."""
        return [read_memory(process.pid) for process, _ in self.started]

    async def __aenter__(self) -> "Processes":
        return self

    async def __aexit__(self, *error: object) -> None:
        for process, pipe in self.started:
            pipe.close()
            process.terminate()
        for process, _ in self.started:
            await asyncio.to_thread(process.join, STOP_LIMIT)
            if process.is_alive():
                process.kill()

    async def start(self, part: Part) -> Urls:
        """Start a part; return where it listens."""
        ours, theirs = SPAWN.Pipe()
        process = SPAWN.Process(target=work, args=(part, theirs), daemon=True)
        process.start()
        theirs.close()
        self.started.append((process, ours))
        if not await asyncio.to_thread(ours.poll, START_LIMIT):
            raise TimeoutError(f"{type(part).__name__} did not start")
        return ours.recv()


def read_memory(number: int) -> float:
    """Return a process's private memory in kB."""
    for line in pathlib.Path(f"/proc/{number}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return float(line.split()[1])
    return 0.0


def read_processor(number: int) -> float:
    """Return a process's user and system seconds."""
    text = pathlib.Path(f"/proc/{number}/stat").read_text()
    user, system = text.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def make_settings(name: str, platform: str, **more: object) -> settings.NodeSettings:
    """Return a node's settings for a measurement."""
    return settings.NodeSettings(
        name=name, zone="zone-a", platform=[platform], key=fleet.KEY, **more
    )
