"""A model of an overloaded service: its endpoints, their exits, and entries.

The load is that of the service ``depot`` of a heavy day: short urgent requests, a burst
of long ones that are less urgent, and nested calls. Everything runs in virtual time
without a network; queues and placement are those of the nodes.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import itertools
import random

from rattanridge.kernel import codes
from rattanridge.policies import (
    admissions,
    demand,
    placement,
    queueing,
    slow_start,
    tickets,
)

HOP = 0.001  # seconds of one way between two nodes
ATTEMPTS = 3  # exits that one request is sent to
CALLER_RETRIES = 2  # times a caller sends a refused request again after Retry-After
RETRY_JITTER = (0.8, 1.5)  # factors of Retry-After, as the entry draws them
RATE_FACTOR = 1.2  # of the usual rates, on a heavy day
SLOW_FACTOR = 5.0  # by which a slow endpoint is slower
SPEEDS = (0.7, 1.6)  # of an endpoint, as a multiple of the mean speed
ZONES = "abc"


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """Requests of one route.

    :param rate: usual requests per second at 42 endpoints.
    :param work: mean seconds at an endpoint of mean speed.
    :param target: target latency in seconds.
    :param timeout: seconds until the caller gives up.
    :param value: value of an answer within the target latency.
    :param late_value: value of a later answer.
    """

    route: str
    rank: int
    rate: float
    work: float
    target: float
    timeout: float
    value: float
    late_value: float
    nested: bool = False


TANK_LEVEL = Kind("tank-level", 0, 145.0, 0.16, 0.5, 3.1, 3.4, 0.4)
HISTORY = Kind("delivery-history", 2, 199.0, 0.99, 5.0, 15.0, 0.44, 0.2)
# Two for each of 0.7 of 398 order-status requests a second.
TRUCK_STOCK = Kind("truck-stock", 1, 557.0, 0.099, 0.4, 1.2, 0.5, 0.0, nested=True)
KINDS = (TANK_LEVEL, HISTORY, TRUCK_STOCK)


@dataclasses.dataclass(slots=True, frozen=True)
class Burst:
    """Requests of one route or account at a multiple of their rate.

    That of an account does not reach its nested calls: the service that makes them
    limits their number.

    :param start: seconds from the start.
    :param end: seconds from the start.
    """

    factor: float
    start: float
    end: float
    route: str = ""
    account: str = ""

    def factor_of(self, kind: Kind, account: str, now: float) -> float:
        """Return the factor of the rate of a route's requests of one account."""
        matches = self.start <= now < self.end and (
            (not self.route or self.route == kind.route)
            and (not self.account or self.account == account)
            and not (self.account and kind.nested)
        )
        return self.factor if matches else 1.0


@dataclasses.dataclass(slots=True)
class Scenario:
    """What is run.

    :param order: name of the queue's order.
    :param admission: name of the queue's admission.
    :param bound: name of the bound on the slots of less urgent requests.
    :param seconds: duration of the load in virtual seconds.
    :param endpoints: endpoints; rates are scaled to them.
    :param entries: entries that send requests; 0 for two for each endpoint.
    :param placement: name of the placement of entries.
    :param slow: number of endpoints that are slow while a burst lasts.
    :param accounts: usual share of the requests by account; empty if there are none.
    :param tagged: whether the queue is told the accounts.
    """

    order: str
    admission: str = "short-queue"
    bound: str = "all-slots"
    seed: int = 1
    seconds: float = 16.0
    endpoints: int = 14
    slots: int = 9
    entries: int = 0
    placement: str = slow_start.NAME
    slow: int = 2
    bursts: tuple[Burst, ...] = ()
    kinds: tuple[Kind, ...] = KINDS
    accounts: dict[str, float] = dataclasses.field(default_factory=dict)
    tagged: bool = True


@dataclasses.dataclass(slots=True)
class Tally:
    """Outcomes of the requests of one route or account.

    :param latencies: seconds from the first attempt to the answer of those served.
    :param refusals: seconds for which an exit held a request before it refused it.
    :param returned: requests that callers sent again after Retry-After.
    :param returned_served: those of them that were served at that time.
    """

    offered: int = 0
    timely: int = 0
    latencies: list[float] = dataclasses.field(default_factory=list)
    refusals: list[float] = dataclasses.field(default_factory=list)
    returned: int = 0
    returned_served: int = 0

    def served_share(self) -> float:
        """Return the fraction of the requests that were served."""
        return len(self.latencies) / self.offered if self.offered else 1.0

    def timely_share(self) -> float:
        """Return the fraction of the requests that were served in time."""
        return self.timely / self.offered if self.offered else 1.0


class Endpoint:
    """One endpoint and the queue of its exit."""

    def __init__(
        self, scenario: Scenario, number: int, speed: float, rng: random.Random
    ):
        self.name = f"{ZONES[number % len(ZONES)]}{number}"
        self.scenario = scenario
        self.slow = number < scenario.slow
        self.speed = speed
        self.random = rng
        self.queue = queueing.Queue(
            scenario.slots,
            tickets.ORDERS.get(scenario.order),
            admissions.ADMISSIONS.get(scenario.admission),
            demand.BOUNDS.get(scenario.bound),
        )

    def factor(self, now: float) -> float:
        """Return the current multiple of the mean processing time."""
        active = any(item.start <= now < item.end for item in self.scenario.bursts)
        return (SLOW_FACTOR if self.slow and active else 1.0) / self.speed

    def load(self, ticket: tickets.Ticket) -> placement.Load:
        """Return the load that the exit reports with the answer to a request."""
        queue = self.queue
        wait = queue.expected_wait_behind(ticket)
        return placement.Load(queue.running, len(queue.waiting), wait)

    async def serve(self, kind: Kind, ticket: tickets.Ticket) -> float:
        """Run one request; return the seconds at the endpoint."""
        loop = asyncio.get_running_loop()
        await self.queue.acquire(ticket)
        seconds = kind.work * self.factor(loop.time()) * self.random.uniform(0.5, 1.5)
        left = ticket.deadline - loop.time()
        try:
            await asyncio.sleep(max(min(seconds, left), 0.0))
            self.queue.times.record(kind.route, min(seconds, left))
        finally:
            self.queue.release(ticket)
        if seconds > left:
            raise codes.Failure(codes.DEADLINE)
        return seconds


class Entry:
    """An entry, which places requests by what it has seen of the endpoints."""

    def __init__(self, zone: str, endpoints: list[Endpoint], rng: random.Random):
        kind = placement.PLACERS.get(endpoints[0].scenario.placement)
        self.placer = kind(zone, rng)
        self.endpoints = {item.name: item for item in endpoints}
        self.tagged = endpoints[0].scenario.tagged
        self.candidates = [
            placement.Candidate(
                item.name,
                "",
                item.name[0],
                "depot",
                item.name,
                "v1",
                item.scenario.slots,
            )
            for item in endpoints
        ]

    async def send(
        self, kind: Kind, account: str, deadline: float, tally: Tally
    ) -> None:
        """Run a request; raise the last refusal if no endpoint serves it."""
        loop = asyncio.get_running_loop()
        timely_until = loop.time() + kind.target
        tried: list[placement.Candidate] = []
        while True:
            untried = [item for item in self.candidates if item not in tried]
            chosen = self.placer.choose(
                untried,
                kind.route,
                kind.target,
                loop.time(),
                tickets.urgency_of(kind.rank, kind.nested),
            )
            assert chosen is not None
            tried.append(chosen)
            ticket = tickets.Ticket(
                kind.route, kind.rank, kind.nested, timely_until, deadline
            )
            if self.tagged:
                ticket.account = account
            try:
                await self.attempt(chosen, kind, ticket)
                return
            except codes.Failure as failure:
                tally.refusals.append(loop.time() - timely_until + kind.target)
                mean = self.placer.mean(kind.route).seconds
                final = failure.code not in queueing.FULL_CODES
                if final or len(tried) == ATTEMPTS or loop.time() + mean > deadline:
                    raise

    async def attempt(
        self, chosen: placement.Candidate, kind: Kind, ticket: tickets.Ticket
    ) -> None:
        """Send a request to one endpoint and record what its answer shows."""
        loop = asyncio.get_running_loop()
        endpoint = self.endpoints[chosen.node]
        chosen.begin(loop.time())
        try:
            await asyncio.sleep(HOP)
            seconds = await endpoint.serve(kind, ticket)
            now = loop.time()
            self.placer.record_processing_time(chosen, kind.route, seconds, now)
        finally:
            load = endpoint.load(ticket)
            await asyncio.sleep(HOP)
            chosen.end(True, loop.time())
            urgency = tickets.urgency_of(kind.rank, kind.nested)
            chosen.record_load(load, loop.time(), urgency)


class Model:
    """Runs a scenario and counts the outcomes by route and by account."""

    def __init__(self, scenario: Scenario):
        self.scenario = scenario
        self.random = random.Random(scenario.seed)
        self.routes: dict[str, Tally] = collections.defaultdict(Tally)
        self.accounts: dict[str, Tally] = collections.defaultdict(Tally)
        self.value = 0.0
        self.tasks: set[asyncio.Task] = set()

    async def run(self) -> "Model":
        """Run the whole load until each request is answered."""
        scenario = self.scenario
        # Evenly spaced, so that the capacity does not depend on the seed.
        low, high = SPEEDS
        count = scenario.endpoints
        speeds = [low + (high - low) * (n + 0.5) / count for n in range(count)]
        mean = sum(speeds) / count
        self.random.shuffle(speeds)
        endpoints = [
            Endpoint(scenario, number, speed / mean, self.random)
            for number, speed in enumerate(speeds)
        ]
        self.entries = [
            Entry(ZONES[number % len(ZONES)], endpoints, self.random)
            for number in range(scenario.entries or 2 * count)
        ]
        accounts = scenario.accounts or {"": 1.0}
        await asyncio.gather(
            *itertools.starmap(
                self.arrive,
                (
                    (kind, name, share)
                    for kind in scenario.kinds
                    for name, share in accounts.items()
                ),
            )
        )
        await asyncio.gather(*self.tasks)
        return self

    async def arrive(self, kind: Kind, account: str, share: float) -> None:
        """Start the requests of one route and account at random times."""
        scenario = self.scenario
        loop = asyncio.get_running_loop()
        usual = kind.rate * RATE_FACTOR * scenario.endpoints / 42 * share
        most = max((item.factor for item in scenario.bursts), default=1.0)
        # Thinned from the highest rate, so that a burst begins at its time.
        while True:
            await asyncio.sleep(self.random.expovariate(usual * most))
            now = loop.time()
            if now >= scenario.seconds:
                return
            factors = [item.factor_of(kind, account, now) for item in scenario.bursts]
            if self.random.random() * most <= max(factors, default=1.0):
                self.tasks.add(asyncio.create_task(self.call(kind, account)))

    async def call(self, kind: Kind, account: str) -> None:
        """Send one request as its caller does, which heeds Retry-After."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        tallies = (self.routes[kind.route], self.accounts[account])
        for tally in tallies:
            tally.offered += 1
        entry = self.random.choice(self.entries)
        retries = 0 if kind.nested else CALLER_RETRIES
        returned = False
        for left in range(retries, -1, -1):
            try:
                await entry.send(kind, account, began + kind.timeout, tallies[0])
                break
            except codes.Failure as failure:
                wait = failure.retry_after * self.random.uniform(*RETRY_JITTER)
                late = loop.time() + wait + kind.work > began + kind.timeout
                if not left or late or failure.code not in queueing.FULL_CODES:
                    return
                await asyncio.sleep(wait)
                returned = True
                for tally in tallies:
                    tally.returned += 1
        took = loop.time() - began
        timely = took <= kind.target
        self.value += kind.value if timely else kind.late_value
        for tally in tallies:
            tally.timely += timely
            tally.latencies.append(took)
            tally.returned_served += returned
