"""Rollouts in virtual time: real verdicts and schedules over sampled calls.

One run moves one service. At each tick, calls are drawn for every route and
version, the counts go to the verdict, and the schedule decides on the share.
"""

import dataclasses
import functools
import math
import random

from rattanridge.control import coordinator, rollouts
from rattanridge.measure import rollout_cases, sampling
from rattanridge.policies import samples, schedules, verdicts

SPREAD_DELAY = 1.0  # seconds from a verdict until every node follows it
FULL_LOAD = 0.8  # part of an endpoint's traffic at 100% from which a fault shows
CRASH_PAUSE = 5.0  # seconds for which a crashed endpoint is away
PAUSE_FACTOR = 8.0  # on the latency of calls that hit a pause


@dataclasses.dataclass(slots=True)
class Outcome:
    """What one run ended in.

    :param at: seconds at which it ended.
    :param reached: calls that reached the new version.
    :param once_reached: those that must not run twice.
    :param calls: the service's calls in the whole window.
    :param shown: seconds at which the first fault of the new version showed.
    :param after: calls to the new version later than 2 s after that.
    :param peak: share at the verdict.
    :param last: seconds from the verdict to the last call of the new version.
    """

    state: str = "running"
    at: float = 0.0
    reached: int = 0
    once_reached: int = 0
    calls: float = 0.0
    shown: float = -1.0
    after: int = 0
    peak: float = 0.0
    last: float = 0.0
    reason: str = ""


class Run:
    """One rollout in virtual time.

    :param verdict: name of the verdict.
    :param schedule: name of the schedule.
    """

    def __init__(
        self,
        deployment: rollout_cases.Deployment,
        scenario: rollout_cases.Scenario,
        verdict: str,
        schedule: str,
        rng: random.Random,
    ):
        self.deployment = deployment
        self.scenario = scenario
        self.random = rng
        self.verdict = verdicts.VERDICTS.get(verdict)()
        self.schedule = schedules.SCHEDULES.get(schedule)()
        window = schedules.Window(
            deployment.window, deployment.window / 10, 10.0, deployment.endpoints
        )
        self.rollout = rollouts.Rollout(
            service=deployment.name,
            number=1,
            old="v1",
            new="v2",
            plan=self.schedule.plan(window),
            deadline=deployment.window,
            left=deployment.window,
            bake=window.bake,
            schedule=schedule,
            least_hold=window.least_hold,
        )
        self.stage = rollouts.stage_of(self.rollout)
        self.now = 0.0
        self.held = 0.0
        self.trial_left = 0.0
        self.totals: dict[str, samples.RouteCounts] = {}
        self.late: list[tuple[float, int, samples.RouteCounts]] = []
        self.away = [0.0] * deployment.endpoints
        total = sum(route.rate for route in deployment.routes) * scenario.traffic
        self.outcome = Outcome(calls=total * deployment.window)
        self.rarest = min(deployment.routes, key=lambda route: route.rate)
        self.shape = functools.lru_cache(maxsize=256)(sampling.latency_shape)

    def run(self) -> Outcome:
        """Run until the rollout ends, at most for twice the window."""
        end = self.deployment.window * 2
        while self.rollout.running and self.now < end:
            self.step()
        self.outcome.state = self.rollout.state
        self.outcome.at = self.now
        return self.outcome

    def step(self) -> None:
        """Live through one tick."""
        self.now += self.deployment.tick
        self.held += self.deployment.tick
        for route in self.deployment.routes:
            self.offer(route)
        finding = self.verdict.judge(self.now)
        if finding is not None:
            self.take_back(finding)
            return
        if not self.platform_up():
            self.cut_alone()
            return
        self.move()

    def platform_up(self) -> bool:
        return self.now < self.scenario.outage_part * self.deployment.window

    def share_of(self, route: rollout_cases.Route) -> float:
        return self.stage.share_for(not route.once, route.name)

    def offer(self, route: rollout_cases.Route) -> None:
        """Draw one tick of a route's calls."""
        rate = route.rate * self.scenario.traffic * self.deployment.tick
        share = self.share_of(route)
        new = sampling.poisson(self.random, rate * share)
        old = sampling.poisson(self.random, rate * (1.0 - share))
        counts = samples.RouteCounts(
            route.name,
            route.once,
            self.draw(route, old, False),
            self.draw(route, new, True),
        )
        self.note(route, counts.new)
        if self.scenario.delay:
            due = self.now + self.scenario.delay
            self.late.append((due, self.rollout.turn, counts))
            self.deliver()
        else:
            self.observe(counts)

    def deliver(self) -> None:
        """Deliver late reports; those of a former stage are ignored."""
        while self.late and self.late[0][0] <= self.now:
            _, turn, counts = self.late.pop(0)
            if turn == self.rollout.turn:
                self.observe(counts)

    def observe(self, counts: samples.RouteCounts) -> None:
        self.verdict.observe(counts, self.now)
        known = self.totals.get(counts.route)
        if known is None:
            self.totals[counts.route] = counts.copy()
        else:
            known.add(counts)

    def note(self, route: rollout_cases.Route, new: samples.Counts) -> None:
        outcome = self.outcome
        outcome.reached += new.calls
        outcome.once_reached += new.calls * route.once
        if outcome.shown < 0 and self.faulty(route) and new.calls:
            if new.errors or self.scenario.slow > 1.0:
                outcome.shown = self.now
        elif outcome.shown >= 0 and self.now > outcome.shown + 2.0:
            outcome.after += new.calls

    def faulty(self, route: rollout_cases.Route) -> bool:
        """Whether the new version's fault shows on a route now."""
        scenario = self.scenario
        if not scenario.bad or self.now < scenario.from_part * self.deployment.window:
            return False
        if scenario.rare_only and route is not self.rarest:
            return False
        return not scenario.loaded_only or self.loaded()

    def loaded(self) -> bool:
        """Whether a new endpoint in use gets about its traffic at 100%."""
        share = self.rollout.shares()[0]
        spread = self.rollout.plan[self.rollout.step].spread
        used = (
            spread if spread and not self.rollout.trial else self.deployment.endpoints
        )
        return share / used >= FULL_LOAD / self.deployment.endpoints

    def draw(self, route: rollout_cases.Route, calls: int, new: bool) -> samples.Counts:
        """Draw the outcomes of one version's calls."""
        if not calls:
            return samples.Counts()
        scenario = self.scenario
        errors = self.deployment.error_rate
        factor = 1.0
        if self.overloaded():
            errors += scenario.overload
            factor *= 3.0
        if new and self.faulty(route):
            errors += scenario.errors + self.crash(calls)
            factor *= scenario.slow
        counts = samples.Counts(
            calls, sampling.binomial(self.random, calls, min(errors, 1.0))
        )
        if new and scenario.cold and self.now < scenario.cold:
            return counts  # the endpoints are in their warm-up and not timed
        median = route.median * factor
        paused = self.paused(calls)
        counts.buckets = sampling.spread_over(
            self.random, calls - paused, self.shape(median)
        )
        if paused:
            slow = sampling.spread_over(
                self.random, paused, self.shape(median * PAUSE_FACTOR)
            )
            counts.add(samples.Counts(buckets=slow))
        return counts

    def paused(self, calls: int) -> int:
        """Return the calls that hit an endpoint in a pause."""
        if not self.scenario.noise:
            return 0
        used = self.stage.spread or self.deployment.endpoints
        paused = sampling.binomial(self.random, used, self.scenario.noise)
        return sampling.binomial(self.random, calls, paused / used)

    def crash(self, calls: int) -> float:
        """Return the rate of errors by crashes; a crashed endpoint is away."""
        if not self.scenario.crashes:
            return 0.0
        standing = [index for index, until in enumerate(self.away) if until <= self.now]
        if not standing:
            return 0.0
        crashed = sampling.binomial(self.random, calls, self.scenario.crashes)
        for index in standing[:crashed]:
            self.away[index] = self.now + CRASH_PAUSE
        return min(crashed, len(standing)) / calls

    def overloaded(self) -> bool:
        """Whether an overload hits both: early, late, and in the bake."""
        if not self.scenario.overload:
            return False
        part = self.now / self.deployment.window
        return 0.1 < part < 0.14 or 0.5 < part < 0.54 or 0.86 < part < 0.88

    def take_back(self, finding: verdicts.Finding) -> None:
        """End the rollout; calls go on until every node follows."""
        self.outcome.peak = self.rollout.shares()[0]
        self.outcome.reason = str(finding)
        for route in self.deployment.routes:
            rate = route.rate * self.scenario.traffic * self.share_of(route)
            late = sampling.poisson(self.random, rate * SPREAD_DELAY)
            self.note(route, samples.Counts(late))
            if late:
                self.outcome.last = SPREAD_DELAY
        self.rollout = rollouts.take_back(self.rollout, str(finding))

    def cut_alone(self) -> None:
        """Cut without the platform, as relays do."""
        if self.rollout.shares()[0] >= 1.0 and self.verdict.alarm():
            self.turn(rollouts.begin_trial(self.rollout))
            self.trial_left = math.inf

    def move(self) -> None:
        """Do what the coordinator does at each look."""
        if self.rollout.trial:
            self.trial_left -= self.deployment.tick
            if self.trial_left <= 0.0:
                self.turn(rollouts.end_trial(self.rollout))
            return
        if self.rollout.baking and self.verdict.alarm():
            self.trial_left = coordinator.TRIAL_HOLD
            self.turn(rollouts.begin_trial(self.rollout))
            return
        progress = schedules.Progress(
            self.rollout.step,
            self.held,
            self.deployment.window - self.now,
            [
                schedules.Route(item.route, item.once, item.old.calls, item.new.calls)
                for item in self.totals.values()
            ],
            self.verdict.suspicious(),
        )
        if self.schedule.ready(self.rollout.plan, self.rollout.window(), progress):
            self.held = 0.0
            self.turn(rollouts.advance(self.rollout, progress.routes))

    def turn(self, rollout: rollouts.Rollout) -> None:
        self.rollout = rollout
        self.stage = rollouts.stage_of(rollout)
        self.totals.clear()
        self.verdict.turn(self.now)
