"""The budget for sending a request to a second endpoint. Needs no network.

All nodes share one budget for each service and do not talk about it. In any window the
repeats of all nodes must stay within a ratio of the requests of that window, or of the
one before it, and a fixed rest.

Each repeat is paid for, once, by requests that the same node took a short time ago.
Those that pay for the repeats of one window were then sent in it or in the window
before it. As each pays half of the ratio, all nodes together keep to the ratio of the
larger one of these two windows, however many nodes there are, wherever load moves, and
whichever of them start again: a node that starts has nothing to pay with. The fixed
rest is divided by the number of nodes among which this one shares it (``sharing``).

Answers this load: a grey or overloaded service whose failures would be multiplied by
retries, while load moves between nodes and nodes come and go.
"""

import collections
import dataclasses

from rattanridge.kernel import registry

BUCKETS = 20  # that a window is counted in
PART = 0.5  # of the ratio that each request pays: its window is one of two
VALID = 0.7  # of a window for which a request can pay
DELAY = 0.3  # of a window that a request may be read late and a repeat arrive late
ROUNDING = 1e-9  # repeats


@dataclasses.dataclass(slots=True)
class Settings:
    """The budget of one service over all nodes.

    :param ratio: repeats for each request.
    :param least: repeats in one window whatever the number of requests.
    :param window: seconds.
    """

    ratio: float
    min_retries: float
    window: float

    def span(self) -> float:
        """Return the seconds within which two repeats may arrive in one window."""
        return self.window * (1 + DELAY)


BUDGETS: registry.Registry[type["Budget"]] = registry.Registry("repeats policy")


@BUDGETS.register("shared-budget")
class Budget:
    """One node's part of one service's budget.

    All times are seconds of one clock that does not stand still while the host is
    suspended.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        # Repeats that requests pay for: start of the bucket, and how many are left.
        self.earned: collections.deque[list[float]] = collections.deque()
        # Repeats taken of the fixed rest: when, and how much.
        self.allowance_spent: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def record_request(self, now: float) -> None:
        """Count a request of a caller for the service."""
        start = now - now % (self.settings.window / BUCKETS)
        if not self.earned or self.earned[-1][0] != start:
            self.earned.append([start, 0.0])
        self.earned[-1][1] += self.settings.ratio * PART

    def earned_left(self, now: float) -> float:
        """Return the repeats that requests still pay for."""
        oldest = now - self.settings.window * VALID
        while self.earned and self.earned[0][0] < oldest:
            self.earned.popleft()
        return sum(amount for _, amount in self.earned)

    def rest(self, nodes: int, now: float) -> float:
        """Return what is left of the node's part of the fixed rest."""
        while (
            self.allowance_spent
            and self.allowance_spent[0][0] <= now - self.settings.span()
        ):
            self.allowance_spent.popleft()
        if not nodes:
            return 0.0
        lent = sum(amount for _, amount in self.allowance_spent)
        return max(self.settings.min_retries / nodes - lent, 0.0)

    def try_spend(self, nodes: int, now: float) -> bool:
        """Spend one repeat, if there is one left.

        :param nodes: nodes that share the fixed rest; 0 if this one has no part of it.
        """
        left = self.earned_left(now)
        if left + self.rest(nodes, now) < 1 - ROUNDING:
            return False
        self.pay(min(left, 1.0))
        if left < 1:
            self.allowance_spent.append((now, 1.0 - left))
        return True

    def pay(self, amount: float) -> None:
        """Use up the oldest requests first."""
        while amount > ROUNDING and self.earned:
            used = min(amount, self.earned[0][1])
            self.earned[0][1] -= used
            amount -= used
            if self.earned[0][1] <= ROUNDING:
                self.earned.popleft()


@BUDGETS.register("none")
class NoRetries(Budget):
    """Allows no repeat."""

    def try_spend(self, nodes: int, now: float) -> bool:
        """Refuse."""
        return False
