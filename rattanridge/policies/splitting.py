"""Divides a route's requests among its services by weight. Needs no network."""

import dataclasses
import random

from rattanridge.kernel import codes, routes

# Traffic splits whose progress is kept in memory. All are discarded when there are
# more, as those of earlier configurations are never removed one by one.
MAX_SPLITS = 1_000
NO_SERVICE_RETRY_AFTER = 1.0  # seconds; only another configuration changes it


@dataclasses.dataclass(slots=True)
class Split:
    """Progress of one traffic split; both lists are in the order of its shares.

    :param proportions: of all requests, 0 to 1; their sum is 1.
    :param credits: what each service is owed, in requests.
    """

    proportions: list[float]
    credits: list[float]

    def choose(self) -> int:
        """Return the index of the share that gets the next request."""
        for index, proportion in enumerate(self.proportions):
            self.credits[index] += proportion
        wanted = (index for index, share in enumerate(self.proportions) if share > 0)
        best = max(wanted, key=self.credits.__getitem__)
        self.credits[best] -= 1.0
        return best


def proportions_of(shares: tuple[routes.Share, ...]) -> list[float]:
    """Return each share's part of all requests, 0 to 1.

    The weights are scaled by the largest one first, as their sum may be too large for
    a number.
    """
    largest = max(share.weight for share in shares)
    scaled = [share.weight / largest for share in shares]
    total = sum(scaled)
    return [weight / total for weight in scaled]


class Splitter:
    """Keeps each service's share of requests close to its weight at any time.

    Each request adds every service's weighted share to its credit and goes to the
    service with the highest credit, so the shares hold after a few requests.
    """

    def __init__(self, rng: random.Random | None = None):
        self.random = rng or random.Random()
        self.splits: dict[tuple[routes.Share, ...], Split] = {}

    def choose(self, route: routes.Route) -> str:
        """Return the service that the next request of a route goes to.

        Raise ``no-service`` if no service has a weight above zero.
        """
        if not any(share.weight > 0 for share in route.shares):
            wait = NO_SERVICE_RETRY_AFTER
            raise codes.Failure(codes.NO_SERVICE, route.name, retry_after=wait)
        if len(route.shares) == 1:
            return route.shares[0].service
        split = self.splits.get(route.shares) or self.begin(route.shares)
        return route.shares[split.choose()].service

    def begin(self, shares: tuple[routes.Share, ...]) -> Split:
        """Begin a split with random credits, so that nodes do not act in step."""
        if len(self.splits) >= MAX_SPLITS:
            self.splits.clear()
        credits = [self.random.random() for _ in shares]
        split = self.splits[shares] = Split(proportions_of(shares), credits)
        return split
