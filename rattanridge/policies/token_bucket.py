"""A token bucket, and an estimate of the requests that arrive. Needs no network.

Used for the shares of quotas (see ``quota``): many small buckets whose rate and depth
change every few seconds. All times are in seconds of one clock.
"""

import math

DEMAND_SPAN = 3.0  # time constant in seconds of the estimate of the demand
MIN_DEMAND_AGE = 1.0  # seconds that a first request counts for at least
ROUNDING = 1e-9  # requests


class Bucket:
    """A token bucket.

    :param rate: requests per second.
    :param depth: requests.
    """

    __slots__ = ("depth", "rate", "tokens", "updated_at")

    def __init__(self) -> None:
        self.rate = 0.0
        self.depth = 0.0
        self.tokens = 0.0
        self.updated_at = float("-inf")

    def advance(self, now: float) -> None:
        """Add the tokens for the time since the last call."""
        if now > self.updated_at:
            if self.rate:
                added = self.rate * (now - self.updated_at)
                self.tokens = min(self.tokens + added, self.depth)
            self.updated_at = now

    def resize(self, rate: float, depth: float, now: float) -> None:
        """Change rate and depth. Tokens beyond the depth are lost, none are added."""
        self.advance(now)
        self.rate = rate
        self.depth = depth
        self.tokens = min(self.tokens, depth)

    def add(self, tokens: float) -> None:
        """Add tokens; those beyond the depth are lost."""
        self.tokens = min(self.tokens + tokens, self.depth)

    def try_take(self, now: float, tokens: float = 1.0) -> bool:
        """Take tokens; return False, and take none, if there are fewer."""
        self.advance(now)
        if self.tokens < tokens - ROUNDING:
            return False
        self.tokens = max(self.tokens - tokens, 0.0)
        return True

    def delay(self, now: float, ahead: int = 0) -> float:
        """Return the seconds until there is a token; infinite if never.

        :param ahead: requests that take a token before.
        """
        self.advance(now)
        lacking = 1 + ahead - self.tokens
        if lacking <= ROUNDING:
            return 0.0
        if not self.rate or self.depth < 1 - ROUNDING:
            return float("inf")
        return lacking / self.rate


class Demand:
    """Estimate of the requests per second, which counts recent requests more.

    The first request only starts it. Counted, it would make one request at each of many
    nodes look like many requests per second.
    """

    __slots__ = ("since", "updated_at", "weight")

    def __init__(self, now: float):
        self.since = now
        self.updated_at = now
        self.weight = -1.0

    def decay(self, now: float) -> None:
        elapsed = max(now - self.updated_at, 0.0)
        if self.weight > 0:
            self.weight *= math.exp(-elapsed / DEMAND_SPAN)
        self.updated_at = max(now, self.updated_at)

    def record(self, now: float) -> None:
        """Record a request."""
        self.decay(now)
        self.weight = self.weight + 1 if self.weight >= 0 else 0.0

    def rate(self, now: float, waiting: int = 0) -> float:
        """Return the requests per second.

        :param waiting: requests that are not counted. An estimate made because a
            request has just come would be too high with it, by as much as all others
            if there are few.
        """
        self.decay(now)
        age = max(now - self.since, MIN_DEMAND_AGE)
        weight = max(self.weight - waiting, 0.0)
        return weight / (DEMAND_SPAN * (1 - math.exp(-age / DEMAND_SPAN)))
