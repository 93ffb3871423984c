"""Experiment ``quota``: how well the quotas hold over all nodes, and what they cost."""

import bisect
import collections.abc
import dataclasses
import functools
import heapq
import itertools
import random

from rattanridge.measure import base
from rattanridge.policies import quota, quota_ledger

DEFAULT_SIZES = (8, 88, 300)  # nodes
DEFAULT_SECONDS = 40.0
ACCOUNTS = 86
REQUESTS_PER_NODE = 1814 / 88  # per second
ACCOUNTS_PER_NODE = 10
USUAL_LOAD = 1 / 1.6  # demand of an account for each unit of its rate
EXCESS = 4.0  # demand of three accounts under ``excess``, for each unit of their rate
WINDOW = 5.0  # seconds
WARM_UP = 5.0  # seconds that are not counted as below the quota
DELAYS = (0.001, 0.004)  # seconds that a message takes
MAX_WAIT = 0.1  # seconds that a request waits
TIMEOUT = 0.5  # seconds after which a node gives up a report
RETRY_DELAY = 0.3  # seconds
TAKEOVER = 4.0  # seconds from the death of an allocator until another one grants
FAULT_AT = 12.0  # seconds
FAULT_END = 32.0
MAX_REFUSED = 0.02  # share of the requests below the quota
MAX_REPORTS = 1.0  # a second for each node
MAX_SPREAD = 88  # nodes; with 300, ``spread`` takes many minutes
FAULTS = ("none", "spread", "excess", "allocator", "cut-off", "restarts")


@base.EXPERIMENTS.register("quota")
def measure(parameters: base.Parameters) -> base.Result:
    """Measure the largest window over the limit, the share of requests refused below
    it, and the reports of a node, by number of nodes and by fault.

    Time is virtual, and the network is simulated. Of the faults, ``spread`` sends each
    account's requests to all nodes, ``excess`` lets three accounts send 4 times their
    rate, ``allocator`` kills the allocator, ``cut-off`` cuts a third of the nodes off
    from all others, and ``restarts`` kills all nodes.
    """
    sizes = (parameters.size,) if parameters.size else DEFAULT_SIZES
    seconds = parameters.seconds or DEFAULT_SECONDS
    figures: dict[str, float] = {}
    for size, fault in itertools.product(sizes, FAULTS):
        if fault == "spread" and size > MAX_SPREAD:
            continue
        base.print_progress(f"quota: {size} nodes, {fault}")
        found = Simulation(size, fault, parameters.seed).run(seconds)
        prefix = f"n{size}_{fault}"
        figures |= {f"{prefix}_{name}": value for name, value in found.items()}
    target = {name: 1.0 for name in figures if name.endswith("_window")}
    for size in sizes:
        target[f"n{size}_none_refused"] = MAX_REFUSED
        target[f"n{size}_none_reports_per_s"] = MAX_REPORTS
    ok = all(figures[name] <= limit for name, limit in target.items())
    return base.Result("quota", parameters.seed, 1, figures, target, ok)


@dataclasses.dataclass(slots=True)
class Account:
    """One account.

    :param demand: requests per second over all nodes.
    :param admitted: seconds at which its requests were admitted.
    :param below: requests while it was below its rate, and those of them refused.
    """

    name: str
    demand: float
    limit: quota.Limit
    admitted: list[float] = dataclasses.field(default_factory=list)
    below: int = 0
    refused: int = 0

    def largest_window(self) -> float:
        """Return the largest window in units of what is permitted."""
        most = max(
            index + 1 - bisect.bisect_left(self.admitted, at - WINDOW)
            for index, at in enumerate(self.admitted or [0.0])
        )
        return most / ((self.limit.rate * WINDOW + self.limit.burst) * 1.1 + 20)


class Node:
    """One node: its shares, and the requests that wait at it, by account."""

    def __init__(self, name: str):
        self.name = name
        self.shares = quota.NodeShares(1)
        self.waiting: dict[str, list[float]] = {}
        self.cut_off = False
        self.down = False
        self.retry_at = 0.0
        self.reports = 0


class Simulation:
    """A fleet in virtual time.

    :param fault: one of ``FAULTS``.
    """

    def __init__(self, size: int, fault: str, seed: int):
        self.random = random.Random(seed)
        self.fault = fault
        self.now = 0.0
        self.events: list[tuple[float, int, collections.abc.Callable[[], object]]] = []
        self.counter = itertools.count()
        self.nodes = [Node(f"node-{index}") for index in range(size)]
        self.accounts = self.draw_accounts(size * REQUESTS_PER_NODE)
        self.ledger = quota_ledger.Ledger(float("-inf"))
        self.term = 1
        self.allocating = True
        self.calm = True

    def draw_accounts(self, total: float) -> list[Account]:
        """Return accounts of very different sizes, whose requests add up to a total."""
        weights = [self.random.lognormvariate(0.0, 1.0) for _ in range(ACCOUNTS)]
        found = []
        for index, weight in enumerate(weights):
            demand = total * weight / sum(weights)
            rate = demand / USUAL_LOAD
            found.append(Account(f"a{index}", demand, quota.Limit(rate, rate)))
        return found

    def at(self, delay: float, work: collections.abc.Callable[[], object]) -> None:
        """Do some work after a delay in seconds."""
        heapq.heappush(self.events, (self.now + delay, next(self.counter), work))

    def run(self, seconds: float) -> dict[str, float]:
        """Simulate some seconds and return the figures."""
        part = len(self.nodes) * ACCOUNTS_PER_NODE / ACCOUNTS
        count = len(self.nodes) if self.fault == "spread" else max(round(part), 1)
        for index, account in enumerate(self.accounts):
            load = EXCESS / USUAL_LOAD if self.fault == "excess" and index < 3 else 1.0
            rate = account.demand * load / count
            for node in self.random.sample(self.nodes, count):
                self.schedule_request(node, account, rate)
        for node in self.nodes:
            self.at(self.random.random(), functools.partial(self.tick, node))
        self.at(FAULT_AT, self.begin_fault)
        self.at(FAULT_END, self.end_fault)
        while self.events and self.events[0][0] < seconds:
            self.now, _, work = heapq.heappop(self.events)
            work()
        below = sum(account.below for account in self.accounts)
        refused = sum(account.refused for account in self.accounts)
        reports = sum(node.reports for node in self.nodes)
        largest = max(account.largest_window() for account in self.accounts)
        return {
            "window": round(largest, 3),
            "refused": round(refused / max(below, 1), 4),
            "reports_per_s": round(reports / len(self.nodes) / seconds, 3),
        }

    def begin_fault(self) -> None:
        """Let go wrong what the run is about."""
        if self.fault == "allocator":
            self.hand_over()
        elif self.fault == "cut-off":
            for node in self.nodes[: len(self.nodes) // 3]:
                node.cut_off = True
        elif self.fault == "restarts":
            self.hand_over()
            for node in self.nodes:
                incarnation = node.shares.incarnation + 1
                node.shares = quota.NodeShares(incarnation)
                node.waiting.clear()
                node.down = True
                delay = self.random.uniform(1.0, 3.0)
                self.at(delay, functools.partial(setattr, node, "down", False))

    def end_fault(self) -> None:
        """Mend what can be mended."""
        for node in self.nodes:
            node.cut_off = False

    def hand_over(self) -> None:
        """Let the allocator die, and another one take over later."""
        self.allocating = False
        members = {node.name for node in self.nodes}
        settled_at = self.now + 3.0 + quota.SHARE_LIFETIME

        def take() -> None:
            self.ledger = quota_ledger.Ledger(settled_at, members)
            self.term += 1
            self.allocating = True
            for node in self.nodes:
                self.report(node)

        self.at(TAKEOVER, take)

    def schedule_request(self, node: Node, account: Account, rate: float) -> None:
        """Let requests arrive at random times."""

        def arrive() -> None:
            if not node.down:
                self.receive(node, account)
            self.at(self.random.expovariate(rate), arrive)

        self.at(self.random.expovariate(rate), arrive)

    def receive(self, node: Node, account: Account) -> None:
        """Admit a request, or let it wait."""
        share = node.shares.share_of(account.name, account.limit, self.now)
        share.record_request(self.now)
        is_counted = self.now > WARM_UP and (
            self.fault != "excess" or account not in self.accounts[:3]
        )
        account.below += is_counted
        if not share.waiting and share.try_take(self.now):
            account.admitted.append(self.now)
            if (
                self.now > node.shares.sent_at + quota.MIN_REPORT_INTERVAL
                and share.has_grown(self.now)
            ):
                self.report(node)
            return
        self.wait(node, account, share, self.now + MAX_WAIT, is_counted)

    def wait(
        self,
        node: Node,
        account: Account,
        share: quota.AccountShare,
        ends_at: float,
        is_counted: bool,
    ) -> None:
        """Let a request wait for a token until a time in seconds."""
        ahead = share.waiting
        share.waiting += 1

        def check() -> None:
            if share.try_take(self.now):
                share.waiting -= 1
                account.admitted.append(self.now)
                return
            look()

        def look() -> None:
            left = ends_at - self.now
            delay = share.delay(self.now, ahead)
            if left <= 1e-6 or delay > left or self.now < node.retry_at:
                share.waiting -= 1
                account.refused += is_counted
                return
            if not delay:
                self.report(node)
                delay = 0.002
            self.at(delay + 1e-6, check)

        look()

    def tick(self, node: Node) -> None:
        """Make the regular reports of a node."""
        if self.now >= node.shares.due_at():
            self.report(node)
        self.at(0.1, lambda: self.tick(node))

    def report(self, node: Node) -> None:
        """Send a report unless one is in flight."""
        if node.shares.in_flight or node.down or self.now < node.retry_at:
            return
        entries = node.shares.report(self.now)
        sequence = node.shares.sequence
        shares = node.shares
        full = shares.full
        node.reports += 1

        def arrive() -> None:
            if not self.allocating or node.cut_off:
                return
            if not full and not self.ledger.is_known(node.name, shares.incarnation):
                shares.want_full()
                return
            grants = self.ledger.answer(
                node.name, shares.incarnation, sequence, entries, full, self.now
            )
            if grants is not None:
                interval = self.ledger.interval(entries, grants)
                answer = (sequence, self.term, grants, interval)
                delay = self.random.uniform(*DELAYS)
                self.at(delay, lambda: apply(answer))

        def apply(answer: tuple[int, int, list[quota.Grant], float]) -> None:
            shares.apply(*answer, self.now)

        def give_up() -> None:
            if shares.in_flight and shares.sequence == sequence:
                shares.abandon()
                node.retry_at = self.now + RETRY_DELAY

        self.at(self.random.uniform(*DELAYS), arrive)
        self.at(TIMEOUT, give_up)
