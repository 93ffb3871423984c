"""Experiment ``added-latency``: the latency that the mesh adds to a direct call."""

import asyncio
import contextlib
import random
import time

import aiohttp

from rattanridge.measure import base, processes
from rattanridge.standin import upstream as upstreams
from rattanridge.web import streams

TARGET_MS = 1.8  # added at the 99th percentile
DEFAULT_SECONDS = 18.0
RATES = (1, 70, 300)  # calls per second, on one path at a time
SERVICE = "registry"
# Names of the call paths, used in figures. "direct" calls the upstream without the
# mesh, "local" the node of the upstream, "two_hop" a node that forwards to that node,
# and "bare_two_hop" two plain forwarders in a row.
PATHS = ("direct", "local", "two_hop", "bare_two_hop")
NODES = ("beside", "apart")  # in order of start, directly after the store
COST_CALLS = 1500  # per path, to measure CPU time
CONNECTIONS = 500  # idle connections, to measure their memory
BLOCKS = 6  # per path and rate; the paths alternate, so that noise affects all alike
WARM_UP_CALLS = 200  # per path
PERCENTILES = (("p50", 0.5), ("p99", 0.99), ("p999", 0.999))


@base.EXPERIMENTS.register("added-latency")
def measure(parameters: base.Parameters) -> base.Result:
    """Measure the latency that one node and two nodes add to a direct call.

    Each node is a process of its own. Two plain forwarders show the latency that the
    transport alone adds. CPU time per call and memory are measured too.
    """
    seconds = parameters.seconds or DEFAULT_SECONDS
    figures = asyncio.run(run(parameters.seed, seconds))
    target = {
        f"rate{rate}_{path}_added_p99_ms": TARGET_MS
        for rate in RATES
        for path in ("local", "two_hop")
    }
    ok = all(figures[name] <= limit for name, limit in target.items())
    return base.Result("added-latency", parameters.seed, 1, figures, target, ok)


async def run(seed: int, seconds: float) -> dict[str, float]:
    """Start the processes, measure each rate, CPU time and memory; return the figures.

    :param seconds: duration of the latency measurement, divided among the rates.
    """
    figures: dict[str, float] = {}
    async with processes.ProcessGroup() as group, aiohttp.ClientSession() as session:
        addresses = await start_mesh(group)
        await warm_up(session, addresses)
        rng = random.Random(seed)
        for rate in RATES:
            base.print_progress(f"added-latency: {rate} calls per second")
            samples = await collect_samples(
                session, addresses, rate, seconds / len(RATES), rng
            )
            add_figures(figures, rate, samples)
        figures |= await measure_cpu_time(group, session, addresses)
        figures |= await measure_memory(group, addresses)
    return figures


async def start_mesh(group: processes.ProcessGroup) -> dict[str, str]:
    """Start a store, two nodes, an upstream and two forwarders.

    Return the address ``host:port`` at which each path begins.
    """
    store = await group.start(processes.StoreComponent([SERVICE]))
    configs = [
        processes.make_settings("beside", store, SERVICE),
        processes.make_settings("apart", store, "caller"),
    ]
    nodes = [await group.start(processes.NodeComponent(config)) for config in configs]
    shape = upstreams.Shape(SERVICE, slots=12, work=0.0)
    local = configs[0]
    upstream = await group.start(
        processes.UpstreamComponent(shape, local.upstream, local.listen.heartbeats)
    )
    inner = await group.start(processes.ForwarderComponent(upstream))
    outer = await group.start(processes.ForwarderComponent(inner))
    return dict(zip(PATHS, [upstream, *nodes, outer], strict=True))


async def warm_up(session: aiohttp.ClientSession, addresses: dict[str, str]) -> None:
    """Call each path until it succeeds, and then ``WARM_UP_CALLS`` times.

    The first calls fail until the nodes have read the configuration and the endpoint.
    """
    async with asyncio.timeout(processes.START_TIMEOUT):
        for address in addresses.values():
            while not await call(session, address):
                await asyncio.sleep(processes.POLL_INTERVAL)
    for address in addresses.values():
        for _ in range(WARM_UP_CALLS):
            await call(session, address)


async def measure_cpu_time(
    group: processes.ProcessGroup,
    session: aiohttp.ClientSession,
    addresses: dict[str, str],
) -> dict[str, float]:
    """Return the CPU time in microseconds that a call takes at each node."""
    figures: dict[str, float] = {}
    for path in PATHS[1:3]:
        before = group.cpu_seconds()
        for _ in range(COST_CALLS):
            await call(session, addresses[path])
        after = group.cpu_seconds()
        for name in NODES:
            index = 1 + NODES.index(name)
            spent = (after[index] - before[index]) / COST_CALLS
            figures[f"{path}_{name}_us_per_call"] = round(spent * 1e6)
    return figures


async def measure_memory(
    group: processes.ProcessGroup, addresses: dict[str, str]
) -> dict[str, float]:
    """Return the memory of a node, and of one idle connection to it.

    Both are read in KiB: ``node_memory_mb`` is in units of 1000 KiB,
    ``idle_connection_kb`` in KiB.
    """
    index = 1 + NODES.index("beside")
    before = group.memory_kib()[index]
    request = f"GET /{SERVICE}/crest/17 HTTP/1.1\r\nHost: x\r\n\r\n".encode()
    async with contextlib.AsyncExitStack() as connections:
        for _ in range(CONNECTIONS):
            reader, writer = await connections.enter_async_context(
                streams.connect(addresses["local"])
            )
            writer.write(request)
            await reader.readuntil(b"\r\n\r\n")
        after = group.memory_kib()[index]
    return {
        "node_memory_mb": round(before / 1000, 1),
        "idle_connection_kb": round((after - before) / CONNECTIONS, 1),
    }


async def collect_samples(
    session: aiohttp.ClientSession,
    addresses: dict[str, str],
    rate: int,
    seconds: float,
    rng: random.Random,
) -> dict[str, list[float]]:
    """Call the paths in alternating blocks; return the latencies in ms by path.

    :param rate: calls per second.
    :param seconds: duration of all blocks together.
    """
    samples: dict[str, list[float]] = {path: [] for path in addresses}
    block = seconds / len(addresses) / BLOCKS
    for _ in range(BLOCKS):
        for path, address in addresses.items():
            samples[path] += await generate_load(session, address, rate, block, rng)
    return samples


async def generate_load(
    session: aiohttp.ClientSession,
    address: str,
    rate: int,
    seconds: float,
    rng: random.Random,
) -> list[float]:
    """Start calls at random intervals; return their latencies in ms.

    The load is open-loop: a call does not wait until earlier ones have ended. An
    interval is at most twice the mean. At least one call is made.

    :param rate: calls per second.
    :param seconds: duration in which calls are started.
    """
    loop = asyncio.get_running_loop()
    tasks: list[asyncio.Task] = []
    due = loop.time()
    end = due + seconds
    while True:
        due += min(rng.expovariate(rate), 2 / rate)
        if due > end and tasks:
            break
        await asyncio.sleep(due - loop.time())
        tasks.append(loop.create_task(time_call(session, address)))
    return await asyncio.gather(*tasks)


async def time_call(session: aiohttp.ClientSession, address: str) -> float:
    """Make one call; return its latency in ms.

    Raise ``RuntimeError`` if the call fails.
    """
    began = time.perf_counter()
    if not await call(session, address):
        raise RuntimeError(
            "a call of the latency measurement was not answered with status 200"
        )
    return (time.perf_counter() - began) * 1000


async def call(session: aiohttp.ClientSession, address: str) -> bool:
    """Make one call; return whether it was answered with status 200."""
    async with session.get(f"http://{address}/{SERVICE}/crest/17") as response:
        await response.read()
        return response.status == 200


def add_figures(
    figures: dict[str, float], rate: int, samples: dict[str, list[float]]
) -> None:
    """Add percentiles of direct calls, and what each other path adds to them."""
    figures[f"rate{rate}_calls"] = len(samples["direct"])
    for name, fraction in PERCENTILES:
        direct = base.percentile(samples["direct"], fraction)
        figures[f"rate{rate}_direct_{name}_ms"] = round(direct, 3)
        for path in PATHS[1:]:
            value = base.percentile(samples[path], fraction)
            figures[f"rate{rate}_{path}_added_{name}_ms"] = round(value - direct, 3)
