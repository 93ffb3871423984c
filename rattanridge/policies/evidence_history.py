"""The evidence on a rollout over time. Needs no network.

A sum since the order hides a fault that begins late: the longer a version was good,
the more of its requests must fail until the sum shows it. It also mixes times: an old
version that was in trouble before the new one got its requests makes a bad new one
look no worse. So each request of the new version is compared with those that the old
one had at the same time: the old version's counts of each short time are weighted by
the requests of the new one in it.
"""

import collections
import collections.abc
import dataclasses

from rattanridge.policies import evidence

WINDOWS = (0.5, 1.0, 2.0, 4.0)  # seconds
# Probability below which a difference is not due to chance; small, as many windows
# are looked at during a rollout.
WINDOW_SIGNIFICANCE = 1e-6
# Requests of the old version that are enough to compare with.
MIN_BASELINE_CALLS = 20
BORROWED_CALLS = 80  # requests of earlier slices where one slice has too few


@dataclasses.dataclass(slots=True)
class Slice:
    """What both versions had on one route between two checks.

    :param at: monotonic seconds of its end.
    :param observed: what the old version had in this time.
    :param old: what the new version is compared with: that, or more if it is too few.
    """

    at: float
    observed: evidence.Counts
    old: evidence.Counts
    new: evidence.Counts


@dataclasses.dataclass(slots=True)
class Comparison:
    """Requests of the new version, and of the old one at the same times."""

    old: evidence.Counts
    new: evidence.Counts


class RouteHistory:
    """The evidence on one route, in slices between two checks.

    Where the old version had too few requests in a slice, as in the last step, the new
    one is compared with what the old one had in the slices before.
    """

    def __init__(self) -> None:
        self.last_old = evidence.Counts()
        self.last_new = evidence.Counts()
        self.slices: collections.deque[Slice] = collections.deque()
        # What the old version had when it last had enough.
        self.baseline = evidence.Counts()
        # Sums of the slices that are older than the longest window.
        self.earlier = WeightedSum()
        # Comparisons of the last check by their begin; each is asked for repeatedly.
        self.compared: dict[float | None, Comparison] = {}

    def record(self, now: float, old: evidence.Counts, new: evidence.Counts) -> None:
        """Record the sums since the order.

        :param now: monotonic seconds.
        """
        self.compared.clear()
        observed = old.since(self.last_old)
        observed.running = {}
        fresh = new.since(self.last_new)
        fresh.running = {}
        self.last_old = old.copy()
        self.last_new = new.copy()
        self.slices.append(Slice(now, observed, self.find_old(observed), fresh))
        while self.slices[0].at <= now - WINDOWS[-1]:
            self.earlier.add(self.slices.popleft())

    def find_old(self, observed: evidence.Counts) -> evidence.Counts:
        """Return what the new version is compared with in the next slice.

        :param observed: what the old version had in it.
        """
        if observed.calls >= MIN_BASELINE_CALLS:
            self.baseline = observed
            return observed
        total = observed.copy()
        for item in reversed(self.slices):
            if total.calls >= BORROWED_CALLS:
                break
            total.merge(item.observed)
        if total.calls < MIN_BASELINE_CALLS <= self.baseline.calls:
            return self.baseline
        self.baseline = total
        return total

    def compare(self, since: float | None = None) -> Comparison:
        """Return the evidence from a time on; all of it for None.

        :param since: monotonic seconds.
        """
        if since not in self.compared:
            self.compared[since] = self.sum_slices(since)
        return self.compared[since]

    def sum_slices(self, since: float | None) -> Comparison:
        """Return the evidence from a time on, as ``compare`` does."""
        weighted = WeightedSum()
        if since is None:
            weighted.merge(self.earlier)
        for item in self.slices:
            if since is None or item.at > since:
                weighted.add(item)
        compared = weighted.compare()
        compared.old.running = dict(self.last_old.running)
        compared.new.running = dict(self.last_new.running)
        return compared


class WeightedSum:
    """A sum over slices, the old version weighted by the requests of the new one."""

    def __init__(self) -> None:
        self.new = evidence.Counts()
        # Requests of the old version of slices in which the new one had none.
        self.idle_old = evidence.Counts()
        self.weight = 0.0
        # Sum of squared weights divided by the requests of the old version.
        self.variance = 0.0
        # Requests of the old version, each counted once.
        self.observed = 0
        self.calls = 0.0
        self.errors = 0.0
        self.late = 0.0
        self.times: dict[int, float] = {}
        self.unanswered: dict[int, float] = {}
        self.timed_out: dict[int, float] = {}

    def add(self, item: Slice) -> None:
        """Add one slice."""
        self.new.merge(item.new)
        weight = item.new.ended()
        old_calls = item.old.ended()
        if not weight or not old_calls:
            self.idle_old.merge(item.observed)
            return
        factor = weight / old_calls
        self.weight += weight
        self.variance += weight * factor
        self.observed += item.observed.ended()
        self.calls += factor * item.old.calls
        self.errors += factor * item.old.errors
        self.late += factor * item.old.late
        add_scaled(self.times, item.old.times, factor)
        add_scaled(self.unanswered, item.old.unanswered, factor)
        add_scaled(self.timed_out, item.old.timed_out, factor)

    def merge(self, other: "WeightedSum") -> None:
        """Add another sum."""
        self.new.merge(other.new)
        self.idle_old.merge(other.idle_old)
        self.weight += other.weight
        self.variance += other.variance
        self.observed += other.observed
        self.calls += other.calls
        self.errors += other.errors
        self.late += other.late
        add_scaled(self.times, other.times, 1.0)
        add_scaled(self.unanswered, other.unanswered, 1.0)
        add_scaled(self.timed_out, other.timed_out, 1.0)

    def compare(self) -> Comparison:
        """Return the sums of both versions.

        The old version's is scaled to the number of its requests that would tell as
        much: fewer than it had, the more the weights differ.
        """
        if not self.weight:
            return Comparison(self.idle_old.copy(), self.new.copy())
        observed = max(self.observed, BORROWED_CALLS)
        scale = min(self.weight / self.variance, observed / self.weight)
        old = evidence.Counts(
            round(scale * self.calls),
            round(scale * self.errors),
            scaled(self.times, scale),
            scaled(self.unanswered, scale),
            timed_out=scaled(self.timed_out, scale),
            late=round(scale * self.late),
        )
        return Comparison(old, self.new.copy())


def add_scaled(
    target: dict[int, float],
    other: collections.abc.Mapping[int, float],
    factor: float,
) -> None:
    """Add numbers of requests by bucket, times a factor, to those in ``target``."""
    for bucket, count in other.items():
        target[bucket] = target.get(bucket, 0.0) + factor * count


def scaled(buckets: dict[int, float], factor: float) -> dict[int, int]:
    """Return numbers of requests by bucket, times a factor, as whole numbers."""
    rounded = {bucket: round(factor * count) for bucket, count in buckets.items()}
    return {bucket: count for bucket, count in rounded.items() if count}


class History:
    """The evidence on all routes, and the verdict on what it shows."""

    def __init__(self) -> None:
        self.routes: dict[str, RouteHistory] = {}
        self.at = 0.0

    def record(
        self, now: float, old: evidence.CountsByRoute, new: evidence.CountsByRoute
    ) -> None:
        """Record the sums since the order.

        :param now: monotonic seconds.
        """
        self.at = now
        for route in old.keys() | new.keys():
            history = self.routes.setdefault(route, RouteHistory())
            history.record(
                now,
                old.get(route, evidence.Counts()),
                new.get(route, evidence.Counts()),
            )

    def find_fault(self) -> str:
        """Return why the new version is considered bad; empty if it is not.

        Looks at all since the order and at each of the last windows.
        """
        for route, history in self.routes.items():
            compared = history.compare()
            fault = evidence.find_route_fault(route, compared.old, compared.new)
            fault = fault or self.find_recent_fault(route, history)
            if fault:
                return fault
        return ""

    def find_recent_fault(self, route: str, history: RouteHistory) -> str:
        """Return why the new version is considered bad in one of the last windows."""
        for seconds in WINDOWS:
            compared = history.compare(self.at - seconds)
            fault = evidence.find_route_fault(
                route,
                compared.old,
                compared.new,
                WINDOW_SIGNIFICANCE,
                evidence.BASELINE_SHARE,
            )
            if fault:
                return f"{fault} in {seconds:.1f} s"
        return ""
