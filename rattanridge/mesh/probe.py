"""Probe of the local upstream after connections to it have broken."""

import asyncio
import collections.abc

from rattanridge.kernel import codes
from rattanridge.mesh import connections, upstream as upstreams

DELAY = 0.05  # seconds from a broken connection to the probe of the upstream


class Probe:
    """Opens one connection to the upstream, however many connections broke.

    :param pool: gets the connection for the next request.
    :param record_unreachable: called if the upstream accepts no connection.
    """

    def __init__(
        self,
        upstream: upstreams.Upstream,
        pool: connections.Pool,
        record_unreachable: collections.abc.Callable[[codes.Failure], None],
    ):
        self.upstream = upstream
        self.pool = pool
        self.record_unreachable = record_unreachable
        self.task: asyncio.Task | None = None

    def schedule(self) -> None:
        """Schedule a probe, unless one is in progress."""
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self.run())

    async def run(self) -> None:
        """Open a connection to the upstream and keep it for the next request."""
        await asyncio.sleep(DELAY)
        address = self.upstream.address
        try:
            connection = await self.pool.connect(address, connections.CONNECT_TIMEOUT)
        except codes.Failure as failure:
            self.record_unreachable(failure)
            return
        self.pool.add_idle(address, connection)
