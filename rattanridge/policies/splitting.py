"""Divides a route's requests among its services by weight. Needs no network."""

import random

from rattanridge.kernel import routes

# Traffic splits whose credits are kept in memory. All are discarded when there are
# more, as those of earlier configurations are never removed one by one.
MAX_SPLITS = 1_000


class Splitter:
    """Keeps each service's share of requests close to its weight at any time.

    Each request adds every service's weighted share to its credit and goes to the
    service with the highest credit, so the shares hold after a few requests.
    """

    def __init__(self, rng: random.Random | None = None):
        self.random = rng or random.Random()
        self.credits: dict[tuple[routes.Share, ...], list[float]] = {}

    def choose(self, route: routes.Route) -> str:
        """Return the service that the next request of a route goes to."""
        if len(route.shares) == 1:
            return route.shares[0].service
        credits = self.credits.get(route.shares)
        if credits is None:
            if len(self.credits) >= MAX_SPLITS:
                self.credits.clear()
            credits = [self.random.random() for _ in route.shares]
            self.credits[route.shares] = credits
        total = sum(share.weight for share in route.shares)
        for index, share in enumerate(route.shares):
            credits[index] += share.weight / total
        best = max(
            (index for index, share in enumerate(route.shares) if share.weight > 0),
            key=credits.__getitem__,
        )
        credits[best] -= 1.0
        return route.shares[best].service
