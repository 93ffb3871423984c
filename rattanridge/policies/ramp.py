"""Decides which share of the requests a new version gets, and when.

Needs no network. A good version must take over within the duration of the rollout,
and a bad one may get at most a tenth of the requests until it is detected, whenever
its fault begins. So the version is on trial with few requests for as long as possible,
and takes over as late as the requests at the old version need to end. Just before, one
of the new endpoints gets its full load, because a fault may appear only under load. If
endpoints of the new version go away during the rollout, it gets no more requests than
the remaining ones can serve, and it does not replace the old version, whose endpoints
stop as soon as it has taken over.
"""

import dataclasses

from rattanridge.policies import evidence

RESERVE_SHARE = 0.08  # of the duration, kept for the last write of the status
MIN_RESERVE = 1.0  # seconds
MIN_CAPACITY_RATIO = 0.6  # new over old slots; with less the old one is not replaced
MIN_CALLS = 8  # answers on each route in use, before the last step
MIN_CALLS_SHARE = 0.01  # of the old version's calls; enough where 8 take too long
TRIAL_CALLS = 36  # requests that a trial should see even if there are few
FULL_SHARE = 1.0
NOT_LOADED = "no endpoint had its full load"
NOT_HEARD = "exits do not report"

# The last step ends when the requests at the old version have ended.
SHARE_DELAY = 0.7  # seconds until nearly all entries have a new share
SLOW_REQUEST_QUANTILE = 0.99
LAST_STEP_TIME = (1.2, 5.0)  # seconds, at least and at most
MAX_LAST_STEP_SHARE = 0.3  # of the usable time
HEARD_GRACE = 0.5  # seconds after its end in which the last step waits for reports
MIN_STEP_TIME = 0.8  # seconds of a step that loads one or all endpoints


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """One step of a rollout.

    :param share: fraction of the requests that the new version gets; with
        ``one_endpoint`` the most that one endpoint gets as its full load.
    :param begin_share: part of the trial after which it begins; the last step begins
        when the trial ends.
    :param one_endpoint: whether only one of the new endpoints is used.
    """

    share: float
    begin_share: float
    one_endpoint: bool = False


STEPS = (
    Step(0.02, 0.0),
    Step(0.04, 0.15),
    Step(0.35, 0.88, one_endpoint=True),
    Step(FULL_SHARE, 1.0),
)
SPREAD_STEP = 1
LOAD_STEP = 2
LAST_STEP = len(STEPS) - 1


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
    :param obstacle: why the last step has not begun though it was time for it.
    :param heard: whether the exits reported at the last check: those of both versions,
        in the last step those of the new one.
    :param rate: requests per second that the service gets; 0 if it is not known.
    :param request_time: seconds that nearly all of the old version's requests take.
    """

    duration: float
    elapsed: float = 0.0
    began: float = -1.0
    step: int = 0
    step_at: float = 0.0
    capacity_ratio: float = 1.0
    obstacle: str = NOT_LOADED
    heard: bool = True
    rate: float = 0.0
    request_time: float = 0.0

    def usable_time(self) -> float:
        """Return the seconds from the first ready endpoint until all must be done."""
        reserve = max(RESERVE_SHARE * self.duration, MIN_RESERVE)
        return max(self.duration - reserve - max(self.began, 0.0), 0.0)

    def last_step_time(self) -> float:
        """Return the seconds that the last step takes."""
        least, most = LAST_STEP_TIME
        needed = max(SHARE_DELAY + self.request_time, least)
        return min(needed, most, MAX_LAST_STEP_SHARE * self.usable_time())

    def trial_time(self) -> float:
        """Return the seconds from the first ready endpoint until the last step."""
        return self.usable_time() - self.last_step_time()

    def begin_of(self, step: int) -> float:
        """Return the seconds from the first ready endpoint until a step may begin."""
        begin = STEPS[step].begin_share * self.trial_time()
        if step == LOAD_STEP:
            return min(begin, max(self.trial_time() - MIN_STEP_TIME, 0.0))
        return begin

    def measure(self, old: evidence.CountsByRoute, served: int) -> None:
        """Take over what the evidence tells of the service's load.

        :param served: requests that the service has had since the order.
        """
        if self.elapsed > 0:
            self.rate = served / self.elapsed
        self.request_time = max(
            (counts.quantile(SLOW_REQUEST_QUANTILE) for counts in old.values()),
            default=0.0,
        )

    def advance(
        self,
        endpoints: int,
        old: evidence.CountsByRoute,
        new: evidence.CountsByRoute,
        heard: bool = True,
        doubt: str = "",
    ) -> None:
        """Move on to the next step if it is time for it.

        :param endpoints: number of the new version's ready endpoints.
        :param heard: whether the exits that matter in this step report.
        :param doubt: why the new version is not proven; empty if it is.
        """
        self.heard = heard
        if self.began < 0:
            if not endpoints:
                return
            self.began = self.step_at = self.elapsed
        if self.step >= LAST_STEP:
            return
        if self.elapsed - self.began < self.begin_of(self.step + 1):
            return
        if self.step == LOAD_STEP:
            self.obstacle = self.find_obstacle(old, new) or doubt
            if self.obstacle:
                return
        self.step += 1
        self.step_at = self.elapsed

    def step_time(self) -> float:
        """Return the seconds since the current step began."""
        return self.elapsed - self.step_at

    def find_obstacle(
        self, old: evidence.CountsByRoute, new: evidence.CountsByRoute
    ) -> str:
        """Return why the last step may not begin; empty if it may."""
        if not self.heard:
            return NOT_HEARD
        if self.step_time() < MIN_STEP_TIME:
            return NOT_LOADED
        for route, counts in old.items():
            needed = min(MIN_CALLS, int(MIN_CALLS_SHARE * counts.calls))
            if new.get(route, evidence.Counts()).calls < needed:
                return f"too few answers on {route}"
        return ""

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
            return min(1.0 / max(endpoints, 1), step.share)
        share = step.share
        if self.step == SPREAD_STEP:
            share = max(share, self.share_of_few_requests())
        if self.has_capacity():
            return share
        return min(share, self.capacity_ratio / (1.0 + self.capacity_ratio))

    def share_of_few_requests(self) -> float:
        """Return the share with which the trial sees ``TRIAL_CALLS`` requests.

        It is at most that of one endpoint with its full load.
        """
        expected = self.rate * self.trial_time()
        if not expected:
            return 0.0
        return min(TRIAL_CALLS / expected, STEPS[LOAD_STEP].share)

    def has_capacity(self) -> bool:
        """Return whether the new version could serve the load of the old one."""
        return self.capacity_ratio >= MIN_CAPACITY_RATIO

    def one_endpoint(self) -> bool:
        """Return whether only one of the new endpoints is used."""
        return self.began >= 0 and STEPS[self.step].one_endpoint

    def is_last(self) -> bool:
        """Return whether the new version gets all requests."""
        return self.began >= 0 and self.step == LAST_STEP

    def done(self) -> bool:
        """Return whether the new version has taken over."""
        if not self.is_last() or not self.has_capacity() or not self.heard:
            return False
        return self.step_time() >= MIN_STEP_TIME and self.out_of_time()

    def failed(self) -> bool:
        """Return whether the time is over and the new version may not take over."""
        if not self.out_of_time():
            return False
        if not self.is_last() or not self.has_capacity():
            return True
        return not self.heard and self.out_of_time(HEARD_GRACE)

    def out_of_time(self, grace: float = 0.0) -> bool:
        """Return whether the rollout must be completed or rolled back now.

        :param grace: seconds that are given besides.
        """
        return self.elapsed >= max(self.began, 0.0) + self.usable_time() + grace
