"""Keeps slots of an endpoint for urgent requests. Needs no network.

Handles urgent short requests beside a burst of long ones that are less urgent: on slow
endpoints, all slots may run requests of 1 to 5 s, and an urgent request would wait for
the first of them to end.
"""

import collections.abc
import dataclasses
import math

from rattanridge.kernel import registry
from rattanridge.policies import tickets

HALF_LIFE = 1.0  # seconds in which the weight of an arrival halves
MIN_LOAD = 0.05  # slots; a smaller demand is none
SLACK_WEIGHT = 0.1  # of one arrival in the mean slack of a rank
# Mean times between two free slots that a request may wait with a probability of 1 %,
# if slots become free at random times. The slack of a rank has to exceed that.
RARE_WAIT = math.log(100)
MAX_RESERVED = 0.5  # share of the slots, so that less urgent requests are not starved
# Standard deviations of the number of urgent requests that are kept free in addition to
# its mean. In the model of ``measure fairness``, 1.0 serves 6 % fewer of the less
# urgent requests, and 0 makes 3 % more of the urgent ones late.
SPREAD = 0.5
MEMORY = 10.0  # seconds after which ranks and accounts that sent nothing do not count


@dataclasses.dataclass(slots=True)
class RankDemand:
    """What recent requests of one rank need.

    :param requests: requests that arrived; earlier ones lose their weight.
    :param work: seconds of their work.
    :param slack: mean seconds that a request may wait and still be timely.
    :param at: monotonic seconds of the last arrival.
    """

    requests: float
    work: float
    slack: float
    at: float

    def decay(self, now: float) -> float:
        """Return the factor by which earlier requests have lost their weight."""
        return 0.5 ** ((now - self.at) / HALF_LIFE)

    def record(self, cost: float, slack: float, now: float) -> None:
        """Record an arrival."""
        decay = self.decay(now)
        self.requests = self.requests * decay + 1.0
        self.work = self.work * decay + cost
        self.slack += SLACK_WEIGHT * (slack - self.slack)
        self.at = now

    def slots(self, now: float) -> float:
        """Return the slots that its requests occupy on average."""
        slots = self.work * self.decay(now) * math.log(2) / HALF_LIFE
        return slots if slots >= MIN_LOAD else 0.0

    def rate(self, now: float) -> float:
        """Return its requests per second."""
        return self.requests * self.decay(now) * math.log(2) / HALF_LIFE


class Demand:
    """What arrives at a queue, by urgency: the rank, or ``tickets.NESTED``."""

    def __init__(self) -> None:
        self.ranks: dict[int, RankDemand] = {}
        self.account_at = -math.inf  # monotonic seconds of the last one of an account

    def record(self, ticket: tickets.Ticket, now: float) -> None:
        """Record a request that arrives."""
        urgency = tickets.urgency_of(ticket.rank, ticket.nested)
        slack = ticket.timely_until - now - ticket.cost
        if ticket.account:
            self.account_at = now
        found = self.ranks.get(urgency)
        if found is None:
            self.ranks[urgency] = RankDemand(1.0, ticket.cost, slack, now)
        else:
            found.record(ticket.cost, slack, now)

    def is_mixed(self, now: float) -> bool:
        """Return whether new requests lately had several ranks or an account."""
        return self.account_at >= now - MEMORY or self.has_several_ranks(now)

    def has_several_ranks(self, now: float) -> bool:
        """Return whether new requests lately had several ranks."""
        if len(self.ranks) < 2:
            return False
        since = now - MEMORY
        recent = [rank for rank, item in self.ranks.items() if item.at >= since]
        return len(recent) - (tickets.NESTED in recent) > 1

    def has_more_urgent(self, rank: int, now: float) -> bool:
        """Return whether more urgent new requests arrived recently."""
        return any(
            tickets.NESTED < urgency < rank and item.slots(now)
            for urgency, item in self.ranks.items()
        )

    def more_urgent_rate(self, rank: int, now: float) -> float:
        """Return how many more urgent requests arrive per second."""
        return sum(
            item.rate(now) for urgency, item in self.ranks.items() if urgency < rank
        )

    def more_urgent(self, rank: int, now: float) -> tuple[float, float]:
        """Return the slots that more urgent requests occupy, and their least slack."""
        slots, slack = 0.0, math.inf
        for urgency, item in self.ranks.items():
            found = item.slots(now) if urgency < rank else 0.0
            if found:
                slots += found
                slack = min(slack, item.slack)
        return slots, slack


# Returns how many slots the new requests of a rank and of less urgent ones may hold.
Bound = collections.abc.Callable[[Demand, int, int, float, float], int]
BOUNDS: registry.Registry[Bound] = registry.Registry("slot bound")


@BOUNDS.register("urgent-slots")
def leave_urgent_slots(
    demand: Demand, rank: int, slots: int, processing_time: float, now: float
) -> int:
    """Return the slots without those that more urgent requests need.

    All are left to the rank if a slot becomes free soon enough anyway.

    :param processing_time: mean seconds of the less urgent requests.
    """
    load, slack = demand.more_urgent(rank, now)
    if not demand.has_more_urgent(rank, now):
        return slots
    if RARE_WAIT * processing_time / slots <= slack:
        return slots
    needed = math.ceil(load + SPREAD * math.sqrt(load))
    return slots - min(needed, int(slots * MAX_RESERVED))


@BOUNDS.register("all-slots")
def leave_all_slots(
    demand: Demand, rank: int, slots: int, processing_time: float, now: float
) -> int:
    """Return all slots."""
    return slots
