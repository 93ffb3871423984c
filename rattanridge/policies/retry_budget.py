"""The budget for retries, shared by all nodes. Needs no network.

A retry sends a request to a second endpoint. All nodes share one budget for each
service without coordinating. In any window, the retries of all nodes must not exceed
a ratio of the requests in that window or in the one before it, plus a fixed
allowance.

Each retry is paid for, once, by requests that the same node received a short time
ago. The requests that pay for the retries of one window were therefore sent in that
window or in the one before it. Each request earns half of the ratio, so all nodes
together stay within the ratio of the larger of these two windows. This holds for any
number of nodes, when load moves between nodes, and when nodes restart: a node that
starts has earned nothing. The fixed allowance is divided by the number of nodes that
share it (see ``budget_nodes``).

Handles a failing or overloaded service whose failures would be multiplied by
retries, while load moves between nodes and nodes start and stop.
"""

import collections
import dataclasses

from rattanridge.kernel import registry

BUCKETS_PER_WINDOW = 20
# Fraction of the ratio that each request earns, as it counts in one of two windows.
EARNED_SHARE = 0.5
CREDIT_LIFETIME = 0.7  # of a window, in which a request can pay for a retry
# Fraction of a window by which a request may be read late, and a retry may arrive late.
MAX_DELAY = 0.3
ROUNDING_TOLERANCE = 1e-9  # retries


@dataclasses.dataclass(slots=True)
class Settings:
    """The budget of one service over all nodes.

    :param ratio: retries for each request.
    :param min_retries: fixed allowance of retries in each window, whatever the number
        of requests.
    :param window: seconds.
    """

    ratio: float
    min_retries: float
    window: float

    def span(self) -> float:
        """Return the seconds within which two retries may arrive in one window."""
        return self.window * (1 + MAX_DELAY)


BUDGETS: registry.Registry[type["Budget"]] = registry.Registry("retry policy")


@BUDGETS.register("shared-budget")
class Budget:
    """One node's share of one service's budget.

    All times are in seconds of a single clock that keeps running while the host is
    suspended.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        # Retries that requests have earned: start of the bucket, and retries left.
        self.earned: collections.deque[list[float]] = collections.deque()
        # Spending of the fixed allowance: time and amount.
        self.allowance_spent: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def record_request(self, now: float) -> None:
        """Record a request of a caller for the service."""
        start = now - now % (self.settings.window / BUCKETS_PER_WINDOW)
        if not self.earned or self.earned[-1][0] != start:
            self.earned.append([start, 0.0])
        self.earned[-1][1] += self.settings.ratio * EARNED_SHARE

    def earned_left(self, now: float) -> float:
        """Return the retries that requests can still pay for."""
        oldest = now - self.settings.window * CREDIT_LIFETIME
        while self.earned and self.earned[0][0] < oldest:
            self.earned.popleft()
        return sum(amount for _, amount in self.earned)

    def allowance_left(self, nodes: int, now: float) -> float:
        """Return the retries left of the node's share of the fixed allowance.

        :param nodes: nodes that share the allowance; 0 if this one has no share of it.
        """
        while (
            self.allowance_spent
            and self.allowance_spent[0][0] <= now - self.settings.span()
        ):
            self.allowance_spent.popleft()
        if not nodes:
            return 0.0
        spent = sum(amount for _, amount in self.allowance_spent)
        return max(self.settings.min_retries / nodes - spent, 0.0)

    def try_spend(self, nodes: int, now: float) -> bool:
        """Spend one retry; return False if none is left.

        :param nodes: nodes that share the allowance; 0 if this one has no share of it.
        """
        earned = self.earned_left(now)
        if earned + self.allowance_left(nodes, now) < 1 - ROUNDING_TOLERANCE:
            return False
        self.spend_earned(min(earned, 1.0))
        if earned < 1:
            self.allowance_spent.append((now, 1.0 - earned))
        return True

    def spend_earned(self, amount: float) -> None:
        """Spend earned retries, those of the oldest requests first."""
        while amount > ROUNDING_TOLERANCE and self.earned:
            used = min(amount, self.earned[0][1])
            self.earned[0][1] -= used
            amount -= used
            if self.earned[0][1] <= ROUNDING_TOLERANCE:
                self.earned.popleft()


@BUDGETS.register("none")
class NoRetries(Budget):
    """Allows no retry."""

    def try_spend(self, nodes: int, now: float) -> bool:
        """Return False: no retry is allowed."""
        return False
