"""Who waits at an exit, who is refused, and who comes next. Needs no network.

Answers these loads: a burst beyond the endpoint's slots, callers that repeat
at once, and calls that requests in progress make: refusing one of those wastes
the work of its parent, which holds a slot elsewhere meanwhile.
"""

import asyncio
import collections.abc
import dataclasses

from rattanridge.kernel import codes, registry

MEAN_WEIGHT = 0.1  # of one request in a route's mean time
DEFAULT_PROCESSING_TIME = 0.05  # seconds, before a route's own time is known
LATE_SHARE = 0.5  # of its time left that a request may wait if it will be late
LEAST_RETRY_AFTER = 0.05  # seconds
LONGEST_RETRY_AFTER = 5.0  # seconds
FINISH_SHARE = 0.8  # of the mean time without which a start is pointless
ENDING_FACTOR = 8.0  # of a route's mean time: longer than nearly all its requests
ENDING_RESERVE = 1.0  # seconds


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """One request at the queue.

    :param route: name of its route; requests of one route take alike.
    :param rank: 0 comes first.
    :param nested: whether a request in progress waits for it.
    :param timely_until: monotonic seconds until which its answer is timely.
    :param deadline: monotonic seconds after which nobody waits for it.
    """

    route: str
    rank: int
    nested: bool
    timely_until: float
    deadline: float
    number: int = 0
    ready: asyncio.Future | None = None


Order = collections.abc.Callable[[Ticket, bool], tuple]
Admission = collections.abc.Callable[["Queue", Ticket, float], bool]
ORDERS: registry.Registry[Order] = registry.Registry("queue order")
ADMISSIONS: registry.Registry[Admission] = registry.Registry("admission")


@ORDERS.register("timely-first")
def timely_first(ticket: Ticket, late: bool) -> tuple:
    """Return a request's place: what can be timely, then nested calls, then rank."""
    return (late, not ticket.nested, ticket.rank, ticket.number)


@ORDERS.register("by-rank")
def by_rank(ticket: Ticket, late: bool) -> tuple:
    """Return a request's place; nested calls have no precedence."""
    return (late, ticket.rank, ticket.number)


@ORDERS.register("arrival")
def by_arrival(ticket: Ticket, late: bool) -> tuple:
    """Return a request's place: first come, first served."""
    return (ticket.number,)


@ADMISSIONS.register("short-queue")
def admit_timely(queue: "Queue", ticket: Ticket, now: float) -> bool:
    """Whether a request may wait: not if it would be pointless.

    One that will be late may wait for a part of its time only.
    """
    wait = queue.wait_of(ticket)
    finish = now + wait + queue.times.mean_of(ticket.route)
    late = finish > ticket.timely_until and not ticket.nested
    late_wait = LATE_SHARE * (ticket.deadline - now)
    return finish <= ticket.deadline and not (late and wait > late_wait)


@ADMISSIONS.register("until-deadline")
def admit_until_deadline(queue: "Queue", ticket: Ticket, now: float) -> bool:
    """Whether a request may wait: as long as its deadline can be met."""
    work = queue.times.mean_of(ticket.route)
    return now + queue.wait_of(ticket) + work <= ticket.deadline


@ADMISSIONS.register("no-queue")
def admit_none(queue: "Queue", ticket: Ticket, now: float) -> bool:
    """Whether a request may wait: never, so the entry looks elsewhere at once."""
    return False


def may_outlast(work: float, left: float) -> bool:
    """Whether a request may still run when its process ends.

    :param work: mean seconds of its route.
    :param left: seconds until the process has to end.
    """
    return left < ENDING_RESERVE + ENDING_FACTOR * work


class Times:
    """The mean time that an endpoint takes for the requests of each route."""

    def __init__(self) -> None:
        self.means: dict[str, float] = {}
        self.overall = 0.0

    def record(self, route: str, seconds: float) -> None:
        """Learn from a request that ran to its end."""
        known = self.means.get(route, seconds)
        self.means[route] = known + MEAN_WEIGHT * (seconds - known)
        self.overall = (self.overall or seconds) * (1 - MEAN_WEIGHT)
        self.overall += MEAN_WEIGHT * seconds

    def mean_of(self, route: str) -> float:
        """Return the seconds that a request of a route takes."""
        return self.means.get(route) or self.overall or DEFAULT_PROCESSING_TIME


class Queue:
    """Gives an endpoint's slots to requests.

    :param slots: requests that the endpoint runs at once.
    """

    def __init__(
        self,
        slots: int,
        order: Order = timely_first,
        admission: Admission = admit_timely,
    ):
        self.slots = slots
        self.order = order
        self.admission = admission
        self.running = 0
        self.waiting: list[Ticket] = []
        self.times = Times()
        self.numbers = 0

    async def acquire(self, ticket: Ticket) -> None:
        """Wait for a slot; raise ``queue-full`` if there is none in time."""
        now = asyncio.get_running_loop().time()
        if self.running < self.slots and not self.waiting:
            self.running += 1
            return
        self.admit(ticket, now)
        try:
            await ticket.ready
        except asyncio.CancelledError:
            self.abandon(ticket)
            raise

    def admit(self, ticket: Ticket, now: float) -> None:
        """Queue a request, or refuse it at once if waiting is pointless."""
        self.numbers += 1
        ticket.number = self.numbers
        if not self.admission(self, ticket, now):
            raise codes.Failure(codes.QUEUE_FULL, retry_after=self.retry_after())
        ticket.ready = asyncio.get_running_loop().create_future()
        self.waiting.append(ticket)
        self.watch(ticket, now)

    def wait_of(self, ticket: Ticket) -> float:
        """Return the seconds until a request of this order would get a slot."""
        place = self.order(ticket, False)
        ahead = sum(
            self.times.mean_of(item.route)
            for item in self.waiting
            if self.order(item, False) < place
        )
        return (ahead + self.running * self.mean() / 2) / self.slots

    def mean(self) -> float:
        """Return the seconds that any request takes."""
        return self.times.overall or DEFAULT_PROCESSING_TIME

    def expected_wait(self) -> float:
        """Return the seconds that a request without a privilege would wait."""
        if self.running < self.slots:
            return 0.0
        ahead = sum(self.times.mean_of(item.route) for item in self.waiting)
        return (ahead + self.mean()) / self.slots

    def retry_after(self) -> float:
        """Return the seconds until the queue as it stands has drained."""
        return min(max(self.expected_wait(), LEAST_RETRY_AFTER), LONGEST_RETRY_AFTER)

    def watch(self, ticket: Ticket, now: float) -> None:
        """Refuse a waiting request as soon as it can't be finished any more."""
        latest = ticket.deadline - FINISH_SHARE * self.times.mean_of(ticket.route)
        loop = asyncio.get_running_loop()
        handle = loop.call_at(max(latest, now), self.expire, ticket)
        ticket.ready.add_done_callback(lambda done: handle.cancel())

    def expire(self, ticket: Ticket) -> None:
        """Refuse a request that waited in vain."""
        if ticket in self.waiting:
            self.waiting.remove(ticket)
            self.refuse(ticket, codes.QUEUE_FULL, "waited in vain")

    def refuse(self, ticket: Ticket, code: codes.Code, detail: str) -> None:
        """Wake a waiting request with a refusal."""
        if not ticket.ready.done():
            failure = codes.Failure(code, detail, retry_after=self.retry_after())
            ticket.ready.set_exception(failure)

    def refuse_all(self, code: codes.Code, detail: str) -> None:
        """Refuse all that wait."""
        waiting, self.waiting = self.waiting, []
        for ticket in waiting:
            self.refuse(ticket, code, detail)

    def abandon(self, ticket: Ticket) -> None:
        """Take out a request whose caller went away."""
        if ticket in self.waiting:
            self.waiting.remove(ticket)
        elif not ticket.ready.cancelled() and ticket.ready.exception() is None:
            self.release()

    def release(self) -> None:
        """Give a slot back."""
        self.running -= 1
        self.grant()

    def resize(self, slots: int) -> None:
        """Take over another number of slots."""
        self.slots = slots
        self.grant()

    def grant(self) -> None:
        """Give free slots to the requests that come next."""
        while self.waiting and self.running < self.slots:
            ticket = self.next(asyncio.get_running_loop().time())
            self.waiting.remove(ticket)
            if ticket.ready.done():
                continue
            self.running += 1
            ticket.ready.set_result(None)

    def is_late(self, ticket: Ticket, now: float) -> bool:
        """Whether a request that starts now would miss its target latency.

        A nested call is never late: its parent, whose work would be lost with it,
        may still be timely.
        """
        finish = now + self.times.mean_of(ticket.route)
        return not ticket.nested and finish > ticket.timely_until

    def next(self, now: float) -> Ticket:
        """Return the request to run next: one that can still be timely first."""
        best = None
        least = None
        for item in self.waiting:
            place = self.order(item, self.is_late(item, now))
            if least is None or place < least:
                best, least = item, place
        return best
