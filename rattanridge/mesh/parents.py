"""Requests that the upstream runs, and the calls that it makes for them."""

import dataclasses

from rattanridge.kernel import clock
from rattanridge.mesh import calls
from rattanridge.platform import headers

LATE_CALLS = 1.0  # seconds past a request's deadline in which its calls may arrive
# Seconds from the start of this process in which requests that an earlier process
# of the node sent may still run.
RESTART_GRACE = 30.0


@dataclasses.dataclass(slots=True, frozen=True)
class Parent:
    """State of the request for which a call was made.

    :param in_progress: whether it is running and somebody waits for its answer.
    :param is_retry: whether it is, or may be, a retry; its calls count as retries
        then.
    :param rank: its priority; 0 unless it is in progress.
    :param route: name of its route; empty unless it is in progress.
    :param account: name of its client account; empty unless it is in progress.
    """

    in_progress: bool
    is_retry: bool
    rank: int = 0
    route: str = ""
    account: str = ""


class Parents:
    """Requests at the local upstream, by attempt id.

    An upstream may go on with a request after its connection was closed, and after
    the local node was restarted.
    """

    def __init__(self) -> None:
        self.started_at = clock.seconds_since_boot()
        self.running: dict[str, calls.Call] = {}
        # Retries that have ended, and the time until which they may make calls.
        self.ended: dict[str, float] = {}

    def record_start(self, call: calls.Call) -> None:
        """Record that a call is sent to the upstream."""
        self.running[call.attempt] = call

    def record_end(self, call: calls.Call, time_left: float) -> None:
        """Record that a call was answered or given up.

        :param time_left: seconds until the call's deadline; negative after it.
        """
        self.running.pop(call.attempt, None)
        if call.is_retry:
            self.ended[call.attempt] = (
                clock.seconds_since_boot() + max(time_left, 0.0) + LATE_CALLS
            )

    def find(self, attempt: str) -> Parent | None:
        """Return the parent of a request; None if a caller sent the request."""
        parent = headers.parent_of(attempt)
        if not parent:
            return None
        running = self.running.get(parent)
        if running is not None:
            return Parent(
                True, running.is_retry, running.rank, running.route, running.account
            )
        now = clock.seconds_since_boot()
        ended = self.ended.get(parent, 0.0) > now
        return Parent(False, ended or now - self.started_at < RESTART_GRACE)

    def expire(self) -> None:
        """Drop ended requests whose calls cannot arrive any more."""
        now = clock.seconds_since_boot()
        for attempt in [item for item, until in self.ended.items() if until <= now]:
            del self.ended[attempt]
