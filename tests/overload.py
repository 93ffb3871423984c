"""A model of two services under overload, one of which calls the other.

Browsing calls the service that orders go to while it holds a slot of its own. Orders
are more urgent. Time is virtual; the queues are those of the exits.
"""

import asyncio
import collections
import random

from rattanridge.kernel import codes
from rattanridge.policies import load_shedding, queueing, tickets

SECONDS = 5.0
BROWSE_RANK = 2
ORDER_RANK = 1


class Model:
    """Runs the load against one queue for each service; counts outcomes by kind.

    :param slots: slots of the service that takes orders; 39 serve a load of 1.
    :param load: multiple of the usual load.
    :param with_shedding: whether browsing is refused while orders are.
    """

    def __init__(self, slots, load, with_shedding=True, seed=1):
        self.random = random.Random(seed)
        self.load = load
        self.catalogue = queueing.Queue(52)
        self.orders = queueing.Queue(slots)
        self.offered = collections.Counter()
        self.served = collections.Counter()
        self.shares = load_shedding.RefusedShares()
        self.dependencies = load_shedding.Dependencies(self.random)
        self.with_shedding = with_shedding
        self.wasted = 0
        self.tasks = set()

    def served_share(self, kind):
        return self.served[kind] / self.offered[kind]

    async def run(self):
        await asyncio.gather(
            self.arrive("browse", 600.0, self.browse),
            self.arrive("order", 333.0, self.place_order),
        )
        await asyncio.gather(*self.tasks)

    async def arrive(self, kind, per_second, serve):
        """Start requests at random times."""
        loop = asyncio.get_running_loop()
        while loop.time() < SECONDS:
            await asyncio.sleep(self.random.expovariate(per_second * self.load))
            self.offered[kind] += 1
            task = asyncio.create_task(self.serve(kind, serve))
            self.tasks.add(task)

    async def serve(self, kind, serve):
        try:
            await serve()
        except codes.Failure:
            return
        self.served[kind] += 1

    async def browse(self):
        now = asyncio.get_running_loop().time()
        deadline = now + 0.5
        if self.with_shedding and self.dependencies.should_refuse(
            "browse", BROWSE_RANK, now
        ):
            raise codes.Failure(codes.QUEUE_FULL)
        async with Slot(self.catalogue, "browse", BROWSE_RANK, False, 0.2, 0.5):
            await asyncio.sleep(self.vary(0.06))
            for _ in range(2):
                if self.random.random() < 0.7:
                    left = deadline - asyncio.get_running_loop().time()
                    await self.check_stock(min(left, 0.2))

    async def check_stock(self, left):
        self.dependencies.record_call("browse", "orders")
        try:
            async with Slot(self.orders, "check", BROWSE_RANK, True, 0.06, left):
                await asyncio.sleep(self.vary(0.015))
        except codes.Failure:
            self.wasted += 1
            raise
        finally:
            now = asyncio.get_running_loop().time()
            shares = self.shares.shares(now)
            self.dependencies.record_shares("orders", shares, now)

    async def place_order(self):
        refused = True
        try:
            async with Slot(self.orders, "order", ORDER_RANK, False, 0.25, 0.6):
                refused = False
                await asyncio.sleep(self.vary(0.078))
        finally:
            now = asyncio.get_running_loop().time()
            self.shares.record(ORDER_RANK, refused, now)

    def vary(self, seconds):
        return seconds * self.random.uniform(0.5, 1.5)


class Slot:
    """A slot of a queue; raises ``queue-full`` if there is none in time."""

    def __init__(self, queue, route, rank, nested, timely, deadline):
        now = asyncio.get_running_loop().time()
        self.queue = queue
        self.ticket = tickets.Ticket(route, rank, nested, now + timely, now + deadline)
        self.started_at = now

    async def __aenter__(self):
        await self.queue.acquire(self.ticket)
        self.started_at = asyncio.get_running_loop().time()

    async def __aexit__(self, *error):
        took = asyncio.get_running_loop().time() - self.started_at
        self.queue.times.record(self.ticket.route, took)
        self.queue.release(self.ticket)
