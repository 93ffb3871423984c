"""Admission at the exit: slots, and a short queue by priority and deadline."""

import asyncio
import dataclasses
import heapq
import itertools

from rattanridge.kernel import codes, presets

EWMA_WEIGHT = 0.1


@dataclasses.dataclass(slots=True, order=True)
class Waiter:
    """One queued request; the lowest priority number goes first."""

    priority: int
    deadline: float
    number: int
    ready: asyncio.Future = dataclasses.field(compare=False)


class Admission:
    """Bounds the requests that run at once and those that wait.

    :param slots: requests that run at once.
    :param queue: requests that wait.
    """

    def __init__(self, slots: int, queue: int):
        self.slots = slots
        self.queue = queue
        self.running = 0
        self.waiting: list[Waiter] = []
        self.numbers = itertools.count()
        self.service_time = 0.0
        self.closed = False

    def load(self) -> tuple[int, int]:
        return (self.running, len(self.waiting))

    async def enter(self, priority: str, deadline: float) -> None:
        """Take a slot, waiting for one; raise a refusal if that can't work out."""
        now = asyncio.get_running_loop().time()
        if self.closed:
            raise codes.Failure(codes.DRAINING)
        rank = presets.PRIORITIES.index(priority)
        if self.running < self.slots and not self.waiting:
            self.running += 1
            return
        self.refuse_hopeless(rank, deadline, now)
        loop = asyncio.get_running_loop()
        waiter = Waiter(rank, deadline, next(self.numbers), loop.create_future())
        heapq.heappush(self.waiting, waiter)
        await self.wait(waiter, deadline - now)

    def refuse_hopeless(self, rank: int, deadline: float, now: float) -> None:
        """Refuse at once what would not finish in time or finds no room."""
        ahead = sum(1 for waiter in self.waiting if waiter.priority <= rank)
        wait = (ahead + 1) / self.slots * self.service_time
        if now + wait + self.service_time > deadline:
            raise codes.Failure(codes.TOO_LATE, retry_after=wait)
        if len(self.waiting) < self.queue:
            return
        last = max(self.waiting)
        if last.priority <= rank:
            raise codes.Failure(codes.QUEUE_FULL, retry_after=wait)
        self.waiting.remove(last)
        heapq.heapify(self.waiting)
        if not last.ready.done():
            last.ready.set_exception(codes.Failure(codes.QUEUE_FULL, "displaced"))

    async def wait(self, waiter: Waiter, seconds: float) -> None:
        try:
            await asyncio.wait_for(asyncio.shield(waiter.ready), max(seconds, 0))
        except TimeoutError:
            self.abandon(waiter)
            raise codes.Failure(codes.TOO_LATE, "waited in the queue")
        except asyncio.CancelledError:
            self.abandon(waiter)
            raise

    def abandon(self, waiter: Waiter) -> None:
        """Take a waiter out; one that got its slot just now gives it back."""
        if waiter in self.waiting:
            self.waiting.remove(waiter)
            heapq.heapify(self.waiting)
        elif waiter.ready.done() and waiter.ready.exception() is None:
            self.leave(0.0)

    def leave(self, seconds: float) -> None:
        """Give a slot back after a request that took some seconds."""
        if seconds:
            self.service_time += EWMA_WEIGHT * (seconds - self.service_time)
        self.running -= 1
        while self.waiting and self.running < self.slots:
            waiter = heapq.heappop(self.waiting)
            if not waiter.ready.done():
                self.running += 1
                waiter.ready.set_result(None)
