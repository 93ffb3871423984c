"""Requests at an exit's queue, and the orders in which they get slots.

Needs no network. Handles queues in which requests differ in urgency, and urgent ones
that miss their target latency beside a burst of less urgent ones that do not.
"""

import asyncio
import collections.abc
import dataclasses

from rattanridge.kernel import registry


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """One request at the queue.

    :param route: name of its route; requests of one route take about the same time.
    :param rank: priority of its route; 0 comes first.
    :param nested: whether a request in progress waits for it.
    :param timely_until: monotonic seconds until which its answer is timely.
    :param deadline: monotonic seconds after which no caller waits for it.
    :param account: client account that it belongs to; empty if there is none.
    :param number: position in the order of arrival.
    :param cost: mean seconds of its route when it arrived.
    :param tag: when its account's turn comes, in seconds of an equal share.
    :param charge: by how much it delays its account's next request, in such seconds.
    :param left_slot: whether it waited although a slot was free, which is kept for more
        urgent requests.
    :param ready: done when the request gets a slot, or fails if it is refused; only
        requests that wait have it.
    """

    route: str
    rank: int
    nested: bool
    timely_until: float
    deadline: float
    account: str = ""
    number: int = 0
    cost: float = 0.0
    tag: float = 0.0
    charge: float = 0.0
    left_slot: bool = False
    ready: asyncio.Future = dataclasses.field(init=False, repr=False)


NESTED = -1  # urgency of nested calls


def urgency_of(rank: int, nested: bool) -> int:
    """Return a request's urgency: its rank, or ``NESTED``; lower ones go first."""
    return NESTED if nested else rank


# Returns the sort key of a request; the flag says whether it would be late.
Order = collections.abc.Callable[[Ticket, bool], tuple]
ORDERS: registry.Registry[Order] = registry.Registry("queue order")


@ORDERS.register("rank-first")
def rank_first(ticket: Ticket, late: bool) -> tuple:
    """Return a sort key: nested calls, then by rank, timely requests, account's turn.

    A late request stays ahead of less urgent ones. Behind them, it would hardly ever
    run during a burst of long requests: the more urgent route would be served less.
    """
    return (not ticket.nested, ticket.rank, late, ticket.tag, ticket.number)


@ORDERS.register("timely-first")
def timely_first(ticket: Ticket, late: bool) -> tuple:
    """Return a sort key: timely requests first, then nested calls, then by rank."""
    return (late, not ticket.nested, ticket.rank, ticket.number)


@ORDERS.register("by-rank")
def by_rank(ticket: Ticket, late: bool) -> tuple:
    """Return a sort key: timely requests first, then by rank."""
    return (late, ticket.rank, ticket.number)


@ORDERS.register("arrival")
def by_arrival(ticket: Ticket, late: bool) -> tuple:
    """Return a sort key: first come, first served."""
    return (ticket.number,)
