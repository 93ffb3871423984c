"""Detection of a bad version: what is compared, and over which time."""

import random

import pytest

from rattanridge.policies import evidence, evidence_history
from tests import drawn_counts

ROUTE = drawn_counts.ROUTE


def find_fault(old, new):
    """Return what the evidence of a single check shows; counts are by route."""
    history = evidence_history.History()
    history.record(1.0, old, new)
    return history.find_fault()


class TestFindFault:
    @pytest.mark.parametrize("seed", range(20))
    def test_similar_version_is_not_rejected(self, seed):
        rng = random.Random(seed)
        old = {ROUTE: drawn_counts.draw_counts(rng, 400, 0.01)}
        assert not find_fault(
            old, {ROUTE: drawn_counts.draw_counts(rng, 60, 0.01, 1.5)}
        )

    @pytest.mark.parametrize("seed", range(20))
    def test_failures_are_detected_early(self, seed):
        rng = random.Random(seed)
        old = {ROUTE: drawn_counts.draw_counts(rng, 400, 0.01)}
        assert find_fault(old, {ROUTE: drawn_counts.draw_counts(rng, 30, 0.45)})

    @pytest.mark.parametrize("seed", range(20))
    def test_slowness_of_half_the_requests_is_detected(self, seed):
        rng = random.Random(seed)
        old = {ROUTE: drawn_counts.draw_counts(rng, 400)}
        assert find_fault(
            old, {ROUTE: drawn_counts.draw_counts(rng, 40, 0.0, 8.0, 0.5)}
        )

    def test_one_bad_route_among_good_ones_is_detected(self):
        rng = random.Random(1)
        old = {name: drawn_counts.draw_counts(rng, 200) for name in "abc"}
        new = {
            "a": drawn_counts.draw_counts(rng, 90),
            "b": drawn_counts.draw_counts(rng, 90),
            "c": drawn_counts.draw_counts(rng, 12, 0.5),
        }
        assert "c" in find_fault(old, new)

    def test_overload_of_both_versions_is_no_fault(self):
        rng = random.Random(1)
        old = {ROUTE: drawn_counts.draw_counts(rng, 400, 0.4, 6.0)}
        assert not find_fault(
            old, {ROUTE: drawn_counts.draw_counts(rng, 100, 0.5, 6.0)}
        )

    @pytest.mark.parametrize("seed", range(40))
    def test_chance_failures_in_an_overload_are_no_fault(self, seed):
        """The first few requests of the new version fail by chance."""
        rng = random.Random(seed)
        old = {ROUTE: drawn_counts.draw_counts(rng, 400, 0.25)}
        new = evidence.Counts()
        for _ in range(60):
            new.merge(drawn_counts.draw_counts(rng, 1, 0.25))
            assert not evidence.is_failing(old[ROUTE], new)

    # Guards against: a version that fails 8 of 53 requests takes over from one that
    # failed none of 166, as any version was expected to fail one in 20.
    @pytest.mark.parametrize(
        ("old_calls", "old_errors", "is_fault"),
        [(166, 0, True), (166, 8, False), (4, 0, False), (0, 0, False)],
    )
    def test_few_failures_are_compared_with_what_the_old_version_showed(
        self, old_calls, old_errors, is_fault
    ):
        old = {ROUTE: evidence.Counts(old_calls, old_errors)}
        new = {ROUTE: evidence.Counts(53, 8)}
        assert bool(find_fault(old, new)) is is_fault

    # Guards against: no count could be three times as bad as the old version's.
    @pytest.mark.parametrize(
        ("old_errors", "calls", "errors"),
        [(105, 300, 300), (90, 1000, 850), (186, 300, 300)],
    )
    def test_failures_beside_those_of_the_old_version_are_detected(
        self, old_errors, calls, errors
    ):
        old = {ROUTE: evidence.Counts(300, old_errors)}
        new = {ROUTE: evidence.Counts(calls, errors)}
        assert "errors" in find_fault(old, new)

    # Guards against: a slow request ends at its time limit before it counts as slow.
    @pytest.mark.parametrize("work", [0.35, 0.5])
    def test_requests_that_end_at_their_time_limit_are_slow(self, work):
        old = evidence.Counts()
        new = evidence.Counts()
        for number in range(200):
            old.record_call(False, work if number < 150 else 0.9 * work)
            if number % 2:
                new.record_call(False, work)
            else:
                new.record_timeout(1.0)
        assert "slow" in find_fault({ROUTE: old}, {ROUTE: new})

    def test_counts_since_an_earlier_snapshot(self):
        rng = random.Random(1)
        total = drawn_counts.draw_counts(rng, 50, 0.2)
        before = evidence.Counts(total.calls, total.errors, dict(total.times))
        total.merge(drawn_counts.draw_counts(rng, 30, 1.0))
        fresh = total.since(before)
        assert (fresh.calls, fresh.errors, fresh.timed_calls()) == (30, 30, 0)


class TestRequestsWithoutAnswer:
    # Guards against: a version so slow that callers leave or time out looks fast, as
    # only the answered requests were counted.
    @pytest.mark.parametrize("record", ["record_unanswered", "record_running"])
    def test_slow_requests_without_an_answer_are_detected(self, record):
        rng = random.Random(1)
        old = drawn_counts.draw_counts(rng, 400)
        new = drawn_counts.draw_counts(rng, 20)
        for _ in range(20):
            getattr(new, record)(1.5)
        assert "slow" in find_fault({ROUTE: old}, {ROUTE: new})

    @pytest.mark.parametrize("record", ["record_unanswered", "record_running"])
    def test_stall_of_both_versions_is_no_fault(self, record):
        rng = random.Random(1)
        old = drawn_counts.draw_counts(rng, 200)
        new = drawn_counts.draw_counts(rng, 20)
        for counts, number in ((old, 150), (new, 20)):
            for _ in range(number):
                getattr(counts, record)(1.5)
        assert not find_fault({ROUTE: old}, {ROUTE: new})

    def test_requests_that_have_just_begun_tell_nothing(self):
        rng = random.Random(1)
        old = drawn_counts.draw_counts(rng, 400)
        new = drawn_counts.draw_counts(rng, 20)
        for _ in range(200):
            new.record_running(0.01)
        assert not find_fault({ROUTE: old}, {ROUTE: new})

    def test_running_requests_are_not_summed_over_time(self):
        counts = evidence.Counts()
        counts.record_running(1.0)
        later = counts.copy()
        assert later.since(counts).running == counts.running


class TestHistory:
    def record(self, history, seconds, new_counts, old_calls=80, step=0.35):
        """Record the sums that grow by the same numbers at each check."""
        rng = random.Random(1)
        old, new = evidence.Counts(), evidence.Counts()
        if ROUTE in history.routes:
            old = history.routes[ROUTE].last_old.copy()
            new = history.routes[ROUTE].last_new.copy()
        start = history.at
        for number in range(round(seconds / step)):
            old.merge(drawn_counts.draw_counts(rng, old_calls, 0.01))
            new.merge(new_counts(rng))
            at = start + step * (number + 1)
            history.record(at, {ROUTE: old}, {ROUTE: new})

    # Guards against: 26 failures among the last 122 requests were 0.067 of all since
    # the order, so that the version was moved on to the next step.
    def test_failures_that_begin_late_are_detected_within_a_second(self):
        history = evidence_history.History()
        self.record(history, 7.0, lambda rng: drawn_counts.draw_counts(rng, 14))
        assert not history.find_fault()
        self.record(history, 1.0, lambda rng: drawn_counts.draw_counts(rng, 40, 0.22))
        new = history.routes[ROUTE].last_new
        assert new.error_share() < evidence.MIN_ERROR_SHARE
        assert "errors" in history.find_fault()

    def test_slowness_that_begins_late_is_detected(self):
        history = evidence_history.History()
        self.record(history, 7.0, lambda rng: drawn_counts.draw_counts(rng, 30))
        assert not history.find_fault()
        self.record(
            history, 1.0, lambda rng: drawn_counts.draw_counts(rng, 30, 0.0, 8.0, 0.5)
        )
        assert "slow" in history.find_fault()

    @pytest.mark.parametrize("seed", range(20))
    def test_overload_of_both_that_begins_late_is_no_fault(self, seed):
        rng = random.Random(seed)
        history = evidence_history.History()
        old, new = evidence.Counts(), evidence.Counts()
        for number in range(40):
            errors, factor = (0.25, 4.0) if number > 25 else (0.01, 1.0)
            old.merge(drawn_counts.draw_counts(rng, 80, errors, factor))
            new.merge(drawn_counts.draw_counts(rng, 5, errors, factor))
            history.record(0.35 * number, {ROUTE: old}, {ROUTE: new})
            assert not history.find_fault()

    # Guards against: failures of the old version before the new one got its requests
    # count as what the new one may fail.
    def test_versions_are_compared_at_the_same_times(self):
        history = evidence_history.History()
        old, new = evidence.Counts(), evidence.Counts()
        for number in range(1, 21):
            old.merge(evidence.Counts(100, 62 if number <= 10 else 0))
            new.merge(evidence.Counts(0 if number <= 10 else 8, 0))
            history.record(0.35 * number, {ROUTE: old}, {ROUTE: new})
        compared = history.routes[ROUTE].compare()
        assert (compared.old.errors, compared.new.calls) == (0, 80)
        assert compared.old.calls == 1000

    def test_uneven_weights_count_as_fewer_requests(self):
        history = evidence_history.RouteHistory()
        history.record(1.0, evidence.Counts(100, 50), evidence.Counts(90))
        history.record(2.0, evidence.Counts(200, 50), evidence.Counts(100))
        compared = history.compare()
        assert compared.old.error_share() == pytest.approx(0.45, abs=0.01)
        assert 100 < compared.old.calls < 130

    def test_without_the_old_version_the_last_comparison_holds(self):
        history = evidence_history.RouteHistory()
        history.record(1.0, evidence.Counts(100, 10), evidence.Counts(10))
        history.record(2.0, evidence.Counts(100, 10), evidence.Counts(200, 90))
        compared = history.compare(1.5)
        assert compared.new.calls == 190
        assert compared.old.error_share() == pytest.approx(0.1)

    def test_old_slices_are_summed(self):
        history = evidence_history.History()
        self.record(history, 60.0, lambda rng: drawn_counts.draw_counts(rng, 1))
        kept = history.routes[ROUTE].slices
        assert len(kept) <= evidence_history.WINDOWS[-1] / 0.35 + 2
        assert history.routes[ROUTE].compare().new.calls == round(60.0 / 0.35)
