"""Decides whether a new version is worse than the old one. Needs no network.

Detects a version that fails or slows down part of its requests: immediately or
later, only under load, or on a single route. Both versions are compared on the same
routes over the same period, so an overload that affects both is not attributed to
the new version.
"""

import math

import msgspec

BUCKETS_PER_DOUBLING = 2
MIN_ERRORS = 4  # failures; a version with fewer is not rejected
MIN_ERROR_SHARE = 0.15  # of the requests; a version that fails fewer is not bad
MIN_ERROR_FACTOR = 3.0  # times the old version's share of failures
BASELINE_ERROR_SHARE = 0.05  # share of failures that any version may have
SIGNIFICANCE = 2e-4  # probability below which failures are not due to chance
LARGE_SAMPLE_CALLS = 200  # requests; with these, a share of failures is not chance
MIN_TIMED_CALLS = 12  # timed requests of each version needed to compare times
SLOW_QUANTILE = 0.75
SLOW_FACTOR = 2.6  # ratio of the quantiles; endpoints of one version differ by less


class Counts(msgspec.Struct):
    """Requests of one version on one route.

    :param times: number of requests by time bucket; each bucket spans half a doubling.
    """

    calls: int = 0
    errors: int = 0
    times: dict[int, int] = {}

    def record_call(self, failed: bool, seconds: float | None) -> None:
        """Record one request.

        :param seconds: how long it took; None if the time must not be counted.
        """
        self.calls += 1
        self.errors += failed
        if seconds is not None and not failed:
            bucket = round(math.log2(max(seconds, 1e-4)) * BUCKETS_PER_DOUBLING)
            self.times[bucket] = self.times.get(bucket, 0) + 1

    def merge(self, other: "Counts") -> None:
        """Add the counts of another endpoint of the same version."""
        self.calls += other.calls
        self.errors += other.errors
        for bucket, count in other.times.items():
            self.times[bucket] = self.times.get(bucket, 0) + count

    def since(self, earlier: "Counts") -> "Counts":
        """Return the difference from an earlier snapshot of these counts."""
        times = {
            bucket: count - earlier.times.get(bucket, 0)
            for bucket, count in self.times.items()
        }
        return Counts(
            self.calls - earlier.calls,
            self.errors - earlier.errors,
            {bucket: count for bucket, count in times.items() if count > 0},
        )

    def timed_calls(self) -> int:
        """Return the number of requests whose time was recorded."""
        return sum(self.times.values())

    def quantile(self, fraction: float) -> float:
        """Return the seconds that a fraction of the timed requests does not exceed.

        The result is 0 if no request was timed.
        """
        remaining = fraction * self.timed_calls()
        for bucket in sorted(self.times):
            remaining -= self.times[bucket]
            if remaining <= 0:
                return 2.0 ** (bucket / BUCKETS_PER_DOUBLING)
        return 0.0

    def error_share(self) -> float:
        """Return the fraction of the requests that failed."""
        return self.errors / self.calls if self.calls else 0.0


CountsByRoute = dict[str, Counts]


def merge(target: CountsByRoute, other: CountsByRoute) -> None:
    """Add counts to those of the same routes in ``target``."""
    for route, counts in other.items():
        target.setdefault(route, Counts()).merge(counts)


def find_fault(old: CountsByRoute, new: CountsByRoute) -> str:
    """Return why the new version is considered bad; an empty string if it is not."""
    for route, counts in new.items():
        old_counts = old.get(route, Counts())
        if is_failing(old_counts, counts):
            return f"errors on {route}: {counts.errors} of {counts.calls}"
        if is_slow(old_counts, counts):
            return (
                f"slow on {route}: {counts.quantile(SLOW_QUANTILE):.3f} s against "
                f"{old_counts.quantile(SLOW_QUANTILE):.3f} s"
            )
    return ""


def is_failing(old: Counts, new: Counts) -> bool:
    """Return whether the new version fails significantly more often."""
    if new.errors < MIN_ERRORS:
        return False
    share = new.error_share()
    if share < MIN_ERROR_SHARE or share < MIN_ERROR_FACTOR * old.error_share():
        return False
    if new.calls >= LARGE_SAMPLE_CALLS:
        return True
    expected_share = max(old.error_share(), BASELINE_ERROR_SHARE)
    return binomial_tail(new.errors, new.calls, expected_share) <= SIGNIFICANCE


def binomial_tail(errors: int, calls: int, share: float) -> float:
    """Return the probability of at least so many failures by chance.

    :param share: probability that one request fails.
    """
    return sum(
        math.comb(calls, count) * share**count * (1.0 - share) ** (calls - count)
        for count in range(errors, calls + 1)
    )


def is_slow(old: Counts, new: Counts) -> bool:
    """Return whether the new version is significantly slower."""
    if old.timed_calls() < MIN_TIMED_CALLS or new.timed_calls() < MIN_TIMED_CALLS:
        return False
    new_time = new.quantile(SLOW_QUANTILE)
    return new_time >= SLOW_FACTOR * old.quantile(SLOW_QUANTILE)
