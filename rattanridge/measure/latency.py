"""``added-latency``: what the mesh adds to a call, against no mesh."""

import asyncio
import time

import aiohttp

from rattanridge.measure import base, fleet
from rattanridge.standin import upstream as upstreams

TARGET_MS = 1.8
SECONDS = 30.0
RATES = (1, 70, 300)  # calls a second
SERVICE = "registry"


@base.EXPERIMENTS.register("added-latency")
def measure(parameters: base.Parameters) -> base.Result:
    """Time paced calls straight to the upstream, over one node and over two."""
    seconds = parameters.seconds or SECONDS
    figures = asyncio.run(run(parameters.seed, seconds))
    target = {name: TARGET_MS for name in figures if name.endswith("added_p99_ms")}
    ok = all(figures[name] <= limit for name, limit in target.items())
    return base.Result("added-latency", parameters.seed, 1, figures, target, ok)


async def run(seed: int, seconds: float) -> dict[str, float]:
    """Start the hosts and compare the ways; return the figures."""
    async with fleet.Fleet(seed) as running:
        shape = upstreams.Shape(SERVICE, slots=12, work=0.0)
        beside = await running.add("beside", "zone-a", shape)
        apart = await running.add("apart", "zone-a")
        generation = await running.put_preset(fleet.make_preset("day", [SERVICE]))
        await running.wait_applied(generation)
        await running.wait_endpoints()
        urls = {
            "direct": f"http://127.0.0.1:{beside.upstream.port}",
            "local": beside.node.caller_url,
            "two_hop": apart.node.caller_url,
        }
        return await compare(urls, seconds)


async def compare(urls: dict[str, str], seconds: float) -> dict[str, float]:
    """Interleave the ways at each rate, so that noise hits all alike."""
    figures: dict[str, float] = {}
    part = seconds / len(RATES)
    async with aiohttp.ClientSession() as session:
        for rate in RATES:
            base.progress(f"added-latency: {rate} calls a second")
            samples = await sample(session, urls, rate, part)
            add_figures(figures, rate, samples)
    return figures


async def sample(
    session: aiohttp.ClientSession, urls: dict[str, str], rate: int, seconds: float
) -> dict[str, list[float]]:
    """Return milliseconds of each way's calls; the ways take turns."""
    samples: dict[str, list[float]] = {way: [] for way in urls}
    for url in urls.values():
        await call(session, url)
    for _ in range(max(int(seconds * rate / len(urls)), 3)):
        for way, url in urls.items():
            began = time.perf_counter()
            await call(session, url)
            spent = time.perf_counter() - began
            samples[way].append(spent * 1000)
            await asyncio.sleep(max(1 / rate - spent, 0))
    return samples


async def call(session: aiohttp.ClientSession, url: str) -> None:
    """Make one call and read its answer."""
    async with session.get(f"{url}/{SERVICE}/crest/17") as response:
        await response.read()
        response.raise_for_status()


def add_figures(
    figures: dict[str, float], rate: int, samples: dict[str, list[float]]
) -> None:
    """Add percentiles of each way, and what the mesh adds to them."""
    for name, part in (("p50", 0.5), ("p99", 0.99), ("p999", 0.999)):
        direct = base.percentile(samples["direct"], part)
        figures[f"rate{rate}_direct_{name}_ms"] = round(direct, 3)
        for way in ("local", "two_hop"):
            value = base.percentile(samples[way], part)
            figures[f"rate{rate}_{way}_added_{name}_ms"] = round(value - direct, 3)
