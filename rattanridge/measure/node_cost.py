"""Experiment ``node-cost``: CPU time, memory and store calls of one node."""

import asyncio
import collections.abc
import contextlib
import pathlib
import statistics
import tempfile
import typing

import aiohttp

from rattanridge.kernel import routes
from rattanridge.measure import base, node_processes, processes
from rattanridge.mesh import settings
from rattanridge.mesh.discovery import records
from rattanridge.platform import configs, headers
from rattanridge.standin import fleet, metadata, upstream as upstreams

SERVICE = "registry"
ENTRY, EXIT = "entry", "exit"  # names of the two nodes; calls go from one to the other
ROUTES = 800  # of the configuration, which has 123 kB
RECORDS = 88  # of other nodes
STARTS = 5
WARM_UP_REQUESTS = 300
DEFAULT_REQUESTS = 3000
PACED_REQUESTS = 200
PACED_RATE = 20.0  # requests per second, as each node of deployment A gets
CHANGES = 5
CHANGE_INTERVAL = 2.5  # seconds; above the time in which changes count as a storm
DEFAULT_IDLE_SECONDS = 20.0
# Each request is logged, as it is at the rate of a deployment: by default, a node
# drops lines beyond 20 per second.
LOG_LINES = 1_000_000


@base.EXPERIMENTS.register("node-cost")
def measure(parameters: base.Parameters) -> base.Result:
    """Measure the CPU time of a node per request, idle second, change of the
    configuration and start, its memory, and its store calls while nothing changes.

    ``size`` is the number of requests, ``seconds`` the duration without changes.
    """
    node_processes.compile_modules()
    figures = asyncio.run(
        run(
            parameters.size or DEFAULT_REQUESTS,
            parameters.seconds or DEFAULT_IDLE_SECONDS,
        )
    )
    return base.Result("node-cost", parameters.seed, 1, figures, {}, True)


async def run(requests: int, seconds: float) -> dict[str, float]:
    """Return all figures.

    :param seconds: duration of the measurement without requests and changes.
    """
    async with contextlib.AsyncExitStack() as stack:
        store = metadata.MetadataStore()
        await store.start()
        stack.push_async_callback(store.stop)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        directory = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        world = World(store, session, directory)
        stack.push_async_callback(world.stop)
        await world.fill_store()
        figures = await world.measure_starts()
        figures |= await world.measure_requests(requests)
        figures |= await world.measure_idle(seconds)
        figures |= await world.measure_changes(figures["idle_us_per_s"])
    return {name: round(value, 3) for name, value in figures.items()}


class World:
    """Two nodes, an upstream behind one of them, and the store's stand-in.

    :param directory: receives the files of the nodes.
    """

    def __init__(
        self,
        store: metadata.MetadataStore,
        session: aiohttp.ClientSession,
        directory: pathlib.Path,
    ):
        self.store = store
        self.session = session
        self.version = 0
        self.nodes = {
            name: node_processes.NodeProcess(config, directory)
            for name, config in make_settings(store.address).items()
        }
        self.running: list[node_processes.NodeProcess] = []
        config = self.nodes[EXIT].config
        self.upstream = upstreams.Upstream(
            upstreams.Shape(SERVICE, work=0.0), config.listen.heartbeats
        )

    async def stop(self) -> None:
        """Stop the nodes and the upstream."""
        for node in self.running:
            await node.kill()
        await self.upstream.stop()

    async def fill_store(self) -> None:
        """Write the configuration and the records of other nodes to the store."""
        await self.put_configuration()
        for number in range(RECORDS):
            record = make_record(number)
            name = f"other-{number:03}"
            await self.store.put(records.KIND, name, records.encode(record))

    async def put_configuration(self) -> None:
        """Write the next version of the configuration, which changes one route."""
        self.version += 1
        content = configs.encode(make_configuration(self.version))
        await self.store.put(configs.KIND, configs.NAME, content)

    async def measure_starts(self) -> dict[str, float]:
        """Return the cost of a start until the node is ready; leave both running."""
        await self.upstream.start(self.nodes[EXIT].config.upstream)
        await self.start(EXIT)
        spent = []
        for number in range(STARTS + 1):
            node = await self.start(ENTRY)
            spent.append(node.cpu_seconds())
            if number < STARTS:
                self.running.remove(node)
                await node.kill()
        # The first start reads the modules from disk.
        figures = {"start_cpu_ms": statistics.median(spent[1:]) * 1000}
        return figures | self.memory_figures("start")

    async def start(self, name: str) -> node_processes.NodeProcess:
        """Start a node and wait until it is ready."""
        base.print_progress(f"node-cost: start of {name}")
        node = self.nodes[name]
        await node.start()
        self.running.append(node)
        await node.wait_ready(self.session)
        return node

    def memory_figures(self, moment: str) -> dict[str, float]:
        """Return the memory of the nodes, named after the moment."""
        figures: dict[str, float] = {}
        for name, node in self.nodes.items():
            memory = node.memory()
            figures[f"{moment}_{name}_resident_mib"] = memory.resident
            figures[f"{moment}_{name}_anonymous_mib"] = memory.anonymous
            figures[f"{moment}_{name}_peak_mib"] = memory.peak
        return figures

    async def spend(self, work: collections.abc.Awaitable[object]) -> dict[str, float]:
        """Return the CPU seconds that each node spends during some work."""
        before = {name: node.cpu_seconds() for name, node in self.nodes.items()}
        await work
        return {
            name: node.cpu_seconds() - before[name] for name, node in self.nodes.items()
        }

    async def measure_requests(self, count: int) -> dict[str, float]:
        """Return the CPU time of a request at its entry and exit, and memory after.

        Requests follow each other at once; then they come at PACED_RATE, and the CPU
        time contains what a node does beside them.
        """
        base.print_progress("node-cost: requests")
        async with asyncio.timeout(processes.START_TIMEOUT):
            while not await self.request(0):
                await asyncio.sleep(processes.POLL_INTERVAL)
        await self.send(WARM_UP_REQUESTS, 0.0)
        figures: dict[str, float] = {}
        for kind, number, rate in (
            ("request", count, 0.0),
            ("paced_request", PACED_REQUESTS, PACED_RATE),
        ):
            spent = await self.spend(self.send(number, rate))
            for name, seconds in spent.items():
                figures[f"{name}_us_per_{kind}"] = seconds / number * 1e6
        return figures | self.memory_figures("requests")

    async def send(self, count: int, rate: float) -> None:
        """Send requests one after the other; raise ``RuntimeError`` if one fails.

        :param rate: requests per second; 0: as fast as they are answered.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        for number in range(count):
            if rate:
                await asyncio.sleep(began + number / rate - loop.time())
            if not await self.request(number):
                raise RuntimeError("a request was not answered with status 200")

    async def request(self, number: int) -> bool:
        """Send one request to the entry; return whether its status was 200."""
        address = self.nodes[ENTRY].config.listen.callers
        fields = {
            headers.ATTEMPT: f"a-{number:08x}",
            headers.DEADLINE: "5000",
            "Accept": "application/json",
            "X-Caller-Trace": "00-4bf92f3577b34da6a3ce929d0e0e4736-01",
        }
        url = f"http://{address}/{SERVICE}/crest/{number}"
        async with self.session.get(url, headers=fields) as response:
            await response.read()
            return response.status == 200

    async def measure_idle(self, seconds: float) -> dict[str, float]:
        """Return the cost per second while nothing changes; heartbeats only at exit."""
        base.print_progress("node-cost: idle")
        calls = self.store.calls
        spent = await self.spend(asyncio.sleep(seconds))
        made = (self.store.calls - calls) / len(self.nodes) / seconds
        return {
            "idle_us_per_s": spent[ENTRY] / seconds * 1e6,
            "idle_heartbeats_us_per_s": spent[EXIT] / seconds * 1e6,
            "idle_store_calls_per_s": made,
        }

    async def measure_changes(self, idle: float) -> dict[str, float]:
        """Return the cost of a change of the configuration.

        :param idle: microseconds of CPU time per second without changes.
        """
        base.print_progress("node-cost: changes")
        calls = self.store.calls
        spent = await self.spend(self.change())
        idle_seconds = idle / 1e6 * CHANGE_INTERVAL
        change = max(spent[ENTRY] / CHANGES - idle_seconds, 0.0)
        made = (self.store.calls - calls) / len(self.nodes) / CHANGES
        return {"change_cpu_ms": change * 1000, "change_store_calls": made}

    async def change(self) -> None:
        """Change the configuration ``CHANGES`` times."""
        for _ in range(CHANGES):
            await self.put_configuration()
            await asyncio.sleep(CHANGE_INTERVAL)


def make_settings(store: str) -> dict[str, settings.Settings]:
    """Return the settings of the nodes, by name; only the exit has an upstream."""
    common: dict[str, typing.Any] = {
        "store": store,
        "limits": settings.Limits(log_lines=LOG_LINES),
    }
    return {
        ENTRY: processes.make_settings(ENTRY, service="caller", **common),
        EXIT: processes.make_settings(EXIT, service=SERVICE, **common),
    }


def make_record(number: int) -> records.Record:
    """Return the record of another node, of a service that gets no requests."""
    return records.Record(
        hop=f"{fleet.LOOPBACK}:{number + 1}",
        zone=f"zone-{number % 3}",
        service=f"service-{number % 4}",
        endpoint=f"i-{number:010x}",
        incarnation=1_700_000_000_000 + number,
        version="v1",
        slots=9,
        state=records.READY,
    )


def make_configuration(version: int) -> routes.Configuration:
    """Return a configuration; versions differ in the timeout of one route."""
    share = (routes.Share(SERVICE, 1),)
    found = [
        routes.Route(
            name=f"route-{number:04}",
            host=f"host-{number % 8}.example",
            prefix=f"/a-{number:04}/",
            idempotent=True,
            timeout=5.0 + (version / 1000 if number == 0 else 0.0),
            target_latency=1.0,
            priority=number % 3,
            attempts=3,
            shares=share,
        )
        for number in range(ROUTES - 1)
    ]
    found.append(
        routes.Route(
            name=SERVICE,
            host=routes.ANY_HOST,
            prefix=f"/{SERVICE}/",
            idempotent=True,
            timeout=5.0,
            target_latency=1.0,
            priority=0,
            attempts=3,
            shares=share,
        )
    )
    services = {SERVICE: routes.Service(SERVICE)}
    return routes.Configuration(version, routes.group_by_host(found), services)
