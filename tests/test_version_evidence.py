"""Detection of a bad version, and the ramp of a new version's share."""

import random

import pytest

from rattanridge.policies import evidence, ramp

ROUTE = "lookup"


def draw_counts(rng, calls, error_share=0.0, factor=1.0, slow_share=1.0):
    """Return counts of random requests, some of them slower by a factor."""
    version_counts = evidence.Counts()
    for _ in range(calls):
        seconds = 0.09 * rng.lognormvariate(0.0, 0.5)
        if rng.random() < slow_share:
            seconds *= factor
        version_counts.record_call(rng.random() < error_share, seconds)
    return version_counts


class TestFindFault:
    @pytest.mark.parametrize("seed", range(20))
    def test_similar_version_is_not_rejected(self, seed):
        rng = random.Random(seed)
        old = {ROUTE: draw_counts(rng, 400, 0.01)}
        assert not evidence.find_fault(old, {ROUTE: draw_counts(rng, 60, 0.01, 1.5)})

    @pytest.mark.parametrize("seed", range(20))
    def test_failures_are_detected_early(self, seed):
        rng = random.Random(seed)
        old = {ROUTE: draw_counts(rng, 400, 0.01)}
        assert evidence.find_fault(old, {ROUTE: draw_counts(rng, 30, 0.45)})

    @pytest.mark.parametrize("seed", range(20))
    def test_slowness_of_half_the_requests_is_detected(self, seed):
        rng = random.Random(seed)
        old = {ROUTE: draw_counts(rng, 400)}
        assert evidence.find_fault(old, {ROUTE: draw_counts(rng, 40, 0.0, 8.0, 0.5)})

    def test_one_bad_route_among_good_ones_is_detected(self):
        rng = random.Random(1)
        old = {name: draw_counts(rng, 200) for name in "abc"}
        new = {
            "a": draw_counts(rng, 90),
            "b": draw_counts(rng, 90),
            "c": draw_counts(rng, 12, 0.5),
        }
        assert "c" in evidence.find_fault(old, new)

    def test_overload_of_both_versions_is_no_fault(self):
        rng = random.Random(1)
        old = {ROUTE: draw_counts(rng, 400, 0.4, 6.0)}
        assert not evidence.find_fault(old, {ROUTE: draw_counts(rng, 100, 0.5, 6.0)})

    @pytest.mark.parametrize("seed", range(40))
    def test_chance_failures_in_an_overload_are_no_fault(self, seed):
        """The first few requests of the new version fail by chance."""
        rng = random.Random(seed)
        old = {ROUTE: draw_counts(rng, 400, 0.25)}
        new = evidence.Counts()
        for _ in range(60):
            new.merge(draw_counts(rng, 1, 0.25))
            assert not evidence.is_failing(old[ROUTE], new)

    def test_counts_since_an_earlier_snapshot(self):
        rng = random.Random(1)
        total = draw_counts(rng, 50, 0.2)
        before = evidence.Counts(total.calls, total.errors, dict(total.times))
        total.merge(draw_counts(rng, 30, 1.0))
        fresh = total.since(before)
        assert (fresh.calls, fresh.errors, fresh.timed_calls()) == (30, 30, 0)


def simulate(duration, rate, ready_at, endpoints=4, fault=None, step=0.35):
    """Simulate a rollout; return the seconds until it was completed and the requests
    that a bad version got.

    The seconds are None if the rollout was not completed.

    :param rate: requests per second.
    :param ready_at: seconds until the new endpoints are ready.
    :param fault: returns the share of failing requests by time and share; None for a
        good version.
    :param step: seconds between two evaluations.
    """
    rollout_ramp = ramp.Ramp(duration)
    rng = random.Random(1)
    old, new = evidence.Counts(), evidence.Counts()
    bad = now = 0.0
    while now < duration:
        now += step
        rollout_ramp.elapsed = now
        ready = endpoints if now >= ready_at else 0
        share = rollout_ramp.share(ready) if ready else 0.0
        calls = round(rate * step * share)
        new.merge(draw_counts(rng, calls, fault(now, share) if fault else 0.0))
        bad += calls if fault else 0
        old.merge(draw_counts(rng, round(rate * step * (1 - share))))
        if evidence.find_fault({ROUTE: old}, {ROUTE: new}):
            return None, bad
        rollout_ramp.advance(ready, {ROUTE: old}, {ROUTE: new})
        if rollout_ramp.done():
            return now, bad
    return None, bad


class TestRamp:
    @pytest.mark.parametrize("duration", [8, 12, 14, 16, 60])
    @pytest.mark.parametrize("rate", [10, 90, 260])
    @pytest.mark.parametrize("ready_at", [0.5, 3.0])
    def test_good_version_is_completed_in_time(self, duration, rate, ready_at):
        done, _ = simulate(duration, rate, ready_at)
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
    def test_bad_version_gets_at_most_a_tenth_of_the_requests(
        self, duration, rate, fault
    ):
        done, bad = simulate(duration, rate, 1.0, fault=fault)
        assert done is None
        assert bad <= 0.1 * rate * duration + 50

    @pytest.mark.parametrize("room", [0.25, 0.5])
    def test_version_that_loses_endpoints_does_not_take_over(self, room):
        """Two of its four endpoints go away; a takeover would stop the old ones too."""
        rollout_ramp = ramp.Ramp(14.0)
        old = {ROUTE: evidence.Counts(calls=900)}
        new = {ROUTE: evidence.Counts(calls=90)}
        while not rollout_ramp.out_of_time():
            rollout_ramp.elapsed += 0.35
            rollout_ramp.capacity_ratio = 1.0 if rollout_ramp.elapsed < 6.0 else room
            rollout_ramp.advance(4, old, new)
            assert not rollout_ramp.done()
            if rollout_ramp.elapsed > 6.0 and not rollout_ramp.one_endpoint():
                assert rollout_ramp.share(2) <= room / (1.0 + room)

    @pytest.mark.parametrize("endpoints", [1, 2, 4])
    # Guards against a version with a single endpoint that gets all requests before it
    # has proven itself.
    def test_one_endpoint_gets_at_most_the_share_of_the_next_step(self, endpoints):
        rollout_ramp = ramp.Ramp(14.0)
        shares = []
        while not rollout_ramp.out_of_time():
            rollout_ramp.elapsed += 0.35
            rollout_ramp.advance(endpoints, {}, {})
            shares.append(rollout_ramp.share(endpoints))
            assert (
                rollout_ramp.share(endpoints) < ramp.FULL_SHARE
                or rollout_ramp.step == len(ramp.STEPS) - 1
            )
        assert shares == sorted(shares)

    def test_ramp_waits_for_the_first_endpoint(self):
        rollout_ramp = ramp.Ramp(14.0)
        rollout_ramp.elapsed = 8.0
        rollout_ramp.advance(0, {}, {})
        assert rollout_ramp.share(0) == 0.0
        assert not rollout_ramp.done()
