"""The HTTP ports of a node: listening, requests in progress, and closing."""

import asyncio

from rattanridge.kernel import addresses, codes
from rattanridge.mesh import events, settings
from rattanridge.web import memory, pipelining, progress, server as servers

BACKLOG = 512  # connections that wait to be accepted
# Seconds for the HTTP library to cancel handlers; what may end has ended before.
CANCEL_TIMEOUT = 0.01


class Port:
    """One HTTP port.

    :param served: handles its connections.
    :param listener: accepts them; None once the port is closed to new ones.
    """

    def __init__(self, served: servers.Server, listener: asyncio.Server):
        self.served = served
        self.listener: asyncio.Server | None = listener

    def stop_listening(self) -> None:
        """Accept no new connections; requests on open ones are still answered."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    async def close(self) -> None:
        """Close all connections; requests that are still in progress are cut."""
        self.stop_listening()
        # Requests that have arrived are started, so that they are counted as cut.
        await asyncio.sleep(0)
        self.served.pre_shutdown()
        await self.served.shutdown(CANCEL_TIMEOUT)


class Ports:
    """All HTTP ports of one node.

    :param config: the node's settings.
    :param memory_budget: limits the bytes that the node holds in memory.
    """

    def __init__(
        self,
        config: settings.Settings,
        memory_budget: memory.MemoryBudget,
        meters: events.Meters,
        log: events.Events,
    ):
        self.config = config
        self.memory_budget = memory_budget
        self.watch = progress.Watch(memory_budget, config.limits)
        self.meters = meters
        self.log = log
        self.ports: list[Port] = []

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
        served = servers.Server(
            handler, self.config, self.meters, self.log, pipeline, self.memory_budget
        )
        loop = asyncio.get_running_loop()
        try:
            listener = await loop.create_server(
                served, host, int(port), backlog=BACKLOG
            )
        except OSError as error:
            where = addresses.join_host_port(host, int(port))
            raise codes.Failure(codes.CANNOT_LISTEN, error.strerror or "", where=where)
        self.ports.append(Port(served, listener))

    def busy_connections(self) -> int:
        """Return how many connections have a request or an answer in progress."""
        return sum(port.served.busy_connections() for port in self.ports)

    async def stop_listening(self) -> None:
        """Accept no new connections; requests on open ones are still answered."""
        for port in self.ports:
            port.stop_listening()

    async def close(self) -> None:
        """Close all connections; requests that are still in progress are cut."""
        self.watch.stop()
        await asyncio.gather(*(port.close() for port in self.ports))
