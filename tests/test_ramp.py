"""The ramp of a new version's share of the requests."""

import random

import pytest

from rattanridge.policies import evidence, evidence_history, ramp
from tests import drawn_counts

ROUTE = drawn_counts.ROUTE


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
    history = evidence_history.History()
    old, new = evidence.Counts(), evidence.Counts()
    bad = now = 0.0
    while now < duration:
        now += step
        rollout_ramp.elapsed = now
        ready = endpoints if now >= ready_at else 0
        share = rollout_ramp.share(ready) if ready else 0.0
        calls = round(rate * step * share)
        new.merge(
            drawn_counts.draw_counts(rng, calls, fault(now, share) if fault else 0.0)
        )
        bad += calls if fault else 0
        old.merge(drawn_counts.draw_counts(rng, round(rate * step * (1 - share))))
        history.record(now, {ROUTE: old}, {ROUTE: new})
        if history.find_fault():
            return None, bad
        rollout_ramp.measure({ROUTE: old}, old.calls + new.calls)
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
            lambda now, share: 0.3 if now > 7.0 else 0.0,
            lambda now, share: 0.3 if now > 9.0 else 0.0,
        ],
        ids=["at once", "late", "under load", "at 7 s", "at 9 s"],
    )
    # Guards against: a fault that begins late is hidden by the good requests before it,
    # and the version has got most of its allowance by then.
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
                or rollout_ramp.is_last()
            )
        assert shares == sorted(shares)

    # Guards against: a coordinator that reaches no exit goes on by time alone, and
    # a version that nobody has tried takes over.
    def test_version_without_evidence_does_not_take_over(self):
        rollout_ramp = ramp.Ramp(14.0)
        while not rollout_ramp.failed():
            rollout_ramp.elapsed += 0.35
            rollout_ramp.advance(4, {}, {}, heard=False)
            assert not rollout_ramp.done()
            assert rollout_ramp.elapsed < 14.0

    def test_version_that_misses_a_route_does_not_take_over(self):
        rollout_ramp = ramp.Ramp(14.0)
        old = {"a": evidence.Counts(calls=900), "b": evidence.Counts(calls=900)}
        while not rollout_ramp.failed():
            rollout_ramp.elapsed += 0.35
            rollout_ramp.advance(4, old, {"a": evidence.Counts(calls=90)})
            assert not rollout_ramp.done()

    # Guards against: a good version is rolled back as it got no request of a route that
    # is hardly used (trouble-1 of blason-commun, seed 21).
    def test_routes_that_are_hardly_used_need_no_trial(self):
        rollout_ramp = ramp.Ramp(14.0)
        old = {"a": evidence.Counts(calls=900), "b": evidence.Counts(calls=40)}
        new = {"a": evidence.Counts(calls=40)}
        while not rollout_ramp.done():
            rollout_ramp.elapsed += 0.35
            rollout_ramp.advance(4, old, new)
            assert not rollout_ramp.failed() or rollout_ramp.done()

    @pytest.mark.parametrize("duration", [8, 14, 60])
    def test_last_step_is_as_short_as_requests_of_the_old_version_allow(self, duration):
        rollout_ramp = ramp.Ramp(duration)
        old = {ROUTE: evidence.Counts(calls=900, times={0: 900})}
        new = {ROUTE: evidence.Counts(calls=90)}
        while not rollout_ramp.is_last():
            rollout_ramp.elapsed += 0.05
            rollout_ramp.measure(old, 990)
            rollout_ramp.advance(4, old, new)
        left = rollout_ramp.usable_time() + rollout_ramp.began - rollout_ramp.elapsed
        assert left >= min(1.6, 0.3 * rollout_ramp.usable_time())
        assert left <= 1.8

    def test_ramp_waits_for_the_first_endpoint(self):
        rollout_ramp = ramp.Ramp(14.0)
        rollout_ramp.elapsed = 8.0
        rollout_ramp.advance(0, {}, {})
        assert rollout_ramp.share(0) == 0.0
        assert not rollout_ramp.done()
