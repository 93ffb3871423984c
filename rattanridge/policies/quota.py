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

from rattanridge.policies import token_bucket

SHARE_LIFETIME = 15.0  # seconds from the report until the granted shares end
# Seconds from the report until tokens that came with the answer must have arrived. The
# allocator counts them as held for as long.
TOKENS_LIFETIME = 0.25
REPORT_INTERVAL = 4.0  # seconds between two reports while a share is held
MIN_REPORT_INTERVAL = 1.0  # seconds between two reports that no request waits for
SHORT_PART = 0.5  # of the depth below which tokens are asked for with other reports
# Part of the reported demand below which it is reported with other reports.
SHRUNK_DEMAND = 0.7
MIN_SHRUNK = 0.05  # requests per second that the demand must have fallen besides
MANY_ACCOUNTS = 20  # at one node, from which not every report names all
FORGET_AFTER = 10.0  # seconds without a request after which a share is given up
MAX_RETRY_AFTER = 2.0  # seconds that a refused caller is asked to wait at most
DEMAND_CHANGE = 0.2  # relative change of the demand that is reported at once
# The bound for a window of 5 s is 1.1 times (5 x rate + burst) plus 20. Half of that
# tolerance is granted as depth; the other half is left for requests that are delayed
# between their admission and the endpoint.
BURST_FACTOR = 1.05
RATE_SECONDS = 0.25
EXTRA_TOKENS = 10.0


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
    demand: token_bucket.Demand
    requested_at: float
    bucket: token_bucket.Bucket = dataclasses.field(default_factory=token_bucket.Bucket)
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
        noise = math.sqrt(known / token_bucket.DEMAND_SPAN)
        return self.demand.rate(now) > known * (1 + DEMAND_CHANGE) + noise

    def is_short(self, now: float) -> bool:
        """Return whether tokens are needed soon, or the demand has changed."""
        if self.waiting or self.has_grown(now):
            return True
        if self.demand.rate(now) < self.reported_demand * SHRUNK_DEMAND - MIN_SHRUNK:
            return True
        self.bucket.advance(now)
        return self.bucket.tokens < self.bucket.depth * SHORT_PART

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

    A full report names all accounts. It is the first one in each term, and made again
    at the regular interval. Between, a node with many accounts names only those that
    need it.
    """

    def __init__(self, incarnation: int):
        self.incarnation = incarnation
        self.accounts: dict[str, AccountShare] = {}
        self.term = 0
        self.sequence = 0
        self.sent_at = float("-inf")
        self.in_flight = False
        self.interval = REPORT_INTERVAL
        # The last full report that was answered, and whether the last one is full.
        self.full_term = -1
        self.full_at = float("-inf")
        self.full = False

    def share_of(self, account: str, limit: Limit, now: float) -> AccountShare:
        """Return the share of an account, under the limit in force."""
        share = self.accounts.get(account)
        if share is None:
            share = AccountShare(limit, token_bucket.Demand(now), now)
            self.accounts[account] = share
        share.apply_limit(limit, now)
        return share

    def report(self, now: float) -> list[Entry]:
        """Return the entries of the next report, which replaces the one in flight."""
        self.sequence += 1
        self.sent_at = now
        self.in_flight = True
        self.full = (
            len(self.accounts) < MANY_ACCOUNTS
            or self.full_term != self.term
            or now >= self.due_at()
        )
        if not self.full:
            return [
                share.entry(name, now)
                for name, share in self.accounts.items()
                if share.is_short(now)
            ]
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
        if self.full:
            self.full_term = term
            self.full_at = self.sent_at
        for grant in grants:
            share = self.accounts.get(grant.account)
            if share is not None:
                share.apply(grant, self.sent_at, now)
        if self.full:
            self.forget_idle(now)
        return True

    def want_full(self) -> None:
        """Make the next report a full one, as the allocator does not know the node."""
        self.in_flight = False
        self.full_term = -1

    def give_back(self, now: float) -> bool:
        """Give all shares up; return whether there were any."""
        held = [share for share in self.accounts.values() if share.depth]
        for share in held:
            share.give_up(now)
            share.demand = token_bucket.Demand(now)
        self.full_term = -1
        return bool(held)

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
        self.want_full()

    def due_at(self) -> float:
        """Return when the next report is due that no request waits for."""
        if not self.accounts:
            return float("inf")
        return self.full_at + self.interval
