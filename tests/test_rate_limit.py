"""Endpoints that limit the rate of their requests. No network, virtual time."""

import asyncio
import collections
import random

import hypothesis
import pytest
from hypothesis import strategies

from rattanridge.kernel import codes
from rattanridge.platform import headers
from rattanridge.policies import placement, queueing, rate_limit, tickets
from tests import virtual_time

WINDOW = 4.0  # seconds


def most_in_window(times, window=WINDOW):
    """Return the most times that lie in any window."""
    return max(
        (sum(at <= other < at + window for other in times) for at in times), default=0
    )


def most_at_limit(limit, window=WINDOW):
    """Return the most requests that may start in a window at a limit."""
    rate = max(limit, rate_limit.MIN_RATE)
    return rate * (window + rate_limit.BURST_SECONDS) + 1


class TestLimit:
    @hypothesis.given(
        limit=strategies.floats(0.0, 50.0),
        pauses=strategies.lists(strategies.floats(0.0, 2.0), max_size=60),
    )
    def test_no_window_has_more_starts_than_the_limit_allows(self, limit, pauses):
        limiter = rate_limit.RateLimit()
        limiter.apply(limit, 0.0)
        now, starts = 0.0, []
        for pause in pauses:
            now = max(now + pause, now + limiter.delay(now))
            limiter.record_start(now)
            starts.append(now)
        assert most_in_window(starts) <= most_at_limit(limit) + 1e-6

    @pytest.mark.parametrize("limit", [0.0, 0.01, rate_limit.MIN_RATE])
    def test_a_request_is_tried_now_and_then_at_any_limit(self, limit):
        limiter = rate_limit.RateLimit()
        limiter.apply(limit, 10.0)
        limiter.record_start(10.0)
        assert limiter.delay(10.0) <= 1 / rate_limit.MIN_RATE + 1e-9

    def test_a_higher_limit_ends_the_wait_for_a_lower_one(self):
        limiter = rate_limit.RateLimit()
        limiter.apply(0.5, 0.0)
        for _ in range(5):
            limiter.record_start(0.0)
        limiter.apply(100.0, 0.1)
        assert limiter.delay(0.1) <= 0.01 + 1e-9
        limiter.apply(None, 0.1)
        assert limiter.delay(0.1, ahead=1000) == 0.0


class TestHeader:
    @pytest.mark.parametrize(
        ("values", "limit"),
        [
            (["12.5"], 12.5),
            (["0"], 0.0),
            (["0.25"], 0.25),
            (["1e9"], 1e9),
            (["40", "30"], 30.0),
            (["40, 30"], 30.0),
            (["x", "30"], 30.0),
            ([" 7 "], 7.0),
            ([], None),
            ([""], None),
            (["-1"], None),
            (["nan"], None),
            (["inf"], None),
            (["7/s"], None),
            (["9" * 400], None),
        ],
    )
    def test_values(self, values, limit):
        assert headers.parse_limit(values) == limit


class Endpoint:
    """A queue with the times at which its requests start."""

    def __init__(self, limit=None, slots=12, work=0.09):
        self.queue = queueing.Queue(slots)
        self.work = work
        self.limit = limit
        self.starts = []
        self.refused = []

    def apply_limit(self):
        self.queue.set_limit(self.limit)

    async def serve(self, rank=1, nested=False, timely=0.3, deadline=1.0):
        """Return whether a request was served; note when it started."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        ticket = tickets.Ticket("r", rank, nested, now + timely, now + deadline)
        try:
            await self.queue.acquire(ticket)
        except codes.Failure as failure:
            self.refused.append((failure, loop.time() - now))
            return False
        self.starts.append(loop.time())
        await asyncio.sleep(self.work)
        self.queue.times.record("r", self.work)
        self.queue.release(ticket)
        return True


async def load(endpoint, rate, seconds, **request):
    """Send a steady load; return how many were served."""
    tasks = []
    for _ in range(int(rate * seconds)):
        tasks.append(asyncio.create_task(endpoint.serve(**request)))
        await asyncio.sleep(1 / rate)
    return sum(await asyncio.gather(*tasks))


class TestQueue:
    # Guards against: an endpoint gets what its slots allow, whatever limit it names.
    @pytest.mark.parametrize("limit", [1.0, 7.5, 30.0, 60.0])
    def test_keeps_to_the_limit_and_uses_it(self, limit):
        async def scenario():
            endpoint = Endpoint(limit)
            endpoint.apply_limit()
            served = await load(endpoint, 100.0, 10.0)
            assert most_in_window(endpoint.starts) <= most_at_limit(limit)
            assert served >= 0.95 * limit * 10.0 - 1

        virtual_time.run(scenario())

    def test_urgent_and_nested_requests_come_first(self):
        async def scenario():
            endpoint = Endpoint(20.0)
            endpoint.apply_limit()
            served = await asyncio.gather(
                load(endpoint, 8.0, 10.0, rank=2, nested=True),
                load(endpoint, 8.0, 10.0, rank=0),
                load(endpoint, 60.0, 10.0, rank=2),
            )
            assert served[0] == 80
            assert served[1] >= 78
            assert served[2] <= 50

        virtual_time.run(scenario())

    def test_what_has_no_room_is_refused_at_once_with_a_time_to_return(self):
        async def scenario():
            endpoint = Endpoint(10.0)
            endpoint.apply_limit()
            await load(endpoint, 100.0, 3.0)
            at_once = [item for item, took in endpoint.refused if took == 0.0]
            assert len(at_once) >= 0.9 * len(endpoint.refused)
            assert {item.code for item in at_once} == {codes.RATE_LIMITED}
            assert all(0.2 <= item.retry_after <= 1.0 for item in at_once)

        virtual_time.run(scenario())

    def test_waiting_requests_start_when_the_limit_ends(self):
        async def scenario():
            endpoint = Endpoint(2.0)
            endpoint.apply_limit()
            waiting = [asyncio.create_task(endpoint.serve(deadline=9.0)) for _ in "123"]
            await asyncio.sleep(0.01)
            assert len(endpoint.starts) == 1
            endpoint.queue.set_limit(None)
            assert all(await asyncio.gather(*waiting))
            assert max(endpoint.starts) < 0.02

        virtual_time.run(scenario())

    def test_usable_slots(self):
        async def scenario():
            endpoint = Endpoint(20.0)
            endpoint.queue.times.record("r", 0.1)
            assert endpoint.queue.usable_slots() == 12
            endpoint.apply_limit()
            assert endpoint.queue.usable_slots() == pytest.approx(2.0)

        virtual_time.run(scenario())


class Entry:
    """Chooses among endpoints by what came with earlier answers."""

    def __init__(self, zone, endpoints, seed):
        self.placer = placement.Placer(zone, random.Random(seed))
        self.endpoints = endpoints
        self.candidates = [
            placement.Candidate(name, "", name[0], "s", name, "v1", item.queue.slots)
            for name, item in endpoints.items()
        ]

    async def send(self):
        """Return whether a request was served by one of three endpoints."""
        loop = asyncio.get_running_loop()
        tried = []
        while len(tried) < 3:
            untried = [item for item in self.candidates if item not in tried]
            chosen = self.placer.choose(untried, "r", 0.3, loop.time())
            tried.append(chosen)
            chosen.begin(loop.time())
            endpoint = self.endpoints[chosen.node]
            served = await endpoint.serve()
            chosen.end(True, loop.time())
            queue = endpoint.queue
            report = placement.Load(
                queue.running, len(queue.waiting), queue.expected_wait()
            )
            chosen.limit = endpoint.limit
            chosen.record_load(report, loop.time())
            if served:
                return True
        return False


class TestFleet:
    # Guards against: callers beside a limited endpoint are refused, or it gets too
    # much, while endpoints in other zones have room.
    @pytest.mark.parametrize("limits", [(20, None), (20, 20, None), (0, 15, None)])
    def test_work_goes_where_there_is_room(self, limits):
        async def scenario():
            names = [f"{zone}1" for zone in "abcd"[: len(limits)]]
            endpoints = {
                name: Endpoint(limit, slots=24)
                for name, limit in zip(names, limits, strict=True)
            }
            for endpoint in endpoints.values():
                endpoint.apply_limit()
            zones = "aaaabbcd"
            entries = [Entry(zones[seed], endpoints, seed) for seed in range(8)]
            rng = random.Random(7)
            tasks = []
            while asyncio.get_running_loop().time() < 12.0:
                tasks.append(asyncio.create_task(rng.choice(entries).send()))
                await asyncio.sleep(rng.expovariate(150.0))
            outcomes = collections.Counter(await asyncio.gather(*tasks))
            assert outcomes[False] <= 0.002 * outcomes[True]
            for endpoint in endpoints.values():
                if endpoint.limit is not None:
                    allowed = most_at_limit(endpoint.limit)
                    assert most_in_window(endpoint.starts) <= allowed

        virtual_time.run(scenario())
