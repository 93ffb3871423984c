"""Which endpoint of a service a request goes to. Needs no network.

Answers these loads: a zone that is hotter than its own endpoints can carry, an
endpoint that turned slow, one that sheds part of its requests while its health
check passes, and a host that is gone while its record is still there.
"""

import collections.abc
import dataclasses
import random
import typing

from rattanridge.kernel import registry

REPORT_AGE = 2.0  # seconds after which a reported load says nothing any more
FACTOR_WEIGHT = 0.2  # of one answer in an endpoint's speed factor
FACTOR_RANGE = (0.2, 20.0)
FACTOR_MEMORY = 3.0  # seconds after which a speed factor is half forgotten
SHED_WEIGHT = 0.15  # of one answer in an endpoint's share of shed requests
SHED_MEMORY = 1.5  # seconds after which a share of shed requests is half forgotten
FIRST_PAUSE = 0.2  # seconds without requests after the first failure to reach it
LONGEST_PAUSE = 2.0  # seconds
PATIENCE = 2.0  # of the expected work: silence beyond it counts as waiting
ZONE_PENALTY = 0.2  # of the target latency: what another zone must be better by
SHED_PENALTY = 2.0  # of the target latency: for an endpoint that sheds everything
JITTER = 0.1  # of the target latency: spreads entries that know the same
DEFAULT_PROCESSING_TIME = 0.1  # seconds, before a route's own time is known


@dataclasses.dataclass(slots=True)
class Load:
    """What an exit told of its endpoint with an answer.

    :param running: requests that the endpoint runs.
    :param waiting: requests in the exit's queue.
    :param wait: seconds that a new request would wait.
    """

    running: int
    waiting: int
    wait: float


@dataclasses.dataclass(slots=True)
class Candidate:
    """One endpoint as an entry sees it.

    :param node: name of the node beside it.
    :param hop: address of that node for calls from other nodes.
    :param in_flight: requests of this entry that it has now.
    :param lost: whether the node beside it can't be reached; it gets no request
        until it was found again.
    :param heard_at: when it last answered, or got a request with none before it.
    """

    node: str
    hop: str
    zone: str
    service: str
    endpoint: str
    version: str
    slots: int
    in_flight: int = 0
    heard_at: float = 0.0
    load: Load | None = None
    load_at: float = 0.0
    load_in_flight: int = 0
    factor: float = 1.0
    factor_at: float = 0.0
    shed: float = 0.0
    shed_at: float = 0.0
    failures: int = 0
    paused_until: float = 0.0
    lost: bool = False

    def begin(self, now: float) -> None:
        """Count a request that is sent to it."""
        if not self.in_flight:
            self.heard_at = now
        self.in_flight += 1

    def end(self, answered: bool, now: float) -> None:
        """Count the end of a request, with an answer of its node or without."""
        self.in_flight -= 1
        if answered:
            self.heard_at = now

    def silence(self, now: float) -> float:
        """Return the seconds for which it has owed an answer."""
        return now - self.heard_at if self.in_flight else 0.0

    def record_load(self, load: Load, now: float) -> None:
        """Take over the load that came with an answer."""
        self.load = load
        self.load_at = now
        self.load_in_flight = self.in_flight

    def record_latency_ratio(self, ratio: float, now: float) -> None:
        """Learn from one answer; ``ratio`` is its time over the route's mean."""
        low, high = FACTOR_RANGE
        known = self.latency_ratio(now)
        wanted = known + FACTOR_WEIGHT * (ratio - known)
        self.factor = min(max(wanted, low), high)
        self.factor_at = now

    def latency_ratio(self, now: float) -> float:
        """Return its time over the mean of all; old evidence fades towards 1."""
        kept = 0.5 ** ((now - self.factor_at) / FACTOR_MEMORY)
        return 1.0 + (self.factor - 1.0) * kept

    def record_shed(self, shed: bool, now: float) -> None:
        """Learn whether the endpoint turned a request away."""
        known = self.shed_share(now)
        self.shed = known + SHED_WEIGHT * (float(shed) - known)
        self.shed_at = now

    def shed_share(self, now: float) -> float:
        """Return the part of requests that it turns away, or fails."""
        return self.shed * 0.5 ** ((now - self.shed_at) / SHED_MEMORY)

    def record_unreachable(self, now: float) -> None:
        """Send it nothing for a while; longer each time it fails again."""
        if now < self.paused_until:
            return
        pause = min(FIRST_PAUSE * 2**self.failures, LONGEST_PAUSE)
        self.failures += 1
        self.paused_until = now + pause

    def record_reachable(self) -> None:
        """The node beside it answered."""
        self.failures = 0
        self.paused_until = 0.0
        self.lost = False

    def wait(self, work: float, now: float) -> float:
        """Return the seconds that a request would wait there for a slot."""
        known = 0.0
        added = self.in_flight
        if self.load is not None and now - self.load_at < REPORT_AGE:
            added -= self.load_in_flight
            busy = self.load.running + self.load.waiting + added
            known = self.load.wait
        else:
            busy = added
        over = busy + 1 - self.slots
        if over <= 0:
            return 0.0
        return max(over / self.slots * work, known)


@dataclasses.dataclass(slots=True)
class Mean:
    """The mean time of a route's requests at all endpoints, in seconds."""

    seconds: float = 0.0
    weight: float = 0.05

    def note(self, seconds: float) -> None:
        """Learn from one answer."""
        if not self.seconds:
            self.seconds = seconds
        self.seconds += self.weight * (seconds - self.seconds)


PLACERS: registry.Registry[type["Placer"]] = registry.Registry("placement")


@PLACERS.register("expected-time")
class Placer:
    """Chooses by expected time, the own zone first.

    Bytes between zones are dear, so a request leaves its zone only where it is
    clearly better off elsewhere.

    :param zone: the entry's own availability zone.
    """

    zone_penalty: typing.ClassVar[float] = ZONE_PENALTY

    def __init__(self, zone: str, rng: random.Random | None = None):
        self.zone = zone
        self.random = rng or random.Random()
        self.means: dict[str, Mean] = {}

    def mean(self, route: str) -> Mean:
        """Return the mean time of a route."""
        found = self.means.get(route)
        if found is None:
            found = self.means[route] = Mean()
        return found

    def choose(
        self,
        found: collections.abc.Iterable[Candidate],
        route: str,
        target: float,
        now: float,
    ) -> Candidate | None:
        """Return the candidate with the least cost, or None if all are lost.

        Candidates whose endpoint was not usable just now come last; one of them
        is tried only if there is no other.

        :param target: seconds within which an answer is timely.
        """
        work = self.mean(route).seconds or DEFAULT_PROCESSING_TIME
        best = None
        least = (True, float("inf"))
        for item in found:
            if item.lost:
                continue
            cost = (item.paused_until > now, self.cost(item, work, target, now))
            if cost < least:
                best, least = item, cost
        return best

    def cost(self, item: Candidate, work: float, target: float, now: float) -> float:
        """Return the expected seconds, and what else speaks against it."""
        usual = work * item.latency_ratio(now)
        expected = usual + max(
            item.wait(work, now), item.silence(now) - PATIENCE * usual
        )
        if item.zone != self.zone:
            expected += self.zone_penalty * target
        expected += SHED_PENALTY * target * item.shed_share(now)
        return expected + JITTER * target * self.random.random()

    def record_processing_time(
        self, item: Candidate, route: str, seconds: float, now: float
    ) -> None:
        """Learn from an answer that took the endpoint ``seconds``."""
        mean = self.mean(route)
        mean.note(seconds)
        item.record_latency_ratio(seconds / mean.seconds, now)


@PLACERS.register("any-zone")
class AnyZone(Placer):
    """Chooses by expected time, whatever the zone."""

    zone_penalty = 0.0


@PLACERS.register("least-busy")
class LeastBusy(Placer):
    """Chooses by load alone: neither speed nor shed requests count."""

    def record_processing_time(
        self, item: Candidate, route: str, seconds: float, now: float
    ) -> None:
        """Learn the route's mean time only."""
        self.mean(route).note(seconds)

    def cost(self, item: Candidate, work: float, target: float, now: float) -> float:
        """Return the expected seconds at an endpoint as fast as any other."""
        expected = work + item.wait(work, now)
        if item.zone != self.zone:
            expected += self.zone_penalty * target
        return expected + JITTER * target * self.random.random()


@PLACERS.register("random")
class Random(Placer):
    """Chooses at random among the endpoints that were usable just now."""

    def cost(self, item: Candidate, work: float, target: float, now: float) -> float:
        """Return a random number."""
        return self.random.random()
