"""A node's shares of the accounts' quotas. Needs no network.

Each account has a rate and a burst over all nodes. A node holds a share of both for
each account that it serves, and admits requests from a token bucket of that size. The
allocator (see ``quota_ledger``) never grants shares that add up to more than the whole,
so the sum over all nodes holds whatever messages are lost or delayed.

Addresses 86 accounts on 88 nodes, where a node sees less than one request per second
of a small account, and accounts at 3 to 7 times their usual rate while a third of the
nodes is cut off from the store and the allocator.

All times are in seconds of a clock that keeps running while the host is suspended.
"""

import dataclasses
import math

import msgspec

SHARE_LIFETIME = 15.0  # seconds from the report until the granted shares end
# Seconds from the report until tokens that came with the answer must have arrived. The
# allocator counts them as held for as long.
TOKENS_LIFETIME = 0.25
REPORT_INTERVAL = 4.0  # seconds between two reports while a share is held
MIN_REPORT_INTERVAL = 1.0  # seconds between two reports that no request waits for
FORGET_AFTER = 10.0  # seconds without a request after which a share is given up
DEMAND_SPAN = 3.0  # time constant in seconds of the estimate of the demand
MAX_RETRY_AFTER = 2.0  # seconds that a refused caller is asked to wait at most
MIN_DEMAND_AGE = 1.0  # seconds that a first request counts for at least
DEMAND_CHANGE = 0.2  # relative change of the demand that is reported at once
# The bound for a window of 5 s is 1.1 times (5 x rate + burst) plus 20. Half of that
# tolerance is granted as depth; the other half is left for requests that are delayed
# between their admission and the endpoint.
BURST_FACTOR = 1.05
RATE_SECONDS = 0.25
EXTRA_TOKENS = 10.0
ROUNDING = 1e-9  # requests


class Limit(msgspec.Struct, array_like=True, frozen=True):
    """The quota of one account over all nodes.

    :param rate: requests per second.
    :param burst: requests that may exceed the rate at once.
    """

    rate: float
    burst: float

    def depth(self) -> float:
        """Return the depth in requests of all buckets of the account together."""
        return self.burst * BURST_FACTOR + self.rate * RATE_SECONDS + EXTRA_TOKENS


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """What a node reports of one account.

    :param limit: the account's quota in the node's configuration.
    :param demand: requests per second that arrived, those refused included.
    :param rate: share of the account's rate that the node holds, 0 to 1.
    :param depth: share of the account's depth that the node holds, 0 to 1.
    :param tokens: requests that the node may admit at once.
    :param waiting: requests that wait for the answer.
    """

    account: str
    limit: Limit
    demand: float
    rate: float
    depth: float
    tokens: float
    waiting: int


class Grant(msgspec.Struct, array_like=True, frozen=True):
    """What the allocator answers for one account.

    :param rate: share of the account's rate from now on, 0 to 1.
    :param depth: share of the account's depth from now on, 0 to 1.
    :param tokens: requests that may be admitted beyond the node's own tokens.
    :param wait: seconds in which another report would get no more tokens.
    :param settling: whether the allocator does not know yet what else is free.
    """

    account: str
    rate: float
    depth: float
    tokens: float
    wait: float = 0.0
    settling: bool = False


class Bucket:
    """A token bucket.

    :param rate: requests per second.
    :param depth: requests.
    """

    __slots__ = ("depth", "rate", "tokens", "updated_at")

    def __init__(self) -> None:
        self.rate = 0.0
        self.depth = 0.0
        self.tokens = 0.0
        self.updated_at = float("-inf")

    def advance(self, now: float) -> None:
        """Add the tokens for the time since the last call."""
        if now > self.updated_at:
            if self.rate:
                added = self.rate * (now - self.updated_at)
                self.tokens = min(self.tokens + added, self.depth)
            self.updated_at = now

    def resize(self, rate: float, depth: float, now: float) -> None:
        """Change rate and depth. Tokens beyond the depth are lost, none are added."""
        self.advance(now)
        self.rate = rate
        self.depth = depth
        self.tokens = min(self.tokens, depth)

    def add(self, tokens: float) -> None:
        """Add tokens; those beyond the depth are lost."""
        self.tokens = min(self.tokens + tokens, self.depth)

    def try_take(self, now: float, tokens: float = 1.0) -> bool:
        """Take tokens; return False, and take none, if there are fewer."""
        self.advance(now)
        if self.tokens < tokens - ROUNDING:
            return False
        self.tokens = max(self.tokens - tokens, 0.0)
        return True

    def delay(self, now: float, ahead: int = 0) -> float:
        """Return the seconds until there is a token; infinite if never.

        :param ahead: requests that take a token before.
        """
        self.advance(now)
        lacking = 1 + ahead - self.tokens
        if lacking <= ROUNDING:
            return 0.0
        if not self.rate or self.depth < 1 - ROUNDING:
            return float("inf")
        return lacking / self.rate


class Demand:
    """Estimate of the requests per second, which counts recent requests more.

    The first request only starts it. Counted, it would make one request at each of many
    nodes look like many requests per second.
    """

    __slots__ = ("since", "updated_at", "weight")

    def __init__(self, now: float):
        self.since = now
        self.updated_at = now
        self.weight = -1.0

    def decay(self, now: float) -> None:
        elapsed = max(now - self.updated_at, 0.0)
        if self.weight > 0:
            self.weight *= math.exp(-elapsed / DEMAND_SPAN)
        self.updated_at = max(now, self.updated_at)

    def record(self, now: float) -> None:
        """Record a request."""
        self.decay(now)
        self.weight = self.weight + 1 if self.weight >= 0 else 0.0

    def rate(self, now: float, waiting: int = 0) -> float:
        """Return the requests per second.

        :param waiting: requests that are not counted. An estimate made because a
            request has just come would be too high with it, by as much as all others
            if there are few.
        """
        self.decay(now)
        age = max(now - self.since, MIN_DEMAND_AGE)
        weight = max(self.weight - waiting, 0.0)
        return weight / (DEMAND_SPAN * (1 - math.exp(-age / DEMAND_SPAN)))


@dataclasses.dataclass(slots=True)
class AccountShare:
    """A node's share of one account's quota.

    :param rate: share of the account's rate, 0 to 1.
    :param depth: share of the account's depth, 0 to 1.
    :param expires_at: when the share ends unless it is granted again.
    :param prepaid: tokens from the allocator's own bucket, which do not count against
        the depth and are lost at ``prepaid_until``.
    :param not_before: when another report may get more tokens.
    :param waiting: requests that wait for an answer of the allocator.
    :param promised_at: until when the tokens to come are promised to callers that were
        refused.
    """

    limit: Limit
    demand: Demand
    requested_at: float
    bucket: Bucket = dataclasses.field(default_factory=Bucket)
    rate: float = 0.0
    depth: float = 0.0
    expires_at: float = float("-inf")
    prepaid: float = 0.0
    prepaid_until: float = float("-inf")
    not_before: float = float("-inf")
    settling: bool = False
    waiting: int = 0
    promised_at: float = float("-inf")
    reported_demand: float = 0.0

    def apply_limit(self, limit: Limit, now: float) -> None:
        """Apply the quota of a newer configuration to the bucket."""
        if limit != self.limit:
            self.limit = limit
            self.resize(now)

    def resize(self, now: float) -> None:
        rate = self.rate * self.limit.rate
        self.bucket.resize(rate, self.depth * self.limit.depth(), now)

    def expire(self, now: float) -> None:
        """Give the share up if it has ended."""
        if self.depth and now >= self.expires_at:
            self.give_up(now)

    def give_up(self, now: float) -> None:
        """Give the share up."""
        self.rate = self.depth = 0.0
        self.prepaid = 0.0
        self.resize(now)

    def record_request(self, now: float) -> None:
        """Record that a request has arrived."""
        self.requested_at = now
        self.demand.record(now)

    def try_take(self, now: float) -> bool:
        """Admit one request; return False if the share is used up."""
        self.expire(now)
        prepaid = min(self.prepaid, 1.0) if now < self.prepaid_until else 0.0
        if not self.bucket.try_take(now, 1 - prepaid):
            return False
        self.prepaid -= prepaid
        return True

    def apply(self, grant: Grant, sent_at: float, now: float) -> None:
        """Apply a grant.

        :param sent_at: when the report was sent that it answers.
        """
        if now >= sent_at + SHARE_LIFETIME:
            return
        self.rate = grant.rate
        self.depth = grant.depth
        self.expires_at = sent_at + SHARE_LIFETIME
        self.resize(now)
        self.not_before = now + grant.wait
        self.settling = grant.settling
        if now < sent_at + TOKENS_LIFETIME:
            self.prepaid = min(grant.tokens, float(self.waiting))
            self.prepaid_until = sent_at + TOKENS_LIFETIME
            self.bucket.add(grant.tokens - self.prepaid)

    def is_idle(self, now: float) -> bool:
        """Return whether no request has come for a while."""
        return not self.waiting and now >= self.requested_at + FORGET_AFTER

    def has_grown(self, now: float) -> bool:
        """Return whether the demand has grown since the report, beyond chance."""
        known = self.reported_demand
        noise = math.sqrt(known / DEMAND_SPAN)
        return self.demand.rate(now) > known * (1 + DEMAND_CHANGE) + noise

    def delay(self, now: float, ahead: int = 0) -> float:
        """Return the seconds until there may be a token, of its own or of a report.

        :param ahead: requests that waited before.
        """
        return min(self.bucket.delay(now, ahead), max(self.not_before - now, 0.0))

    def retry_after(self, now: float) -> float:
        """Return the seconds after which a refused request is likely to be admitted.

        Callers that are refused one after another get times that follow each other, as
        otherwise all but the first of them would be refused again.
        """
        latest = now + MAX_RETRY_AFTER
        earliest = min(max(now + self.delay(now), self.promised_at), latest)
        self.promised_at = earliest + 1 / (self.bucket.rate or self.limit.rate)
        return earliest - now

    def entry(self, account: str, now: float) -> Entry:
        """Return what to report, and remember it."""
        self.expire(now)
        self.bucket.advance(now)
        self.reported_demand = self.demand.rate(now, self.waiting)
        return Entry(
            account,
            self.limit,
            round(self.reported_demand, 3),
            self.rate,
            self.depth,
            round(self.bucket.tokens, 3),
            self.waiting,
        )


class NodeShares:
    """All shares of one node, and what it reports.

    :param incarnation: of the node's process; higher than those of earlier ones.

    ``term`` is the highest term of an allocator that has answered. Only the answer to
    the last report is applied, so that the next report tells what is held for certain.
    """

    def __init__(self, incarnation: int):
        self.incarnation = incarnation
        self.accounts: dict[str, AccountShare] = {}
        self.term = 0
        self.sequence = 0
        self.sent_at = float("-inf")
        self.in_flight = False
        self.interval = REPORT_INTERVAL

    def share_of(self, account: str, limit: Limit, now: float) -> AccountShare:
        """Return the share of an account, under the limit in force."""
        share = self.accounts.get(account)
        if share is None:
            share = AccountShare(limit, Demand(now), now)
            self.accounts[account] = share
        share.apply_limit(limit, now)
        return share

    def report(self, now: float) -> list[Entry]:
        """Return the entries of the next report, which replaces the one in flight."""
        self.sequence += 1
        self.sent_at = now
        self.in_flight = True
        for share in self.accounts.values():
            if share.is_idle(now):
                share.give_up(now)
        return [share.entry(name, now) for name, share in self.accounts.items()]

    def apply(
        self,
        sequence: int,
        term: int,
        grants: list[Grant],
        interval: float,
        now: float,
    ) -> bool:
        """Apply the answer to a report; return False if it is not the last one.

        :param interval: seconds until the next report is wanted.
        """
        if not self.in_flight or sequence != self.sequence or term < self.term:
            return False
        self.in_flight = False
        self.term = term
        self.interval = min(interval, REPORT_INTERVAL)
        for grant in grants:
            share = self.accounts.get(grant.account)
            if share is not None:
                share.apply(grant, self.sent_at, now)
        self.forget_idle(now)
        return True

    def abandon(self) -> None:
        """Give up waiting for the answer to the last report."""
        self.in_flight = False
        self.interval = REPORT_INTERVAL

    def forget_idle(self, now: float) -> None:
        """Forget the accounts whose shares have been given up."""
        idle = [
            name
            for name, share in self.accounts.items()
            if not share.depth and share.is_idle(now)
        ]
        for name in idle:
            del self.accounts[name]

    def renew_incarnation(self, known: int, now: float) -> None:
        """Take a higher incarnation than one that the allocator knows.

        The clock of the host may have been set back since the process before this one.
        """
        for share in self.accounts.values():
            share.give_up(now)
        self.incarnation = max(self.incarnation, known + 1)

    def due_at(self) -> float:
        """Return when the next report is due that no request waits for."""
        if not self.accounts:
            return float("inf")
        return self.sent_at + self.interval
