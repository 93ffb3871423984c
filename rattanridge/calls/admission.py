"""Admission at the exit: slots, and a short queue by priority and deadline."""

import asyncio
import bisect
import dataclasses
import itertools

from rattanridge.kernel import codes, presets
from rattanridge.policies import queues

FAST_WEIGHT = 0.3
SLOW_WEIGHT = 0.05
HOLD_MOST = 1.0  # seconds that free slots are held for higher priorities
RANKS = {name: rank for rank, name in enumerate(presets.PRIORITIES)}


class ServiceTime:
    """What finished requests teach about how long a request runs.

    Errs on the low side, for a request that is queued in vain is refused at its
    deadline, while one that is refused in vain is lost.
    """

    def __init__(self):
        self.fast = 0.0
        self.slow = 0.0
        self.least = 0.0

    def note(self, seconds: float) -> None:
        """Learn from one request that ran to its end."""
        if self.slow == 0.0:
            self.fast = self.slow = self.least = seconds
            return
        self.fast += FAST_WEIGHT * (seconds - self.fast)
        self.slow += SLOW_WEIGHT * (seconds - self.slow)
        self.least = min(seconds, self.least + SLOW_WEIGHT * (seconds - self.least))

    @property
    def mean(self) -> float:
        """The lower of a fast and a slow average: a slow spell is soon forgotten."""
        return min(self.fast, self.slow)


@dataclasses.dataclass(slots=True)
class Waiter:
    """One queued request.

    :param place: sorts the queue; the greatest goes first.
    """

    place: tuple[float, float, int]
    rank: int
    deadline: float
    ready: asyncio.Future


def get_place(waiter: Waiter) -> tuple[float, float, int]:
    """Return a waiter's place in the queue."""
    return waiter.place


class Admission:
    """Bounds the requests that run at once and those that wait.

    One object serves all upstreams that follow each other beside a node, so
    that requests of the last one still count against the slots.

    :param slots: requests that run at once.
    :param queue: requests that wait.
    """

    def __init__(self, slots: int, queue: int):
        self.slots = slots
        self.queue = queue
        self.order: queues.Order = queues.Deadline()
        self.running = 0
        self.waiting: list[Waiter] = []
        self.numbers = itertools.count()
        self.service_time = ServiceTime()
        self.refused_at = [float("-inf")] * len(RANKS)
        self.closed = False

    def load(self) -> tuple[int, int]:
        return (self.running, len(self.waiting))

    def resize(self, slots: int, queue: int, order: queues.Order) -> None:
        """Take other bounds; what runs goes on, and counts."""
        self.slots = slots
        self.queue = queue
        self.order = order
        self.grant()

    def close(self) -> None:
        """Let nothing in any more, and refuse what waits."""
        self.closed = True
        waiting, self.waiting = self.waiting, []
        for waiter in waiting:
            refuse(waiter, codes.Failure(codes.DRAINING))

    def open(self) -> None:
        self.closed = False

    async def enter(self, priority: str, deadline: float) -> None:
        """Take a slot, waiting for one; raise a refusal if that can't work out."""
        if self.closed:
            raise codes.Failure(codes.DRAINING)
        loop = asyncio.get_running_loop()
        now = loop.time()
        if now >= deadline:
            raise codes.Failure(codes.TOO_LATE)
        rank = RANKS[priority]
        if self.running < self.slots and not self.waiting:
            self.check_held(rank, now)
            self.running += 1
            return
        waiter = self.push(rank, deadline, now)
        timer = loop.call_at(deadline, self.expire, waiter)
        try:
            await waiter.ready
        except asyncio.CancelledError:
            self.abandon(waiter)
            raise
        finally:
            timer.cancel()

    def push(self, rank: int, deadline: float, now: float) -> Waiter:
        """Queue a request, or refuse it at once."""
        first, second = self.order.place(rank, deadline, now)
        place = (-first, -second, -next(self.numbers))
        index = bisect.bisect_left(self.waiting, place, key=get_place)
        before = len(self.waiting) - index
        wait = (before + 1) / self.slots * self.service_time.mean
        if now + wait + self.service_time.mean > deadline:
            self.refused_at[rank] = now
            raise codes.Failure(codes.TOO_LATE, retry_after=wait)
        if len(self.waiting) >= self.queue:
            self.displace(rank, wait, now)
            index -= 1
        ready = asyncio.get_running_loop().create_future()
        waiter = Waiter(place, rank, deadline, ready)
        self.waiting.insert(max(index, 0), waiter)
        return waiter

    def check_held(self, rank: int, now: float) -> None:
        """Refuse a request if higher priorities were refused within the time of
        one request.

        Where requests run for long, nobody can wait for a slot in time, and a free
        one would go to whoever comes next, whatever its priority.
        """
        hold = min(self.service_time.mean, HOLD_MOST)
        if any(now - refused < hold for refused in self.refused_at[:rank]):
            raise codes.Failure(codes.QUEUE_FULL, "held", retry_after=hold)

    def displace(self, rank: int, wait: float, now: float) -> None:
        """Drop the last waiter if its priority is lower; else refuse."""
        if not self.waiting or self.waiting[0].rank <= rank:
            self.refused_at[rank] = now
            raise codes.Failure(codes.QUEUE_FULL, retry_after=wait)
        last = self.waiting.pop(0)
        refuse(last, codes.Failure(codes.QUEUE_FULL, "displaced", retry_after=wait))

    def expire(self, waiter: Waiter) -> None:
        """Refuse a waiter whose deadline came."""
        if not waiter.ready.done():
            self.remove(waiter)
            refuse(waiter, codes.Failure(codes.TOO_LATE, "waited in the queue"))

    def abandon(self, waiter: Waiter) -> None:
        """Take a waiter out; one that got its slot just now gives it back."""
        if waiter.ready.cancelled() or not waiter.ready.done():
            self.remove(waiter)
        elif waiter.ready.exception() is None:
            self.leave()

    def remove(self, waiter: Waiter) -> None:
        index = bisect.bisect_left(self.waiting, waiter.place, key=get_place)
        if index < len(self.waiting) and self.waiting[index] is waiter:
            del self.waiting[index]

    def leave(self, seconds: float = 0.0) -> None:
        """Give a slot back.

        :param seconds: how long the request ran; 0 if it did not run to its end.
        """
        if seconds > 0:
            self.service_time.note(seconds)
        self.running -= 1
        self.grant()

    def grant(self) -> None:
        """Give free slots to the first waiters that can still finish in time."""
        now = asyncio.get_running_loop().time() if self.waiting else 0.0
        while self.waiting and self.running < self.slots:
            waiter = self.waiting.pop()
            if waiter.ready.done():
                continue
            if now + self.service_time.least > waiter.deadline:
                refuse(waiter, codes.Failure(codes.TOO_LATE, "waited in the queue"))
                continue
            self.running += 1
            waiter.ready.set_result(None)


def refuse(waiter: Waiter, failure: codes.Failure) -> None:
    """Wake a waiter with a refusal, unless it is gone already."""
    if not waiter.ready.done():
        waiter.ready.set_exception(failure)
