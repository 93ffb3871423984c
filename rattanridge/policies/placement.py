"""Chooses the endpoint of a service that a request goes to. Needs no network.

Handles a zone with more load than its own endpoints can serve, an endpoint that limits
the rate of its requests, one that has become slow, one that sheds part of its requests
while its health check passes, a host that is gone while its record is still in the
store, and one that starts while the others are busy.
"""

import collections.abc
import dataclasses
import random
import typing

from rattanridge.kernel import registry
from rattanridge.policies import rate_limit, reported_waits

LOAD_REPORT_TTL = reported_waits.REPORT_TTL  # seconds until a load is ignored
LATENCY_RATIO_WEIGHT = 0.2  # of one answer in an endpoint's moving average
LATENCY_RATIO_RANGE = (0.2, 20.0)  # limits of an endpoint's moving average
LATENCY_RATIO_HALF_LIFE = 3.0  # seconds
SHED_WEIGHT = 0.15  # of one answer in an endpoint's share of shed requests
SHED_HALF_LIFE = 1.5  # seconds
INITIAL_PAUSE = 0.2  # seconds without requests after one failure to reach an endpoint
MAX_PAUSE = 2.0  # seconds
# Multiple of the expected processing time; longer silence counts as waiting time.
SILENCE_TOLERANCE = 2.0
# Multiple of the target latency by which an endpoint in another zone must be faster.
ZONE_PENALTY = 0.2
# Multiple of the target latency added for an endpoint that sheds all requests.
SHED_PENALTY = 2.0
# Multiple of the target latency; spreads the requests of entries with the same data.
JITTER = 0.1
# Seconds over which the share of requests that consider a new endpoint grows to all.
# Without a load it looks idle, and all entries would send to it at once: 42 requests in
# 0.1 s at 9 slots, in the model of ``measure fairness`` with 88 entries.
SLOW_START = 3.0
DEFAULT_PROCESSING_TIME = 0.1  # seconds, until a route's own mean is known


@dataclasses.dataclass(slots=True)
class Load:
    """The load of an endpoint, as its exit reports it with each answer.

    :param running: requests that the endpoint runs.
    :param waiting: requests in the exit's queue.
    :param wait: seconds that a new request as urgent as the answered one would wait.
    """

    running: int
    waiting: int
    wait: float


@dataclasses.dataclass(slots=True)
class Candidate:
    """One endpoint as an entry sees it.

    :param node: name of the endpoint's node.
    :param hop: address of that node for calls from other nodes.
    :param slots: requests that the endpoint runs at once.
    :param in_flight: requests of this entry that are at the endpoint now.
    :param last_answer_at: monotonic seconds of its last answer, or of a request that
        was sent while no other one was in flight.
    :param load_in_flight: value of ``in_flight`` when the load was reported.
    :param last_latency_ratio: its processing time over the mean of all endpoints, as
        of ``latency_ratio_at``.
    :param last_shed_share: fraction of requests that it sheds or fails, as of
        ``shed_at``.
    :param failures: consecutive failures to reach it.
    :param paused_until: monotonic seconds until which it is chosen only if there is no
        other.
    :param limit: requests per second that it takes from all entries; None if it is
        not known to limit them.
    :param known_since: monotonic seconds since when it may get requests; None until it
        is first considered, and after its node was lost.
    :param waits: reported waits by urgency.
    :param lost: whether its node can't be reached; it gets no request until the node
        answers again.
    """

    node: str
    hop: str
    zone: str
    service: str
    endpoint: str
    version: str
    slots: int
    in_flight: int = 0
    last_answer_at: float = 0.0
    load: Load | None = None
    load_at: float = 0.0
    load_in_flight: int = 0
    last_latency_ratio: float = 1.0
    latency_ratio_at: float = 0.0
    last_shed_share: float = 0.0
    shed_at: float = 0.0
    failures: int = 0
    paused_until: float = 0.0
    limit: float | None = None
    waits: reported_waits.ReportedWaits = dataclasses.field(
        default_factory=reported_waits.ReportedWaits
    )
    known_since: float | None = None
    lost: bool = False

    def begin(self, now: float) -> None:
        """Record a request that is sent to the endpoint."""
        if not self.in_flight:
            self.last_answer_at = now
        self.in_flight += 1

    def end(self, answered: bool, now: float) -> None:
        """Record the end of a request.

        :param answered: whether the node answered it.
        """
        self.in_flight -= 1
        if answered:
            self.last_answer_at = now

    def unanswered_time(self, now: float) -> float:
        """Return the seconds for which the endpoint has not answered.

        The result is 0 if no request is in flight.
        """
        return now - self.last_answer_at if self.in_flight else 0.0

    def record_load(self, load: Load, now: float, urgency: int = 0) -> None:
        """Record the load that was reported with an answer.

        :param urgency: that of the answered request, see ``demand``.
        """
        self.waits.record(urgency, load.wait, now)
        self.load = load
        self.load_at = now
        self.load_in_flight = self.in_flight

    def record_latency_ratio(self, ratio: float, now: float) -> None:
        """Record the processing time of one answer.

        :param ratio: that time over the mean of the route at all endpoints.
        """
        low, high = LATENCY_RATIO_RANGE
        previous = self.latency_ratio(now)
        updated = previous + LATENCY_RATIO_WEIGHT * (ratio - previous)
        self.last_latency_ratio = min(max(updated, low), high)
        self.latency_ratio_at = now

    def latency_ratio(self, now: float) -> float:
        """Return the endpoint's processing time over the mean of all endpoints.

        Without new answers, the ratio decays towards 1.
        """
        decay = 0.5 ** ((now - self.latency_ratio_at) / LATENCY_RATIO_HALF_LIFE)
        return 1.0 + (self.last_latency_ratio - 1.0) * decay

    def record_shed(self, shed: bool, now: float) -> None:
        """Record whether the endpoint shed or failed a request."""
        previous = self.shed_share(now)
        self.last_shed_share = previous + SHED_WEIGHT * (float(shed) - previous)
        self.shed_at = now

    def shed_share(self, now: float) -> float:
        """Return the fraction of requests that the endpoint sheds or fails."""
        return self.last_shed_share * 0.5 ** ((now - self.shed_at) / SHED_HALF_LIFE)

    def record_unreachable(self, now: float) -> None:
        """Pause the endpoint; each consecutive failure doubles the pause.

        Failures during a pause are not counted.
        """
        if now < self.paused_until:
            return
        pause = min(INITIAL_PAUSE * 2**self.failures, MAX_PAUSE)
        self.failures += 1
        self.paused_until = now + pause

    def record_reachable(self) -> None:
        """Record that the endpoint's node answered, and end its pause."""
        self.failures = 0
        self.paused_until = 0.0
        if self.lost:
            self.known_since = None
        self.lost = False

    def slow_start_share(self, now: float) -> float:
        """Return the share of requests that may consider it, from 0 to 1 or more."""
        if self.known_since is None:
            self.known_since = now
        return (now - self.known_since) / SLOW_START

    def expected_wait(
        self, processing_time: float, now: float, urgency: int = 0
    ) -> float:
        """Return the seconds that a request would wait there for a slot.

        :param processing_time: expected seconds of one request.
        """
        if self.limit is None and self.waits.is_mixed(now):
            return self.expected_wait_of(urgency, processing_time, now)
        reported = limited = 0.0
        added = self.in_flight
        if self.load is not None and now - self.load_at < LOAD_REPORT_TTL:
            added -= self.load_in_flight
            busy = self.load.running + self.load.waiting + added
            reported = self.load.wait
            if self.limit is not None:
                rate = max(self.limit, rate_limit.MIN_RATE)
                limited = reported + max(added, 0) / rate
        else:
            busy = added
        excess = busy + 1 - self.slots
        if excess <= 0:
            return limited
        return max(excess / self.slots * processing_time, reported, limited)

    def expected_wait_of(
        self, urgency: int, processing_time: float, now: float
    ) -> float:
        """Return the seconds that a request would wait beside others of several ranks.

        Requests sent since the last report may run before it.
        """
        wait = self.waits.wait_of(urgency, now)
        added = max(self.in_flight - self.load_in_flight, 0)
        running = self.load.running if self.load is not None else 0
        if not wait and running + added < self.slots:
            return 0.0
        return wait + added / self.slots * processing_time


@dataclasses.dataclass(slots=True)
class Mean:
    """Moving average of a route's processing time at all endpoints, in seconds."""

    seconds: float = 0.0
    weight: float = 0.05

    def record(self, seconds: float) -> None:
        """Record the processing time of one answer."""
        if not self.seconds:
            self.seconds = seconds
        self.seconds += self.weight * (seconds - self.seconds)


PLACERS: registry.Registry[type["Placer"]] = registry.Registry("placement")


@PLACERS.register("expected-time")
class Placer:
    """Chooses the endpoint with the least expected time, preferring its own zone.

    Traffic between zones is expensive, so a request leaves its zone only if an
    endpoint elsewhere is clearly faster.

    :param zone: the entry's own availability zone.
    """

    zone_penalty: typing.ClassVar[float] = ZONE_PENALTY

    def __init__(self, zone: str, rng: random.Random | None = None):
        self.zone = zone
        self.random = rng or random.Random()
        self.means: dict[str, Mean] = {}

    def mean(self, route: str) -> Mean:
        """Return the mean processing time of a route, to be read or updated."""
        mean = self.means.get(route)
        if mean is None:
            mean = self.means[route] = Mean()
        return mean

    def choose(
        self,
        candidates: collections.abc.Iterable[Candidate],
        route: str,
        target: float,
        now: float,
        urgency: int = 0,
    ) -> Candidate | None:
        """Return the candidate with the least cost, or None if all are lost.

        A paused candidate is chosen only if there is no other.

        :param target: target latency of the route in seconds.
        :param urgency: that of the request, see ``demand``.
        """
        usable = [item for item in candidates if not item.lost]
        processing_time = self.mean(route).seconds or DEFAULT_PROCESSING_TIME
        best = None
        least = (True, float("inf"))
        for candidate in self.considered(usable, now):
            cost = (
                candidate.paused_until > now,
                self.cost(candidate, processing_time, target, now, urgency),
            )
            if cost < least:
                best, least = candidate, cost
        return best

    def considered(self, usable: list[Candidate], now: float) -> list[Candidate]:
        """Return the candidates that a request may go to."""
        return usable

    def cost(
        self,
        candidate: Candidate,
        processing_time: float,
        target: float,
        now: float,
        urgency: int = 0,
    ) -> float:
        """Return the expected seconds of a request, plus penalties and jitter."""
        own_time = processing_time * candidate.latency_ratio(now)
        expected = own_time + max(
            candidate.expected_wait(processing_time, now, urgency),
            candidate.unanswered_time(now) - SILENCE_TOLERANCE * own_time,
        )
        if candidate.zone != self.zone:
            expected += self.zone_penalty * target
        expected += SHED_PENALTY * target * candidate.shed_share(now)
        return expected + JITTER * target * self.random.random()

    def record_processing_time(
        self, candidate: Candidate, route: str, seconds: float, now: float
    ) -> None:
        """Record an answer that took the endpoint ``seconds`` to process."""
        mean = self.mean(route)
        mean.record(seconds)
        candidate.record_latency_ratio(seconds / mean.seconds, now)


@PLACERS.register("any-zone")
class AnyZone(Placer):
    """Chooses the endpoint with the least expected time in any zone."""

    zone_penalty = 0.0


@PLACERS.register("least-busy")
class LeastBusy(Placer):
    """Chooses by load and zone; latency ratios and shed requests are ignored."""

    def record_processing_time(
        self, candidate: Candidate, route: str, seconds: float, now: float
    ) -> None:
        """Record the processing time in the route's mean only."""
        self.mean(route).record(seconds)

    def cost(
        self,
        candidate: Candidate,
        processing_time: float,
        target: float,
        now: float,
        urgency: int = 0,
    ) -> float:
        """Return the expected seconds at an endpoint of average latency."""
        expected = processing_time + candidate.expected_wait(
            processing_time, now, urgency
        )
        if candidate.zone != self.zone:
            expected += self.zone_penalty * target
        return expected + JITTER * target * self.random.random()


@PLACERS.register("random")
class Random(Placer):
    """Chooses at random among the endpoints that are not paused."""

    def cost(
        self,
        candidate: Candidate,
        processing_time: float,
        target: float,
        now: float,
        urgency: int = 0,
    ) -> float:
        """Return a random number."""
        return self.random.random()
