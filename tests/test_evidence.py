"""Evidence: counts, sessions and the brake of nodes, pools of relays."""

import random

import hypothesis
from hypothesis import strategies

from rattanridge.control import collector, messages, pool, replica
from rattanridge.kernel import clock, metrics, settings
from rattanridge.policies import samples

CONFIG = settings.NodeSettings(
    name="one", zone="a", platform=["http://127.0.0.1:1"], key="test-secret"
)
SERVICE = "workshop"
ROUTE = "GET */workshop"


def make_stage(version: int = 1, share: float = 0.5) -> messages.Stage:
    return messages.Stage(SERVICE, 1, version, "v1", "v2", share, share)


def make_collector(stage: messages.Stage) -> collector.Collector:
    state = replica.Replica(CONFIG, metrics.Counters())
    made = collector.Collector(CONFIG, state, state.counters, clock.ManualClock())
    state.table.merge(stage)
    return made


def make_pool(stage: messages.Stage) -> pool.Pool:
    state = replica.Replica(CONFIG, metrics.Counters())
    made = pool.Pool(CONFIG, state, state.counters, clock.ManualClock())
    made.start()
    state.table.merge(stage)
    return made


def call(made: collector.Collector, version: str, failed: bool = False) -> None:
    made.add(SERVICE, version, ROUTE, False, failed, 0.01)


class TestBrake:
    def break_new(self, made: collector.Collector) -> None:
        for _ in range(100):
            call(made, "v1")
            call(made, "v2", failed=True)
            made.time.now += 1.0
            made.judge()

    def test_stops_without_any_relay(self):
        made = make_collector(make_stage())
        self.break_new(made)
        assert made.braked(SERVICE)
        assert made.reports("one/1")[0].braked == 1

    def test_only_a_later_write_lets_it_send_again(self):
        made = make_collector(make_stage())
        self.break_new(made)
        made.see(make_stage())
        assert made.braked(SERVICE)
        made.see(make_stage(version=2))
        assert not made.braked(SERVICE)

    def test_failure_of_both_versions_brakes_nothing(self):
        made = make_collector(make_stage())
        rng = random.Random(1)
        for _ in range(300):
            for version in ("v1", "v2"):
                call(made, version, failed=rng.random() < 0.5)
            made.time.now += 1.0
            made.judge()
        assert not made.braked(SERVICE)


class TestPool:
    def test_relays_do_not_tell_each_other_the_sum_of_brakes(self):
        """Sums that held peers' sums doubled with every report."""
        stage = make_stage()
        pools = {name: make_pool(stage) for name in ("one", "two")}
        own = messages.Evidence("node/1", SERVICE, 1, stage.phase, [], braked=1)
        pools["one"].take(own, direct=True)
        for _ in range(100):
            told = {name: item.summaries(name) for name, item in pools.items()}
            for name, other in (("one", "two"), ("two", "one")):
                for report in told[name]:
                    pools[other].take(report, direct=False)
        (summary,) = pools["one"].summaries("one")
        assert summary.braked == 1

    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(["old", "new", "report", "session", "again"]),
            max_size=60,
        ),
        strategies.randoms(use_true_random=False),
    )
    def test_late_doubled_crossed_reports_count_once(self, acts, rng):
        stage = make_stage()
        made, pooled = make_collector(stage), make_pool(stage)
        reports: list[messages.Evidence] = []
        session = 1
        for act in acts:
            if act in ("old", "new"):
                call(made, "v1" if act == "old" else "v2")
            elif act == "session":
                session += 1
                made.begin_session()
            elif act == "report":
                reports += made.reports(f"one/{session}") * 2
            else:
                rng.shuffle(reports)
                for report in reports:
                    pooled.take(report, direct=True)
        reports += made.reports(f"one/{session}")
        for report in reports:
            pooled.take(report, direct=True)
        counts = made.running[SERVICE].counts.get(ROUTE, samples.RouteCounts(ROUTE))
        total = pooled.cases[SERVICE].total.get(ROUTE, samples.RouteCounts(ROUTE))
        assert (total.old.calls, total.new.calls) == (
            counts.old.calls,
            counts.new.calls,
        )

    def test_counts_of_another_share_are_refused(self):
        made = make_pool(make_stage(version=2))
        counts = samples.RouteCounts(ROUTE, new=samples.Counts(calls=5))
        late = messages.Evidence("one/1", SERVICE, 1, (1, False), [counts])
        made.take(late, direct=True)
        assert not made.cases[SERVICE].total
