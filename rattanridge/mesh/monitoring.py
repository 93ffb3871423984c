"""Evidence on the local upstream's version, and the brake on that version."""

import asyncio

import msgspec

from rattanridge.kernel import codes, untrusted_json
from rattanridge.mesh import calls, events, upstream as upstreams
from rattanridge.policies import evidence

REPORT_PATH = "/evidence"
BRAKE_PATH = "/brake"
GATEWAY_TIMEOUT = 504
BRAKE_DURATION = 30.0  # seconds after which a brake ends unless it is renewed


class Report(msgspec.Struct):
    """What an exit measured of one incarnation of its upstream.

    :param endpoint: id of the upstream; empty if it is unknown.
    :param routes: counts of its requests by route.
    :param usable_slots: its slots, or fewer if it limits the rate of its requests;
        None in reports of nodes that do not tell it.
    """

    endpoint: str
    service: str
    version: str
    routes: evidence.CountsByRoute
    usable_slots: float | None = None


class Monitor:
    """Counts how the local upstream serves each route; refuses a braked version."""

    def __init__(self, upstream: upstreams.Upstream, log: events.Events):
        self.upstream = upstream
        self.log = log
        self.identity = upstream.identity
        self.routes: evidence.CountsByRoute = {}
        self.braked_until = 0.0
        self.braked_version = ""

    def record_request(
        self, call: calls.Call, status: int | None, spent: float
    ) -> None:
        """Record one request that was sent to the upstream.

        The counts start again with each incarnation of the upstream. A request
        without a response is not counted, as that is no evidence on the version. The
        time of a request is ignored while the upstream is cold, and a status of 504 is
        no failure.

        :param status: status of the response; None if none came.
        :param spent: seconds that the upstream took.
        """
        self.follow_upstream()
        if status is None:
            return
        cold = asyncio.get_running_loop().time() < self.upstream.cold_until
        failed = status >= 500 and status != GATEWAY_TIMEOUT
        counts = self.routes.setdefault(call.route, evidence.Counts())
        counts.record_call(failed, None if cold else spent)

    def follow_upstream(self) -> None:
        """Start the counts again if there is another incarnation of the upstream."""
        if self.upstream.identity != self.identity:
            self.identity = self.upstream.identity
            self.routes = {}

    def report(self, usable_slots: float) -> bytes:
        """Return the evidence as JSON, for other nodes."""
        self.follow_upstream()
        endpoint = self.identity.endpoint if self.identity is not None else ""
        upstream = self.upstream
        return msgspec.json.encode(
            Report(
                endpoint,
                upstream.service,
                upstream.version,
                self.routes,
                usable_slots,
            )
        )

    def brake(self, version: str) -> None:
        """Refuse requests to a bad version for BRAKE_DURATION seconds.

        Does nothing if the upstream has another version.
        """
        if version != self.upstream.version:
            return
        now = asyncio.get_running_loop().time()
        if now >= self.braked_until:
            self.log.info("version-braked", version=version)
        self.braked_version = version
        self.braked_until = now + BRAKE_DURATION

    def refusal(self) -> codes.Failure | None:
        """Return the refusal while the upstream's version is braked, else None."""
        if self.braked_version != self.upstream.version:
            return None
        if asyncio.get_running_loop().time() >= self.braked_until:
            return None
        return codes.Failure(codes.DRAINING, "the version is being rolled back")


def decode_report(data: bytes) -> Report | None:
    """Decode a report; None if it is unreadable."""
    return untrusted_json.decode_or_none(data, Report)
