"""Choice of the endpoint that a request goes to."""

import random

import pytest

from rattanridge.policies import placement, reported_waits, slow_start, tickets

ROUTE = "lookup"
TARGET = 0.3
PROCESSING_TIME = 0.1


def make(node, zone="a", slots=12, **more):
    return placement.Candidate(
        node, f"{node}:1", zone, "registry", f"i-{node}", "v1", slots, **more
    )


@pytest.fixture
def placer():
    placer = slow_start.SlowStart("a", random.Random(1))
    placer.mean(ROUTE).record(PROCESSING_TIME)
    return placer


def count_choices(placer, candidates, now=10.0, tries=200):
    """Return how often each candidate was chosen, by the name of its node."""
    counts = dict.fromkeys((item.node for item in candidates), 0)
    for _ in range(tries):
        counts[placer.choose(candidates, ROUTE, TARGET, now).node] += 1
    return counts


class TestZones:
    def test_prefers_its_own_zone(self, placer):
        candidates = [make("near"), make("far", "b"), make("farther", "c")]
        assert count_choices(placer, candidates)["near"] == 200

    def test_leaves_a_zone_with_a_busy_endpoint(self, placer):
        near, far = make("near"), make("far", "b")
        near.record_load(placement.Load(12, 20, 0.4), 10.0)
        far.record_load(placement.Load(3, 0, 0.0), 10.0)
        assert count_choices(placer, [near, far])["far"] == 200

    def test_stays_in_its_zone_for_a_short_queue(self, placer):
        near, far = make("near"), make("far", "b")
        near.record_load(placement.Load(12, 1, 0.01), 10.0)
        assert count_choices(placer, [near, far])["near"] == 200

    def test_counts_own_requests_before_the_next_report(self, placer):
        near, far = make("near"), make("far", "b")
        near.record_load(placement.Load(6, 0, 0.0), 10.0)
        near.in_flight = 20
        assert count_choices(placer, [near, far])["far"] == 200

    def test_ignores_an_old_report(self, placer):
        near, far = make("near"), make("far", "b")
        near.record_load(placement.Load(12, 20, 5.0), 10.0)
        later = 10.0 + placement.LOAD_REPORT_TTL + 0.1
        assert count_choices(placer, [near, far], later)["near"] == 200


class TestSlowEndpoint:
    def test_is_avoided_and_tried_again_later(self, placer):
        near, far = make("near"), make("far", "b")
        for _ in range(30):
            near.record_latency_ratio(6.0, 10.0)
        assert count_choices(placer, [near, far])["far"] == 200
        assert count_choices(placer, [near, far], 60.0)["near"] == 200

    def test_latency_ratio_is_bounded(self):
        item = make("near")
        for _ in range(500):
            item.record_latency_ratio(1e6, 1.0)
        assert item.last_latency_ratio <= placement.LATENCY_RATIO_RANGE[1]


class TestSheddingEndpoint:
    def test_is_avoided_while_it_sheds(self, placer):
        near, far = make("near"), make("far", "b")
        for _ in range(20):
            near.record_shed(True, 10.0)
        assert count_choices(placer, [near, far])["far"] == 200

    def test_shed_share_decays(self):
        item = make("near")
        item.record_shed(True, 0.0)
        before = item.shed_share(0.0)
        assert item.shed_share(placement.SHED_HALF_LIFE) == pytest.approx(before / 2)


class TestSilentEndpoint:
    def test_is_avoided_while_it_does_not_answer(self, placer):
        near, far = make("near"), make("far", "b")
        near.begin(10.0)
        assert count_choices(placer, [near, far], 10.1)["near"] == 200
        assert count_choices(placer, [near, far], 10.6)["far"] == 200
        near.end(True, 10.7)
        assert count_choices(placer, [near, far], 10.7)["near"] == 200


class TestUnreachable:
    def test_simultaneous_failures_count_once(self):
        item = make("near")
        for _ in range(12):
            item.record_unreachable(10.0)
        assert item.paused_until == 10.0 + placement.INITIAL_PAUSE

    def test_is_chosen_last(self, placer):
        near, far = make("near"), make("far", "b")
        near.record_unreachable(10.0)
        assert count_choices(placer, [near, far], 10.1)["far"] == 200

    def test_is_chosen_if_there_is_no_other(self, placer):
        near = make("near")
        near.record_unreachable(10.0)
        assert placer.choose([near], ROUTE, TARGET, 10.1) is near

    def test_pause_grows_and_ends(self):
        item = make("near")
        item.record_unreachable(10.0)
        assert item.paused_until == 10.0 + placement.INITIAL_PAUSE
        for step in range(20):
            item.record_unreachable(20.0 + 5 * step)
        assert item.paused_until == 115.0 + placement.MAX_PAUSE
        item.record_reachable()
        assert item.paused_until == 0.0

    def test_lost_node_gets_no_request_until_it_answers(self, placer):
        near = make("near")
        near.lost = True
        assert placer.choose([near], ROUTE, TARGET, 1e6) is None
        near.record_reachable()
        assert placer.choose([near], ROUTE, TARGET, 1e6) is near

    def test_no_candidate(self, placer):
        assert placer.choose([], ROUTE, TARGET, 1.0) is None


class TestWaitByUrgency:
    # Guards against: urgent requests avoid an endpoint with a long queue of others,
    # and prefer a slow one that has not reported.
    def test_urgent_requests_ignore_the_wait_of_others(self, placer):
        near, far = make("near"), make("far", "b")
        near.record_load(placement.Load(12, 20, 4.0), 10.0, urgency=2)
        near.record_load(placement.Load(12, 20, 0.01), 10.0, urgency=0)
        for urgency, node in ((0, "near"), (2, "far")):
            chosen = placer.choose([near, far], ROUTE, TARGET, 10.0, urgency)
            assert chosen.node == node

    # Guards against: nested calls change the placement of a service with one rank.
    def test_nested_calls_alone_change_nothing(self):
        waits = reported_waits.ReportedWaits()
        waits.record(tickets.NESTED, 0.5, 10.0)
        waits.record(1, 0.5, 10.0)
        assert not waits.is_mixed(10.0)
        waits.record(2, 0.5, 10.0)
        assert waits.is_mixed(10.0)

    def test_wait_of_more_urgent_ones_is_the_least(self):
        waits = reported_waits.ReportedWaits()
        waits.record(0, 0.5, 10.0)
        waits.record(2, 4.0, 10.0)
        assert waits.wait_of(1, 10.0) == 0.5
        assert waits.wait_of(-1, 10.0) == 0.0
        assert waits.wait_of(2, 10.0 + reported_waits.REPORT_TTL) == 0.0


class TestNewEndpoint:
    # Guards against: all entries send to an endpoint at once as soon as it appears.
    def test_gets_few_requests_at_first(self, placer):
        busy = [make(f"busy-{number}") for number in range(9)]
        count_choices(placer, busy, 0.0, 1)
        for item in busy:
            item.record_load(placement.Load(12, 20, 1.0), 10.0)
        candidates = [*busy, make("new")]
        assert 0 < count_choices(placer, candidates, 10.0)["new"] < 40
        later = 10.0 + placement.SLOW_START
        for item in busy:
            item.record_load(placement.Load(12, 20, 1.0), later)
        assert count_choices(placer, candidates, later)["new"] == 200

    def test_is_used_if_there_is_no_other(self, placer):
        new = make("new", known_since=10.0)
        assert count_choices(placer, [new])["new"] == 200

    # Guards against: the first requests for a service leave their zone, as its
    # endpoints were not considered.
    @pytest.mark.parametrize("now", [0.0, 60.0])
    def test_all_are_used_if_none_was_known(self, placer, now):
        count_choices(placer, [make("other")], 0.0, 1)
        candidates = [make("near"), make("far", "b")]
        assert count_choices(placer, candidates, now)["near"] == 200

    def test_regained_endpoint_is_new(self, placer):
        item = make("near", known_since=0.0, lost=True)
        item.record_reachable()
        assert item.slow_start_share(10.0) == 0.0
