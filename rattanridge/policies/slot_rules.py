"""Tells which slots a rank may hold, and what more urgent ranks leave to it.

Needs no network. Handles a burst of long requests beside short urgent ones, and the
estimate of how long the former wait meanwhile.
"""

from rattanridge.policies import demand as demands, occupancy

# Keep an estimated wait finite where more urgent requests need all slots, or the whole
# limit on the rate.
MIN_SLOTS_LEFT = 0.5
MIN_RATE_LEFT = 0.05


class SlotRules:
    """Combines what arrives at a queue with what holds the slots.

    :param bound: returns how many slots less urgent requests may hold.
    """

    def __init__(self, bound: demands.Bound):
        self.bound = bound
        self.demand = demands.Demand()
        self.occupancy = occupancy.Occupancy()

    def may_hold_slot(self, rank: int, slots: int, now: float) -> bool:
        """Return whether a request may get a slot that more urgent ones may need."""
        held = self.occupancy.held_from(rank).count
        return held < self.bound_of(rank, slots, now)

    def bound_of(self, rank: int, slots: int, now: float) -> int:
        """Return how many slots a rank and less urgent ones may hold."""
        held = self.occupancy.held_from(rank)
        if not held.count:
            return slots
        return self.bound(self.demand, rank, slots, held.work / held.count, now)

    def slots_left_to(self, rank: int, slots: int, now: float) -> float:
        """Return the slots that requests of more urgent ranks leave on average."""
        load, _ = self.demand.more_urgent(rank, now)
        return max(min(slots - load, self.bound_of(rank, slots, now)), MIN_SLOTS_LEFT)

    def rate_left_to(self, rank: int, rate: float, now: float) -> float:
        """Return the share of a limited rate that more urgent ranks leave.

        :param rate: requests per second.
        """
        taken = self.demand.more_urgent_rate(rank, now) / rate
        return max(1.0 - taken, MIN_RATE_LEFT)
