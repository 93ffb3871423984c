"""Decides which requests may wait at an exit. Needs no network.

Handles bursts beyond the endpoint's slots: a request that cannot be served in time is
refused before it queues, so that its caller or entry can try elsewhere.
"""

import collections.abc
import typing

from rattanridge.kernel import registry
from rattanridge.policies import processing_times, tickets

LATE_WAIT_SHARE = 0.5  # of its remaining time that a late request may wait


class Line(typing.Protocol):
    """What an admission knows of the queue."""

    times: processing_times.ProcessingTimes

    def expected_wait_of(self, ticket: tickets.Ticket) -> float:
        """Return the seconds until a request would get a slot in its order."""


# Returns whether a request may wait; the number is the current monotonic seconds.
Admission = collections.abc.Callable[[Line, tickets.Ticket, float], bool]
ADMISSIONS: registry.Registry[Admission] = registry.Registry("admission")


@ADMISSIONS.register("short-queue")
def admit_timely(queue: Line, ticket: tickets.Ticket, now: float) -> bool:
    """Return whether a request may wait: only if it can meet its deadline.

    A request that will miss its target latency may wait for only a part of its
    remaining time.
    """
    wait = queue.expected_wait_of(ticket)
    finish = now + wait + queue.times.mean_of(ticket.route)
    late = finish > ticket.timely_until and not ticket.nested
    late_wait = LATE_WAIT_SHARE * (ticket.deadline - now)
    return finish <= ticket.deadline and not (late and wait > late_wait)


@ADMISSIONS.register("until-deadline")
def admit_until_deadline(queue: Line, ticket: tickets.Ticket, now: float) -> bool:
    """Return whether a request may wait: whenever it can meet its deadline."""
    processing_time = queue.times.mean_of(ticket.route)
    return now + queue.expected_wait_of(ticket) + processing_time <= ticket.deadline


@ADMISSIONS.register("no-queue")
def admit_none(queue: Line, ticket: tickets.Ticket, now: float) -> bool:
    """Return False: no request waits, so the entry tries another endpoint at once."""
    return False
