"""Asks an upstream, once after each start of the node, whether it is ready."""

import asyncio

from rattanridge.kernel import codes
from rattanridge.mesh import (
    configs,
    connections,
    events,
    exchanges,
    upstream as upstreams,
)
from rattanridge.mesh.discovery import announcements
from rattanridge.platform import headers

CHECK_TIMEOUT = 0.5  # seconds for one health check
FIRST_RETRY_DELAY = 0.1  # seconds before a check is repeated; doubles
MAX_RETRY_DELAY = 1.0  # seconds
MAX_CHECKS = 10  # that get no answer; the next heartbeat starts new ones


class Confirmation:
    """Checks the health of the first upstream that a process hears of.

    An earlier process of the node may have acknowledged that it leaves, and may have
    told nobody. Neither its record nor a heartbeat on the way shows whether it has: the
    upstream itself does, which outlives the process.

    :param pool: connections to the upstream.
    :param announcements: reads what the upstream announces in its answers.
    :param configs: has the path of the health check.
    """

    def __init__(
        self,
        upstream: upstreams.Upstream,
        pool: connections.Pool,
        configs: configs.Configs,
        announcements: announcements.Announcements,
        log: events.Events,
    ):
        self.announcements = announcements
        self.upstream = upstream
        self.pool = pool
        self.configs = configs
        self.log = log
        self.task: asyncio.Task | None = None
        upstream.listeners.append(self.start)
        configs.listeners.append(self.start)

    def start(self) -> None:
        """Start to check the upstream if it may have left, once its path is known."""
        running = self.task is not None and not self.task.done()
        if running or not self.health_path():
            return
        if self.upstream.awaits_confirmation():
            self.task = asyncio.create_task(self.run())

    def stop(self) -> None:
        """Stop checking."""
        if self.task is not None:
            self.task.cancel()

    async def run(self) -> None:
        """Repeat the check until the upstream answers or needs none any more.

        It may reject the check as any other request if it is full.
        """
        delay = FIRST_RETRY_DELAY
        for _ in range(MAX_CHECKS):
            if not self.upstream.awaits_confirmation():
                return
            response = await self.check(self.health_path())
            if response is not None and headers.NOT_RUN not in response.headers:
                self.apply(response)
                return
            await asyncio.sleep(delay)
            delay = min(delay * 2, MAX_RETRY_DELAY)

    def health_path(self) -> str:
        """Return the path of the health check; empty while no preset names it."""
        current = self.configs.current
        service = current and current.services.get(self.upstream.service)
        return service.health_path if service else ""

    async def check(self, path: str) -> exchanges.Response | None:
        """Return the response to one health check; None if there is none."""
        address = self.upstream.address
        fields = [
            ("Host", address),
            (headers.DEADLINE, headers.format_deadline(CHECK_TIMEOUT)),
        ]
        request = exchanges.write_request("GET", path, fields, b"")
        try:
            async with asyncio.timeout(CHECK_TIMEOUT):
                # Not kept: a request that crashes the upstream on a connection that
                # was idle for long gives no evidence of it.
                connection = await self.pool.connect(address, CHECK_TIMEOUT)
                try:
                    return await connection.exchange(request, True, None)
                finally:
                    connection.abort("checked")
        except (TimeoutError, codes.Failure) as error:
            self.log.note("upstream-not-checked", why=str(error))
            return None

    def apply(self, response: exchanges.Response) -> None:
        """Apply the response to a health check; only status 200 confirms it."""
        endpoint = response.headers.get(headers.INSTANCE, "")
        self.log.info(
            "upstream-checked", status=response.status, endpoint=endpoint or "-"
        )
        known = self.upstream.identity
        if known is not None and known.endpoint == endpoint:
            self.announcements.record_answer(response.headers, known)
            cold = headers.parse_cold(response.headers.get(headers.COLD))
            if cold is not None:
                self.upstream.record_cold(cold)
        if response.status == 200:
            self.upstream.confirm(endpoint)
