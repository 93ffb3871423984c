"""Balancers: which endpoint gets the next call."""

import abc
import collections.abc
import dataclasses
import math
import random

from rattanridge.kernel import presets, registry

BALANCERS: registry.Registry[type["Balancer"]] = registry.Registry("balancer")
presets.PLUGINS.register("balancer")(BALANCERS)

EWMA_WEIGHT = 0.2
EJECT_AFTER = 3  # failures in a row
EJECT_FIRST = 1.0  # seconds
EJECT_LIMIT = 30.0  # seconds
EJECT_CAP = 0.5  # fraction of a service's endpoints
REMOTE_PENALTY = 1.5  # factor on the cost of an endpoint in another zone
WARMUP_FLOOR = 0.1  # share of a cold endpoint at the start


@dataclasses.dataclass(slots=True)
class Candidate:
    """What a node knows of one endpoint from its own calls.

    :param in_flight: this node's calls outstanding there.
    :param queued: requests waiting there, as its last answer said.
    :param running: requests running there, as its last answer said.
    :param latency: seconds, exponentially weighted.
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
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    since: float = 0.0

    def succeed(self, seconds: float) -> None:
        """Note an answer and its latency."""
        self.failures = 0
        self.ejections = 0
        if self.latency == 0.0:
            self.latency = seconds
        else:
            self.latency += EWMA_WEIGHT * (seconds - self.latency)

    def fail(self, now: float) -> None:
        """Note a failure; several in a row eject the endpoint for a while."""
        self.failures += 1
        if self.failures >= EJECT_AFTER:
            self.ejections += 1
            pause = min(EJECT_FIRST * 2 ** (self.ejections - 1), EJECT_LIMIT)
            self.ejected_until = now + pause
            self.failures = 0


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
    """Power of two choices on load and latency, own zone preferred."""

    def choose(self, candidates, now):
        kept = usable(candidates, now)
        if len(kept) == 1:
            return kept[0]
        first, second = self.random.sample(kept, 2)
        return min(first, second, key=lambda item: self.cost(item, now))

    def cost(self, item: Candidate, now: float) -> float:
        """Return the expected wait: load over slots times latency."""
        load = (item.in_flight + max(item.queued + item.running, 0) + 1) / item.slots
        cost = load * max(item.latency, 0.001)
        if item.zone != self.zone:
            cost *= REMOTE_PENALTY
        age = now - item.since
        if age < self.warmup:
            cost /= max(age / self.warmup, WARMUP_FLOOR)
        return cost
