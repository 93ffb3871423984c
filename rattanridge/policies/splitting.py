"""Divides a route's requests among its services by weight. Needs no network."""

import random

from rattanridge.kernel import routes

KEPT = 1_000  # divisions whose credits are kept; those of older configurations stay


class Splitter:
    """Keeps each service's part close to its weight at any time.

    Each request adds every service's part to its credit and goes to the one
    with most; so the parts hold after a few requests already.
    """

    def __init__(self, rng: random.Random | None = None):
        self.random = rng or random.Random()
        self.credits: dict[tuple[routes.Share, ...], list[float]] = {}

    def choose(self, route: routes.Route) -> str:
        """Return the service that the next request of a route goes to."""
        if len(route.shares) == 1:
            return route.shares[0].service
        known = self.credits.get(route.shares)
        if known is None:
            if len(self.credits) >= KEPT:
                self.credits.clear()
            known = [self.random.random() for _ in route.shares]
            self.credits[route.shares] = known
        total = sum(share.weight for share in route.shares)
        for index, share in enumerate(route.shares):
            known[index] += share.weight / total
        best = max(
            (index for index, share in enumerate(route.shares) if share.weight > 0),
            key=known.__getitem__,
        )
        known[best] -= 1.0
        return route.shares[best].service
