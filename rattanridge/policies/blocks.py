"""Blocks of counts of the same minute, and what earlier blocks tell."""

import dataclasses

from rattanridge.policies import samples

BLOCK_CALLS = 50  # calls of the old version that close a block
BLOCK_SECONDS = 60.0  # age that closes a block
SLOW_PART = 0.9  # quantile of the old version above which a call is slow
MEMORY = 0.98  # factor on the remembered counts of the old version for each block
RATE_FLOOR = 0.0005
RATE_CEILING = 0.9
LEAST_BLOCKS = 5.0  # remembered blocks below which clustering is not judged


@dataclasses.dataclass(slots=True)
class Table:
    """A fourfold table: calls and bad calls of both versions."""

    new_calls: float
    new_bad: float
    old_calls: float
    old_bad: float

    def add(self, other: "Table") -> None:
        self.new_calls += other.new_calls
        self.new_bad += other.new_bad
        self.old_calls += other.old_calls
        self.old_bad += other.old_bad

    def thin(self, clustering: float) -> "Table":
        """Return the effective counts of calls that come in clusters."""
        if not clustering:
            return self
        new = 1.0 + max(self.new_calls - 1.0, 0.0) * clustering
        old = 1.0 + max(self.old_calls - 1.0, 0.0) * clustering
        return Table(
            self.new_calls / new,
            self.new_bad / new,
            self.old_calls / old,
            self.old_bad / old,
        )


class Block:
    """Counts of one route within the same minute."""

    def __init__(self, route: str, now: float):
        self.counts = samples.RouteCounts(route)
        self.began = now

    def full(self, now: float) -> bool:
        """Whether the block shall be closed."""
        counts = self.counts
        enough = counts.new.calls >= 1 and counts.old.calls >= BLOCK_CALLS
        return enough or now - self.began >= BLOCK_SECONDS


class Memory:
    """The old version on one route, as earlier blocks showed it.

    Slow calls come in clusters, for an endpoint that pauses delays all of its
    calls at that time. ``clustering`` is their correlation within a block,
    found from how much more the old version's blocks differ than independent
    calls would; calls then count for less than one each.
    """

    def __init__(self):
        self.calls = 0.0
        self.errors = 0.0
        self.buckets: dict[int, float] = {}
        self.cut = 0
        self.blocks = 0.0
        self.block_calls = 0.0
        self.deviations = 0.0

    def learn(self, counts: samples.Counts) -> None:
        if not counts.calls:
            return
        if self.cut and counts.buckets:
            self.learn_deviation(counts.timed(), counts.slower(self.cut))
        self.calls = self.calls * MEMORY + counts.calls
        self.errors = self.errors * MEMORY + counts.errors
        for bucket in self.buckets:
            self.buckets[bucket] *= MEMORY
        for bucket, count in counts.buckets.items():
            self.buckets[bucket] = self.buckets.get(bucket, 0.0) + count
        self.cut = samples.quantile_cut(self.buckets, SLOW_PART)

    def learn_deviation(self, calls: int, slow: int) -> None:
        """Note how far a block is from the remembered rate."""
        rate = self.slow_rate()
        expected = calls * rate
        deviation = (slow - expected) ** 2 / (expected * (1 - rate))
        self.blocks = self.blocks * MEMORY + 1.0
        self.block_calls = self.block_calls * MEMORY + calls
        self.deviations = self.deviations * MEMORY + deviation

    def clustering(self) -> float:
        if self.blocks < LEAST_BLOCKS:
            return 0.0
        mean = self.block_calls / self.blocks
        excess = self.deviations / self.blocks - 1.0
        return min(max(excess / max(mean - 1.0, 1.0), 0.0), 1.0)

    def error_rate(self) -> float:
        return clamp((self.errors + 0.1) / (self.calls + 100.0))

    def slow_rate(self) -> float:
        """Return the fraction of calls at or above the cut."""
        total = sum(self.buckets.values())
        slow = sum(n for bucket, n in self.buckets.items() if bucket >= self.cut)
        return clamp((slow + 0.5) / (total + 10.0))

    def table(self, kind: str, counts: samples.RouteCounts) -> Table:
        """Return the fourfold table of one kind of fault."""
        new, old = counts.new, counts.old
        if kind == "errors":
            return Table(new.calls, new.errors, old.calls, old.errors)
        if not self.cut:
            return Table(0, 0, 0, 0)
        cut = self.cut
        table = Table(new.timed(), new.slower(cut), old.timed(), old.slower(cut))
        return table.thin(self.clustering())

    def rate(self, kind: str) -> float:
        return self.error_rate() if kind == "errors" else self.slow_rate()


def clamp(rate: float) -> float:
    """Return a rate within the bounds of the test."""
    return min(max(rate, RATE_FLOOR), RATE_CEILING)
