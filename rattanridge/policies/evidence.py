"""Decides whether a new version is worse than the old one. Needs no network.

Detects a version that fails or slows down part of its requests: immediately or
later, only under load, or on a single route. Both versions are compared on the same
routes over the same period, so an overload that affects both is not attributed to
the new version. What makes the new version bad stays within reach however bad the old
one is: failures that it adds to those of the old one, and requests that end at their
time limit though they had more time than most of the old one's took. A request that
has no answer counts as slow once it has lasted as long as a slow one.
"""

import dataclasses
import math

import msgspec

BUCKETS_PER_DOUBLING = 2
MIN_SECONDS = 1e-4  # shorter times count as this
MIN_ERRORS = 4  # failures; a version with fewer is not rejected
MIN_ERROR_SHARE = 0.15  # of the requests; a version that fails fewer is not bad
MIN_ERROR_FACTOR = 3.0  # times the old version's share of failures
# Share of what the old version serves that a bad version fails or slows at least;
# enough for a verdict if three times the old version's share is more.
BAD_SHARE = 0.3
BASELINE_SHARE = 0.05  # share of failed or slow requests that any version may have
SQRT_2 = math.sqrt(2.0)
# Requests of the old version that weigh as much as the assumption on the baseline.
BASELINE_CALLS = 20
SIGNIFICANCE = 2e-4  # probability below which a difference is not due to chance
LARGE_SAMPLE_CALLS = 200  # requests; from here on the normal approximation holds
MIN_TIMED_CALLS = 12  # timed requests of each version needed to compare times
SLOW_QUANTILE = 0.75
SLOW_FACTOR = 2.6  # times that quantile; endpoints of one version differ by less
SLOW_SHARE_FACTOR = 3.0  # times the old version's share of slow requests
TIMEOUT_MARGIN = 0.05  # seconds before its time limit at which a request counts as out


@dataclasses.dataclass(slots=True, frozen=True)
class Thresholds:
    """What makes the new version bad on a route, by what the old one shows there.

    :param error_share: share of failed requests.
    :param seconds: from which an answer is slow; 0 if the old version has too few.
    :param patience: seconds from which a request that ended at its time limit is slow.
    """

    error_share: float
    seconds: float
    patience: float


class Counts(msgspec.Struct):
    """Requests of one version on one route.

    :param times: number of answered requests by time bucket; each bucket spans half a
        doubling.
    :param unanswered: the same of requests that ended without an answer.
    :param running: the same of requests that have not ended.
    :param timed_out: the same of requests that ended at their time limit without a
        result.
    :param late: number of answered requests past the route's target latency.
    """

    calls: int = 0
    errors: int = 0
    times: dict[int, int] = {}
    unanswered: dict[int, int] = {}
    running: dict[int, int] = {}
    timed_out: dict[int, int] = {}
    late: int = 0

    def record_call(
        self, failed: bool, seconds: float | None, late: bool = False
    ) -> None:
        """Record one request that was answered.

        :param seconds: how long it took; None if the time must not be counted.
        :param late: whether the answer came past the route's target latency.
        """
        self.calls += 1
        self.errors += failed
        self.late += late
        if seconds is not None and not failed:
            add_to(self.times, {round(bucket_position(seconds)): 1})

    def record_unanswered(self, seconds: float) -> None:
        """Record one request that ended without an answer after some seconds."""
        add_to(self.unanswered, {math.floor(bucket_position(seconds)): 1})

    def record_timeout(self, seconds: float) -> None:
        """Record one request that ended at its time limit after some seconds."""
        add_to(self.timed_out, {math.floor(bucket_position(seconds)): 1})

    def record_running(self, seconds: float) -> None:
        """Record one request that has run for some seconds and goes on."""
        add_to(self.running, {math.floor(bucket_position(seconds)): 1})

    def copy(self) -> "Counts":
        """Return a copy that later records do not change."""
        return Counts(
            self.calls,
            self.errors,
            dict(self.times),
            dict(self.unanswered),
            dict(self.running),
            dict(self.timed_out),
            self.late,
        )

    def merge(self, other: "Counts") -> None:
        """Add the counts of another endpoint of the same version."""
        self.calls += other.calls
        self.errors += other.errors
        add_to(self.times, other.times)
        add_to(self.unanswered, other.unanswered)
        add_to(self.running, other.running)
        add_to(self.timed_out, other.timed_out)
        self.late += other.late

    def since(self, earlier: "Counts") -> "Counts":
        """Return the difference from an earlier snapshot of these counts.

        All requests that still run are in it, whenever they began.
        """
        return Counts(
            self.calls - earlier.calls,
            self.errors - earlier.errors,
            subtract(self.times, earlier.times),
            subtract(self.unanswered, earlier.unanswered),
            dict(self.running),
            subtract(self.timed_out, earlier.timed_out),
            self.late - earlier.late,
        )

    def ended(self) -> int:
        """Return the number of requests that ended, with an answer or without one."""
        unanswered = sum(self.unanswered.values())
        return self.calls + unanswered + sum(self.timed_out.values())

    def timed_calls(self) -> int:
        """Return the number of answered requests whose time was recorded."""
        return sum(self.times.values())

    def quantile(self, fraction: float) -> float:
        """Return the seconds that a fraction of the requests that ended did not exceed.

        The result is 0 if no time was recorded.
        """
        ended = dict(self.times)
        add_to(ended, self.unanswered)
        add_to(ended, self.timed_out)
        remaining = fraction * sum(ended.values())
        for bucket in sorted(ended):
            remaining -= ended[bucket]
            if remaining <= 0:
                return bucket_seconds(bucket)
        return 0.0

    def count_slow(self, bad: Thresholds) -> tuple[int, int]:
        """Return how many requests were slow, and of how many.

        Requests without an answer that lasted less tell nothing, and are left out.
        """
        slow = timed = 0
        for bucket, count in self.times.items():
            timed += count
            slow += count if bucket_seconds(bucket) >= bad.seconds else 0
        for buckets, seconds in (
            (self.unanswered, bad.seconds),
            (self.running, bad.seconds),
            (self.timed_out, bad.patience),
        ):
            found = count_from(buckets, seconds)
            timed += found
            slow += found
        return slow, timed

    def error_share(self) -> float:
        """Return the fraction of the requests that failed."""
        return self.errors / self.calls if self.calls else 0.0

    def expected_error_share(self) -> float:
        """Return the fraction that is expected to fail.

        It is ``BASELINE_SHARE`` without any request, and what was seen with many.
        """
        assumed = BASELINE_SHARE * BASELINE_CALLS
        return (self.errors + assumed) / (self.calls + BASELINE_CALLS)


def bucket_position(seconds: float) -> float:
    """Return the place of a time on the scale of the buckets."""
    return math.log2(max(seconds, MIN_SECONDS)) * BUCKETS_PER_DOUBLING


def bucket_seconds(bucket: int) -> float:
    """Return the seconds that a bucket stands for."""
    return 2.0 ** (bucket / BUCKETS_PER_DOUBLING)


def count_from(buckets: dict[int, int], seconds: float) -> int:
    """Return the requests by bucket that lasted some seconds or more."""
    return sum(
        count for bucket, count in buckets.items() if bucket_seconds(bucket) >= seconds
    )


def add_to(target: dict[int, int], other: dict[int, int]) -> None:
    """Add numbers of requests by bucket to those in ``target``."""
    for bucket, count in other.items():
        target[bucket] = target.get(bucket, 0) + count


def subtract(later: dict[int, int], earlier: dict[int, int]) -> dict[int, int]:
    """Return by how much each number of requests by bucket has risen."""
    risen = {bucket: count - earlier.get(bucket, 0) for bucket, count in later.items()}
    return {bucket: count for bucket, count in risen.items() if count > 0}


CountsByRoute = dict[str, Counts]


def merge(target: CountsByRoute, other: CountsByRoute) -> None:
    """Add counts to those of the same routes in ``target``."""
    for route, counts in other.items():
        target.setdefault(route, Counts()).merge(counts)


def copy(counts_by_route: CountsByRoute) -> CountsByRoute:
    """Return a copy that later records do not change."""
    return {route: counts.copy() for route, counts in counts_by_route.items()}


def without_running(counts_by_route: CountsByRoute) -> CountsByRoute:
    """Return the counts without the requests that had not ended."""
    return {
        route: msgspec.structs.replace(counts.copy(), running={})
        for route, counts in counts_by_route.items()
    }


def since(later: CountsByRoute, earlier: CountsByRoute) -> CountsByRoute:
    """Return the differences of all routes from an earlier snapshot."""
    return {
        route: counts.since(earlier.get(route, Counts()))
        for route, counts in later.items()
    }


def find_route_fault(
    route: str,
    old: Counts,
    new: Counts,
    significance: float = SIGNIFICANCE,
    least_share: float = 0.0,
) -> str:
    """Return why the new version is considered bad on one route; empty if it is not.

    :param significance: probability below which a difference is not due to chance.
    :param least_share: share of failures that the new version is allowed at least.
    """
    if is_failing(old, new, significance, least_share):
        return f"errors on {route}: {new.errors} of {new.calls}"
    if is_slow(old, new, significance):
        return (
            f"slow on {route}: {new.quantile(SLOW_QUANTILE):.3f} s against "
            f"{old.quantile(SLOW_QUANTILE):.3f} s"
        )
    return ""


def thresholds(old: Counts) -> Thresholds:
    """Return from what on a new version is bad, beside chance."""
    share = old.error_share()
    error_share = min(MIN_ERROR_FACTOR * share, add_share(share, BAD_SHARE))
    patience = 0.0
    if old.timed_calls() >= MIN_TIMED_CALLS:
        patience = old.quantile(SLOW_QUANTILE)
    return Thresholds(
        max(MIN_ERROR_SHARE, error_share), SLOW_FACTOR * patience, patience
    )


def add_share(share: float, added: float) -> float:
    """Return the share of failures if a version also fails a part of the rest.

    :param added: that part, 0 to 1.
    """
    return 1.0 - (1.0 - share) * (1.0 - added)


def is_failing(
    old: Counts,
    new: Counts,
    significance: float = SIGNIFICANCE,
    least_share: float = 0.0,
) -> bool:
    """Return whether the new version fails significantly more often.

    The parameters are those of ``find_route_fault``.
    """
    if new.errors < MIN_ERRORS:
        return False
    if new.error_share() < thresholds(old).error_share:
        return False
    expected = max(old.expected_error_share(), least_share)
    return is_significant(new.errors, new.calls, expected, significance)


def is_slow(old: Counts, new: Counts, significance: float = SIGNIFICANCE) -> bool:
    """Return whether the new version is slow significantly more often.

    A request is slow if it takes ``SLOW_FACTOR`` times as long as most of the old
    version's.
    """
    bad = thresholds(old)
    if not bad.seconds:
        return False
    slow, timed = new.count_slow(bad)
    if timed < MIN_TIMED_CALLS or slow < (1.0 - SLOW_QUANTILE) * timed:
        return False
    old_slow, old_timed = old.count_slow(bad)
    old_share = old_slow / old_timed
    least_share = min(SLOW_SHARE_FACTOR * old_share, add_share(old_share, BAD_SHARE))
    if slow < least_share * timed:
        return False
    expected = max(old_share, BASELINE_SHARE)
    return is_significant(slow, timed, expected, significance)


def is_significant(
    found: int, calls: int, expected_share: float, significance: float
) -> bool:
    """Return whether so many of the requests are more than chance explains.

    :param expected_share: probability of one.
    """
    return upper_tail(found, calls, expected_share) <= significance


def upper_tail(found: int, calls: int, share: float) -> float:
    """Return the probability of at least so many of the requests by chance.

    :param share: probability of one.
    """
    if calls >= LARGE_SAMPLE_CALLS and 0.0 < share < 1.0:
        deviation = math.sqrt(calls * share * (1.0 - share))
        return 0.5 * math.erfc((found - 0.5 - calls * share) / deviation / SQRT_2)
    return sum(
        math.comb(calls, count) * share**count * (1.0 - share) ** (calls - count)
        for count in range(found, calls + 1)
    )


def lower_tail(found: int, calls: int, share: float) -> float:
    """Return the probability of at most so many of the requests by chance.

    :param share: probability of one.
    """
    return upper_tail(calls - found, calls, 1.0 - share)
