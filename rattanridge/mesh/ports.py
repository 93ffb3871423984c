"""The HTTP ports of a node: listening, requests in progress, and closing."""

import asyncio

import aiohttp.web

from rattanridge.kernel import addresses, codes
from rattanridge.mesh import events, settings
from rattanridge.web import pipelining, server as servers

BACKLOG = 512  # connections that wait to be accepted
# Seconds for the HTTP library to cancel handlers; what may end has ended before.
CANCEL_TIMEOUT = 0.01


class Ports:
    """All HTTP ports of one node.

    :param config: the node's settings.
    """

    def __init__(
        self, config: settings.Settings, meters: events.Meters, log: events.Events
    ):
        self.config = config
        self.meters = meters
        self.log = log
        self.servers: list[servers.Server] = []
        self.runners: list[aiohttp.web.ServerRunner] = []

    async def listen(
        self,
        handler: servers.Handler,
        address: str,
        pipeline: pipelining.Pipeline | None = None,
    ) -> None:
        """Serve HTTP at ``host:port``; raise ``cannot-listen`` if that fails.

        :param pipeline: decides which pipelined requests start early.
        """
        host, _, port = address.rpartition(":")
        served = servers.Server(handler, self.config, self.meters, self.log, pipeline)
        runner = aiohttp.web.ServerRunner(served, shutdown_timeout=CANCEL_TIMEOUT)
        await runner.setup()
        self.servers.append(served)
        self.runners.append(runner)
        site = aiohttp.web.TCPSite(runner, host, int(port), backlog=BACKLOG)
        try:
            await site.start()
        except OSError as error:
            where = addresses.join_host_port(host, int(port))
            raise codes.Failure(codes.CANNOT_LISTEN, error.strerror or "", where=where)

    def busy_connections(self) -> int:
        """Return how many connections have a request or an answer in progress."""
        return sum(served.busy_connections() for served in self.servers)

    async def stop_listening(self) -> None:
        """Accept no new connections; requests on open ones are still answered."""
        for runner in self.runners:
            for site in list(runner.sites):
                await site.stop()

    async def close(self) -> None:
        """Close all connections; requests that are still in progress are cut."""
        await asyncio.gather(*(runner.cleanup() for runner in self.runners))
