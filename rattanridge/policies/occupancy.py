"""Tracks which requests hold an endpoint's slots. Needs no network.

Handles requests that differ in work and urgency: how soon a slot becomes free depends
on which of them run, not on the mean over all requests.
"""

import dataclasses

from rattanridge.policies import tickets

MIN_COST = 0.001  # seconds; limits the rate at which slots are expected to become free


@dataclasses.dataclass(slots=True)
class Held:
    """Slots held by new requests of one rank.

    :param count: number of slots.
    :param work: sum of the mean seconds of their routes.
    """

    count: int = 0
    work: float = 0.0


class Occupancy:
    """The slots in use, by rank."""

    def __init__(self) -> None:
        self.ranks: dict[int, Held] = {}
        self.free_rate = 0.0  # slots per second that are expected to become free

    def record_start(self, ticket: tickets.Ticket) -> None:
        """Record that a request gets a slot."""
        self.free_rate += 1 / max(ticket.cost, MIN_COST)
        if not ticket.nested:
            held = self.ranks.setdefault(ticket.rank, Held())
            held.count += 1
            held.work += ticket.cost

    def record_end(self, ticket: tickets.Ticket) -> None:
        """Record that a request releases its slot."""
        self.free_rate -= 1 / max(ticket.cost, MIN_COST)
        if not ticket.nested:
            held = self.ranks[ticket.rank]
            held.count -= 1
            held.work -= ticket.cost

    def held_from(self, rank: int) -> Held:
        """Return what new requests of a rank and of less urgent ones hold."""
        total = Held()
        for other, held in self.ranks.items():
            if other >= rank:
                total.count += held.count
                total.work += held.work
        return total

    def time_to_free_slot(self) -> float:
        """Return the expected seconds until the next slot becomes free."""
        return 1 / self.free_rate if self.free_rate > MIN_COST else 0.0
