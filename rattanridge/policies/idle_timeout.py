"""Decides how long an idle connection may be reused. Needs no network.

Handles an upstream that drops idle connections silently, and sooner than it
announces. A request sent on such a connection is lost, which matters most if it must
not be repeated. The behaviour can only be detected by losing a request.
"""

# Seconds from a write within which a connection that the upstream had dropped breaks.
DROP_DETECTION_TIME = 0.03
MIN_IDLE_TIME = 0.1  # seconds; a connection idle for less was not dropped
REUSE_SHARE = 0.7  # of the idle time after which a connection broke
NON_IDEMPOTENT_REUSE_SHARE = 0.4  # the same, for requests that must not be repeated
LOSS_TTL = 30.0  # seconds for which a loss is taken into account


class IdleTimeout:
    """The idle timeout of one upstream, as estimated from lost requests."""

    def __init__(self) -> None:
        self.shortest_broken_idle = float("inf")
        self.last_loss_at = float("-inf")

    def record_break(self, idle: float, lasted: float, now: float) -> bool:
        """Record that a connection broke; return whether it had been dropped idle.

        :param idle: seconds that the connection was idle before the request.
        :param lasted: seconds from sending the request until the connection broke,
            without a byte of a response.
        """
        if idle < MIN_IDLE_TIME or lasted > DROP_DETECTION_TIME:
            return False
        shortest = (
            self.shortest_broken_idle if self.has_recent_loss(now) else float("inf")
        )
        self.shortest_broken_idle = min(shortest, idle)
        self.last_loss_at = now
        return True

    def has_recent_loss(self, now: float) -> bool:
        """Return whether the upstream dropped an idle connection recently."""
        return now - self.last_loss_at < LOSS_TTL

    def max_idle(self, non_idempotent: bool, now: float) -> float:
        """Return the idle seconds after which a connection must not be reused.

        Infinity if no loss is known.

        :param non_idempotent: whether the request must not be repeated.
        """
        if not self.has_recent_loss(now):
            return float("inf")
        return self.shortest_broken_idle * (
            NON_IDEMPOTENT_REUSE_SHARE if non_idempotent else REUSE_SHARE
        )
