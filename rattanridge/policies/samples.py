"""Counts of calls, errors and latencies, as verdicts compare them."""

import bisect
import itertools

import msgspec

BUCKET_FACTOR = 1.5
BUCKET_FIRST = 0.001  # seconds
BUCKETS = 24
BOUNDS = [BUCKET_FIRST * BUCKET_FACTOR**step for step in range(BUCKETS)]


class Counts(msgspec.Struct, omit_defaults=True):
    """Cumulative counts of one version on one route.

    :param calls: attempts whose outcome tells about the version.
    :param errors: those that failed.
    :param buckets: number of timed calls by latency bucket; calls to a cold
        endpoint and calls that queued are not timed.
    """

    calls: int = 0
    errors: int = 0
    buckets: dict[int, int] = {}

    def note(self, failed: bool, seconds: float | None) -> None:
        """Count one call; ``None`` seconds leave it untimed."""
        self.calls += 1
        self.errors += failed
        if seconds is not None:
            bucket = bisect.bisect(BOUNDS, seconds)
            self.buckets[bucket] = self.buckets.get(bucket, 0) + 1

    def add(self, other: "Counts") -> None:
        self.calls += other.calls
        self.errors += other.errors
        for bucket, count in other.buckets.items():
            self.buckets[bucket] = self.buckets.get(bucket, 0) + count

    def since(self, earlier: "Counts") -> "Counts":
        """Return what was added after ``earlier``."""
        buckets = {
            bucket: count - earlier.buckets.get(bucket, 0)
            for bucket, count in self.buckets.items()
            if count > earlier.buckets.get(bucket, 0)
        }
        return Counts(self.calls - earlier.calls, self.errors - earlier.errors, buckets)

    def copy(self) -> "Counts":
        return Counts(self.calls, self.errors, dict(self.buckets))

    def timed(self) -> int:
        return sum(self.buckets.values())

    def slower(self, cut: int) -> int:
        """Return the number of timed calls at or above a bucket."""
        return sum(count for bucket, count in self.buckets.items() if bucket >= cut)


class RouteCounts(msgspec.Struct, omit_defaults=True):
    """Counts of both versions on one route.

    :param route: methods, host and prefix; the same under every preset.
    :param once: whether the route's requests must not run twice.
    """

    route: str
    once: bool = False
    old: Counts = msgspec.field(default_factory=Counts)
    new: Counts = msgspec.field(default_factory=Counts)

    @property
    def total(self) -> int:
        """Calls of both versions; grows with every call, so it orders reports."""
        return self.old.calls + self.new.calls

    def add(self, other: "RouteCounts") -> None:
        self.old.add(other.old)
        self.new.add(other.new)

    def since(self, earlier: "RouteCounts") -> "RouteCounts":
        old = self.old.since(earlier.old)
        new = self.new.since(earlier.new)
        return RouteCounts(self.route, self.once, old, new)

    def copy(self) -> "RouteCounts":
        return RouteCounts(self.route, self.once, self.old.copy(), self.new.copy())


def quantile_cut(buckets: dict[int, float], part: float) -> int:
    """Return the bucket above which at most ``1 - part`` of the calls lie."""
    ordered = sorted(buckets)
    sums = list(itertools.accumulate(buckets[bucket] for bucket in ordered))
    if not sums:
        return 0
    return ordered[min(bisect.bisect_left(sums, part * sums[-1]), len(sums) - 1)] + 1
