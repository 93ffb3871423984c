"""Among how many nodes one node divides what all of them share. Needs no network.

Nodes do not talk about it; each goes by the names that the store tells. The parts of
all nodes that spend within one span never exceed the whole: a node takes a part only
when every other one must know of it, and counts those that left for as long as what
they spent still counts.

Answers this load: nodes that start, end and start again while the store can't be asked
by some of them, or by any.
"""

import collections.abc

FRESH = 10.0  # seconds since the store was heard after which a node takes no part
STALE = 8.0  # seconds that what the store tells may be behind


class BudgetNodes:
    """The nodes among which one node divides.

    All times are seconds of one clock that does not stand still while the host is
    suspended.

    :param name: the node's own name.
    :param span: seconds within which what two nodes spend counts together.
    """

    def __init__(self, name: str, span: float):
        self.name = name
        self.set_span(span)
        self.present: set[str] = set()
        self.left: dict[str, float] = {}
        self.heard_at = float("-inf")
        self.listed_since = float("inf")

    def set_span(self, span: float) -> None:
        """Take over another span."""
        self.retention = span + FRESH + STALE

    def record_contact(self, now: float) -> None:
        """The store answered; what is known was true a short time ago."""
        self.heard_at = now

    def apply_names(self, names: collections.abc.Collection[str], now: float) -> None:
        """Take over the names of all nodes, as the store tells them."""
        self.record_contact(now)
        present = set(names)
        for name in self.present - present:
            self.left[name] = now
        if self.name not in present:
            self.listed_since = float("inf")
        elif self.name not in self.present:
            self.listed_since = now
        self.present = present

    def count(self, now: float) -> int:
        """Return among how many nodes to divide; 0 if this one takes no part."""
        if now - self.heard_at > FRESH or now - self.listed_since <= self.retention:
            return 0
        gone = [name for name, at in self.left.items() if now - at > self.retention]
        for name in gone:
            del self.left[name]
        return len(self.present | self.left.keys())
