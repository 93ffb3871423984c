"""Evidence on the local upstream's version."""

import asyncio
import secrets

import msgspec

from rattanridge.kernel import untrusted_json
from rattanridge.mesh import calls, upstream as upstreams, versions
from rattanridge.policies import evidence

REPORT_PATH = "/evidence"
GATEWAY_TIMEOUT = 504


class Report(msgspec.Struct):
    """What an exit measured of one incarnation of its upstream.

    :param endpoint: id of the upstream; empty if it is unknown.
    :param routes: counts of its requests by route.
    :param usable_slots: its slots, or fewer if it limits the rate of its requests;
        None in reports of nodes that do not tell it.
    :param process: identifies the process of the exit and the incarnation; all counts
        begin at 0 with it.
    :param sent: requests that were sent to the upstream.
    :param braked: whether a coordinator has found the version bad.
    :param order: the running order for the service; None if the node knows of none.
    """

    endpoint: str
    service: str
    version: str
    routes: evidence.CountsByRoute
    usable_slots: float | None = None
    process: str = ""
    sent: int = 0
    braked: bool = False
    order: versions.RunningOrder | None = None


class Monitor:
    """Counts how the local upstream serves each route."""

    def __init__(self, upstream: upstreams.Upstream):
        self.upstream = upstream
        self.identity = upstream.identity
        self.process = secrets.token_hex(8)
        self.sent = 0
        self.routes: evidence.CountsByRoute = {}
        # Route and begin, in monotonic seconds, of the requests at the upstream.
        self.running: dict[int, tuple[str, float]] = {}

    def record_sent(self) -> None:
        """Record that one more request is sent to the upstream."""
        self.follow_upstream()
        self.sent += 1

    def record_start(self, call: calls.Call) -> None:
        """Record that a request runs at the upstream; a retry is no evidence."""
        if call.is_retry:
            return
        self.running[id(call)] = (call.route, self.now())

    def record_end(self, call: calls.Call) -> None:
        """Record that a request has ended, with an answer or without one."""
        self.running.pop(id(call), None)

    def record_request(
        self, call: calls.Call, status: int | None, spent: float
    ) -> None:
        """Record one request that was sent to the upstream.

        The counts start again with each incarnation of the upstream. A request
        without a response tells how long it lasted at least, and so does one that was
        ended by its time limit: a status of 504 is no failure. The time of a request is
        ignored while the upstream is cold. A retry is not counted: it is sent because
        another endpoint failed, and may fail because its own calls are refused when
        the retry budget is spent.

        :param status: status of the response; None if none came.
        :param spent: seconds that the upstream took.
        """
        self.follow_upstream()
        if call.is_retry:
            return
        counts = self.routes.setdefault(call.route, evidence.Counts())
        cold = self.is_cold()
        if status is None or status == GATEWAY_TIMEOUT:
            if not cold:
                self.record_unanswered(counts, call, status, spent)
            return
        late = not cold and self.now() > call.timely_until
        counts.record_call(status >= 500, None if cold else spent, late)

    def record_unanswered(
        self,
        counts: evidence.Counts,
        call: calls.Call,
        status: int | None,
        spent: float,
    ) -> None:
        """Record a request that ended without a result, at its time limit or before."""
        out_of_time = self.now() >= call.deadline - evidence.TIMEOUT_MARGIN
        if out_of_time or status == GATEWAY_TIMEOUT:
            counts.record_timeout(spent)
        else:
            counts.record_unanswered(spent)

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def is_cold(self) -> bool:
        """Return whether the upstream is slow because it has just started."""
        return self.now() < self.upstream.cold_until

    def follow_upstream(self) -> None:
        """Start the counts again if there is another incarnation of the upstream."""
        if self.upstream.identity != self.identity:
            self.identity = self.upstream.identity
            self.process = secrets.token_hex(8)
            self.sent = 0
            self.routes = {}
            self.running = {}

    def count_running(self) -> evidence.CountsByRoute:
        """Return the counts by route, with the requests that run now."""
        counted = evidence.copy(self.routes)
        if self.is_cold():
            return counted
        now = self.now()
        for route, started_at in self.running.values():
            counts = counted.setdefault(route, evidence.Counts())
            counts.record_running(now - started_at)
        return counted

    def report(
        self,
        usable_slots: float,
        braked: bool,
        order: versions.RunningOrder | None = None,
    ) -> bytes:
        """Return the evidence as JSON, for other nodes."""
        self.follow_upstream()
        upstream = self.upstream
        report = Report(
            self.identity.endpoint if self.identity is not None else "",
            upstream.service,
            upstream.version,
            self.count_running(),
            usable_slots,
            self.process,
            self.sent,
            braked,
            order,
        )
        return msgspec.json.encode(report)


def decode_report(data: bytes) -> Report | None:
    """Decode a report; None if it is unreadable."""
    return untrusted_json.decode_or_none(data, Report)
