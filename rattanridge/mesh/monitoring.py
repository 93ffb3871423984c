"""Evidence on the upstream beside the node, and the brake on its version."""

import asyncio

import msgspec

from rattanridge.kernel import codes, untrusted_json
from rattanridge.mesh import calls, events, upstream as upstreams
from rattanridge.policies import evidence

REPORT_PATH = "/evidence"
BRAKE_PATH = "/brake"
TIMED_OUT = 504
BRAKE_TERM = 30.0  # seconds after which a brake that nobody renews ends


class Report(msgspec.Struct):
    """What an exit saw of one incarnation of its upstream.

    :param running: requests at the upstream now.
    """

    endpoint: str
    service: str
    version: str
    routes: evidence.CountsByRoute


class Monitor:
    """Counts how the upstream serves each route; and refuses a braked version."""

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
        """Count one request that the upstream answered.

        A lost answer tells nothing of the version, nor does the time of a
        request that runs while the upstream is cold.
        """
        if self.upstream.identity != self.identity:
            self.identity = self.upstream.identity
            self.routes = {}
        if status is None:
            return
        cold = asyncio.get_running_loop().time() < self.upstream.cold_until
        failed = status >= 500 and status != TIMED_OUT
        counts = self.routes.setdefault(call.route, evidence.Counts())
        counts.record_call(failed, None if cold else spent)

    def report(self) -> bytes:
        """Return the evidence as other nodes read it."""
        endpoint = self.identity.endpoint if self.identity is not None else ""
        upstream = self.upstream
        return msgspec.json.encode(
            Report(endpoint, upstream.service, upstream.version, self.routes)
        )

    def brake(self, version: str) -> None:
        """Refuse requests for a version that was found to be bad."""
        if version != self.upstream.version:
            return
        now = asyncio.get_running_loop().time()
        if now >= self.braked_until:
            self.log.info("version-braked", version=version)
        self.braked_version = version
        self.braked_until = now + BRAKE_TERM

    def refusal(self) -> codes.Failure | None:
        """Return the refusal while the upstream's version is braked."""
        if self.braked_version != self.upstream.version:
            return None
        if asyncio.get_running_loop().time() >= self.braked_until:
            return None
        return codes.Failure(codes.DRAINING, "the version was taken back")


def decode(data: bytes) -> Report | None:
    """Decode a report; None if it is unreadable."""
    return untrusted_json.decode_or_none(data, Report)
