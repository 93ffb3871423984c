"""How long a kept connection may rest before it is used again. Needs no network.

Answers this load: an upstream that forgets connections which rest, without
notice and sooner than it says. What is sent next on one is lost, and work that
must not repeat with it. Whether an upstream does so shows only by a loss.
"""

BROKEN_WITHIN = 0.03  # seconds after a write in which a forgotten connection breaks
LEAST_REST = 0.1  # seconds; what breaks after less was not forgotten
SHARE = 0.7  # of the rest after which one broke: what is used again
CAREFUL_SHARE = 0.4  # the same, for work that must not repeat
MEMORY = 30.0  # seconds for which a loss counts


class IdleTimeout:
    """What is known of one upstream's connections."""

    def __init__(self) -> None:
        self.broke_after = float("inf")
        self.broke_at = float("-inf")

    def record_break(self, rested: float, lasted: float, now: float) -> bool:
        """Learn from a connection that broke; return whether it was forgotten.

        :param rested: seconds without use before the request was sent.
        :param lasted: seconds from the request until it broke, without a byte.
        """
        if rested < LEAST_REST or lasted > BROKEN_WITHIN:
            return False
        known = self.broke_after if self.is_known(now) else float("inf")
        self.broke_after = min(known, rested)
        self.broke_at = now
        return True

    def is_known(self, now: float) -> bool:
        """Whether the upstream forgot a connection lately."""
        return now - self.broke_at < MEMORY

    def max_idle(self, careful: bool, now: float) -> float:
        """Return the seconds after which a connection is not used again.

        :param careful: whether the request must not repeat.
        """
        if not self.is_known(now):
            return float("inf")
        return self.broke_after * (CAREFUL_SHARE if careful else SHARE)
