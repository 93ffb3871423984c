"""Counts the nodes that divide a shared allowance. Needs no network.

The nodes do not coordinate the division; each one counts the node names that the
store reports. Together, the nodes never spend more than the allowance within one
span: a node takes a share only once every other node must have seen its name, and it
counts departed nodes for as long as their spending still counts.

This holds when nodes start, stop and restart while some or all of them cannot reach
the store.
"""

import collections.abc

# Seconds without contact to the store after which a node takes no share.
MAX_CONTACT_AGE = 10.0
MAX_STALENESS = 8.0  # seconds by which the names from the store may be out of date


class BudgetNodes:
    """The nodes among which one node divides the allowance.

    All times are in seconds of a single clock that keeps running while the host is
    suspended.

    :param name: the node's own name.
    :param span: seconds within which the spending of two nodes counts together.
    """

    def __init__(self, name: str, span: float):
        self.name = name
        self.set_span(span)
        self.present: set[str] = set()
        self.departed: dict[str, float] = {}
        self.last_contact_at = float("-inf")
        self.listed_since = float("inf")

    def set_span(self, span: float) -> None:
        """Set the span, and derive how long departed nodes are counted."""
        self.retention = span + MAX_CONTACT_AGE + MAX_STALENESS

    def record_contact(self, now: float) -> None:
        """Record that the known names are those of the store."""
        self.last_contact_at = now

    def apply_names(self, names: collections.abc.Collection[str], now: float) -> None:
        """Apply the names of all nodes, as reported by the store."""
        self.record_contact(now)
        present = set(names)
        for name in self.present - present:
            self.departed[name] = now
        if self.name not in present:
            self.listed_since = float("inf")
        elif self.name not in self.present:
            self.listed_since = now
        self.present = present

    def count(self, now: float) -> int:
        """Return the number of nodes to divide by; 0 if this node takes no share."""
        if (
            now - self.last_contact_at > MAX_CONTACT_AGE
            or now - self.listed_since <= self.retention
        ):
            return 0
        expired = [
            name for name, at in self.departed.items() if now - at > self.retention
        ]
        for name in expired:
            del self.departed[name]
        return len(self.present | self.departed.keys())
