"""Decides which share of the requests a new version gets, and when.

Needs no network. A good version must take over within the duration of the rollout,
and a bad one may get at most a tenth of the requests until it is detected. One of
the new endpoints gets its full load early, because a fault may appear only under
load. If endpoints of the new version go away during the rollout, it gets no more
requests than the remaining ones can serve, and it does not replace the old version,
whose endpoints stop as soon as it has taken over.
"""

import dataclasses

from rattanridge.policies import evidence

RESERVE_SHARE = 0.08  # of the duration, kept for the last write of the status
MIN_RESERVE = 1.0  # seconds
MIN_CAPACITY_RATIO = 0.6  # new over old slots; with less the old one is not replaced
MIN_CALLS = 8  # on each route that the old version serves, before the last step
FULL_SHARE = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """One step of a rollout.

    :param share: fraction of the requests that the new version gets; 0 with
        ``one_endpoint`` means the fraction that fully loads one endpoint, but at most
        the share of the next step.
    :param duration_share: length of the step, as a fraction of the time from when the
        first new endpoint is ready until the rollout must be done.
    :param one_endpoint: whether only one of the new endpoints is used.
    """

    share: float
    duration_share: float
    one_endpoint: bool = False


STEPS = (
    Step(0.02, 0.10),
    Step(0.06, 0.28),
    Step(0.0, 0.22, one_endpoint=True),
    Step(0.35, 0.08),
    Step(FULL_SHARE, 0.32),
)


@dataclasses.dataclass(slots=True)
class Ramp:
    """The progress of one rollout, as its coordinator sees it.

    :param duration: seconds after the order by which the rollout must be done.
    :param elapsed: seconds since the order.
    :param began: seconds from the order until the first new endpoint was ready;
        negative while there is none.
    :param step: index of the current step in ``STEPS``.
    :param step_at: value of ``elapsed`` when the current step began.
    :param capacity_ratio: slots of the new version's ready endpoints, divided by
        those of the old version.
    """

    duration: float
    elapsed: float = 0.0
    began: float = -1.0
    step: int = 0
    step_at: float = 0.0
    capacity_ratio: float = 1.0

    def usable_time(self) -> float:
        """Return the seconds from the first ready endpoint until all must be done."""
        reserve = max(RESERVE_SHARE * self.duration, MIN_RESERVE)
        return max(self.duration - reserve - max(self.began, 0.0), 0.0)

    def advance(
        self, endpoints: int, old: evidence.CountsByRoute, new: evidence.CountsByRoute
    ) -> None:
        """Move on to the next step if the current one has lasted long enough.

        :param endpoints: number of the new version's ready endpoints.
        """
        if self.began < 0:
            if not endpoints:
                return
            self.began = self.step_at = self.elapsed
        if self.step >= len(STEPS) - 1:
            return
        if (
            self.elapsed - self.step_at
            < STEPS[self.step].duration_share * self.usable_time()
        ):
            return
        if self.step == len(STEPS) - 2 and not self.is_proven(old, new):
            return
        self.step += 1
        self.step_at = self.elapsed

    def is_proven(
        self, old: evidence.CountsByRoute, new: evidence.CountsByRoute
    ) -> bool:
        """Return whether every route in use was tried, or no time is left for that."""
        if (
            self.elapsed
            >= self.began + (1.0 - STEPS[-1].duration_share / 2) * self.usable_time()
        ):
            return True
        return all(
            new.get(route, evidence.Counts()).calls >= MIN_CALLS
            for route, counts in old.items()
            if counts.calls >= MIN_CALLS
        )

    def share(self, endpoints: int) -> float:
        """Return the fraction of the requests that the new version gets.

        :param endpoints: number of the new version's ready endpoints.
        """
        if self.began < 0:
            return 0.0
        step = STEPS[self.step]
        if step.one_endpoint:
            # With few endpoints, the full load of one of them would be the share of
            # a version that has already proven itself.
            return min(1.0 / max(endpoints, 1), STEPS[self.step + 1].share)
        if self.has_capacity():
            return step.share
        return min(step.share, self.capacity_ratio / (1.0 + self.capacity_ratio))

    def has_capacity(self) -> bool:
        """Return whether the new version could serve the load of the old one."""
        return self.capacity_ratio >= MIN_CAPACITY_RATIO

    def one_endpoint(self) -> bool:
        """Return whether only one of the new endpoints is used."""
        return self.began >= 0 and STEPS[self.step].one_endpoint

    def done(self) -> bool:
        """Return whether the last step has lasted long enough."""
        if self.began < 0 or self.step < len(STEPS) - 1 or not self.has_capacity():
            return False
        step_time = self.elapsed - self.step_at
        return (
            step_time >= STEPS[-1].duration_share * self.usable_time()
            or self.out_of_time()
        )

    def out_of_time(self) -> bool:
        """Return whether the rollout must be completed or rolled back now."""
        return self.elapsed >= max(self.began, 0.0) + self.usable_time()
