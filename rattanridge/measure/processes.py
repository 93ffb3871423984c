"""A small mesh of separate processes: store, nodes, upstreams and forwarders.

Each component runs in a process of its own, so that it does not share the event loop
of the process that measures.
"""

import asyncio
import dataclasses
import multiprocessing
import multiprocessing.connection
import multiprocessing.context
import os
import pathlib
import typing

import aiohttp
import aiohttp.web

from rattanridge.admin import presets as preset_store
from rattanridge.mesh import node as nodes, settings
from rattanridge.platform import store as stores
from rattanridge.standin import fleet, metadata, upstream as upstreams

START_TIMEOUT = 30.0  # seconds
STOP_TIMEOUT = 5.0  # seconds
POLL_INTERVAL = 0.01  # seconds

SPAWN = multiprocessing.get_context("spawn")


class Component(typing.Protocol):
    """Server that one process runs."""

    async def start(self) -> str:
        """Start the server; return its address ``host:port``."""
        ...


@dataclasses.dataclass(slots=True)
class StoreComponent:
    """Stand-in of the store, with one preset in force.

    :param services: names of the services that the preset has routes to.
    :param server: the running stand-in; None before the start.
    """

    services: list[str]
    server: metadata.MetadataStore | None = None

    async def start(self) -> str:
        """Start the stand-in and put the preset in force; return its address."""
        self.server = metadata.MetadataStore()
        await self.server.start()
        store = stores.Store(self.server.address)
        operations = preset_store.Presets(store)
        preset = fleet.make_preset("day", self.services)
        await operations.put("day", fleet.preset_text(preset), "olga")
        await operations.use("day", "olga")
        await store.close()
        return self.server.address


@dataclasses.dataclass(slots=True)
class NodeComponent:
    """A node, without its upstream.

    :param config: settings of the node.
    :param node: the running node; None before the start.
    """

    config: settings.Settings
    node: nodes.Node | None = None

    async def start(self) -> str:
        """Start the node; return the address of its listener for callers."""
        self.node = nodes.Node(self.config)
        await self.node.start()
        return self.config.listen.callers


@dataclasses.dataclass(slots=True)
class UpstreamComponent:
    """Stand-in of an upstream.

    :param shape: service and capacity of the upstream.
    :param address: ``host:port`` to listen at.
    :param node: ``host:port`` to which heartbeats are sent; empty for an upstream
        that is only called directly.
    :param running: the running upstream; None before the start.
    """

    shape: upstreams.Shape
    address: str
    node: str = ""
    running: upstreams.Upstream | None = None

    async def start(self) -> str:
        """Start the upstream; return its address."""
        self.running = upstreams.Upstream(self.shape, self.node)
        await self.running.start(self.address)
        return self.running.address


@dataclasses.dataclass(slots=True)
class ForwarderComponent:
    """Plain HTTP forwarder, built on the same HTTP library as a node.

    It makes no decisions, so its latency is the minimum that the transport adds.

    :param target: ``host:port`` to forward to.
    :param session: session for the forwarded requests, from the start on.
    """

    target: str
    session: aiohttp.ClientSession = dataclasses.field(init=False)

    async def start(self) -> str:
        """Start the forwarder on a free port; return its address."""
        self.session = aiohttp.ClientSession(auto_decompress=False)
        server = aiohttp.web.Server(self.forward, access_log=None)
        runner = aiohttp.web.ServerRunner(server)
        await runner.setup()
        await aiohttp.web.TCPSite(runner, fleet.LOOPBACK, 0).start()
        return f"{fleet.LOOPBACK}:{runner.addresses[0][1]}"

    async def forward(
        self, request: aiohttp.web.BaseRequest
    ) -> aiohttp.web.StreamResponse:
        """Forward a request without its headers and body; return status and body."""
        url = f"http://{self.target}{request.raw_path}"
        async with self.session.request(request.method, url) as response:
            return aiohttp.web.Response(
                status=response.status, body=await response.read()
            )


def run_component(
    component: Component, pipe: multiprocessing.connection.Connection
) -> None:
    """Run a component until the pipe closes.

    This is the main function of a process. It sends the component's address over the
    pipe after the start.
    """

    async def run() -> None:
        pipe.send(await component.start())
        loop = asyncio.get_running_loop()
        closed = asyncio.Event()
        loop.add_reader(pipe.fileno(), closed.set)
        await closed.wait()

    asyncio.run(run())


class ProcessGroup:
    """Starts components in processes of their own and stops them on exit."""

    def __init__(self) -> None:
        self.started: list[
            tuple[
                multiprocessing.context.SpawnProcess,
                multiprocessing.connection.Connection,
            ]
        ] = []

    def cpu_seconds(self) -> list[float]:
        """Return the CPU seconds used so far by each process, in order of start."""
        return [read_cpu_seconds(pid) for pid in self.process_ids()]

    def memory_kib(self) -> list[float]:
        """Return the private memory of each process in KiB, in order of start."""
        return [read_memory_kib(pid) for pid in self.process_ids()]

    def process_ids(self) -> list[int]:
        """Return the id of each process, in order of start."""
        return [process.pid for process, _ in self.started if process.pid is not None]

    async def __aenter__(self) -> "ProcessGroup":
        return self

    async def __aexit__(self, *error: object) -> None:
        for process, pipe in self.started:
            pipe.close()
            process.terminate()
        for process, _ in self.started:
            await asyncio.to_thread(process.join, STOP_TIMEOUT)
            if process.is_alive():
                process.kill()

    async def start(self, component: Component) -> str:
        """Start a component; return its address ``host:port``.

        Raise ``TimeoutError`` if it does not start within ``START_TIMEOUT``.
        """
        parent_end, child_end = SPAWN.Pipe()
        process = SPAWN.Process(
            target=run_component, args=(component, child_end), daemon=True
        )
        process.start()
        child_end.close()
        self.started.append((process, parent_end))
        if not await asyncio.to_thread(parent_end.poll, START_TIMEOUT):
            raise TimeoutError(
                f"{type(component).__name__} did not start within {START_TIMEOUT:.0f} s"
            )
        return parent_end.recv()


def read_memory_kib(pid: int) -> float:
    """Return the anonymous resident memory of a process in KiB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return float(line.split()[1])
    return 0.0


def read_cpu_seconds(pid: int) -> float:
    """Return the user and system CPU time of a process in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    user, system = text.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def make_settings(
    name: str, store: str, service: str, zone: str = "zone-a", **more: typing.Any
) -> settings.Settings:
    """Return the settings of a node; ``more`` sets further fields."""
    addresses = [next(fleet.FREE_ADDRESSES) for _ in range(6)]
    return settings.Settings(
        name=name,
        zone=zone,
        service=service,
        upstream=addresses.pop(),
        store=store,
        listen=settings.Listen(*addresses),
        **more,
    )
