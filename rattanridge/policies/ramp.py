"""Which share of the requests a new version gets, and when. Needs no network.

Answers this load: a version that must be in force in time if it is good, and
that may have seen only a tenth of the requests if it is bad. One of its
endpoints gets its whole load early, for a fault may show only then. A version
whose endpoints leave meanwhile gets no more than they can carry, and does not
replace the old one: that one's endpoints stop as soon as it has.
"""

import dataclasses

from rattanridge.policies import evidence

END_RESERVE = 0.08  # of the duration, kept for the last write
LEAST_RESERVE = 1.0  # seconds
LEAST_ROOM = 0.6  # of the old version's slots, without which it is not replaced
LEAST_CALLS = 8  # on each route that the old version serves, before the last step
FULL = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """One step of a rollout.

    :param share: part of the requests; 0 with ``one_endpoint`` stands for the
        part that loads one endpoint fully, but not more than the next step's.
    :param part: of the time that is left when the first new endpoint is ready.
    :param one_endpoint: whether only one of the new endpoints is used.
    """

    share: float
    part: float
    one_endpoint: bool = False


STEPS = (
    Step(0.02, 0.10),
    Step(0.06, 0.28),
    Step(0.0, 0.22, one_endpoint=True),
    Step(0.35, 0.08),
    Step(FULL, 0.32),
)


@dataclasses.dataclass(slots=True)
class Ramp:
    """The progress of one rollout, as its coordinator sees it.

    :param duration: seconds within which it is to be done.
    :param elapsed: seconds since the order.
    :param began: seconds after the order when the first new endpoint was ready.
    :param room: slots of the new version's ready endpoints over the old one's.
    """

    duration: float
    elapsed: float = 0.0
    began: float = -1.0
    step: int = 0
    step_at: float = 0.0
    capacity_ratio: float = 1.0

    def usable(self) -> float:
        """Return the seconds from the first endpoint until all must be done."""
        reserve = max(END_RESERVE * self.duration, LEAST_RESERVE)
        return max(self.duration - reserve - max(self.began, 0.0), 0.0)

    def advance(
        self, endpoints: int, old: evidence.CountsByRoute, new: evidence.CountsByRoute
    ) -> None:
        """Go on to the next step if the one in force has lasted long enough."""
        if self.began < 0:
            if not endpoints:
                return
            self.began = self.step_at = self.elapsed
        if self.step >= len(STEPS) - 1:
            return
        if self.elapsed - self.step_at < STEPS[self.step].part * self.usable():
            return
        if self.step == len(STEPS) - 2 and not self.proved(old, new):
            return
        self.step += 1
        self.step_at = self.elapsed

    def proved(self, old: evidence.CountsByRoute, new: evidence.CountsByRoute) -> bool:
        """Whether each route in use was tried, or there is no more time for it."""
        if self.elapsed >= self.began + (1.0 - STEPS[-1].part / 2) * self.usable():
            return True
        return all(
            new.get(route, evidence.Counts()).calls >= LEAST_CALLS
            for route, counts in old.items()
            if counts.calls >= LEAST_CALLS
        )

    def share(self, endpoints: int) -> float:
        """Return the part of the requests for the new version."""
        if self.began < 0:
            return 0.0
        step = STEPS[self.step]
        if step.one_endpoint:
            # Where the version has few endpoints, one of them would get the share
            # of a version that has already proved itself.
            return min(1.0 / max(endpoints, 1), STEPS[self.step + 1].share)
        if self.has_capacity():
            return step.share
        return min(step.share, self.capacity_ratio / (1.0 + self.capacity_ratio))

    def has_capacity(self) -> bool:
        """Whether the new version could carry the load of the old one."""
        return self.capacity_ratio >= LEAST_ROOM

    def one_endpoint(self) -> bool:
        """Whether only one of the new endpoints is used."""
        return self.began >= 0 and STEPS[self.step].one_endpoint

    def done(self) -> bool:
        """Whether the last step has lasted long enough."""
        if self.began < 0 or self.step < len(STEPS) - 1 or not self.has_capacity():
            return False
        held = self.elapsed - self.step_at
        return held >= STEPS[-1].part * self.usable() or self.out_of_time()

    def out_of_time(self) -> bool:
        """Whether the time for a decision has come."""
        return self.elapsed >= max(self.began, 0.0) + self.usable()
