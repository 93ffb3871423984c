"""Which endpoint a request goes to, under the loads that the module names."""

import random

import pytest

from rattanridge.policies import placement

ROUTE = "lookup"
TARGET = 0.3
WORK = 0.1


def make(node, zone="a", slots=12, **more):
    return placement.Candidate(
        node, f"{node}:1", zone, "registry", f"i-{node}", "v1", slots, **more
    )


@pytest.fixture
def placer():
    made = placement.Placer("a", random.Random(1))
    made.mean(ROUTE).note(WORK)
    return made


def shares(placer, found, now=10.0, tries=200):
    counts = dict.fromkeys((item.node for item in found), 0)
    for _ in range(tries):
        counts[placer.choose(found, ROUTE, TARGET, now).node] += 1
    return counts


class TestZones:
    def test_own_zone_first(self, placer):
        found = [make("near"), make("far", "b"), make("farther", "c")]
        assert shares(placer, found)["near"] == 200

    def test_leaves_a_zone_whose_endpoint_is_full(self, placer):
        near, far = make("near"), make("far", "b")
        near.record_load(placement.Load(12, 20, 0.4), 10.0)
        far.record_load(placement.Load(3, 0, 0.0), 10.0)
        assert shares(placer, [near, far])["far"] == 200

    def test_stays_for_a_short_queue(self, placer):
        near, far = make("near"), make("far", "b")
        near.record_load(placement.Load(12, 1, 0.01), 10.0)
        assert shares(placer, [near, far])["near"] == 200

    def test_own_requests_count_before_the_next_report(self, placer):
        near, far = make("near"), make("far", "b")
        near.record_load(placement.Load(6, 0, 0.0), 10.0)
        near.in_flight = 20
        assert shares(placer, [near, far])["far"] == 200

    def test_an_old_report_says_nothing(self, placer):
        near, far = make("near"), make("far", "b")
        near.record_load(placement.Load(12, 20, 5.0), 10.0)
        later = 10.0 + placement.REPORT_AGE + 0.1
        assert shares(placer, [near, far], later)["near"] == 200


class TestSlowEndpoint:
    def test_is_left_and_tried_again_later(self, placer):
        near, far = make("near"), make("far", "b")
        for _ in range(30):
            near.record_latency_ratio(6.0, 10.0)
        assert shares(placer, [near, far])["far"] == 200
        assert shares(placer, [near, far], 60.0)["near"] == 200

    def test_factor_is_bounded(self):
        item = make("near")
        for _ in range(500):
            item.record_latency_ratio(1e6, 1.0)
        assert item.factor <= placement.FACTOR_RANGE[1]


class TestSheddingEndpoint:
    def test_is_avoided_while_it_sheds(self, placer):
        near, far = make("near"), make("far", "b")
        for _ in range(20):
            near.record_shed(True, 10.0)
        assert shares(placer, [near, far])["far"] == 200

    def test_share_fades(self):
        item = make("near")
        item.record_shed(True, 0.0)
        before = item.shed_share(0.0)
        assert item.shed_share(placement.SHED_MEMORY) == pytest.approx(before / 2)


class TestSilentEndpoint:
    def test_is_left_while_it_owes_an_answer(self, placer):
        near, far = make("near"), make("far", "b")
        near.begin(10.0)
        assert shares(placer, [near, far], 10.1)["near"] == 200
        assert shares(placer, [near, far], 10.6)["far"] == 200
        near.end(True, 10.7)
        assert shares(placer, [near, far], 10.7)["near"] == 200


class TestUnreachable:
    def test_failures_of_one_moment_count_once(self):
        item = make("near")
        for _ in range(12):
            item.record_unreachable(10.0)
        assert item.paused_until == 10.0 + placement.FIRST_PAUSE

    def test_comes_last(self, placer):
        near, far = make("near"), make("far", "b")
        near.record_unreachable(10.0)
        assert shares(placer, [near, far], 10.1)["far"] == 200

    def test_is_tried_if_there_is_no_other(self, placer):
        near = make("near")
        near.record_unreachable(10.0)
        assert placer.choose([near], ROUTE, TARGET, 10.1) is near

    def test_pause_grows_and_ends(self):
        item = make("near")
        item.record_unreachable(10.0)
        assert item.paused_until == 10.0 + placement.FIRST_PAUSE
        for step in range(20):
            item.record_unreachable(20.0 + 5 * step)
        assert item.paused_until == 115.0 + placement.LONGEST_PAUSE
        item.record_reachable()
        assert item.paused_until == 0.0

    def test_a_lost_node_gets_nothing_until_it_is_found(self, placer):
        near = make("near")
        near.lost = True
        assert placer.choose([near], ROUTE, TARGET, 1e6) is None
        near.record_reachable()
        assert placer.choose([near], ROUTE, TARGET, 1e6) is near

    def test_no_candidate(self, placer):
        assert placer.choose([], ROUTE, TARGET, 1.0) is None
