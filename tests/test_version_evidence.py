"""Verdicts on a new version, and the ramp of its share."""

import random

import pytest

from rattanridge.policies import evidence, ramp

ROUTE = "lookup"


def counts(rng, calls, error_share=0.0, factor=1.0, slow_share=1.0):
    made = evidence.Counts()
    for _ in range(calls):
        seconds = 0.09 * rng.lognormvariate(0.0, 0.5)
        if rng.random() < slow_share:
            seconds *= factor
        made.record_call(rng.random() < error_share, seconds)
    return made


class TestVerdict:
    @pytest.mark.parametrize("seed", range(20))
    def test_alike_versions_are_not_blamed(self, seed):
        rng = random.Random(seed)
        old = {ROUTE: counts(rng, 400, 0.01)}
        assert not evidence.find_fault(old, {ROUTE: counts(rng, 60, 0.01, 1.5)})

    @pytest.mark.parametrize("seed", range(20))
    def test_failures_are_found_soon(self, seed):
        rng = random.Random(seed)
        old = {ROUTE: counts(rng, 400, 0.01)}
        assert evidence.find_fault(old, {ROUTE: counts(rng, 30, 0.45)})

    @pytest.mark.parametrize("seed", range(20))
    def test_slowness_of_half_the_requests_is_found(self, seed):
        rng = random.Random(seed)
        old = {ROUTE: counts(rng, 400)}
        assert evidence.find_fault(old, {ROUTE: counts(rng, 40, 0.0, 8.0, 0.5)})

    def test_one_bad_route_among_good_ones_is_found(self):
        rng = random.Random(1)
        old = {name: counts(rng, 200) for name in "abc"}
        new = {"a": counts(rng, 90), "b": counts(rng, 90), "c": counts(rng, 12, 0.5)}
        assert "c" in evidence.find_fault(old, new)

    def test_an_overload_of_both_blames_nobody(self):
        rng = random.Random(1)
        old = {ROUTE: counts(rng, 400, 0.4, 6.0)}
        assert not evidence.find_fault(old, {ROUTE: counts(rng, 100, 0.5, 6.0)})

    @pytest.mark.parametrize("seed", range(40))
    def test_bad_luck_in_an_overload_blames_nobody(self, seed):
        """The first few requests of the new version fail by chance."""
        rng = random.Random(seed)
        old = {ROUTE: counts(rng, 400, 0.25)}
        new = evidence.Counts()
        for _ in range(60):
            new.merge(counts(rng, 1, 0.25))
            assert not evidence.fails(old[ROUTE], new)

    def test_counts_since_an_earlier_look(self):
        rng = random.Random(1)
        made = counts(rng, 50, 0.2)
        before = evidence.Counts(made.calls, made.errors, dict(made.times))
        made.merge(counts(rng, 30, 1.0))
        fresh = made.since(before)
        assert (fresh.calls, fresh.errors, fresh.timed()) == (30, 30, 0)


def play(duration, rate, ready_at, endpoints=4, fault=None, step=0.35):
    """Play a rollout; return the seconds of completion and the bad requests."""
    made = ramp.Ramp(duration)
    rng = random.Random(1)
    old, new = evidence.Counts(), evidence.Counts()
    bad = now = 0.0
    while now < duration:
        now += step
        made.elapsed = now
        ready = endpoints if now >= ready_at else 0
        share = made.share(ready) if ready else 0.0
        calls = round(rate * step * share)
        new.merge(counts(rng, calls, fault(now, share) if fault else 0.0))
        bad += calls if fault else 0
        old.merge(counts(rng, round(rate * step * (1 - share))))
        if evidence.find_fault({ROUTE: old}, {ROUTE: new}):
            return None, bad
        made.advance(ready, {ROUTE: old}, {ROUTE: new})
        if made.done():
            return now, bad
    return None, bad


class TestRamp:
    @pytest.mark.parametrize("duration", [8, 12, 14, 16, 60])
    @pytest.mark.parametrize("rate", [10, 90, 260])
    @pytest.mark.parametrize("ready_at", [0.5, 3.0])
    def test_a_good_version_is_done_in_time(self, duration, rate, ready_at):
        done, _ = play(duration, rate, ready_at)
        assert done is not None
        assert done < duration

    @pytest.mark.parametrize("duration", [12, 14, 16])
    @pytest.mark.parametrize("rate", [90, 260])
    @pytest.mark.parametrize(
        "fault",
        [
            lambda now, share: 0.49,
            lambda now, share: 0.49 if now > 4 else 0.0,
            lambda now, share: 0.49 if share > 0.2 else 0.0,
        ],
        ids=["at once", "late", "under load"],
    )
    def test_a_bad_version_sees_a_tenth_at_most(self, duration, rate, fault):
        done, bad = play(duration, rate, 1.0, fault=fault)
        assert done is None
        assert bad <= 0.1 * rate * duration + 50

    @pytest.mark.parametrize("room", [0.25, 0.5])
    def test_a_version_whose_endpoints_leave_does_not_take_over(self, room):
        """Two of its four endpoints are taken away; the old ones would stop too."""
        made = ramp.Ramp(14.0)
        old = {ROUTE: evidence.Counts(calls=900)}
        new = {ROUTE: evidence.Counts(calls=90)}
        while not made.out_of_time():
            made.elapsed += 0.35
            made.capacity_ratio = 1.0 if made.elapsed < 6.0 else room
            made.advance(4, old, new)
            assert not made.done()
            if made.elapsed > 6.0 and not made.one_endpoint():
                assert made.share(2) <= room / (1.0 + room)

    @pytest.mark.parametrize("endpoints", [1, 2, 4])
    def test_one_endpoint_gets_no_more_than_the_next_step_gives(self, endpoints):
        """A version of one endpoint got every request before it had proved itself."""
        made = ramp.Ramp(14.0)
        shares = []
        while not made.out_of_time():
            made.elapsed += 0.35
            made.advance(endpoints, {}, {})
            shares.append(made.share(endpoints))
            assert made.share(endpoints) < ramp.FULL or made.step == len(ramp.STEPS) - 1
        assert shares == sorted(shares)

    def test_without_endpoints_nothing_moves(self):
        made = ramp.Ramp(14.0)
        made.elapsed = 8.0
        made.advance(0, {}, {})
        assert made.share(0) == 0.0
        assert not made.done()
