"""Helpers of several test modules: a fleet kept over many tests, and raw HTTP."""

import asyncio
import contextlib

from rattanridge.admin import server
from rattanridge.standin import fleet, upstream as upstreams
from rattanridge.web import streams

RESPONSE_TIMEOUT = 20.0  # seconds after which a port counts as hanging


class Bench:
    """A fleet of one host with the service ``workshop``, on its own event loop.

    :param runner: runs coroutines on the fleet's loop, one at a time.
    """

    def __init__(self, runner: asyncio.Runner):
        self.runner = runner
        self.fleet = fleet.Fleet()
        self.run = runner.run

    @property
    def host(self) -> fleet.Host:
        return self.fleet.hosts["one"]

    async def start(self) -> None:
        await self.fleet.__aenter__()
        shape = upstreams.Shape("workshop", work=0.0)
        host = await self.fleet.add("one", "zone-a", shape)
        listen = host.node.config.listen
        await host.node.ports.listen(server.Server(host.node).serve, listen.admin)
        preset = fleet.make_preset("day", ["workshop"])
        await self.fleet.wait_applied(await self.fleet.put_preset(preset))
        await self.fleet.wait_endpoints()


@contextlib.contextmanager
def running():
    """Start a bench and yield it; stop it at the end."""
    with asyncio.Runner() as runner:
        bench = Bench(runner)
        runner.run(bench.start())
        try:
            yield bench
        finally:
            runner.run(bench.fleet.stop())


async def exchange(address: str, data: bytes, half_close: bool = False) -> bytes:
    """Send raw bytes to ``host:port``; return the bytes received until it closes.

    Return empty bytes if the connection breaks.

    :param half_close: whether to close the sending side after the data, as a caller
        that breaks off does.
    """
    async with streams.connect(address) as (reader, writer):
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT):
                writer.write(data)
                if half_close:
                    writer.write_eof()
                return await reader.read()
        except ConnectionError:
            return b""


def status_of(response: bytes) -> int:
    """Return the HTTP status of a raw response; 0 if there is none."""
    parts = response.split(b" ", 2)
    return int(parts[1]) if len(parts) == 3 else 0


def header_of(response: bytes, name: str) -> str:
    """Return the value of a header of a raw response; empty if it is absent."""
    for line in response.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]:
        field, _, value = line.partition(b":")
        if field.decode("latin-1").lower() == name.lower():
            return value.decode("latin-1").strip()
    return ""
