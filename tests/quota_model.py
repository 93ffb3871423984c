"""A model of nodes, allocators and messages, for the quota's policies.

All processes run in one loop over time. Messages are lost, late, doubled and out of
order; processes die, start again, are cut off, and stop for seconds.
"""

import bisect
import copy
import dataclasses
import random

from rattanridge.policies import quota, quota_ledger

STEP = 0.02  # seconds
MAX_WAIT = 0.08  # seconds that a request waits for a token
TIMEOUT = 0.5  # seconds after which a node gives up a report
LEASE = 3.0  # seconds
MARGIN = 0.5  # seconds from the end of a lease until another node takes over
FLOOD = 500  # requests that wait at each node in a flood
ACCOUNT = "heating"


@dataclasses.dataclass
class Plan:
    """How a run goes wrong: events a second, and shares of the messages."""

    nodes: int = 5
    rate: float = 20.0
    burst: float = 20.0
    lost: float = 0.0
    late: float = 0.0
    doubled: float = 0.0
    deaths: float = 0.0
    cuts: float = 0.0
    stops: float = 0.0
    handovers: float = 0.0
    floods: float = 0.0
    load: float = 0.62
    shifts: tuple = (0.0, 0.1, 1.0, 4.0)
    seconds: float = 50.0


class Allocator:
    """One holder of the lease; answers until its lease has ended."""

    def __init__(self, term, ledger):
        self.term = term
        self.ledger = ledger
        self.ends_at = float("inf")
        self.stopped_until = 0.0

    def answer(self, message, now):
        name, incarnation, sequence, entries, full = message
        if now >= self.ends_at:
            return None
        if not full and not self.ledger.is_known(name, incarnation):
            return (name, incarnation, sequence, self.term, None)
        grants = self.ledger.answer(name, incarnation, sequence, entries, full, now)
        return (name, incarnation, sequence, self.term, grants) if grants else None


class Node:
    """One node, which admits requests and reports."""

    def __init__(self, name, incarnation):
        self.name = name
        self.shares = quota.NodeShares(incarnation)
        self.cut_until = self.stopped_until = self.down_until = 0.0
        self.load = 1.0
        self.allocator = None


class Model:
    """Runs a plan and keeps the times at which requests were admitted."""

    def __init__(self, plan, seed):
        self.plan = plan
        self.random = random.Random(seed)
        self.limit = quota.Limit(plan.rate, plan.burst)
        self.nodes = [Node(f"n{index}", 1) for index in range(plan.nodes)]
        self.allocators = [Allocator(1, quota_ledger.Ledger(float("-inf")))]
        self.mail = []  # (due, target, message)
        self.admitted = []
        self.refused = 0
        self.reports = 0
        self.takeover_at = None
        self.flood_until = 0.0
        self.now = 0.0

    def chance(self, per_second):
        return self.random.random() < per_second * STEP

    def run(self):
        while self.now < self.plan.seconds:
            self.now += STEP
            self.fail()
            self.deliver()
            for node in self.nodes:
                if self.now >= max(node.down_until, node.stopped_until):
                    self.work(node)
        return self

    def fail(self):
        """Let something go wrong."""
        plan, draw = self.plan, self.random
        for node in self.nodes:
            if self.chance(plan.deaths):
                node.shares = quota.NodeShares(node.shares.incarnation + 1)
                node.down_until = self.now + draw.choice((0.1, 1.0, 8.0, 20.0))
            if self.chance(plan.cuts):
                node.cut_until = self.now + draw.choice((0.3, 3.0, 18.0))
            if self.chance(plan.stops):
                node.stopped_until = self.now + draw.choice((0.3, 2.0, 6.0))
            if self.chance(0.1):
                node.load = draw.choice(plan.shifts)
        if self.chance(plan.floods):
            self.flood_until = self.now + draw.choice((0.1, 0.6, 6.0))
        if self.takeover_at is None and self.chance(plan.handovers):
            # The holder last renewed its lease now; it may be stopped until after it.
            self.allocators[-1].ends_at = self.now + LEASE
            if draw.random() < 0.3:
                self.allocators[-1].stopped_until = self.now + draw.uniform(0, 6)
            self.takeover_at = self.now + LEASE + MARGIN
        if self.takeover_at is not None and self.now >= self.takeover_at:
            self.takeover_at = None
            former = self.allocators[-1]
            settled_at = former.ends_at + quota.SHARE_LIFETIME
            members = former.ledger.holders(former.ends_at)
            ledger = quota_ledger.Ledger(settled_at, members)
            self.allocators.append(Allocator(former.term + 1, ledger))

    def send(self, target, message):
        """Send a message, which may be lost, late or doubled."""
        for _ in range(2 if self.random.random() < self.plan.doubled else 1):
            if self.random.random() < self.plan.lost:
                continue
            late = self.random.random() < self.plan.late
            delay = self.random.uniform(0.0, 2.0 if late else 0.02)
            self.mail.append((self.now + delay, target, copy.deepcopy(message)))

    def deliver(self):
        """Hand over the messages that are due."""
        due = [item for item in self.mail if item[0] <= self.now]
        self.mail = [item for item in self.mail if item[0] > self.now]
        self.random.shuffle(due)
        for item in due:
            target, message = item[1:]
            if self.now < target.stopped_until:
                self.mail.append(item)
            elif isinstance(target, Allocator):
                answer = target.answer(message, self.now)
                if answer is not None:
                    node = next(n for n in self.nodes if n.name == answer[0])
                    self.send(node, answer)
            elif self.now >= max(target.down_until, target.cut_until):
                self.receive(target, message)

    def receive(self, node, answer):
        _, incarnation, sequence, term, grants = answer
        if grants is None:
            if (incarnation, sequence) == (
                node.shares.incarnation,
                node.shares.sequence,
            ):
                node.shares.want_full()
        elif incarnation == node.shares.incarnation:
            interval = quota.REPORT_INTERVAL
            if node.shares.apply(sequence, term, grants, interval, self.now):
                share = node.shares.share_of(ACCOUNT, self.limit, self.now)
                self.admit_waiting(share)
                if share.delay(self.now) > MAX_WAIT:
                    self.refuse_waiting(share)

    def work(self, node):
        """Let requests arrive at a node, and report if one waits or it is time."""
        share = node.shares.share_of(ACCOUNT, self.limit, self.now)
        self.admit_waiting(share)
        if self.now < self.flood_until:
            self.flood(share)
        else:
            self.arrive(share, node)
        shares = node.shares
        if shares.in_flight and self.now > shares.sent_at + TIMEOUT:
            shares.abandon()
            self.refuse_waiting(share)
        waits = share.waiting and self.now >= share.not_before
        if not shares.in_flight and (waits or self.now >= shares.due_at()):
            entries = shares.report(self.now)
            identity = (node.name, shares.incarnation, shares.sequence)
            message = (*identity, entries, shares.full)
            self.reports += 1
            if self.now >= node.cut_until:
                target = self.random.choice(self.allocators[-2:])
                self.send(target, message)

    def flood(self, share):
        """Take all that there is, and ask for all that is free."""
        for _ in range(3):
            share.record_request(self.now)
        while share.try_take(self.now):
            self.admitted.append(self.now)
        share.waiting = FLOOD

    def arrive(self, share, node):
        """Let the requests of one step arrive."""
        mean = self.plan.load * node.load * self.plan.rate / self.plan.nodes * STEP
        whole, part = divmod(mean, 1)
        for _ in range(int(whole) + (self.random.random() < part)):
            share.record_request(self.now)
            if share.try_take(self.now):
                self.admitted.append(self.now)
            elif self.now >= share.not_before:
                share.waiting += 1
            else:
                self.refused += 1

    def admit_waiting(self, share):
        while share.waiting and share.try_take(self.now):
            share.waiting -= 1
            self.admitted.append(self.now)

    def refuse_waiting(self, share):
        self.refused += share.waiting
        share.waiting = 0

    def largest_window(self, seconds=5.0):
        """Return the most requests that were admitted within some seconds."""
        return max(
            (
                index + 1 - bisect.bisect_left(self.admitted, at - seconds)
                for index, at in enumerate(self.admitted)
            ),
            default=0,
        )

    def bound(self):
        """Return the most requests that a window of 5 s may have by construction."""
        return 5 * self.limit.rate + self.limit.depth()
