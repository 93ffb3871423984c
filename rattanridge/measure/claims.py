"""``claims``: what running a request at most once costs."""

import asyncio
import time

import aiohttp

from rattanridge.measure import base
from rattanridge.standin import fleet, upstream as upstreams

CALLS = 300
SERVICE = "payments"
WRITES_TARGET = 3.0  # for one request: create, outcome, removal


@base.EXPERIMENTS.register("claims")
def measure(parameters: base.Parameters) -> base.Result:
    """Compare requests with an idempotency key with those without one: time, and
    calls to the store."""
    figures = asyncio.run(run(parameters.seed, parameters.size or CALLS))
    target = {"store_calls_per_request": WRITES_TARGET}
    ok = figures["store_calls_per_request"] <= WRITES_TARGET
    return base.Result("claims", parameters.seed, 1, figures, target, ok)


async def run(seed: int, calls: int) -> dict[str, float]:
    """Send both kinds of requests through a node that is not beside the upstream."""
    async with fleet.Fleet(seed) as running, aiohttp.ClientSession() as session:
        shape = upstreams.Shape(SERVICE, work=0.0)
        await running.add("beside", "zone-a", shape)
        host = await running.add("apart", "zone-a", upstreams.Shape("other"))
        preset = fleet.make_preset("day", [SERVICE])
        await running.wait_applied(await running.put_preset(preset))
        await running.wait_endpoints()
        url = f"http://{host.node.config.listen.callers}/{SERVICE}/pay"
        plain = [await send(session, url, {}) for _ in range(calls)]
        before = running.store.calls
        keyed = [
            await send(session, url, {upstreams.KEY: f"k{number}"})
            for number in range(calls)
        ]
        await asyncio.sleep(0.5)
        spent = running.store.calls - before
    return {
        "plain_p50_ms": round(base.percentile(plain, 0.5), 2),
        "keyed_p50_ms": round(base.percentile(keyed, 0.5), 2),
        "plain_p99_ms": round(base.percentile(plain, 0.99), 2),
        "keyed_p99_ms": round(base.percentile(keyed, 0.99), 2),
        "store_calls_per_request": round(spent / calls, 2),
    }


async def send(
    session: aiohttp.ClientSession, url: str, marks: dict[str, str]
) -> float:
    """Send one request; return its milliseconds."""
    began = time.perf_counter()
    async with session.post(url, headers=marks) as response:
        await response.read()
        if response.status != 200:
            raise RuntimeError(f"a request was answered {response.status}")
    return (time.perf_counter() - began) * 1000
