"""Experiment ``pipelining``: how long pipelined requests take, by depth."""

import asyncio
import typing

import aiohttp.base_protocol
import aiohttp.http

from rattanridge.measure import base
from rattanridge.platform import headers
from rattanridge.standin import fleet, upstream as upstreams

DEPTHS = (1, 4, 16)  # requests sent at once on a connection
DEFAULT_ROUNDS = 30  # of each depth
SERVICE = "archive"
WORK = 0.024  # seconds of one request
SLOTS = 13
DEADLINE_MS = 5000
TARGET_MS = 100.0  # target latency of the shortest kind of request
TARGET_DEPTH = 16


class Caller(asyncio.Protocol):
    """A connection that sends requests at once and notes when each answer ends."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.reader = aiohttp.base_protocol.BaseProtocol(self.loop)
        self.parser = aiohttp.http.HttpResponseParser(
            self.reader, self.loop, 65_536, read_until_eof=False
        )
        self.times: list[float] = []
        self.answered = asyncio.Event()
        self.expected = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # A connection over TCP has a transport that also writes.
        self.transport = typing.cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        messages, _, _ = self.parser.feed_data(data)
        now = self.loop.time()
        for message, _ in messages:
            if message.code != 200:
                raise RuntimeError(f"answered with status {message.code}, not 200")
            self.times.append(now)
        if len(self.times) >= self.expected:
            self.answered.set()

    async def send(self, data: bytes, count: int) -> list[float]:
        """Send requests at once; return the milliseconds until each answer."""
        self.times = []
        self.expected = count
        self.answered.clear()
        began = self.loop.time()
        self.transport.write(data * count)
        await self.answered.wait()
        return [(at - began) * 1000 for at in self.times]


@base.EXPERIMENTS.register("pipelining")
def measure(parameters: base.Parameters) -> base.Result:
    """Measure the latency of pipelined requests by depth.

    The baseline handles the requests of a connection one after the other.
    """
    figures = asyncio.run(run(parameters.seed, parameters.size or DEFAULT_ROUNDS))
    target = {f"depth{TARGET_DEPTH}_p99_ms": TARGET_MS}
    ok = all(figures[name] <= limit for name, limit in target.items())
    return base.Result("pipelining", parameters.seed, 1, figures, target, ok)


async def run(seed: int, rounds: int) -> dict[str, float]:
    """Return the percentiles at each depth, with early starts and without."""
    figures: dict[str, float] = {}
    async with fleet.Fleet(seed) as mesh:
        shape = upstreams.Shape(SERVICE, slots=SLOTS, work=WORK)
        await mesh.add("beside", "zone-a", shape)
        host = await mesh.add("apart", "zone-a", upstreams.Shape("other"))
        preset = fleet.make_preset("day", [SERVICE])
        await mesh.wait_applied(await mesh.put_preset(preset))
        await mesh.wait_endpoints()
        baseline = next(fleet.FREE_ADDRESSES)
        await host.node.ports.listen(host.node.entry.serve, baseline)
        addresses = {"": host.node.config.listen.callers, "sequential_": baseline}
        for prefix, address in addresses.items():
            for depth in DEPTHS:
                samples = await collect(address, depth, rounds)
                for name, fraction in (("p50", 0.5), ("p99", 0.99)):
                    value = round(base.percentile(samples, fraction), 1)
                    figures[f"{prefix}depth{depth}_{name}_ms"] = value
    return figures


async def collect(address: str, depth: int, rounds: int) -> list[float]:
    """Return the milliseconds of all answers; each round sends ``depth`` requests."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    transport, caller = await loop.create_connection(Caller, host, int(port))
    head = f"GET /{SERVICE}/entry HTTP/1.1\r\nHost: any\r\n"
    data = f"{head}{headers.DEADLINE}: {DEADLINE_MS}\r\n\r\n".encode()
    samples: list[float] = []
    for _ in range(rounds):
        samples.extend(await caller.send(data, depth))
    transport.close()
    return samples
