"""Where calls go: balancers, ejection, retries, hedges."""

import asyncio
import random

import hypothesis
import pytest
from hypothesis import strategies

from rattanridge.calls import headers, retries, types
from rattanridge.cli import node as daemon
from rattanridge.kernel import codes, metrics, presets
from rattanridge.policies import balancers, retries as policies
from tests import mesh


def candidate(name, zone="a", **more):
    return balancers.Candidate(name, zone, "v1", "h:1", 12, since=-1e9, **more)


def make(kind="two-choices", warmup=0.0):
    return balancers.BALANCERS.get(kind)("a", warmup, random.Random(1))


def count(balancer, items, rounds=2000, now=0.0):
    """Return how often each candidate is chosen."""
    chosen = [balancer.choose(items, now).name for _ in range(rounds)]
    return {item.name: chosen.count(item.name) for item in items}


class TestTwoChoices:
    def test_liar_is_overruled(self):
        """Claimed slots and an idle report do not outweigh own evidence."""
        liar = candidate("liar", in_flight=20, latency=0.4, measured=0.0)
        liar.slots = 10_000
        honest = [
            candidate(f"h{n}", running=10, latency=0.1, measured=0.0) for n in range(3)
        ]
        got = count(make(), [liar, *honest])
        assert got["liar"] == 0

    def test_slow_spell_fades(self):
        """An endpoint that was slow long ago is tried again."""
        items = [
            candidate("once-slow", latency=9.0, measured=0.0),
            candidate("a", latency=0.1, measured=1000.0),
            candidate("b", latency=0.1, measured=1000.0),
        ]
        assert count(make(), items, now=0.0)["once-slow"] == 0
        assert count(make(), items, now=1000.0)["once-slow"] > 200

    def test_fast_failures_attract_nobody(self):
        """An endpoint that fails at once is not a quick one."""
        bad = candidate("bad", latency=0.001, measured=0.0)
        good = [candidate(f"g{n}", latency=0.01, measured=0.0) for n in range(3)]
        for _ in range(50):
            bad.fail(0.0)
            bad.ejected_until = 0.0
        assert count(make(), [bad, *good])["bad"] < 1000

    def test_own_zone_then_spill_over(self):
        near = [candidate(f"n{i}", latency=0.1, measured=0.0) for i in range(2)]
        far = [candidate(f"f{i}", "b", latency=0.1, measured=0.0) for i in range(4)]
        balancer = make()
        got = count(balancer, [*near, *far])
        assert sum(got[item.name] for item in far) == 0
        for item in near:
            item.queued = 30
        got = count(balancer, [*near, *far])
        assert sum(got[item.name] for item in far) > 1500

    def test_slow_start(self):
        items = [candidate(f"c{n}", latency=0.1, measured=0.0) for n in range(3)]
        cold = candidate("cold")
        cold.since = 0.0
        share = count(make(warmup=10.0), [*items, cold], now=0.1)["cold"]
        later = count(make(warmup=10.0), [*items, cold], now=20.0)["cold"]
        assert share < later / 2

    @hypothesis.given(
        strategies.integers(1, 12), strategies.integers(0, 12), strategies.integers(0)
    )
    def test_ejection_is_capped(self, size, ejected, seed):
        """Ejected endpoints get nothing until more than half are ejected; then
        calls are never heaped on the few that are left."""
        items = [candidate(f"c{n}") for n in range(size)]
        for item in items[:ejected]:
            item.eject(0.0)
        balancer = balancers.TwoChoices("a", 0.0, random.Random(seed))
        chosen = {balancer.choose(items, 0.0).name for _ in range(100)}
        left = {item.name for item in items[ejected:]}
        if 2 * len(left) >= size:
            assert chosen <= left
        else:
            assert len(balancers.usable(items, 0.0)) == (size + 1) // 2


class TestEjection:
    def test_pause_grows_and_ends(self):
        item = candidate("one")
        for now, until in ((0.0, 1.0), (5.0, 7.0), (10.0, 14.0)):
            item.eject(now)
            assert item.ejected_until == until
        item.succeed(0.1, 20.0)
        item.eject(30.0)
        assert item.ejected_until == 31.0

    @pytest.mark.parametrize(
        ("code", "ejected"),
        [
            (codes.QUEUE_FULL, False),
            (codes.TOO_LATE, False),
            (codes.SHEDDING, False),
            (codes.MEMORY_FULL, False),
            (codes.UPSTREAM_FAILED, True),
            (codes.PEER_UNREACHABLE, True),
            (codes.ANSWER_CUT, True),
            (codes.DRAINING, True),
        ],
    )
    async def test_only_the_endpoints_own_failures(self, code, ejected):
        upstream = mesh.Upstream()
        async with mesh.pair(mesh.make_preset(), upstream) as running:
            attempts = running.nodes["apart"].entry.attempts
            item = candidate("one")
            call = make_call()
            for _ in range(balancers.EJECT_AFTER):
                answer = types.refuse(codes.Failure(code))
                attempts.note(call, item, answer, 0.1, 0.0)
        assert (item.ejected_until > 0.0) is ejected

    async def test_short_deadline_tells_nothing(self):
        upstream = mesh.Upstream()
        async with mesh.pair(mesh.make_preset(), upstream) as running:
            attempts = running.nodes["apart"].entry.attempts
            answer = types.refuse(codes.Failure(codes.DEADLINE))
            short, full = candidate("short"), candidate("full")
            for _ in range(balancers.EJECT_AFTER):
                attempts.note(make_call(), short, answer, 0.1, 0.0)
                attempts.note(make_call(), full, answer, 4.9, 0.0)
        assert short.ejected_until == 0.0
        assert full.ejected_until > 0.0


def make_call(idempotent=True, **more):
    route = presets.Route(service="workshop", timeout=5.0, retry_budget=0.1)
    now = asyncio.get_running_loop().time()
    fields = {"deadline": now + 5.0, "route": route} | more
    return types.Call(
        "GET", "/workshop", {}, b"", "workshop", idempotent, "normal", **fields
    )


RANS = {codes.Ran.NOT_RUN, codes.Ran.UNKNOWN, codes.Ran.RAN}


class TestRetries:
    @pytest.mark.parametrize("idempotent", [False, True])
    @pytest.mark.parametrize("ran", sorted(RANS))
    @pytest.mark.parametrize("marked", [False, True])
    async def test_who_may_retry(self, idempotent, ran, marked):
        """Work is repeated only if it may be, by the first hop alone; what did
        not run is placed anew by any hop."""
        made = retries.Retries(metrics.Counters())
        call = make_call(idempotent, retried=marked)
        answer = types.refuse(codes.Failure(codes.UPSTREAM_FAILED, ran=ran))
        runs = int(ran != codes.Ran.NOT_RUN)
        allowed = made.allowed(call, answer, policies.Budget(), 1, runs)
        assert allowed is (ran == codes.Ran.NOT_RUN or (idempotent and not marked))

    async def test_never_a_third_run(self):
        made = retries.Retries(metrics.Counters())
        failure = codes.Failure(codes.UPSTREAM_FAILED, ran=codes.Ran.UNKNOWN)
        answer = types.refuse(failure)
        assert made.allowed(make_call(), answer, policies.Budget(), 1, 1)
        assert not made.allowed(make_call(), answer, policies.Budget(), 2, 2)
        assert made.counters.get("retry.refused.runs") == 1

    @hypothesis.given(strategies.lists(strategies.booleans(), max_size=300))
    def test_budget_is_a_fraction_of_successes(self, history):
        """Retries never exceed the first tokens and a tenth of the successes."""
        policy = policies.Budget()
        spent = 0
        for success in history:
            if success:
                policy.earn(0.1)
            else:
                spent += policy.spend()
        assert spent <= policies.TOKENS_FIRST + 0.1 * sum(history) + 1e-9


class Slow(mesh.Upstream):
    """Answers only when told to."""

    def __init__(self):
        super().__init__()
        self.go = asyncio.Event()
        self.ended = 0

    async def script(self, request, writer):
        await self.go.wait()
        await super().script(request, writer)


class TestHedging:
    @pytest.mark.parametrize("hedge", [0.0, 0.02])
    async def test_second_endpoint_answers(self, hedge):
        """A late endpoint is overtaken only where the route says so."""
        slow, quick = Slow(), mesh.Upstream()
        preset = mesh.make_preset(hedge=hedge)
        async with mesh.pair(preset, slow) as running:
            await running.attach(running.nodes["apart"], quick)
            entry = running.nodes["apart"].entry
            known = entry.endpoints.services["workshop"]
            now = asyncio.get_running_loop().time()
            known["beside"].succeed(0.001, now)
            known["apart"].succeed(9.0, now)
            async with mesh.Caller(running.nodes["apart"].caller_url) as caller:
                caller.request("GET", "/workshop/a")
                assert await mesh.settled(lambda: slow.requests)
                if not hedge:
                    slow.go.set()
                got = await caller.reply()
            assert got.body == b"done /workshop/a"
            assert len(quick.requests) == int(hedge > 0)
            assert entry.counters.get("hedge.sent") == int(hedge > 0)
            gate = running.nodes["beside"].exit.admission
            assert await mesh.settled(lambda: gate.running == 0)

    async def test_bounded_by_the_budget(self):
        slow = Slow()
        async with mesh.pair(mesh.make_preset(hedge=0.01), slow) as running:
            spare = Slow()
            await running.attach(running.nodes["apart"], spare)
            entry = running.nodes["apart"].entry
            url = running.nodes["apart"].caller_url
            tasks = [asyncio.create_task(get(url, n)) for n in range(4)]
            refused = f"hedge.refused.{codes.RETRY_BUDGET.name}"
            assert await mesh.settled(lambda: entry.counters.get(refused) == 1)
            assert entry.counters.get("hedge.sent") == 3
            slow.go.set()
            spare.go.set()
            for got in await asyncio.gather(*tasks):
                assert got.status == 200


async def get(url, number):
    async with mesh.Caller(url) as caller:
        caller.request("GET", f"/workshop/{number}")
        return await caller.reply()


class TestDrain:
    async def test_waiting_calls_move_on(self):
        """A drain sends away what waits, and ends what runs."""
        slow, spare = Slow(), mesh.Upstream()
        slow.slots = 1
        async with mesh.pair(mesh.make_preset(), slow) as running:
            beside = running.nodes["beside"]
            url = running.nodes["apart"].caller_url
            tasks = [asyncio.create_task(get(url, n)) for n in range(3)]
            gate = beside.exit.admission
            assert await mesh.settled(lambda: gate.load() == (1, 2))
            await running.attach(running.nodes["apart"], spare)
            await running.attach(beside, slow, state="draining")
            assert await mesh.settled(lambda: len(spare.requests) == 2)
            slow.go.set()
            for got in await asyncio.gather(*tasks):
                assert (got.status, got.header(headers.RAN)) == (200, "ran")
        assert len(slow.requests) == 1

    async def test_upstream_at_another_address(self):
        """Requests in progress end on the old upstream and count as slots."""
        old, new = Slow(), mesh.Upstream()
        old.slots = new.slots = 1
        async with mesh.pair(mesh.make_preset(), old) as running:
            beside = running.nodes["beside"]
            url = running.nodes["apart"].caller_url
            first = asyncio.create_task(get(url, 1))
            assert await mesh.settled(lambda: old.requests)
            await running.attach(beside, new)
            second = asyncio.create_task(get(url, 2))
            assert await mesh.settled(lambda: beside.exit.admission.load() == (1, 1))
            assert not new.requests
            old.go.set()
            assert (await first).status == (await second).status == 200
            assert len(old.requests) == len(new.requests) == 1

    async def test_inner_calls_go_on(self):
        """While a node stops, the upstream's own calls are still served: requests
        in progress need them. Callers are refused."""
        upstream = mesh.Upstream()
        async with mesh.pair(mesh.make_preset(), upstream) as running:
            node = running.nodes["apart"]
            node.entry.stopping = True
            inner = await get(node.local_url, 1)
            outer = await get(node.caller_url, 2)
        assert inner.status == 200
        assert outer.header(headers.CODE) == str(codes.STOPPING.number)
        assert outer.header(headers.RAN) == codes.Ran.NOT_RUN
        assert outer.header("Connection") == "close"

    async def test_second_signal_ends_at_once(self):
        ended = []
        signals = daemon.Signals(ended.append)
        signals.take()
        assert signals.stopping.is_set()
        assert not ended
        signals.take()
        assert ended == [daemon.KILLED_EXIT]

    async def test_bound(self):
        """A stop waits for requests in progress, but not for ever."""
        slow = Slow()
        async with mesh.pair(mesh.make_preset(), slow) as running:
            beside = running.nodes["beside"]
            task = asyncio.create_task(get(running.nodes["apart"].caller_url, 1))
            assert await mesh.settled(lambda: slow.requests)
            await beside.finish(0.05)
            assert beside.busy()
            slow.go.set()
            assert (await task).status == 200
            await beside.finish(mesh.HANG)
            assert not beside.busy()
