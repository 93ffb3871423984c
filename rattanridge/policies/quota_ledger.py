"""The allocator's ledger: which node may hold which share. Needs no network.

The ledger counts what may still be held: of each node the larger of what it reported
and what it was granted since, until it reports again or the grant has ended. It grants
only what is certainly free. What is free is a bucket of its own, whose tokens serve
requests that cannot wait for a share.

Addresses demand that moves between 88 nodes, accounts that are too small to be divided
among all nodes that serve them, and allocators that die while shares are held.
"""

import collections.abc
import dataclasses

from rattanridge.policies import quota, quota_account

CONFIRM_INTERVAL = 0.5  # seconds to the report that frees what others need


@dataclasses.dataclass(slots=True)
class Reporter:
    """The last report of a node.

    :param incarnation: of its process.
    :param sequence: number of the report.
    """

    incarnation: int
    sequence: int


# By node and account: the largest share that the node may hold, 0 to 1.
Bounds = dict[str, dict[str, float]]
BOUND_STEPS = (0.03, 0.06, 0.12, 0.25, 0.5, 1.0)
DEFAULT_BOUND = BOUND_STEPS[0]  # of a share that is not named


def bound_of(hold: quota_account.Hold) -> float:
    """Return the step that bounds what a node may hold of an account."""
    share = max(hold.rate, hold.depth)
    return next((step for step in BOUND_STEPS if share <= step), 1.0)


class Ledger:
    """The shares of all accounts, as one allocator grants them in its term.

    :param settled_at: when the last grant of the former term has ended.
    :param unheard: nodes that may hold grants of a former term.
    :param bounds: what these may hold at most; None if that is unknown.
    """

    def __init__(
        self,
        settled_at: float,
        unheard: collections.abc.Collection[str] = (),
        bounds: Bounds | None = None,
    ):
        self.settled_at = settled_at
        self.unheard = set(unheard)
        self.former_bounds = bounds
        self.accounts: dict[str, quota_account.AccountLedger] = {}
        self.reporters: dict[str, Reporter] = {}

    def is_settled(self, now: float) -> bool:
        """Return whether all that may be held is known."""
        if self.unheard and now < self.settled_at:
            return False
        if self.unheard:
            self.unheard.clear()
        # Tokens of all accounts grow from this moment on.
        self.settled_at = min(self.settled_at, now)
        return True

    def record_report(self, node: str, incarnation: int, sequence: int) -> bool:
        """Record a report; return False if it is older than one that has come before.

        A new incarnation frees what the former process held.
        """
        known = self.reporters.get(node)
        if known is not None:
            if (incarnation, sequence) <= (known.incarnation, known.sequence):
                return False
            if incarnation > known.incarnation:
                for account in self.accounts.values():
                    account.free(node)
        self.reporters[node] = Reporter(incarnation, sequence)
        return True

    def is_known(self, node: str, incarnation: int) -> bool:
        """Return whether a process of a node, or a later one, has reported."""
        return self.incarnation_of(node) >= incarnation

    def incarnation_of(self, node: str) -> int:
        """Return the highest incarnation of a node that has reported."""
        known = self.reporters.get(node)
        return known.incarnation if known is not None else 0

    def answer(
        self,
        node: str,
        incarnation: int,
        sequence: int,
        entries: list[quota.Entry],
        full: bool,
        now: float,
    ) -> list[quota.Grant] | None:
        """Return the grants for a report; None if a newer one has come before.

        :param full: whether the entries tell all that the node holds; they must if the
            node is not known yet (``is_known``), else None is returned.
        """
        if not full and not self.is_known(node, incarnation):
            return None
        first = node not in self.reporters
        if not self.record_report(node, incarnation, sequence):
            return None
        for entry in entries:
            account = self.account_of(entry, now)
            account.advance(now)
            if first:
                account.known_rate = min(account.known_rate + entry.rate, 1.0)
                account.known_depth = min(account.known_depth + entry.depth, 1.0)
        self.unheard.discard(node)
        settled = self.is_settled(now)
        if not settled:
            for entry in entries:
                self.accounts[entry.account].unknown = self.unknown(entry.account)
        return [
            self.accounts[entry.account].grant(node, entry, settled, now)
            for entry in entries
        ]

    def unknown(self, account: str) -> float:
        """Return the most that nodes may hold which have not reported yet."""
        bounds = self.former_bounds
        if bounds is None:
            return 1.0
        return sum(
            bounds.get(node, {}).get(account, DEFAULT_BOUND) for node in self.unheard
        )

    def bounds(self) -> Bounds:
        """Return what the nodes may hold, without what ``DEFAULT_BOUND`` covers."""
        found: Bounds = {}
        former = self.former_bounds or {}
        for node in self.unheard.intersection(former):
            found[node] = dict(former[node])
        for name, account in self.accounts.items():
            for node, hold in account.holds.items():
                bound = bound_of(hold)
                if bound > DEFAULT_BOUND:
                    found.setdefault(node, {})[name] = bound
        return found

    def is_within(self, node: str, entries: list[quota.Entry], bounds: Bounds) -> bool:
        """Return whether a node holds no more of some accounts than bounds allow."""
        known = bounds.get(node, {})
        for entry in entries:
            hold = self.accounts[entry.account].holds.get(node)
            allowed = known.get(entry.account, DEFAULT_BOUND)
            if hold is not None and bound_of(hold) > allowed:
                return False
        return True

    def account_of(self, entry: quota.Entry, now: float) -> quota_account.AccountLedger:
        """Return the ledger of an account, under the quota that the entry names."""
        account = self.accounts.get(entry.account)
        if account is None:
            settled = self.is_settled(now)
            tokens = entry.limit.rate * (now - self.settled_at) if settled else 0.0
            account = quota_account.AccountLedger(entry.limit, tokens, now)
            account.recount(settled)
            self.accounts[entry.account] = account
        account.apply_limit(entry.limit)
        return account

    def interval(self, entries: list[quota.Entry], grants: list[quota.Grant]) -> float:
        """Return the seconds until a node should report again.

        A node that holds less than before must confirm it before others get it.
        """
        for entry, grant in zip(entries, grants, strict=True):
            least = 1 - quota.DEMAND_CHANGE
            shrunk = (
                grant.rate < entry.rate * least or grant.depth < entry.depth * least
            )
            if shrunk and self.accounts[entry.account].is_tight():
                return CONFIRM_INTERVAL
        return quota.REPORT_INTERVAL

    def holders(self, now: float) -> set[str]:
        """Return the nodes that may hold a share, of this term or a former one."""
        found = set() if self.is_settled(now) else set(self.unheard)
        for account in self.accounts.values():
            account.advance(now)
            account.sweep(now)
            found.update(account.holds)
        return found
