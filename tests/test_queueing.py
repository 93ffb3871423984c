"""Who waits at an exit, who is refused, and who comes next."""

import asyncio

import pytest

from rattanridge.kernel import codes
from rattanridge.policies import queueing
from tests import virtual_time


def ticket(rank=1, nested=False, timely=1.0, deadline=5.0, route="r"):
    now = asyncio.get_running_loop().time()
    return queueing.Ticket(route, rank, nested, now + timely, now + deadline)


async def fill(queue):
    for _ in range(queue.slots):
        await queue.acquire(ticket())


async def enter(queue, made):
    task = asyncio.create_task(queue.acquire(made))
    await asyncio.sleep(0)
    return task


class TestSlots:
    async def test_never_more_than_slots(self):
        queue = queueing.Queue(3)
        await fill(queue)
        waiting = await enter(queue, ticket())
        assert queue.running == 3
        assert not waiting.done()
        queue.release()
        await waiting
        assert queue.running == 3

    async def test_a_caller_that_goes_away_gives_its_place_back(self):
        queue = queueing.Queue(1)
        await fill(queue)
        waiting = await enter(queue, ticket())
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert not queue.waiting
        queue.release()
        assert queue.running == 0

    async def test_a_caller_that_goes_away_just_as_it_gets_a_slot(self):
        queue = queueing.Queue(1)
        await fill(queue)
        waiting = await enter(queue, ticket())
        queue.release()
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert queue.running == 0

    async def test_more_slots_are_used_at_once(self):
        queue = queueing.Queue(1)
        await fill(queue)
        waiting = await enter(queue, ticket())
        queue.resize(2)
        await waiting


# What waits, and what comes after it but is to run first.
OVERTAKINGS = {
    "nested calls overtake new requests": ({"rank": 0}, {"rank": 2, "nested": True}),
    # An overloaded service: its own requests would starve their parents.
    "nested calls overtake even if they will be late": (
        {"rank": 0},
        {"rank": 2, "nested": True, "timely": -0.1},
    ),
    "urgent requests overtake others": ({"rank": 2}, {"rank": 0}),
    "timely requests overtake late ones": ({"rank": 0, "timely": -1.0}, {"rank": 1}),
}


class TestOrder:
    @pytest.mark.parametrize(
        ("earlier", "later"), OVERTAKINGS.values(), ids=OVERTAKINGS
    )
    async def test_overtaking(self, earlier, later):
        queue = queueing.Queue(1)
        queue.times.record("r", 0.02)
        await fill(queue)
        overtaken = await enter(queue, ticket(**earlier))
        first = await enter(queue, ticket(**later))
        queue.release()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert first.done()
        assert not overtaken.done()
        overtaken.cancel()

    async def test_equal_requests_run_as_they_came(self):
        queue = queueing.Queue(1)
        await fill(queue)
        first = await enter(queue, ticket())
        second = await enter(queue, ticket())
        queue.release()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert first.done()
        assert not second.done()
        second.cancel()


class TestRefusal:
    async def test_at_once_if_the_deadline_can_not_be_met(self):
        queue = queueing.Queue(1)
        queue.times.record("r", 1.0)
        await fill(queue)
        with pytest.raises(codes.Failure) as caught:
            await queue.acquire(ticket(deadline=0.8))
        assert caught.value.code is codes.QUEUE_FULL
        assert caught.value.ran is codes.Execution.NOT_RUN
        assert caught.value.retry_after > 0

    async def test_of_a_request_that_waits_until_it_is_hopeless(self):
        queue = queueing.Queue(1)
        queue.times.record("r", 0.02)
        await fill(queue)
        with pytest.raises(codes.Failure):
            await queue.acquire(ticket(deadline=0.06))
        assert not queue.waiting

    async def test_of_all_when_the_endpoint_leaves(self):
        queue = queueing.Queue(1)
        await fill(queue)
        waiting = await enter(queue, ticket())
        queue.refuse_all(codes.DRAINING, "leaves")
        with pytest.raises(codes.Failure) as caught:
            await waiting
        assert caught.value.code is codes.DRAINING

    async def test_retry_after_is_bounded(self):
        queue = queueing.Queue(1)
        queue.times.record("r", 100.0)
        await fill(queue)
        assert queue.retry_after() == queueing.LONGEST_RETRY_AFTER

    async def test_of_late_requests_unless_they_are_nested(self):
        queue = queueing.Queue(1)
        queue.times.record("r", 0.5)
        await fill(queue)
        first = await enter(queue, ticket(timely=2.0))
        with pytest.raises(codes.Failure):
            await queue.acquire(ticket(timely=0.1, deadline=1.3))
        nested = await enter(queue, ticket(timely=0.1, deadline=1.3, nested=True))
        assert not nested.done()
        for task in (first, nested):
            task.cancel()

    def test_a_burst_is_served_timely_or_refused_at_once(self):
        """300 requests at once against 4 slots of 10 ms, timely within 0.2 s."""
        refused, times, queue = virtual_time.run(self.play_burst())
        assert len(times) >= 40
        assert max(times) < 0.4
        assert max(refused) < 0.4
        assert len(refused) + len(times) == 300
        assert queue.running == 0

    async def play_burst(self):
        """Return the times of refusals, those of answers, and the queue."""
        queue = queueing.Queue(4)
        queue.times.record("r", 0.01)
        loop = asyncio.get_running_loop()
        began = loop.time()
        times = []
        refused = []

        async def run():
            try:
                await queue.acquire(ticket(timely=0.2, deadline=0.4))
            except codes.Failure:
                refused.append(loop.time() - began)
                return
            await asyncio.sleep(0.01)
            queue.release()
            times.append(loop.time() - began)

        await asyncio.gather(*(run() for _ in range(300)))
        return refused, times, queue
