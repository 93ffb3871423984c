"""The budget for sending a request to a second endpoint. Needs no network.

All nodes share one budget for each service. They do not talk about it: each
node spends what its own requests earn and an equal part of the fixed rest.
Answers this load: a grey or overloaded service whose failures would be
multiplied by retries.
"""

import collections
import dataclasses

from rattanridge.kernel import registry

BUCKETS = 10  # that a window is counted in
SAFETY = 0.8  # of the budget: nodes don't count a window from the same moment


@dataclasses.dataclass(slots=True)
class Settings:
    """The budget of one service over all nodes.

    :param ratio: repeats for each request.
    :param least: repeats in one window whatever the number of requests.
    :param window: seconds.
    """

    ratio: float
    least: float
    window: float


BUDGETS: registry.Registry[type["Budget"]] = registry.Registry("repeats policy")


@BUDGETS.register("shared-budget")
class Budget:
    """One node's part of one service's budget."""

    def __init__(self, settings: Settings):
        self.settings = settings
        self.step = settings.window / BUCKETS
        self.requests: collections.deque[list[float]] = collections.deque()
        self.repeats: collections.deque[list[float]] = collections.deque()

    def add(self, counts: collections.deque[list[float]], now: float) -> None:
        """Count one event in the bucket of this moment."""
        start = now - now % self.step
        if counts and counts[-1][0] == start:
            counts[-1][1] += 1
        else:
            counts.append([start, 1])

    def count(self, counts: collections.deque[list[float]], now: float) -> float:
        """Return the events of the window that ends now."""
        while counts and counts[0][0] <= now - self.settings.window - self.step:
            counts.popleft()
        return sum(item[1] for item in counts)

    def note_request(self, now: float) -> None:
        """Count a request for the service."""
        self.add(self.requests, now)

    def take(self, nodes: int, now: float) -> bool:
        """Spend one repeat, if there is one left.

        :param nodes: nodes that share the budget.
        """
        earned = self.settings.ratio * self.count(self.requests, now)
        allowed = SAFETY * (earned + self.settings.least / max(nodes, 1))
        if self.count(self.repeats, now) + 1 > allowed:
            return False
        self.add(self.repeats, now)
        return True


@BUDGETS.register("none")
class NoRepeats(Budget):
    """Allows no repeat."""

    def take(self, nodes: int, now: float) -> bool:
        """Refuse."""
        return False
