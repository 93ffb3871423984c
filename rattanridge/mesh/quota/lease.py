"""The lease of the allocator: an object in the store that names one node.

The holder writes the object on condition of its revision, and may grant shares for a
while after it has sent a write that succeeded. Another node takes over once it has seen
the object unchanged for longer than that. The object names the nodes that may hold
shares, so that the next holder knows from whom it has to hear.
"""

import collections.abc

import msgspec

from rattanridge.kernel import codes, untrusted_json
from rattanridge.platform import store as stores
from rattanridge.policies import quota, quota_ledger

KIND = "quota"
DURATION = 3.0  # seconds from the begin of a write for which the lease is valid
MARGIN = 0.5  # seconds after that until another node takes over
RANK_DELAY = 0.3  # seconds added for each rank
MAX_RANK = 10  # the ranks beyond take over at the same time
UNKNOWN_NODE = ""  # stands for nodes that may hold shares and that nothing names


class Lease(msgspec.Struct, omit_defaults=True):
    """The object in the store.

    :param holder: name of the node that allocates.
    :param address: at which it accepts calls of other nodes.
    :param term: increases with each holder.
    :param incarnation: of the holder's process.
    :param turn: increases with each write.
    :param members: nodes that may hold shares.
    :param bounds: what they may hold at most.
    :param released: whether the holder has stopped allocating.
    """

    holder: str
    address: str
    term: int
    incarnation: int
    turn: int = 0
    members: list[str] = []
    bounds: quota_ledger.Bounds = {}
    released: bool = False


class LeaseKeeper:
    """Reads, takes and renews the lease of one partition for one node.

    :param object_name: name of the object in the store.
    :param incarnation: of the node's process.
    :param rank: returns the node's rank among those that may take over; 0 is the first.
    :param now: returns the seconds of a clock that runs while the host is suspended.
    """

    def __init__(
        self,
        object_name: str,
        name: str,
        address: str,
        incarnation: int,
        store: stores.Store,
        rank: collections.abc.Callable[[], int],
        now: collections.abc.Callable[[], float],
    ):
        self.object_name = object_name
        self.name = name
        self.address = address
        self.incarnation = incarnation
        self.store = store
        self.rank = rank
        self.now = now
        self.known: Lease | None = None
        self.revision = 0
        self.seen_at = float("-inf")
        self.highest_term = 0
        # Term and turn of a lease that has ended, as its holder has said.
        self.ended = (-1, -1)
        # The lease that this process holds, and when it is valid.
        self.own: Lease | None = None
        self.valid_from = float("inf")
        self.valid_until = float("-inf")

    def is_valid(self) -> bool:
        """Return whether this node may grant shares."""
        return self.own is not None and self.valid_from <= self.now() < self.valid_until

    def has_ended(self) -> bool:
        """Return whether the own lease has ended and may only be renewed."""
        return self.own is not None and self.now() >= self.valid_until

    async def look(self) -> Lease | None:
        """Read the object; None if there is none.

        Raise a coded failure if the store does not answer.
        """
        item = await self.store.get(KIND, self.object_name)
        if item is None or item.deleted:
            self.known = None
            self.revision = 0
            return None
        if item.revision != self.revision or self.known is None:
            self.seen_at = self.now()
            self.revision = item.revision
            self.known = untrusted_json.decode_or_none(item.spec, Lease)
        if self.known is not None:
            self.observe_term(self.known.term)
        return self.known

    def observe_term(self, term: int) -> None:
        """Record that there has been a term."""
        self.highest_term = max(self.highest_term, term)

    def observe_end(self, term: int, turn: int) -> None:
        """Record that a holder could not renew its lease after a turn.

        It cannot grant again without a write that raises the turn, and another node's
        write comes before that or fails.
        """
        self.ended = (term, turn)

    def may_take(self) -> bool:
        """Return whether this node may take over, by the last look."""
        if self.is_vacant():
            return True
        silence = DURATION + MARGIN + min(self.rank(), MAX_RANK) * RANK_DELAY
        return self.now() > self.seen_at + silence

    def is_vacant(self) -> bool:
        """Return whether no live process holds the lease."""
        lease = self.known
        if lease is None or lease.released or lease.holder == self.name:
            return True
        return (lease.term, lease.turn) == self.ended

    def has_lost_term(self) -> bool:
        """Return whether the store has returned from a copy without the last term."""
        known = self.known.term if self.known is not None else 0
        return self.highest_term > known

    async def take(
        self, members: collections.abc.Collection[str]
    ) -> quota_ledger.Ledger | None:
        """Take the lease; return the ledger of the new term, None if that failed.

        :param members: further nodes that may get shares.
        """
        began_at = self.now()
        lost = self.has_lost_term()
        ledger = self.make_ledger(began_at)
        unheard = ledger.unheard - {UNKNOWN_NODE}
        lease = Lease(
            self.name,
            self.address,
            self.highest_term + 1,
            self.incarnation,
            members=sorted(unheard.union(members)),
            bounds=ledger.bounds(),
        )
        spec = msgspec.json.encode(lease)
        try:
            if self.revision:
                written = await self.store.replace(
                    KIND, self.object_name, spec, self.revision
                )
            else:
                written = await self.store.create(KIND, self.object_name, spec)
        except codes.Failure:
            return None
        # The holder of a term that the store has lost may grant until then.
        self.valid_from = began_at + (DURATION + MARGIN if lost else 0.0)
        self.adopt(lease, written.revision, began_at)
        return ledger

    def make_ledger(self, now: float) -> quota_ledger.Ledger:
        """Return the ledger of a term that begins after the known one."""
        if self.has_lost_term():
            settled_at = now + DURATION + MARGIN + quota.SHARE_LIFETIME
            return quota_ledger.Ledger(settled_at, {UNKNOWN_NODE})
        lease = self.known
        if lease is None:
            return quota_ledger.Ledger(float("-inf"))
        granted_until = now
        if not self.is_vacant():
            granted_until = min(now, self.seen_at + DURATION)
        settled_at = granted_until + quota.SHARE_LIFETIME + MARGIN
        return quota_ledger.Ledger(settled_at, lease.members, lease.bounds)

    def adopt(self, lease: Lease, revision: int, began_at: float) -> None:
        """Record a write of the own lease that succeeded.

        :param began_at: when the write was sent.
        """
        self.own = self.known = lease
        self.revision = revision
        self.seen_at = self.now()
        self.valid_until = began_at + DURATION
        self.observe_term(lease.term)

    async def renew(
        self,
        members: collections.abc.Collection[str],
        bounds: quota_ledger.Bounds,
        released: bool = False,
    ) -> bool:
        """Write the own lease again; return False if another node has taken it.

        As long as nobody has, it may be renewed even after it has ended. Raise a coded
        failure if the store does not answer.
        """
        own = self.own
        if own is None:
            return False
        began_at = self.now()
        lease = msgspec.structs.replace(
            own,
            turn=own.turn + 1,
            members=sorted(members),
            bounds=bounds,
            released=released,
        )
        spec = msgspec.json.encode(lease)
        try:
            written = await self.store.replace(
                KIND, self.object_name, spec, self.revision
            )
        except codes.Failure as failure:
            if failure.code not in (codes.PLATFORM_CONFLICT, codes.PLATFORM_MISSING):
                raise
            return await self.is_still_own(own)
        self.adopt(lease, written.revision, began_at)
        return True

    async def is_still_own(self, own: Lease) -> bool:
        """Read the object after a conflict; return whether it is an own one.

        It is after a write whose answer was lost, or if the store has returned from an
        older copy. The next renewal then goes on from its revision.
        """
        found = await self.look()
        if found is not None and is_same_term(found, own):
            return True
        self.lose()
        return False

    def lose(self) -> None:
        """Stop to hold the lease."""
        self.own = None
        self.valid_until = float("-inf")


def is_same_term(found: Lease, own: Lease) -> bool:
    """Return whether a lease in the store was written in the own term."""
    return (found.holder, found.incarnation, found.term) == (
        own.holder,
        own.incarnation,
        own.term,
    )
