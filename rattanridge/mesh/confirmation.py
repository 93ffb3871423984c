"""Asks an upstream that is known only from a record whether it is ready."""

import asyncio

from rattanridge.kernel import codes
from rattanridge.mesh import (
    announcements,
    configs,
    connections,
    events,
    upstream as upstreams,
)
from rattanridge.platform import headers

CHECK_TIMEOUT = 0.5  # seconds for one health check
RETRY_DELAY = 0.1  # seconds before the check is repeated if there was no answer
MAX_CHECKS = 10


class Confirmation:
    """Checks the health of the upstream after a start of the node.

    The record that an earlier process left may be outdated: that process may have
    acknowledged that the upstream leaves without writing it. A restarted node would
    otherwise have to wait for the next heartbeat.

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

    def start(self) -> None:
        """Start to check the upstream if only a record says that it is ready."""
        if self.task is None and self.upstream.awaits_confirmation():
            self.task = asyncio.create_task(self.run())

    def stop(self) -> None:
        """Stop checking."""
        if self.task is not None:
            self.task.cancel()

    async def run(self) -> None:
        """Repeat the check until there is an answer, or a heartbeat has come."""
        for _ in range(MAX_CHECKS):
            if not self.upstream.awaits_confirmation():
                return
            response = await self.check()
            if response is not None:
                self.apply(response)
                return
            await asyncio.sleep(RETRY_DELAY)

    async def check(self) -> connections.Response | None:
        """Return the response to one health check; None if there is none."""
        current = self.configs.current
        service = current and current.services.get(self.upstream.service)
        if not service:
            return None
        address = self.upstream.address
        fields = [
            ("Host", address),
            (headers.DEADLINE, headers.format_deadline(CHECK_TIMEOUT)),
        ]
        request = connections.write_request("GET", service.health_path, fields, b"")
        try:
            async with asyncio.timeout(CHECK_TIMEOUT):
                connection = await self.pool.acquire(address, CHECK_TIMEOUT)
                response = await connection.exchange(request, True, None)
        except (TimeoutError, codes.Failure) as error:
            self.log.note("upstream-not-checked", why=str(error))
            return None
        self.pool.release(address, connection, response)
        return response

    def apply(self, response: connections.Response) -> None:
        """Apply the response to a health check; only status 200 confirms the record."""
        endpoint = response.headers.get(headers.INSTANCE, "")
        self.log.info(
            "upstream-checked", status=response.status, endpoint=endpoint or "-"
        )
        known = self.upstream.identity
        if known is not None and known.endpoint == endpoint:
            self.announcements.record_answer(response.headers, known)
        if response.status == 200:
            self.upstream.confirm(endpoint)
