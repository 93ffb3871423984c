"""``rollouts``: good versions completed in time, bad ones taken back.

A model of one service in virtual time: only the ramp and the verdict are the
system's own. The number of runs is fixed, so a seed gives the same figures on
every machine.
"""

import collections.abc
import dataclasses
import math
import random

from rattanridge.measure import base
from rattanridge.policies import evidence, ramp as ramps

ROUNDS = 40  # runs of each scenario in each deployment
STEP = 0.35  # seconds between two looks of the coordinator
DELAY = 0.5  # seconds until a share that was written is in force at all entries
SPREAD = 0.5  # of the logarithm of times
EXPOSURE_SHARE = 0.1  # of all requests that a bad version may get
EXPOSURE_SLACK = 50  # requests
TARGET = {
    "good_in_time_percent": 99.0,
    "bad_taken_back_percent": 99.0,
    "over_exposure_percent": 0.0,
}


@dataclasses.dataclass(slots=True, frozen=True)
class Deployment:
    """One service.

    :param routes: requests a second and mean seconds of work, for each route.
    :param duration: seconds that the order allows.
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
    """What is wrong with the new version, or with both.

    :param errors: part of the new version's requests that fail.
    :param slow: factor of the new version's times.
    :param late: seconds after the order from which the fault shows.
    :param load: part of the requests above which it shows.
    :param one_route: whether only the last route is hit.
    :param both: part of both versions' requests that fail, as in an overload.
    """

    name: str
    errors: float = 0.0
    slow: float = 1.0
    late: float = 0.0
    load: float = 0.0
    one_route: bool = False
    both: float = 0.0

    def bad(self) -> bool:
        """Whether the version has to be taken back."""
        return self.errors > 0 or self.slow > 1


SCENARIOS = (
    Scenario("good"),
    Scenario("good_in_overload", both=0.25),
    Scenario("errors", errors=0.5),
    Scenario("slow", slow=8.0),
    Scenario("errors_late", errors=0.5, late=6.0),
    Scenario("errors_under_load", errors=0.5, load=0.15),
    Scenario("errors_on_one_route", errors=0.5, one_route=True),
    Scenario("slow_under_load", slow=8.0, load=0.15),
)


@dataclasses.dataclass(slots=True)
class Outcome:
    """How one run ended.

    :param reached: requests that the new version got.
    :param total: requests of the service in the order's time.
    """

    completed: bool
    in_time: bool
    reached: int
    total: float

    def over_exposed(self) -> bool:
        """Whether a bad version got more than it may."""
        return self.reached > EXPOSURE_SHARE * self.total + EXPOSURE_SLACK


class Run:
    """One rollout in virtual time."""

    def __init__(self, deployment: Deployment, scenario: Scenario, rng: random.Random):
        self.deployment = deployment
        self.scenario = scenario
        self.random = rng
        self.ramp = ramps.Ramp(deployment.duration)
        self.old: evidence.CountsByRoute = {}
        self.new: evidence.CountsByRoute = {}
        self.reached = 0

    def run(self) -> Outcome:
        """Play until the rollout ends."""
        rate = sum(route[0] for route in self.deployment.routes)
        total = rate * self.deployment.duration
        shares = [0.0] * (1 + round(DELAY / STEP))
        while True:
            self.ramp.elapsed += STEP
            self.serve(shares.pop(0))
            if evidence.find_fault(self.old, self.new):
                break
            self.ramp.advance(self.deployment.endpoints, self.old, self.new)
            if self.ramp.done():
                in_time = self.ramp.elapsed <= self.deployment.duration
                return Outcome(True, in_time, self.reached, total)
            if self.ramp.out_of_time():
                break
            shares.append(self.ramp.share(self.deployment.endpoints))
        for share in shares:
            self.serve(share)
        return Outcome(False, False, self.reached, total)

    def serve(self, share: float) -> None:
        """Let both versions serve for one step."""
        last = len(self.deployment.routes) - 1
        for index, (rate, work) in enumerate(self.deployment.routes):
            hit = self.is_hit(share) and (index == last or not self.scenario.one_route)
            name = f"r{index}"
            calls = self.draw(rate * STEP)
            fresh = sum(self.random.random() < share for _ in range(calls))
            self.reached += fresh
            self.add(self.old, name, calls - fresh, work, self.scenario.both)
            errors = max(self.scenario.errors if hit else 0.0, self.scenario.both)
            slow = self.scenario.slow if hit else 1.0
            self.add(self.new, name, fresh, work * slow, errors)

    def is_hit(self, share: float) -> bool:
        """Whether the fault shows now."""
        late = self.ramp.elapsed >= self.scenario.late
        return late and share >= self.scenario.load

    def add(
        self,
        found: evidence.CountsByRoute,
        name: str,
        calls: int,
        work: float,
        errors: float,
    ) -> None:
        """Count requests of one version."""
        counts = found.setdefault(name, evidence.Counts())
        for _ in range(calls):
            failed = self.random.random() < errors
            counts.record_call(failed, work * math.exp(self.random.gauss(0.0, SPREAD)))

    def draw(self, mean: float) -> int:
        """Draw the number of requests of one step."""
        return max(round(self.random.gauss(mean, math.sqrt(mean))), 0)


@base.EXPERIMENTS.register("rollouts")
def measure(parameters: base.Parameters) -> base.Result:
    """Play each scenario in each deployment in virtual time."""
    rounds = parameters.size or ROUNDS
    figures: dict[str, float | int | str] = {}
    outcomes: dict[str, list[Outcome]] = {}
    for scenario in SCENARIOS:
        found = outcomes[scenario.name] = list(play(parameters.seed, scenario, rounds))
        reached = [100 * item.reached / item.total for item in found]
        good = sum(item.in_time for item in found)
        taken = sum(not item.completed for item in found)
        ended = taken if scenario.bad() else good
        figures[f"{scenario.name}_right"] = f"{ended}/{len(found)}"
        figures[f"{scenario.name}_reached_percent"] = round(
            sum(reached) / len(reached), 2
        )
    figures |= summarise(outcomes)
    ok = (
        figures["good_in_time_percent"] >= TARGET["good_in_time_percent"]
        and figures["bad_taken_back_percent"] >= TARGET["bad_taken_back_percent"]
        and figures["over_exposure_percent"] <= TARGET["over_exposure_percent"]
    )
    runs = sum(map(len, outcomes.values()))
    return base.Result("rollouts", parameters.seed, runs, figures, TARGET, ok)


def play(
    seed: int, scenario: Scenario, rounds: int
) -> collections.abc.Iterator[Outcome]:
    """Run one scenario in every deployment."""
    for number in range(rounds):
        for deployment in DEPLOYMENTS:
            rng = random.Random(f"{seed}/{number}/{deployment.name}/{scenario.name}")
            yield Run(deployment, scenario, rng).run()


def summarise(outcomes: dict[str, list[Outcome]]) -> dict[str, float]:
    """Return the rates over all scenarios."""
    bad = [item for s in SCENARIOS if s.bad() for item in outcomes[s.name]]
    good = [item for s in SCENARIOS if not s.bad() for item in outcomes[s.name]]
    return {
        "good_in_time_percent": percent(item.in_time for item in good),
        "bad_taken_back_percent": percent(not item.completed for item in bad),
        "over_exposure_percent": percent(item.over_exposed() for item in bad),
    }


def percent(found: collections.abc.Iterable[bool]) -> float:
    """Return the part of what holds, in percent."""
    values = list(found)
    return round(100 * sum(values) / len(values), 2)
