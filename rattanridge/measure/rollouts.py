"""Experiment ``rollouts``: whether good versions complete and bad ones are rolled back.

Simulates one service in virtual time. Only the ramp and the detection of faults are
code of the system; requests and coordinator are a model. The number of runs does not
depend on time, so a seed gives the same figures on every machine.
"""

import collections.abc
import dataclasses
import math
import random

from rattanridge.measure import base
from rattanridge.policies import evidence, evidence_history, proof, ramp as ramps

ROUNDS = 40  # runs of each scenario in each deployment
POLL_INTERVAL = 0.35  # seconds between two evaluations by the coordinator
APPLY_DELAY = 0.5  # seconds until a written share is in force at all entries
TIME_LIMIT = 3.0  # seconds, of each request
LATENCY_SIGMA = 0.5  # standard deviation of the logarithm of latencies
EXPOSURE_SHARE = 0.1  # of all requests, the most that a bad version may get
EXPOSURE_SLACK = 50  # requests that it may get on top
TARGET = {
    "good_in_time_percent": 99.0,
    "bad_taken_back_percent": 99.0,
    "over_exposure_percent": 0.0,
}


@dataclasses.dataclass(slots=True, frozen=True)
class Deployment:
    """A service and the duration of its rollout.

    :param routes: requests per second and median processing time in seconds, for
        each route.
    :param endpoints: number of endpoints of the new version.
    :param duration: seconds in which the rollout has to be completed.
    """

    name: str
    routes: tuple[tuple[float, float], ...]
    endpoints: int
    duration: float


DEPLOYMENTS = (
    Deployment("registry", ((260.0, 0.09),), 4, 20.0),
    Deployment("workshop", ((80.0, 0.12), (180.0, 0.022)), 4, 20.0),
    Deployment("presses", ((20.0, 0.084), (30.0, 0.03)), 4, 25.0),
    Deployment("archives", ((15.0, 0.48),), 4, 25.0),
)


@dataclasses.dataclass(slots=True, frozen=True)
class Scenario:
    """The faults of the new version, or of both versions.

    :param error_rate: fraction of the new version's requests that fail.
    :param latency_factor: factor on the new version's latencies.
    :param fault_delay: seconds after the start of the rollout until the fault occurs.
    :param min_share: share of the requests from which the fault occurs.
    :param last_route_only: whether only the last route has the fault.
    :param common_error_rate: fraction of both versions' requests that fail, as in an
        overload.
    :param common_until: seconds after the start of the rollout at which the trouble of
        both versions ends.
    :param common_factor: factor on both versions' latencies meanwhile.
    """

    name: str
    error_rate: float = 0.0
    latency_factor: float = 1.0
    fault_delay: float = 0.0
    min_share: float = 0.0
    last_route_only: bool = False
    common_error_rate: float = 0.0
    common_until: float = math.inf
    common_factor: float = 1.0

    def is_bad(self) -> bool:
        """Return whether the new version has to be rolled back."""
        return self.error_rate > 0 or self.latency_factor > 1


SCENARIOS = (
    Scenario("good"),
    Scenario("good_in_overload", common_error_rate=0.25),
    Scenario("errors", error_rate=0.5),
    Scenario("slow", latency_factor=8.0),
    Scenario("errors_late", error_rate=0.5, fault_delay=6.0),
    Scenario("few_errors_late", error_rate=0.3, fault_delay=10.0),
    Scenario("slow_late", latency_factor=8.0, fault_delay=10.0),
    Scenario("errors_under_load", error_rate=0.5, min_share=0.15),
    Scenario("errors_on_one_route", error_rate=0.5, last_route_only=True),
    Scenario("slow_under_load", latency_factor=8.0, min_share=0.15),
    Scenario("good_after_trouble", common_error_rate=0.62, common_until=4.0),
    Scenario("good_in_slowness", common_factor=4.0),
    Scenario(
        "errors_after_trouble",
        error_rate=0.5,
        common_error_rate=0.62,
        common_until=4.0,
    ),
    Scenario("errors_in_trouble", error_rate=0.5, common_error_rate=0.35),
    Scenario("slow_in_slowness", latency_factor=8.0, common_factor=4.0),
)


@dataclasses.dataclass(slots=True)
class Outcome:
    """Outcome of one simulated rollout.

    :param completed: whether the new version replaced the old one.
    :param in_time: whether it did so within the duration of the rollout.
    :param new_requests: requests that the new version got.
    :param total_requests: mean number of requests to the service within the duration.
    """

    completed: bool
    in_time: bool
    new_requests: int
    total_requests: float

    def is_over_exposed(self) -> bool:
        """Return whether the new version got more requests than a bad one may."""
        return self.new_requests > EXPOSURE_SHARE * self.total_requests + EXPOSURE_SLACK


class Simulation:
    """Simulates one rollout in virtual time."""

    def __init__(self, deployment: Deployment, scenario: Scenario, rng: random.Random):
        self.deployment = deployment
        self.scenario = scenario
        self.random = rng
        self.ramp = ramps.Ramp(deployment.duration)
        self.history = evidence_history.History()
        self.bad_answers = proof.BadAnswers()
        self.old: evidence.CountsByRoute = {}
        self.new: evidence.CountsByRoute = {}
        self.new_requests = 0

    def run(self) -> Outcome:
        """Simulate until the rollout ends; return its outcome."""
        rate = sum(route[0] for route in self.deployment.routes)
        total_requests = rate * self.deployment.duration
        # Shares that were written and are not in force yet, oldest first.
        pending_shares = [0.0] * (1 + round(APPLY_DELAY / POLL_INTERVAL))
        while True:
            self.ramp.elapsed += POLL_INTERVAL
            self.simulate_requests(pending_shares.pop(0))
            self.history.record(self.ramp.elapsed, self.old, self.new)
            if self.history.find_fault() or self.bad_answers.find_fault(self.history):
                break
            self.ramp.measure(self.old, round(rate * self.ramp.elapsed))
            doubt = proof.find_doubt(self.history)
            self.ramp.advance(
                self.deployment.endpoints, self.old, self.new, doubt=doubt
            )
            if self.ramp.done():
                in_time = self.ramp.elapsed <= self.deployment.duration
                return Outcome(True, in_time, self.new_requests, total_requests)
            if self.ramp.failed():
                break
            pending_shares.append(self.ramp.share(self.deployment.endpoints))
        for share in pending_shares:
            self.simulate_requests(share)
        return Outcome(False, False, self.new_requests, total_requests)

    def simulate_requests(self, share: float) -> None:
        """Simulate the requests of one interval.

        :param share: share of the requests that the new version gets.
        """
        last = len(self.deployment.routes) - 1
        for index, (rate, work) in enumerate(self.deployment.routes):
            faulty = self.is_fault_active(share) and (
                index == last or not self.scenario.last_route_only
            )
            name = f"r{index}"
            requests = self.draw_request_count(rate * POLL_INTERVAL)
            to_new = sum(self.random.random() < share for _ in range(requests))
            self.new_requests += to_new
            common, slowed = self.common_trouble(work)
            self.record_requests(self.old, name, requests - to_new, slowed, common)
            added = self.scenario.error_rate if faulty else 0.0
            error_rate = evidence.add_share(common, added)
            factor = self.scenario.latency_factor if faulty else 1.0
            self.record_requests(self.new, name, to_new, slowed * factor, error_rate)

    def common_trouble(self, work: float) -> tuple[float, float]:
        """Return the share of failures and the processing time of both versions now.

        :param work: processing time in seconds without trouble.
        """
        if self.ramp.elapsed >= self.scenario.common_until:
            return 0.0, work
        return self.scenario.common_error_rate, work * self.scenario.common_factor

    def is_fault_active(self, share: float) -> bool:
        """Return whether the fault occurs at this time and share."""
        delay_over = self.ramp.elapsed >= self.scenario.fault_delay
        return delay_over and share >= self.scenario.min_share

    def record_requests(
        self,
        counts_by_route: evidence.CountsByRoute,
        name: str,
        requests: int,
        work: float,
        error_rate: float,
    ) -> None:
        """Record simulated requests to one version on one route.

        :param name: name of the route.
        :param work: median processing time in seconds.
        """
        counts = counts_by_route.setdefault(name, evidence.Counts())
        for _ in range(requests):
            failed = self.random.random() < error_rate
            seconds = work * math.exp(self.random.gauss(0.0, LATENCY_SIGMA))
            if seconds >= TIME_LIMIT:
                counts.record_timeout(TIME_LIMIT)
            else:
                counts.record_call(failed, seconds)

    def draw_request_count(self, mean: float) -> int:
        """Return a random number of requests for one interval."""
        return max(round(self.random.gauss(mean, math.sqrt(mean))), 0)


@base.EXPERIMENTS.register("rollouts")
def measure(parameters: base.Parameters) -> base.Result:
    """Measure how many simulated rollouts end as they should: good versions completed
    in time, bad ones rolled back before they get too many requests."""
    rounds = parameters.size or ROUNDS
    figures: dict[str, float | int | str] = {}
    outcomes: dict[str, list[Outcome]] = {}
    for scenario in SCENARIOS:
        ended = outcomes[scenario.name] = list(
            simulate(parameters.seed, scenario, rounds)
        )
        new_percents = [
            100 * outcome.new_requests / outcome.total_requests for outcome in ended
        ]
        in_time = sum(outcome.in_time for outcome in ended)
        rolled_back = sum(not outcome.completed for outcome in ended)
        correct = rolled_back if scenario.is_bad() else in_time
        figures[f"{scenario.name}_right"] = f"{correct}/{len(ended)}"
        figures[f"{scenario.name}_reached_percent"] = round(
            sum(new_percents) / len(new_percents), 2
        )
    summary = summarise(outcomes)
    figures |= summary
    ok = (
        summary["good_in_time_percent"] >= TARGET["good_in_time_percent"]
        and summary["bad_taken_back_percent"] >= TARGET["bad_taken_back_percent"]
        and summary["over_exposure_percent"] <= TARGET["over_exposure_percent"]
    )
    runs = sum(map(len, outcomes.values()))
    return base.Result("rollouts", parameters.seed, runs, figures, TARGET, ok)


def simulate(
    seed: int, scenario: Scenario, rounds: int
) -> collections.abc.Iterator[Outcome]:
    """Yield the outcomes of a scenario, ``rounds`` times in every deployment."""
    for number in range(rounds):
        for deployment in DEPLOYMENTS:
            rng = random.Random(f"{seed}/{number}/{deployment.name}/{scenario.name}")
            yield Simulation(deployment, scenario, rng).run()


def summarise(outcomes: dict[str, list[Outcome]]) -> dict[str, float]:
    """Return the figures over all scenarios, in percent."""
    bad = [
        outcome
        for scenario in SCENARIOS
        if scenario.is_bad()
        for outcome in outcomes[scenario.name]
    ]
    good = [
        outcome
        for scenario in SCENARIOS
        if not scenario.is_bad()
        for outcome in outcomes[scenario.name]
    ]
    return {
        "good_in_time_percent": percent_true(outcome.in_time for outcome in good),
        "bad_taken_back_percent": percent_true(
            not outcome.completed for outcome in bad
        ),
        "over_exposure_percent": percent_true(
            outcome.is_over_exposed() for outcome in bad
        ),
    }


def percent_true(conditions: collections.abc.Iterable[bool]) -> float:
    """Return the percentage of conditions that hold."""
    values = list(conditions)
    return round(100 * sum(values) / len(values), 2)
