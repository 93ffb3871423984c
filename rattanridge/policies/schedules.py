"""Schedules: which share of calls a new version gets, and when.

A schedule makes the plan of a rollout at its start and tells, while it runs,
whether the step in force has been held for long enough. The plan is kept in
the rollout's object, so that every coordinator follows the same one.
"""

import abc
import collections.abc
import dataclasses
import math

import msgspec

from rattanridge.kernel import codes, registry

SCHEDULES: registry.Registry[type["Schedule"]] = registry.Registry("schedule")

ENOUGH_CALLS = 1500  # calls to the new version on each route that end a hold early
BOOST_LIMIT = 0.2  # share that a rare route gets at most
CHANGE_PART = 0.15  # of the least hold, kept back for each change of step
IDLE_FRACTION = 0.1  # part of a hold that a step without any calls to send waits


class RouteShare(msgspec.Struct, frozen=True):
    """A share of its own for a route that is too rare for the step's."""

    route: str
    share: float


class Step(msgspec.Struct, frozen=True):
    """One step of a plan.

    :param share: fraction of idempotent calls for the new version.
    :param once_share: fraction of calls that must not run twice.
    :param hold: seconds for which the step is planned to be held.
    :param spread: endpoints of the new version in use; 0: all.
    """

    share: float
    once_share: float
    hold: float
    spread: int = 0

    def share_of(self, once: bool) -> float:
        return self.once_share if once else self.share


@dataclasses.dataclass(slots=True)
class Window:
    """What a plan is made for.

    :param seconds: from the start to the deadline.
    :param bake: seconds after 100% in which the old version stays the fallback.
    :param least_hold: seconds below which no step is held.
    :param endpoints: number of endpoints of the new version.
    """

    seconds: float
    bake: float
    least_hold: float
    endpoints: int


@dataclasses.dataclass(slots=True)
class Route:
    """Calls seen on one route during the step in force."""

    name: str
    once: bool
    old_calls: int
    new_calls: int

    @property
    def calls(self) -> int:
        return self.old_calls + self.new_calls


@dataclasses.dataclass(slots=True)
class Progress:
    """How far a rollout is.

    :param step: index of the step in force.
    :param held: seconds for which it was held under a coordinator.
    :param left: seconds to the deadline.
    :param routes: what was seen since the step began.
    :param suspicious: whether evidence against the new version is pending.
    """

    step: int
    held: float
    left: float
    routes: collections.abc.Sequence[Route] = ()
    suspicious: bool = False


class Schedule(abc.ABC):
    """Makes plans and follows them."""

    @abc.abstractmethod
    def plan(self, window: Window) -> list[Step]:
        """Return the steps; a deadline that can't be met is a coded failure."""

    @abc.abstractmethod
    def ready(self, steps: list[Step], window: Window, progress: Progress) -> bool:
        """Whether the next step may begin."""

    def boosts(
        self, step: Step, routes: collections.abc.Sequence[Route]
    ) -> list[RouteShare]:
        """Return shares of rare routes in a step; none by default."""
        return []


@SCHEDULES.register("staged")
class Staged(Schedule):
    """Small shares first, idempotent calls first, then full concurrency, then all.

    Holds are fractions of the time up to the bake. A step ends before its
    planned hold only if every route has plenty of samples. If time was lost,
    the holds that are left shrink, never below the least hold. Suspicion
    extends a hold by the slack that the plan leaves, so a silent version
    always makes its deadline. A rare route gets a share of its own, so that
    samples come from it while the service's calls hardly notice.
    """

    # Fraction of the time, share of idempotent calls, of others. The third
    # step sends to few endpoints as much as they get at 100%.
    steps = (
        (0.26, 0.01, 0.0),
        (0.24, 0.015, 0.0),
        (0.02, 0.0, 0.0),
        (0.14, 0.015, 0.05),
        (0.10, 0.05, 0.2),
        (0.09, 0.25, 0.5),
        (0.06, 0.75, 0.75),
    )
    load_step = 2

    def plan(self, window: Window) -> list[Step]:
        available = window.seconds - window.bake
        least = window.least_hold * len(self.steps) * (1.0 + CHANGE_PART)
        if available < least:
            detail = (
                f"{window.seconds:.0f} s are left; the steps need {least:.0f} s "
                f"and the bake {window.bake:.0f} s"
            )
            raise codes.Failure(codes.ROLLOUT_DEADLINE, detail)
        spread = max(1, math.ceil(window.endpoints / 20))
        load = max(0.05, min(spread / max(window.endpoints, 1), 0.5))
        steps = []
        for index, (fraction, share, once_share) in enumerate(self.steps):
            hold = max(fraction * available, window.least_hold)
            if index == self.load_step:
                steps.append(Step(load, 0.0, hold, spread))
            else:
                steps.append(Step(share, once_share, hold))
        return [*steps, Step(1.0, 1.0, window.bake)]

    def boosts(
        self, step: Step, routes: collections.abc.Sequence[Route]
    ) -> list[RouteShare]:
        """Give each exposed route the mean number of samples, within a limit."""
        exposed = [(route, step.share_of(route.once)) for route in routes]
        exposed = [(route, share) for route, share in exposed if 0.0 < share < 1.0]
        if not exposed or step.spread:
            return []
        samples = sum(route.calls * share for route, share in exposed)
        mean = samples / len(exposed)
        found = []
        for route, share in exposed:
            wanted = min(mean / max(route.calls, 1), BOOST_LIMIT)
            if wanted > share:
                found.append(RouteShare(route.name, round(wanted, 3)))
        return found

    def ready(self, steps: list[Step], window: Window, progress: Progress) -> bool:
        step = steps[progress.step]
        if progress.step == len(steps) - 1:
            return progress.held >= step.hold
        hold = self.hold(steps, window, progress)
        if progress.held < window.least_hold:
            return False
        if progress.suspicious:
            return self.slack(steps, window, progress) <= 0.0
        return progress.held >= hold or self.satisfied(step, hold, progress)

    def hold(self, steps: list[Step], window: Window, progress: Progress) -> float:
        """Return the hold of the step in force, shrunk if time was lost."""
        least = window.least_hold
        to_come = steps[progress.step : -1]
        planned = sum(step.hold - least for step in to_come)
        spare = self.slack(steps, window, progress) + progress.held
        scale = min(max(spare, 0.0) / planned, 1.0) if planned > 0.0 else 1.0
        return least + (steps[progress.step].hold - least) * scale

    def slack(self, steps: list[Step], window: Window, progress: Progress) -> float:
        """Return the seconds to spare if the rest takes only its least holds."""
        change = window.least_hold * CHANGE_PART
        least = (window.least_hold + change) * (len(steps) - 1 - progress.step)
        return progress.left - window.bake - change - least

    def satisfied(self, step: Step, hold: float, progress: Progress) -> bool:
        """Whether every route that the step exposes has plenty of samples."""
        exposed = [r for r in progress.routes if step.share_of(r.once) > 0.0]
        if not exposed:
            seen = any(route.old_calls for route in progress.routes)
            return seen and progress.held >= IDLE_FRACTION * hold
        return all(route.new_calls >= ENOUGH_CALLS for route in exposed)


@SCHEDULES.register("fixed-steps")
class FixedSteps(Schedule):
    """Equal steps of equal length; a baseline of measurements."""

    shares = (0.05, 0.25, 0.5)

    def plan(self, window: Window) -> list[Step]:
        hold = (window.seconds - window.bake) / (len(self.shares) + 1)
        steps = [Step(share, share, hold) for share in self.shares]
        return [*steps, Step(1.0, 1.0, window.bake)]

    def ready(self, steps: list[Step], window: Window, progress: Progress) -> bool:
        return progress.held >= steps[progress.step].hold


@SCHEDULES.register("immediate")
class Immediate(FixedSteps):
    """All calls at once; a baseline of measurements."""

    shares = ()


def least_left(steps: list[Step], window: Window, progress: Progress) -> float:
    """Return the seconds that the rest takes at the least, bake included."""
    last = len(steps) - 1
    if progress.step == last:
        return max(steps[last].hold - progress.held, 0.0)
    rest = window.least_hold * (last - progress.step)
    return max(rest - progress.held, 0.0) + window.bake
