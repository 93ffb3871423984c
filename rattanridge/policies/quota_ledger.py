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


class Ledger:
    """The shares of all accounts, as one allocator grants them in its term.

    :param settled_at: when the last grant of the former term has ended.
    :param unheard: nodes that may hold grants of a former term.
    """

    def __init__(
        self, settled_at: float, unheard: collections.abc.Collection[str] = ()
    ):
        self.settled_at = settled_at
        self.unheard = set(unheard)
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
        return [
            self.accounts[entry.account].grant(node, entry, settled, now)
            for entry in entries
        ]

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
