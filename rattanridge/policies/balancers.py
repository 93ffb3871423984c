"""Balancers: which endpoint gets the next call."""

import abc
import collections.abc
import dataclasses
import math
import random

from rattanridge.kernel import presets, registry

BALANCERS: registry.Registry[type["Balancer"]] = registry.Registry("balancer")
presets.PLUGINS.register("balancer")(BALANCERS)

LATENCY_WEIGHT = 0.2
ERROR_WEIGHT = 0.1
ERROR_COST = 10.0  # factor on the cost of an endpoint that only fails
LATENCY_HALF_LIFE = 10.0  # seconds after which an old latency counts half
LATENCY_FLOOR = 0.001  # seconds
EJECT_AFTER = 3  # failures in a row
EJECT_FIRST = 1.0  # seconds
EJECT_LIMIT = 30.0  # seconds
EJECT_CAP = 0.5  # fraction of a service's endpoints
REMOTE_PENALTY = 1.5  # factor on the cost of an endpoint in another zone
WARMUP_FLOOR = 0.1  # share of a cold endpoint at the start


@dataclasses.dataclass(slots=True)
class Candidate:
    """What a node knows of one endpoint from its own calls.

    :param slots: requests that run at once, as the endpoint says.
    :param in_flight: this node's calls outstanding there.
    :param queued: requests waiting there, as its last answer said.
    :param running: requests running there, as its last answer said.
    :param latency: seconds, exponentially weighted.
    :param measured: monotonic seconds of the last latency.
    :param errors: fraction of failures, exponentially weighted.
    :param failures: failures in a row.
    :param ejected_until: monotonic seconds.
    :param since: monotonic seconds at which the endpoint appeared.
    """

    name: str
    zone: str
    version: str
    hop: str
    slots: int
    in_flight: int = 0
    queued: int = 0
    running: int = 0
    latency: float = 0.0
    measured: float = 0.0
    errors: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    since: float = 0.0

    def succeed(self, seconds: float, now: float) -> None:
        """Note an answer and its latency."""
        self.failures = 0
        self.ejections = 0
        self.errors -= ERROR_WEIGHT * self.errors
        self.measured = now
        if self.latency == 0.0:
            self.latency = seconds
        else:
            self.latency += LATENCY_WEIGHT * (seconds - self.latency)

    def fail(self, now: float) -> None:
        """Note a failure; several in a row eject the endpoint for a while."""
        self.failures += 1
        self.errors += ERROR_WEIGHT * (1.0 - self.errors)
        if self.failures >= EJECT_AFTER:
            self.eject(now)

    def eject(self, now: float) -> None:
        """Leave the endpoint out for a while, longer each time in a row."""
        if self.ejected_until > now:
            return
        pause = min(EJECT_FIRST * 2**self.ejections, EJECT_LIMIT)
        self.ejections += 1
        self.ejected_until = now + pause
        self.failures = 0

    def load(self) -> int:
        """Return the requests there: what it says, but at least this node's own."""
        return max(self.in_flight, self.running + self.queued)

    def expected(self, now: float, default: float) -> float:
        """Return the expected seconds of one call; an old latency fades to the
        default, so that a slow spell does not keep calls away for ever."""
        if self.latency == 0.0:
            return max(default, LATENCY_FLOOR)
        weight = 0.5 ** ((now - self.measured) / LATENCY_HALF_LIFE)
        latency = default + weight * (self.latency - default)
        return max(latency, LATENCY_FLOOR)


class Balancer(abc.ABC):
    """Chooses among an endpoint's candidates.

    :param zone: the zone of the node that chooses.
    :param warmup: seconds over which a new endpoint's share grows.
    """

    def __init__(self, zone: str, warmup: float, rng: random.Random):
        self.zone = zone
        self.warmup = warmup
        self.random = rng

    @abc.abstractmethod
    def choose(
        self, candidates: collections.abc.Sequence[Candidate], now: float
    ) -> Candidate:
        """Return one of the candidates; there is at least one."""


def usable(
    candidates: collections.abc.Sequence[Candidate], now: float
) -> list[Candidate]:
    """Leave out ejected candidates, but never more than the cap."""
    kept = [item for item in candidates if item.ejected_until <= now]
    least = math.ceil(len(candidates) * (1 - EJECT_CAP))
    if len(kept) >= least:
        return kept
    return sorted(candidates, key=lambda item: item.ejected_until)[:least]


@BALANCERS.register("round-robin")
class RoundRobin(Balancer):
    """Takes the candidates in turn; the baseline of measurements."""

    turn = 0

    def choose(self, candidates, now):
        self.turn += 1
        return candidates[self.turn % len(candidates)]


@BALANCERS.register("two-choices")
class TwoChoices(Balancer):
    """Power of two choices on load and latency, own zone preferred.

    Two endpoints of the own zone compete; if the better one has calls waiting,
    two of all zones compete with it. The slots that an endpoint claims to have
    do not make it look idle: only its outstanding calls and its latency count.
    """

    known: collections.abc.Sequence[Candidate] = ()
    near: collections.abc.Sequence[Candidate] = ()

    def choose(self, candidates, now):
        self.regroup(candidates)
        if not self.near:
            return self.best(candidates, now)
        found = self.best(self.near, now)
        if len(self.near) == len(candidates):
            return found
        if found.ejected_until <= now and not is_busy(found):
            return found
        return self.cheaper(found, self.best(candidates, now), now)

    def regroup(self, candidates: collections.abc.Sequence[Candidate]) -> None:
        """Find the endpoints of the own zone, once for each list."""
        if candidates is not self.known:
            self.known = candidates
            self.near = [item for item in candidates if item.zone == self.zone]

    def best(
        self, candidates: collections.abc.Sequence[Candidate], now: float
    ) -> Candidate:
        first, second = self.draw(candidates, now)
        return self.cheaper(first, second, now)

    def draw(
        self, candidates: collections.abc.Sequence[Candidate], now: float
    ) -> tuple[Candidate, Candidate]:
        """Draw two candidates, and look at all only if ejected ones come up."""
        count = len(candidates)
        if count == 1:
            return candidates[0], candidates[0]
        first = int(self.random.random() * count)
        second = (first + 1 + int(self.random.random() * (count - 1))) % count
        drawn = candidates[first], candidates[second]
        if drawn[0].ejected_until <= now and drawn[1].ejected_until <= now:
            return drawn
        kept = usable(candidates, now)
        if len(kept) == 1:
            return kept[0], kept[0]
        return tuple(self.random.sample(kept, 2))

    def cheaper(self, first: Candidate, second: Candidate, now: float) -> Candidate:
        if first is second:
            return first
        default = min(first.latency or second.latency, second.latency or first.latency)
        if self.cost(second, now, default) < self.cost(first, now, default):
            return second
        return first

    def cost(self, item: Candidate, now: float, default: float) -> float:
        """Return what one more call there costs: its expected latency times the
        calls outstanding."""
        cost = (item.load() + 1) * item.expected(now, default)
        cost *= 1.0 + ERROR_COST * item.errors
        if item.zone != self.zone:
            cost *= REMOTE_PENALTY
        age = now - item.since
        if age < self.warmup:
            cost /= max(age / self.warmup, WARMUP_FLOOR)
        return cost


def is_busy(item: Candidate) -> bool:
    """Whether another call there would probably wait."""
    return item.queued > 0 or item.in_flight >= item.slots
