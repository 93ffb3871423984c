"""Experiment ``claims``: the cost of executing a request at most once."""

import asyncio
import time

import aiohttp

from rattanridge.measure import base
from rattanridge.standin import fleet, upstream as upstreams

DEFAULT_CALLS = 300  # of each kind
SERVICE = "payments"
# Per request: create the claim, write the outcome, remove the claim.
STORE_CALLS_TARGET = 3.0


@base.EXPERIMENTS.register("claims")
def measure(parameters: base.Parameters) -> base.Result:
    """Measure the latency and store calls that an idempotency key adds to a request."""
    figures = asyncio.run(run(parameters.seed, parameters.size or DEFAULT_CALLS))
    target = {"store_calls_per_request": STORE_CALLS_TARGET}
    ok = figures["store_calls_per_request"] <= STORE_CALLS_TARGET
    return base.Result("claims", parameters.seed, 1, figures, target, ok)


async def run(seed: int, calls: int) -> dict[str, float]:
    """Send requests without and with a key; return the figures.

    They go through a node that is not on the host of the upstream.
    """
    async with fleet.Fleet(seed) as mesh, aiohttp.ClientSession() as session:
        shape = upstreams.Shape(SERVICE, work=0.0)
        await mesh.add("beside", "zone-a", shape)
        host = await mesh.add("apart", "zone-a", upstreams.Shape("other"))
        preset = fleet.make_preset("day", [SERVICE])
        await mesh.wait_applied(await mesh.put_preset(preset))
        await mesh.wait_endpoints()
        url = f"http://{host.node.config.listen.callers}/{SERVICE}/pay"
        plain = [await send(session, url, {}) for _ in range(calls)]
        before = mesh.store.calls
        keyed = [
            await send(session, url, {upstreams.IDEMPOTENCY_KEY: f"k{number}"})
            for number in range(calls)
        ]
        # Outcomes of claims are written in the background: wait for the last ones.
        await asyncio.sleep(0.5)
        spent = mesh.store.calls - before
    return {
        "plain_p50_ms": round(base.percentile(plain, 0.5), 2),
        "keyed_p50_ms": round(base.percentile(keyed, 0.5), 2),
        "plain_p99_ms": round(base.percentile(plain, 0.99), 2),
        "keyed_p99_ms": round(base.percentile(keyed, 0.99), 2),
        "store_calls_per_request": round(spent / calls, 2),
    }


async def send(
    session: aiohttp.ClientSession, url: str, headers: dict[str, str]
) -> float:
    """Send a POST request; return its latency in ms.

    Raise ``RuntimeError`` if the status of the answer is not 200.
    """
    began = time.perf_counter()
    async with session.post(url, headers=headers) as response:
        await response.read()
        if response.status != 200:
            raise RuntimeError(
                f"POST {url} was answered with status {response.status}, expected 200"
            )
    return (time.perf_counter() - began) * 1000
