"""Whether the local endpoint may get a request: its zone, and the rate while cold.

The exit asks before a request waits for a slot, and again when it is about to be sent.
"""

import asyncio

from rattanridge.kernel import codes
from rattanridge.mesh import (
    configs,
    connections,
    evacuation,
    events,
    settings,
    upstream as upstreams,
)
from rattanridge.policies import cold_rate

EVACUATED_RETRY_AFTER = 1.0  # seconds


class Gate:
    """Refuses requests that the local endpoint must not get.

    :param configs: has the rate of a cold endpoint.
    :param evacuations: the evacuated zones.
    """

    def __init__(
        self,
        config: settings.Settings,
        upstream: upstreams.Upstream,
        configs: configs.Configs,
        evacuations: evacuation.Evacuations,
        log: events.Events,
    ):
        self.config = config
        self.upstream = upstream
        self.configs = configs
        self.evacuations = evacuations
        self.log = log
        self.rate = cold_rate.ColdRate()
        self.evacuated = False
        self.started_at = asyncio.get_running_loop().time()
        # Whether a request was sent to the endpoint by this process.
        self.sent = False
        configs.listeners.append(self.apply_change)
        upstream.listeners.append(self.apply_change)
        evacuations.listeners.append(self.apply_evacuations)

    def apply_change(self) -> None:
        """Apply a change of the configuration or of the upstream's service.

        The process before this one may have sent requests until this one started.
        """
        now = asyncio.get_running_loop().time()
        self.rate.apply(self.bound(), now if self.sent else self.started_at)

    def bound(self) -> int | None:
        """Return how many requests the endpoint may get while cold; None if any."""
        cold, current = self.config.cold, self.configs.current
        if cold is None or current is None:
            return None
        service = current.services.get(self.upstream.service)
        if service is None or not service.cold_rate:
            return None
        return cold_rate.bound_of(service.cold_rate, cold.overage, cold.slack)

    def apply_evacuations(self) -> None:
        """Apply a change of the evacuated zones.

        The endpoint of a zone that returns may have become cold meanwhile, and may not
        have told it yet.
        """
        before = self.evacuated
        self.evacuated = self.evacuations.is_evacuated(self.config.zone)
        if before and not self.evacuated:
            self.upstream.doubt_cold()

    def refusal(self, waiting: int = 0) -> codes.Failure | None:
        """Return why the endpoint must not get a request now; None if it may.

        :param waiting: requests that wait for a slot before it. They use up the room of
            a cold endpoint, so that this one does not wait in vain.
        """
        if self.evacuated:
            return codes.Failure(
                codes.ZONE_EVACUATED,
                self.config.zone,
                retry_after=EVACUATED_RETRY_AFTER,
            )
        if not self.evacuations.known:
            return codes.Failure(
                codes.NO_ENDPOINT, "it is not known yet which zones are evacuated"
            )
        if self.config.cold is None:
            return None
        if self.configs.current is None:
            return codes.Failure(
                codes.NO_ENDPOINT, "the rate of a cold endpoint is not known yet"
            )
        if not self.upstream.cold:
            return None
        delay = self.rate.delay(asyncio.get_running_loop().time(), 1 + waiting)
        if not delay:
            return None
        return codes.Failure(
            codes.ENDPOINT_COLD,
            f"cold, and got {len(self.rate.starts)} requests just now",
            retry_after=delay,
        )

    def admit(
        self, pool: connections.Pool, connection: connections.Connection, running: int
    ) -> None:
        """Count a request that is about to be sent; raise if it must not be.

        :param connection: on which it will be sent; kept if it must not.
        :param running: requests that run at the endpoint.
        """
        if self.rate.bound is not None and self.sent and not running:
            self.check_continuity(pool, connection)
        failure = self.refusal()
        if failure is not None:
            pool.add_idle(self.upstream.address, connection)
            raise failure
        self.sent = True
        self.rate.record_start(asyncio.get_running_loop().time())

    def check_continuity(
        self, pool: connections.Pool, connection: connections.Connection
    ) -> None:
        """Doubt that the endpoint is warm if no connection has stayed open to it.

        It may have been restarted without any request on the way.
        """
        if connection.idle_seconds:
            return
        idle = pool.idle.get(self.upstream.address, ())
        if not any(item.is_open() for item in idle):
            self.upstream.doubt_cold()

    def room(self) -> cold_rate.Room | None:
        """Return what a cold endpoint may still get; None if it is not bounded."""
        if self.rate.bound is None or not self.upstream.cold:
            return None
        return self.rate.room(asyncio.get_running_loop().time())
