"""The shares of one account and what is free of it, at the allocator.

Needs no network. What is free is a bucket of its own, whose tokens serve requests that
cannot wait for a share, and accounts that are too small to be divided.
"""

import collections
import dataclasses

from rattanridge.policies import quota, token_bucket

HEADROOM = 1.1  # rate granted for each request per second while the demand fits
MIN_RATE = 1.0  # requests per second that a node gets at least while that fits
# Parts of the rate and of the depth that are kept for requests that cannot wait. While
# the demand is low, more of the rate is kept: a node with few requests uses its share
# unevenly, and each of its requests lacks a third of a token on average.
RATE_RESERVE = 0.1
LOW_RATE_RESERVE = 0.3
DEPTH_RESERVE = 0.3
# Seconds of a node's rate that its depth is at most: the first node that reports must
# not take all that the others will need before it reports again.
DEPTH_SECONDS = 2.0
# Part of the free depth whose tokens are only for requests that wait: tokens stored at
# nodes whose buckets fill up by themselves are lost.
STOCK_KEPT = 0.5
STOCK_PART = 0.25  # of the other free tokens that a node may store at once
MIN_DEMAND = 0.02  # requests per second that count as demand
# Requests per second from which a node gets a share. Below, each request is admitted by
# a report: a share would lie idle while other nodes lack it.
MIN_SHARE_DEMAND = 0.25
# The same while there is less depth for each of the nodes. With 86 accounts at each of
# 44 nodes, simulated, 7.9 % of the requests at 62 % of the rate were refused without
# this, and 1.8 % with it.
CROWDED_SHARE_DEMAND = 1.0
CROWDED_DEPTH = 2.0  # requests
SMALL_PART = 0.7  # of the divided depth that nodes with less than one token may hold
SWEEP_INTERVAL = 0.5  # seconds between two searches for holds that have ended
MIN_WAIT = 0.05  # seconds
EXHAUSTED_WAIT = 0.25  # seconds, for each time the rate that the demand is
MAX_DEMAND_RATIO = 4.0  # beyond which the wait does not grow
TIGHT_LOAD = 0.8  # demand for each unit of the rate from which others may lack rate


@dataclasses.dataclass(slots=True)
class Hold:
    """What one node may hold of an account.

    :param rate: share of the rate, 0 to 1.
    :param depth: share of the depth, 0 to 1.
    :param demand: requests per second that it reported.
    """

    rate: float
    depth: float
    demand: float
    expires_at: float


@dataclasses.dataclass(slots=True)
class Totals:
    """Sums over all holds, kept up to date so that a grant takes no loop over them.

    :param rate: shares of the rate.
    :param depth: shares of the depth.
    :param demand: requests per second.
    :param wanted: requests per second with ``HEADROOM`` and at least ``MIN_RATE``.
    :param sharers: nodes with enough demand for a share.
    """

    rate: float = 0.0
    depth: float = 0.0
    demand: float = 0.0
    wanted: float = 0.0
    sharers: int = 0

    def add(self, hold: Hold, sign: int = 1) -> None:
        """Add a hold, or subtract it with a sign of -1."""
        self.rate += sign * hold.rate
        self.depth += sign * hold.depth
        self.demand += sign * hold.demand
        self.wanted += sign * max(hold.demand * HEADROOM, MIN_RATE)
        self.sharers += sign * (hold.demand >= MIN_SHARE_DEMAND)


class AccountLedger:
    """The shares and the free tokens of one account.

    :param tokens: free tokens at the start.
    """

    def __init__(self, limit: quota.Limit, tokens: float, now: float):
        self.limit = limit
        self.tokens = min(tokens, limit.depth())
        self.updated_at = now
        self.swept_at = now
        self.holds: dict[str, Hold] = {}
        self.totals = Totals()
        # Shares that reports have shown to be held by nobody else.
        self.known_rate = 0.0
        self.known_depth = 0.0
        # The most that nodes may hold which have not reported yet.
        self.unknown = 1.0
        self.free_rate = 0.0
        self.free_depth = 0.0
        # Tokens on the way to a node: until when, and how many.
        self.on_the_way: collections.deque[tuple[float, float]] = collections.deque()
        self.sum_on_the_way = 0.0

    def advance(self, now: float) -> None:
        """Add free tokens for the time since the last call, and drop ended holds."""
        elapsed = max(now - self.updated_at, 0.0)
        self.updated_at = max(now, self.updated_at)
        while self.on_the_way and self.on_the_way[0][0] <= now:
            self.sum_on_the_way -= self.on_the_way.popleft()[1]
        self.tokens += self.free_rate * self.limit.rate * elapsed
        self.cut_tokens()
        if now >= self.swept_at + SWEEP_INTERVAL:
            self.sweep(now)

    def sweep(self, now: float) -> None:
        """Drop the holds that have ended, and add up the others afresh."""
        self.swept_at = now
        ended = [name for name, hold in self.holds.items() if hold.expires_at <= now]
        for name in ended:
            del self.holds[name]
        self.totals = Totals()
        for hold in self.holds.values():
            self.totals.add(hold)
        self.sum_on_the_way = sum(amount for _, amount in self.on_the_way)

    def room(self) -> float:
        """Return the most free tokens that there may be."""
        return max(self.free_depth * self.limit.depth() - self.sum_on_the_way, 0.0)

    def cut_tokens(self) -> None:
        """Drop the tokens for which there is no room."""
        self.tokens = min(self.tokens, self.room())

    def recount(self, settled: bool) -> None:
        """Count again what is free. Tokens without room are not dropped yet.

        :param settled: whether all that may be held is known.
        """
        rate = 1.0 if settled else max(self.known_rate, 1.0 - self.unknown)
        depth = 1.0 if settled else max(self.known_depth, 1.0 - self.unknown)
        self.free_rate = max(rate - self.totals.rate, 0.0)
        self.free_depth = max(depth - self.totals.depth, 0.0)

    def apply_limit(self, limit: quota.Limit) -> None:
        """Apply the quota of a newer configuration."""
        if limit != self.limit:
            self.limit = limit
            self.cut_tokens()

    def free(self, node: str) -> None:
        """Drop what a node may hold."""
        hold = self.holds.pop(node, None)
        if hold is not None:
            self.totals.add(hold, -1)

    def hold(self, node: str, hold: Hold) -> None:
        """Record what a node may hold."""
        self.free(node)
        self.holds[node] = hold
        self.totals.add(hold)

    def grant(
        self, node: str, entry: quota.Entry, settled: bool, now: float
    ) -> quota.Grant:
        """Return what a node gets, and count it as held."""
        expires_at = now + quota.SHARE_LIFETIME
        hold = Hold(entry.rate, entry.depth, entry.demand, expires_at)
        self.hold(node, hold)
        self.recount(settled)
        spare_depth = self.free_depth + hold.depth - DEPTH_RESERVE
        spare_rate = self.free_rate + hold.rate - (1 - self.rate_budget())
        depth = max(min(self.target_depth(hold), spare_depth), 0.0)
        rate = max(min(self.target_rate(hold), spare_rate), 0.0)
        if depth * self.limit.depth() < 1 - token_bucket.ROUNDING:
            # Such a bucket admits nothing.
            depth = rate = 0.0
        most_rate = max(rate, entry.rate)
        most_depth = max(depth, entry.depth)
        self.hold(node, Hold(most_rate, most_depth, entry.demand, expires_at))
        self.recount(settled)
        tokens = self.take_tokens(entry, depth, now)
        self.cut_tokens()
        own = min(entry.tokens, depth * self.limit.depth())
        wait = self.wait(entry.waiting - own - tokens)
        if not most_depth and entry.demand < MIN_DEMAND:
            self.free(node)
        settling = not settled and wait > 0
        return quota.Grant(entry.account, rate, depth, tokens, wait, settling)

    def rate_budget(self) -> float:
        """Return the part of the rate, 0 to 1, that is divided into shares."""
        load = self.totals.demand / self.limit.rate
        return min(max(load, 1 - LOW_RATE_RESERVE), 1 - RATE_RESERVE)

    def deserves_share(self, hold: Hold) -> bool:
        """Return whether a node has enough demand for a share.

        More is needed if there are too many nodes to give each some depth.
        """
        budget = self.limit.depth() * (1 - DEPTH_RESERVE)
        crowded = self.totals.sharers * CROWDED_DEPTH > budget
        return hold.demand >= (CROWDED_SHARE_DEMAND if crowded else MIN_SHARE_DEMAND)

    def target_rate(self, hold: Hold) -> float:
        """Return the share of the rate that a node should have."""
        if not self.deserves_share(hold):
            return 0.0
        budget = self.limit.rate * self.rate_budget()
        wanted = hold.demand * HEADROOM
        if self.totals.wanted <= budget:
            return max(wanted, MIN_RATE) / self.limit.rate
        total = self.totals.demand * HEADROOM
        return wanted * min(budget / total, 1.0) / self.limit.rate

    def target_depth(self, hold: Hold) -> float:
        """Return the share of the depth that a node should have.

        Each node gets at least one token if that fits. Otherwise the nodes that cannot
        have one by their demand get one in the order in which they ask, as long as
        enough is left for the others.
        """
        if not self.deserves_share(hold):
            return 0.0
        whole = self.limit.depth()
        budget = whole * (1 - DEPTH_RESERVE)
        most = 1 + DEPTH_SECONDS * HEADROOM * hold.demand
        fraction = hold.demand / self.totals.demand
        part = budget * fraction
        if self.totals.sharers <= budget:
            part = 1 + (budget - self.totals.sharers) * fraction
        if part >= 1:
            return min(part, most) / whole
        others = (self.totals.depth - hold.depth) * whole
        return 1 / whole if others + 1 <= budget * SMALL_PART else 0.0

    def take_tokens(self, entry: quota.Entry, depth: float, now: float) -> float:
        """Return free tokens for waiting requests, and for the node's bucket."""
        room = depth * self.limit.depth()
        own = min(entry.tokens, room)
        served = min(entry.waiting, int(own + self.tokens + token_bucket.ROUNDING))
        taken = min(max(served - own, 0.0), self.tokens)
        left = self.tokens - taken
        spare = left - self.room()  # would be dropped as the share has grown
        if served == entry.waiting and self.totals.demand < self.limit.rate:
            kept = self.free_depth * self.limit.depth() * STOCK_KEPT
            spare = max(spare, (left - kept) * STOCK_PART)
        taken += max(min(room - own, spare), 0.0)
        if taken:
            self.tokens = max(self.tokens - taken, 0.0)
            self.on_the_way.append((now + quota.TOKENS_LIFETIME, taken))
            self.sum_on_the_way += taken
        return taken

    def wait(self, lacking: float) -> float:
        """Return the seconds in which a node cannot get more tokens.

        :param lacking: waiting requests that got no token.
        """
        if lacking <= token_bucket.ROUNDING:
            return 0.0
        ratio = self.totals.demand / self.limit.rate
        if ratio >= 1:
            return EXHAUSTED_WAIT * (1 + min(ratio, MAX_DEMAND_RATIO))
        refill = self.free_rate * self.limit.rate
        return min(max(1 / refill, MIN_WAIT), EXHAUSTED_WAIT) if refill else MIN_WAIT

    def is_tight(self) -> bool:
        """Return whether others need what a node does not use."""
        return self.totals.demand > self.limit.rate * TIGHT_LOAD
