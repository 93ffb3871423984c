"""Whether a new version is worse than the old one. Needs no network.

Answers these loads: a version that fails or slows part of its requests, at
once or later, under load only or on one route only. Both versions are compared
on the same routes over the same time, so an overload that hits both blames
nobody.
"""

import math

import msgspec

BUCKETS_PER_DOUBLING = 2
LEAST_ERRORS = 4  # failures below which a version is not blamed
ERROR_SHARE = 0.15  # of the requests; less than this is not a bad version
ERROR_FACTOR = 3.0  # of the old version's share of failures
USUAL_SHARE = 0.05  # of failures that any version may have
CHANCE = 2e-4  # probability below which failures are no bad luck
MANY_CALLS = 200  # of which a share of failures is no bad luck
LEAST_TIMED = 12  # requests of each version without which times say nothing
SLOW_QUANTILE = 0.75
SLOW_FACTOR = 2.6  # between the quantiles; endpoints of one version differ less


class Counts(msgspec.Struct):
    """Requests of one version on one route.

    :param times: requests by bucket of their time; a bucket is half a doubling.
    """

    calls: int = 0
    errors: int = 0
    times: dict[int, int] = {}

    def record_call(self, failed: bool, seconds: float | None) -> None:
        """Count one request; ``seconds`` is None if its time tells nothing."""
        self.calls += 1
        self.errors += failed
        if seconds is not None and not failed:
            bucket = round(math.log2(max(seconds, 1e-4)) * BUCKETS_PER_DOUBLING)
            self.times[bucket] = self.times.get(bucket, 0) + 1

    def merge(self, other: "Counts") -> None:
        """Add the counts of another endpoint of the version."""
        self.calls += other.calls
        self.errors += other.errors
        for bucket, count in other.times.items():
            self.times[bucket] = self.times.get(bucket, 0) + count

    def since(self, earlier: "Counts") -> "Counts":
        """Return what was counted after an earlier look."""
        times = {
            bucket: count - earlier.times.get(bucket, 0)
            for bucket, count in self.times.items()
        }
        return Counts(
            self.calls - earlier.calls,
            self.errors - earlier.errors,
            {bucket: count for bucket, count in times.items() if count > 0},
        )

    def timed(self) -> int:
        """Return the number of requests whose time is known."""
        return sum(self.times.values())

    def quantile(self, part: float) -> float:
        """Return the seconds that a part of the requests does not exceed."""
        left = part * self.timed()
        for bucket in sorted(self.times):
            left -= self.times[bucket]
            if left <= 0:
                return 2.0 ** (bucket / BUCKETS_PER_DOUBLING)
        return 0.0

    def error_share(self) -> float:
        """Return the part of the requests that failed."""
        return self.errors / self.calls if self.calls else 0.0


CountsByRoute = dict[str, Counts]


def merge(target: CountsByRoute, other: CountsByRoute) -> None:
    """Add counts by route."""
    for route, counts in other.items():
        target.setdefault(route, Counts()).merge(counts)


def find_fault(old: CountsByRoute, new: CountsByRoute) -> str:
    """Return why the new version is held to be bad; empty if it is not."""
    for route, counts in new.items():
        known = old.get(route, Counts())
        if fails(known, counts):
            return f"errors on {route}: {counts.errors} of {counts.calls}"
        if is_slow(known, counts):
            return (
                f"slow on {route}: {counts.quantile(SLOW_QUANTILE):.3f} s against "
                f"{known.quantile(SLOW_QUANTILE):.3f} s"
            )
    return ""


def fails(old: Counts, new: Counts) -> bool:
    """Whether the new version fails clearly more often."""
    if new.errors < LEAST_ERRORS:
        return False
    share = new.error_share()
    if share < ERROR_SHARE or share < ERROR_FACTOR * old.error_share():
        return False
    if new.calls >= MANY_CALLS:
        return True
    usual = max(old.error_share(), USUAL_SHARE)
    return tail(new.errors, new.calls, usual) <= CHANCE


def tail(errors: int, calls: int, share: float) -> float:
    """Return the probability of so many failures or more, by bad luck alone."""
    return sum(
        math.comb(calls, count) * share**count * (1.0 - share) ** (calls - count)
        for count in range(errors, calls + 1)
    )


def is_slow(old: Counts, new: Counts) -> bool:
    """Whether the new version is clearly slower."""
    if old.timed() < LEAST_TIMED or new.timed() < LEAST_TIMED:
        return False
    slow = new.quantile(SLOW_QUANTILE)
    return slow >= SLOW_FACTOR * old.quantile(SLOW_QUANTILE)
