"""Verdicts: whether a new version is worse than the old one.

All compare concurrent counts of both versions on the same routes. The default
is a sequential test by a mixture of likelihood ratios; the others are the
ways that ``measure rollouts`` weighs against it.
"""

import abc
import collections
import collections.abc
import dataclasses
import math

from rattanridge.kernel import registry
from rattanridge.policies import blocks, samples

VERDICTS: registry.Registry[type["Verdict"]] = registry.Registry("verdict")

FALSE_ALARM = 0.003  # bound on the probability to blame a version that is alike
BAKE_ALARM = 4.0  # nats of a cumulative sum that starts a trial
BAKE_FACTOR = 4.0  # rise of the rate that the cumulative sum looks for
BLOCK_LIMITS = {"errors": 6.0, "slow": 3.0}  # nats that one block adds at most
FLOOR = -6.0  # nats; the least that earlier innocence leaves
ALL_ROUTES = "all routes"
KEPT_BLOCKS = 60  # blocks that pooled verdicts sum over
LEAST_CALLS = 20  # calls of the new version below which they say nothing
FIXED_THRESHOLDS = {"errors": 0.05, "slow": 0.3}  # fractions of calls
BAYES_MARGIN = 1.5
SUSPICION = 0.5  # fraction of the limit from which growth waits


@dataclasses.dataclass(slots=True, frozen=True)
class Finding:
    """Why a version is held to be bad.

    :param kind: ``errors`` or ``slow``.
    :param route: the route, or ``all routes``.
    :param weight: evidence in nats, or what the verdict has in its place.
    """

    kind: str
    route: str
    weight: float

    def __str__(self) -> str:
        return f"{self.kind} on {self.route} (evidence {self.weight:.1f})"


Stratum = tuple[str, str]  # route and kind
Blocks = collections.abc.Sequence[tuple[blocks.Memory, samples.RouteCounts]]


class Verdict(abc.ABC):
    """Judges one rollout from counts that arrive in pieces.

    ``observe`` takes counts as they come, ``judge`` returns a finding once the
    new version is held to be bad, and ``alarm`` tells, while all calls go to
    the new version, whether a comparison with the old one is due.

    :param false_alarm: bound on the probability to blame a version that is
        not worse, where the verdict keeps such a bound.
    """

    kinds = ("errors", "slow")
    compares = True  # whether it needs calls of both versions

    def __init__(self, false_alarm: float = FALSE_ALARM):
        self.false_alarm = false_alarm
        self.blocks: dict[str, blocks.Block] = {}
        self.memories: dict[str, blocks.Memory] = {}
        self.sums: dict[tuple[str, str], float] = {}
        self.alarms = 0

    def observe(self, counts: samples.RouteCounts, now: float) -> None:
        """Add counts of one route; both versions' are of the same time."""
        block = self.blocks.get(counts.route)
        if block is None:
            block = self.blocks[counts.route] = blocks.Block(counts.route, now)
        if not counts.old.calls and not block.counts.old.calls:
            self.accumulate(counts)
        block.counts.add(counts)

    def close_blocks(self, now: float, every: bool = False) -> None:
        """Close full blocks; at a change of the share, all of them."""
        closed = [
            (route, block)
            for route, block in self.blocks.items()
            if every or block.full(now)
        ]
        if not closed:
            return
        compared = []
        for route, block in closed:
            del self.blocks[route]
            memory = self.memories.setdefault(route, blocks.Memory())
            if block.counts.old.calls or not self.compares:
                compared.append((memory, block.counts))
        if compared:
            self.close(compared)
        for route, block in closed:
            self.memories[route].learn(block.counts.old)

    def turn(self, now: float) -> None:
        """Begin another share: nothing counted before is mixed with it."""
        self.close_blocks(now, every=True)
        self.sums.clear()

    @abc.abstractmethod
    def close(self, group: Blocks) -> None:
        """Take over the blocks that were closed at one time."""

    @abc.abstractmethod
    def judge(self, now: float) -> Finding | None:
        """Return a finding if the new version is held to be bad."""

    def suspicious(self) -> bool:
        """Whether growth shall wait for more evidence."""
        return False

    def accumulate(self, counts: samples.RouteCounts) -> None:
        """Follow the new version alone, against what the old one was."""
        memory = self.memories.get(counts.route)
        if memory is None:
            return
        for kind in self.kinds:
            table = memory.table(kind, counts)
            rate = memory.rate(kind)
            worse = min(rate * BAKE_FACTOR + 0.02, 0.95)
            key = (counts.route, kind)
            step = bernoulli(table.new_calls, table.new_bad, worse, rate)
            self.sums[key] = max(self.sums.get(key, 0.0) + step, 0.0)

    def alarm(self) -> bool:
        """Whether the new version alone got worse; each alarm needs more."""
        limit = BAKE_ALARM * (1 + self.alarms)
        if max(self.sums.values(), default=0.0) < limit:
            return False
        self.sums.clear()
        self.alarms += 1
        return True


def bernoulli(calls: int, bad: int, rate: float, base: float) -> float:
    """Return the log-likelihood ratio of one rate against another."""
    good = calls - bad
    return bad * math.log(rate / base) + good * math.log((1 - rate) / (1 - base))


@VERDICTS.register("mixture")
class Mixture(Verdict):
    """Sequential test by a mixture of likelihood ratios, stratified by route.

    For each block the likelihood of the table under two rates, the old
    version's and one with a supposed odds ratio, is divided by the likelihood
    under their mean. Whatever rate both versions share in that block, the
    expectation of this ratio is at most one, so an overload that hits both adds
    nothing, and the product exceeds ``1 / p`` with probability ``p`` at most
    (Ville's inequality). The mixture has equal weights over kinds, over
    "one route" and "all routes", and over the odds ratios.
    """

    ratios: collections.abc.Sequence[float] = (3.0, 10.0, 50.0, 1000.0)

    def __init__(self, false_alarm: float = FALSE_ALARM):
        super().__init__(false_alarm)
        self.limit = math.log(1 / false_alarm)
        self.nothing = [0.0] * len(self.ratios)
        self.closed: dict[Stratum, list[float]] = {}
        self.highest = 0.0

    def weigh(
        self, memory: blocks.Memory, kind: str, counts: samples.RouteCounts
    ) -> list[float]:
        """Return the log-likelihood ratio of a block for each odds ratio."""
        table = memory.table(kind, counts)
        if not table.new_calls or not table.old_calls:
            return self.nothing
        rate = memory.rate(kind)
        return [block_ratio(table, rate, ratio) for ratio in self.ratios]

    def close(self, group: Blocks) -> None:
        self.add_blocks(self.closed, group, FLOOR)

    def add_blocks(
        self, sums: dict[Stratum, list[float]], group: Blocks, floor: float
    ) -> None:
        """Add blocks of one time to the sums of their routes and of all routes."""
        for kind in self.kinds:
            limit = BLOCK_LIMITS[kind]
            total = self.nothing
            for memory, counts in group:
                steps = self.weigh(memory, kind, counts)
                if steps is self.nothing:
                    continue
                total = add(total, steps)
                key = (counts.route, kind)
                sums[key] = add_within(sums.get(key), steps, limit, floor)
            if total is not self.nothing:
                key = (ALL_ROUTES, kind)
                sums[key] = add_within(sums.get(key), total, limit, floor)

    def judge(self, now: float) -> Finding | None:
        """Weigh closed blocks and, tentatively, the open ones."""
        self.close_blocks(now)
        current = dict(self.closed)
        opened = [
            (self.memories.setdefault(route, blocks.Memory()), block.counts)
            for route, block in self.blocks.items()
            if block.counts.new.calls
        ]
        self.add_blocks(current, opened, -math.inf)
        found = self.strongest(current)
        self.highest = found.weight if found else 0.0
        return found if found and found.weight >= self.limit else None

    def strongest(self, current: dict[Stratum, list[float]]) -> Finding | None:
        """Return the weightiest hypothesis, less the price of its weight."""
        if not current:
            return None
        price = math.log(2 * len(self.kinds) * len(self.ratios))
        routes = math.log(max(len(current) / len(self.kinds) - 1, 1))
        return max(
            (
                Finding(
                    kind, route, max(values) - price - routes * (route != ALL_ROUTES)
                )
                for (route, kind), values in current.items()
            ),
            key=lambda item: item.weight,
        )

    def suspicious(self) -> bool:
        return self.highest >= SUSPICION * self.limit


def add(sums: list[float], steps: list[float]) -> list[float]:
    """Return the sums, each with its step added."""
    return [old + step for old, step in zip(sums, steps, strict=True)]


def add_within(
    known: list[float] | None, steps: list[float], limit: float, floor: float
) -> list[float]:
    """Add the evidence of one time.

    One burst, as of a pause of one endpoint, must not decide alone: ``limit``
    bounds what it adds. Long innocence must not hide a fault that shows later:
    nothing is kept below ``floor``. Each block lifts the mixture by at most
    ``exp(floor)``, which bounds what the floor adds to the false alarms.
    """
    if known is None:
        known = [0.0] * len(steps)
    return [
        max(old + min(step, limit), floor)
        for old, step in zip(known, steps, strict=True)
    ]


def block_ratio(table: blocks.Table, rate: float, ratio: float) -> float:
    """Return the log of the block's likelihood ratio for an odds ratio."""
    odds = ratio * rate / (1 - rate)
    worse = odds / (1 + odds)
    calls = table.new_calls + table.old_calls
    mean = (table.new_calls * worse + table.old_calls * rate) / calls
    new = bernoulli(table.new_calls, table.new_bad, worse, mean)
    return new + bernoulli(table.old_calls, table.old_bad, rate, mean)


@VERDICTS.register("sprt")
class Sprt(Mixture):
    """The same ratio with one odds ratio and Wald's boundary, pooled over routes."""

    ratios = (10.0,)

    def strongest(self, current: dict[Stratum, list[float]]) -> Finding | None:
        found = [
            Finding(kind, route, values[0])
            for (route, kind), values in current.items()
            if route == ALL_ROUTES
        ]
        return max(found, key=lambda item: item.weight, default=None)


class Pooled(Verdict):
    """Base of verdicts on sums over the last blocks of all routes."""

    def __init__(self, false_alarm: float = FALSE_ALARM):
        super().__init__(false_alarm)
        self.recent: dict[str, collections.deque[blocks.Table]] = {}

    def close(self, group: Blocks) -> None:
        for kind in self.kinds:
            kept = self.recent.setdefault(kind, collections.deque(maxlen=KEPT_BLOCKS))
            kept.extend(memory.table(kind, counts) for memory, counts in group)

    def judge(self, now: float) -> Finding | None:
        self.close_blocks(now)
        for kind, kept in self.recent.items():
            total = blocks.Table(0, 0, 0, 0)
            for table in kept:
                total.add(table)
            if total.new_calls >= LEAST_CALLS and self.worse(kind, total):
                share = total.new_bad / total.new_calls
                return Finding(kind, ALL_ROUTES, share)
        return None

    @abc.abstractmethod
    def worse(self, kind: str, table: blocks.Table) -> bool:
        """Whether the new version is worse in a pooled table."""


@VERDICTS.register("fixed-threshold")
class FixedThreshold(Pooled):
    """The new version's rates against thresholds and nothing else."""

    compares = False

    def worse(self, kind: str, table: blocks.Table) -> bool:
        return table.new_bad / table.new_calls > FIXED_THRESHOLDS[kind]


@VERDICTS.register("bayesian")
class Bayesian(Pooled):
    """Posterior probability that the new version's rate is higher, at each look.

    Beta posteriors from uniform priors, compared by their normal approximation.
    """

    def worse(self, kind: str, table: blocks.Table) -> bool:
        new = posterior(table.new_calls, table.new_bad)
        old = posterior(table.old_calls, table.old_bad)
        gap = (new[0] - BAYES_MARGIN * old[0]) / math.sqrt(new[1] + old[1])
        return 0.5 * math.erfc(gap / math.sqrt(2)) < self.false_alarm


def posterior(calls: int, bad: int) -> tuple[float, float]:
    """Return mean and variance of a rate's posterior."""
    a, b = bad + 1.0, calls - bad + 1.0
    total = a + b
    return a / total, a * b / (total * total * (total + 1))
