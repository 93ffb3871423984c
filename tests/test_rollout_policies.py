"""Verdicts and schedules of rollouts."""

import random

import hypothesis
import pytest
from hypothesis import strategies

from rattanridge.kernel import codes
from rattanridge.measure import rollout_cases, rollout_model
from rattanridge.policies import samples, schedules, verdicts

STAGED = schedules.SCHEDULES.get("staged")()
RUNS = 6


def run(deployment: int, scenario: str, seed: int = 1) -> rollout_model.Outcome:
    (found,) = [item for item in rollout_cases.SCENARIOS if item.name == scenario]
    where = rollout_cases.DEPLOYMENTS[deployment]
    rng = random.Random(f"{seed}/{deployment}/{scenario}")
    return rollout_model.Run(where, found, "mixture", "staged", rng).run()


GOOD = [item.name for item in rollout_cases.SCENARIOS if not item.bad]
BAD = [
    item.name
    for item in rollout_cases.SCENARIOS
    if item.bad and item.name != "one_percent"
]


@pytest.mark.parametrize("deployment", range(len(rollout_cases.DEPLOYMENTS)))
class TestScenarios:
    @pytest.mark.parametrize("scenario", GOOD)
    def test_good_version_is_done_in_time(self, deployment, scenario):
        outcome = run(deployment, scenario)
        assert outcome.state == "done"
        assert outcome.at <= rollout_cases.DEPLOYMENTS[deployment].window

    @pytest.mark.parametrize("scenario", BAD)
    def test_bad_version_is_taken_back(self, deployment, scenario):
        assert run(deployment, scenario).state == "taken-back"


def feed(verdict, seconds, draw) -> verdicts.Finding | None:
    """Feed a verdict second by second; return its first finding."""
    for now in range(seconds):
        for counts in draw(now):
            verdict.observe(counts, float(now))
        finding = verdict.judge(float(now))
        if finding is not None:
            return finding
    return None


def count(rng, route, calls, rate, new_calls, new_rate) -> samples.RouteCounts:
    made = samples.RouteCounts(route)
    for side, number, share in (
        (made.old, calls, rate),
        (made.new, new_calls, new_rate),
    ):
        for _ in range(number):
            side.note(rng.random() < share, rng.lognormvariate(-4.0, 0.5))
    return made


class TestMixture:
    @pytest.mark.parametrize("seed", range(RUNS))
    @pytest.mark.parametrize("rate", [0.001, 0.05, 0.5, 1.0])
    def test_the_same_rate_is_not_blamed(self, seed, rate):
        rng = random.Random(seed)
        verdict = verdicts.Mixture()
        assert (
            feed(verdict, 300, lambda now: [count(rng, "r", 10, rate, 2, rate)]) is None
        )

    @pytest.mark.parametrize("seed", range(RUNS))
    def test_overload_that_begins_and_ends_is_not_blamed(self, seed):
        rng = random.Random(seed)

        def draw(now):
            rate = 0.4 if 100 <= now < 160 else 0.001
            return [count(rng, "r", 20, rate, 1, rate)]

        assert feed(verdicts.Mixture(), 300, draw) is None

    @pytest.mark.parametrize("seed", range(RUNS))
    def test_fault_on_a_rare_route_does_not_drown(self, seed):
        rng = random.Random(seed)

        def draw(now):
            rare = int(now % 5 == 0)
            return [
                count(rng, "busy", 100, 0.001, 100, 0.001),
                count(rng, "rare", rare, 0.001, rare, 0.8),
            ]

        finding = feed(verdicts.Mixture(), 600, draw)
        assert finding is not None
        assert (finding.kind, finding.route) == ("errors", "rare")

    def test_fault_after_long_innocence_shows(self):
        rng = random.Random(1)

        def draw(now):
            return [count(rng, "r", 20, 0.001, 20, 0.5 if now >= 900 else 0.001)]

        assert feed(verdicts.Mixture(), 920, draw) is not None


class TestStaged:
    windows = strategies.builds(
        schedules.Window,
        strategies.floats(120.0, 2000.0),
        strategies.floats(10.0, 30.0),
        strategies.just(10.0),
        strategies.integers(1, 64),
    )

    @hypothesis.given(windows, strategies.integers(0, 7), strategies.floats(0.0, 0.5))
    def test_silent_version_makes_its_deadline(self, window, at, lost):
        """Whatever step a suspicion or lost time hits, if the slack covers it."""
        steps = STAGED.plan(window)
        now, step, held = 0.0, 0, 0.0
        while step < len(steps):
            progress = schedules.Progress(
                step, held, window.seconds - now, (), suspicious=step == at
            )
            if step == at and lost and step < len(steps) - 1:
                now += lost * max(STAGED.slack(steps, window, progress), 0.0)
                lost = 0.0
                continue
            if STAGED.ready(steps, window, progress):
                step, held = step + 1, 0.0
            else:
                now, held = now + 1.0, held + 1.0
        assert now <= window.seconds

    @hypothesis.given(windows)
    def test_shares_only_grow_after_the_load_step(self, window):
        steps = STAGED.plan(window)
        once = [step.once_share for step in steps]
        assert once == sorted(once)
        assert all(step.once_share == 0.0 for step in steps[:3])
        assert (steps[-1].share, steps[-1].once_share) == (1.0, 1.0)
        assert all(step.hold >= window.least_hold for step in steps)

    @pytest.mark.parametrize("seconds", [1.0, 60.0, 89.0])
    def test_deadline_that_cannot_be_met(self, seconds):
        with pytest.raises(codes.Failure) as caught:
            STAGED.plan(schedules.Window(seconds, 10.0, 10.0, 4))
        assert caught.value.code is codes.ROLLOUT_DEADLINE

    def test_rare_route_gets_the_mean_number_of_samples(self):
        step = schedules.Step(0.01, 0.0, 60.0)
        routes = [
            schedules.Route("busy", False, 9900, 0),
            schedules.Route("rare", False, 100, 0),
            schedules.Route("once", True, 100, 0),
        ]
        (boost,) = STAGED.boosts(step, routes)
        assert boost.route == "rare"
        assert 0.01 < boost.share <= schedules.BOOST_LIMIT
