"""Spaces the requests to an endpoint that limits their rate. Needs no network.

Handles a limit that is far below what callers send, one that changes or ends, and one
that is so low that hardly any request would show whether it still holds.
"""

BURST_SECONDS = 0.25  # of a limit that may be used at once after a pause
# Requests per second that are sent even if the limit is lower, as only an answer tells
# that the limit has ended.
MIN_RATE = 0.2


class RateLimit:
    """The limit of one endpoint, and when its next request may start.

    :param limit: requests per second; None if there is no limit.
    """

    def __init__(self) -> None:
        self.limit: float | None = None
        # Monotonic seconds at which the next request would start without any burst.
        self.next_at = 0.0

    def rate(self) -> float:
        """Return the requests per second that may start; infinite without a limit."""
        return float("inf") if self.limit is None else max(self.limit, MIN_RATE)

    def apply(self, limit: float | None, now: float) -> None:
        """Set the limit. A new one begins without a burst."""
        earlier, self.limit = self.limit, limit
        if limit is None or limit == earlier:
            return
        if earlier is None:
            self.next_at = now + BURST_SECONDS
        else:
            latest = now + BURST_SECONDS + 1 / self.rate()
            self.next_at = min(self.next_at, latest)

    def delay(self, now: float, ahead: int = 0) -> float:
        """Return the seconds until a request may start.

        :param ahead: requests that start before it.
        """
        if self.limit is None:
            return 0.0
        return max(self.next_at + ahead / self.rate() - BURST_SECONDS - now, 0.0)

    def record_start(self, now: float) -> None:
        """Record that a request starts."""
        if self.limit is not None:
            self.next_at = max(self.next_at, now) + 1 / self.rate()
