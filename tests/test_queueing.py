"""Admission to an exit's queue, and the order of its requests."""

import asyncio

import pytest

from rattanridge.kernel import codes
from rattanridge.policies import queueing, tickets
from tests import virtual_time


def make_ticket(rank=1, nested=False, timely=1.0, deadline=5.0, route="r"):
    now = asyncio.get_running_loop().time()
    return tickets.Ticket(route, rank, nested, now + timely, now + deadline)


async def fill(queue):
    """Take all slots of the queue; return the tickets that hold them."""
    held = [make_ticket() for _ in range(queue.slots)]
    for ticket in held:
        await queue.acquire(ticket)
    return held


async def wait_for_slot(queue, ticket):
    """Return a task that waits for a slot, once it is queued."""
    task = asyncio.create_task(queue.acquire(ticket))
    await asyncio.sleep(0)
    return task


class TestSlots:
    async def test_never_runs_more_requests_than_slots(self):
        queue = queueing.Queue(3)
        held = await fill(queue)
        waiting = await wait_for_slot(queue, make_ticket())
        assert queue.running == 3
        assert not waiting.done()
        queue.release(held.pop())
        await waiting
        assert queue.running == 3

    async def test_cancelled_request_leaves_the_queue(self):
        queue = queueing.Queue(1)
        held = await fill(queue)
        waiting = await wait_for_slot(queue, make_ticket())
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert not queue.waiting
        queue.release(held.pop())
        assert queue.running == 0

    async def test_request_cancelled_as_it_gets_a_slot_releases_it(self):
        queue = queueing.Queue(1)
        held = await fill(queue)
        waiting = await wait_for_slot(queue, make_ticket())
        queue.release(held.pop())
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert queue.running == 0

    async def test_added_slots_are_used_immediately(self):
        queue = queueing.Queue(1)
        await fill(queue)
        waiting = await wait_for_slot(queue, make_ticket())
        queue.resize(2)
        await waiting


# Pairs of requests: one that waits, and one that arrives later but must run first.
OVERTAKINGS = {
    "nested calls overtake new requests": ({"rank": 0}, {"rank": 2, "nested": True}),
    # Otherwise new requests to an overloaded service would starve the parents of its
    # nested calls.
    "nested calls overtake even if they will be late": (
        {"rank": 0},
        {"rank": 2, "nested": True, "timely": -0.1},
    ),
    "urgent requests overtake others": ({"rank": 2}, {"rank": 0}),
    "timely requests overtake late ones": ({"rank": 1, "timely": -1.0}, {"rank": 1}),
    # Otherwise a short urgent request that became late waited behind a whole burst of
    # long ones until its deadline.
    "late urgent requests overtake timely ones": (
        {"rank": 1},
        {"rank": 0, "timely": -1.0},
    ),
}


class TestOrder:
    @pytest.mark.parametrize(
        ("earlier", "later"), OVERTAKINGS.values(), ids=OVERTAKINGS
    )
    async def test_overtaking(self, earlier, later):
        queue = queueing.Queue(1)
        queue.times.record("r", 0.02)
        held = await fill(queue)
        overtaken = await wait_for_slot(queue, make_ticket(**earlier))
        first = await wait_for_slot(queue, make_ticket(**later))
        queue.release(held.pop())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert first.done()
        assert not overtaken.done()
        overtaken.cancel()

    async def test_equal_requests_run_in_order_of_arrival(self):
        queue = queueing.Queue(1)
        held = await fill(queue)
        first = await wait_for_slot(queue, make_ticket())
        second = await wait_for_slot(queue, make_ticket())
        queue.release(held.pop())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert first.done()
        assert not second.done()
        second.cancel()


class TestRefusal:
    async def test_is_immediate_if_the_deadline_can_not_be_met(self):
        queue = queueing.Queue(1)
        queue.times.record("r", 1.0)
        await fill(queue)
        with pytest.raises(codes.Failure) as caught:
            await queue.acquire(make_ticket(deadline=0.8))
        assert caught.value.code is codes.QUEUE_FULL
        assert caught.value.ran is codes.Execution.NOT_RUN
        assert caught.value.retry_after > 0

    async def test_of_a_waiting_request_that_can_not_meet_its_deadline(self):
        queue = queueing.Queue(1)
        queue.times.record("r", 0.02)
        await fill(queue)
        with pytest.raises(codes.Failure):
            await queue.acquire(make_ticket(deadline=0.06))
        assert not queue.waiting

    async def test_of_all_requests_when_the_endpoint_drains(self):
        queue = queueing.Queue(1)
        await fill(queue)
        waiting = await wait_for_slot(queue, make_ticket())
        queue.refuse_all(codes.DRAINING, "the endpoint drains")
        with pytest.raises(codes.Failure) as caught:
            await waiting
        assert caught.value.code is codes.DRAINING

    async def test_retry_after_is_bounded(self):
        queue = queueing.Queue(1)
        queue.times.record("r", 100.0)
        await fill(queue)
        assert queue.retry_after() == queueing.MAX_RETRY_AFTER

    async def test_of_late_requests_unless_they_are_nested(self):
        queue = queueing.Queue(1)
        queue.times.record("r", 0.5)
        await fill(queue)
        first = await wait_for_slot(queue, make_ticket(timely=2.0))
        with pytest.raises(codes.Failure):
            await queue.acquire(make_ticket(timely=0.1, deadline=1.3))
        nested = await wait_for_slot(
            queue, make_ticket(timely=0.1, deadline=1.3, nested=True)
        )
        assert not nested.done()
        for task in (first, nested):
            task.cancel()

    def test_burst_is_served_in_time_or_refused_early(self):
        """300 simultaneous requests of 10 ms at 4 slots; target latency 0.2 s."""
        refused, times, queue = virtual_time.run(self.run_burst())
        assert len(times) >= 40
        assert max(times) < 0.4
        assert max(refused) < 0.4
        assert len(refused) + len(times) == 300
        assert queue.running == 0

    async def run_burst(self):
        """Return the seconds until each refusal and each answer, and the queue."""
        queue = queueing.Queue(4)
        queue.times.record("r", 0.01)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        times = []
        refused = []

        async def run():
            ticket = make_ticket(timely=0.2, deadline=0.4)
            try:
                await queue.acquire(ticket)
            except codes.Failure:
                refused.append(loop.time() - started_at)
                return
            await asyncio.sleep(0.01)
            queue.release(ticket)
            times.append(loop.time() - started_at)

        await asyncio.gather(*(run() for _ in range(300)))
        return refused, times, queue
