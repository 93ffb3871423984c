"""One slice of claims: its content, and its conditional writes to the platform.

The object ``claims/<slice>`` names the owner and holds the newest claims. Older
claims are sealed in immutable objects ``claims/<slice>/<id>`` that the head
lists, so that a write stays small. A write succeeds only on the version that
this process knows: that is claim, change of owner and fence in one.
"""

import collections
import uuid

import msgspec

from rattanridge.calls import claimed
from rattanridge.kernel import clock, codes, log, settings
from rattanridge.objectapi import client, objects

CLAIM_BYTES = 64  # of one claim in JSON
SEAL_BYTES = 32_000  # of claims in a head before they are sealed
OUTCOMES_KEPT = 4096


class Slice:
    """One slice as one process knows it.

    :param number: the slice's number.
    :param platform: the platform's client.
    :param config: the node's settings.
    :param owner: name and incarnation of this process.
    :param address: control address of this process.
    """

    def __init__(
        self,
        number: int,
        platform: client.Client,
        config: settings.NodeSettings,
        owner: str,
        address: str,
        time: clock.Clock,
    ):
        self.key = f"claims/{number:07}"
        self.platform = platform
        self.settings = config.claims
        self.owner = owner
        self.address = address
        self.time = time
        self.log = log.Log("slice", config.name)
        self.version = 0
        self.head = claimed.Head()
        self.claims: dict[str, claimed.Claim] = {}
        self.recent: dict[str, claimed.Claim] = {}
        self.settled: dict[str, claimed.Claim] = {}
        # What entries told of attempts, also of those not (yet) seen here.
        self.outcomes: collections.OrderedDict[str, claimed.State] = (
            collections.OrderedDict()
        )
        self.orphans: list[objects.Stored] = []
        self.held = False

    def foreign(self) -> bool:
        """Whether another process owned the slice at the last load."""
        return bool(self.head.owner) and self.head.owner != self.owner

    def alive(self, ends: int) -> bool:
        return ends + self.settings.keep > self.time.wall()

    def find(self, key: str) -> claimed.Claim | None:
        """Return the claim of a key, unless it is over."""
        claim = self.claims.get(key)
        return claim if claim is not None and self.alive(claim.ends) else None

    def used(self) -> int:
        """Return the bytes of claims in the platform that are not over."""
        sealed = sum(item.size for item in self.head.segments if self.alive(item.ends))
        recent = sum(self.alive(claim.ends) for claim in self.recent.values())
        return sealed + recent * CLAIM_BYTES

    async def load(self) -> None:
        """Learn the slice's content and owner.

        One call for the head if it is unchanged, else one more for the whole.
        """
        if self.version and await self.unchanged():
            return
        listing = await self.platform.list(self.key)
        found = {stored.key: stored for stored in listing.objects}
        stored = found.pop(self.key, None)
        head = client.value_of(stored, claimed.Head) if stored else claimed.Head()
        if head.slices not in (0, self.settings.slices):
            detail = f"{self.key} has {head.slices} slices, the settings another number"
            raise codes.Failure(codes.BAD_FIELD, detail)
        claims: dict[str, claimed.Claim] = {}
        for segment in head.segments:
            part = found.pop(segment.name, None)
            if part is None:
                raise codes.Failure(codes.PLATFORM_CONFLICT, segment.name)
            for claim in client.value_of(part, list[claimed.Claim]):
                claims[claim.key] = claim
        self.recent = {claim.key: claim for claim in head.claims}
        self.claims = claims | self.recent
        self.version = stored.version if stored else 0
        self.head = head
        self.orphans = list(found.values())
        self.held = head.owner == self.owner
        self.apply_outcomes()

    async def unchanged(self) -> bool:
        """Whether the head is still the one known here; then so is all else."""
        stored = await self.platform.find(self.key)
        if stored is None or stored.version != self.version:
            return False
        self.held = self.head.owner == self.owner
        return True

    def apply_outcomes(self) -> None:
        """Apply what entries told while the content was not known here."""
        self.settled = {}
        for claim in list(self.claims.values()):
            told = self.outcomes.get(claim.attempt)
            if told is not None and told is not claim.state:
                self.change(claim, told)

    def settle(self, key: str, attempt: str, state: claimed.State) -> bool:
        """Note what became of an attempt; return whether a claim changed."""
        known = self.outcomes.get(attempt)
        if known in claimed.FREE:
            return False
        self.outcomes[attempt] = state
        while len(self.outcomes) > OUTCOMES_KEPT:
            self.outcomes.popitem(last=False)
        claim = self.claims.get(key)
        if claim is None or claim.attempt != attempt or claim.state is state:
            return False
        return self.change(claim, state)

    def change(self, claim: claimed.Claim, state: claimed.State) -> bool:
        """Give a claim another state, if that state may follow."""
        if not may_follow(claim.state, state):
            return False
        changed = msgspec.structs.replace(claim, state=state)
        self.claims[claim.key] = changed
        self.settled[claim.key] = changed
        return True

    async def commit(self, fresh: list[claimed.Claim], release: bool = False) -> None:
        """Write new claims and changed states in this process's name.

        Raises the platform's failure. After any failure the content is no
        longer held: it must be loaded before the next write.

        :param release: hand the slice over, so that any process may take it.
        """
        self.held = False
        added = {claim.key: claim for claim in fresh}
        recent = self.recent | self.settled | added
        recent = {k: claim for k, claim in recent.items() if self.alive(claim.ends)}
        segments = [item for item in self.head.segments if self.alive(item.ends)]
        written = recent
        if len(recent) * CLAIM_BYTES > SEAL_BYTES:
            segments.append(await self.seal(recent))
            recent = {}
        head = claimed.Head(
            owner="" if release else self.owner,
            address="" if release else self.address,
            epoch=self.head.epoch + (self.head.owner != self.owner),
            slices=self.settings.slices,
            claims=list(recent.values()),
            segments=segments,
        )
        stored = await self.platform.put(self.key, head, self.version)
        self.accept(stored.version, head, written, recent)
        await self.clean()

    def accept(
        self,
        version: int,
        head: claimed.Head,
        written: dict[str, claimed.Claim],
        recent: dict[str, claimed.Claim],
    ) -> None:
        """Take over what a successful write made of the slice."""
        if head.epoch != self.head.epoch:
            self.log.info("slice-taken", slice=self.key, epoch=head.epoch)
        over = [item for item in self.head.segments if item not in head.segments]
        self.orphans += [objects.Stored(item.name, item.version) for item in over]
        if over or len(self.recent) > len(recent):
            self.claims = {
                k: claim for k, claim in self.claims.items() if self.alive(claim.ends)
            }
        # States told while the write was under way stay to be written, but not
        # those of attempts that a new one has replaced.
        self.settled = {
            key: claim
            for key, claim in self.settled.items()
            if later_state(claim, written.get(key))
        }
        self.claims |= written | self.settled
        self.version = version
        self.head = head
        self.recent = recent
        self.held = bool(head.owner)
        for claim in written.values():
            told = self.outcomes.get(claim.attempt, claim.state)
            if told is not claim.state:
                self.change(self.claims[claim.key], told)

    async def seal(self, claims: dict[str, claimed.Claim]) -> claimed.Segment:
        """Write claims to an immutable object; a head must then list it."""
        name = f"{self.key}/{uuid.uuid4().hex}"
        items = list(claims.values())
        size = len(msgspec.json.encode(items))
        stored = await self.platform.put(name, items, 0)
        ends = max(claim.ends for claim in items)
        return claimed.Segment(name, ends, size, stored.version)

    async def clean(self) -> None:
        """Delete sealed objects that the head does not list.

        They were there before the last write succeeded, so that a write of
        another process which would list them can't succeed any more.
        """
        listed = {segment.name for segment in self.head.segments}
        orphans, self.orphans = self.orphans, []
        for stored in orphans:
            if stored.key in listed:
                continue
            try:
                await self.platform.delete(stored.key, stored.version)
            except codes.Failure as failure:
                self.log.debug("not-deleted", key=stored.key, why=str(failure))


def later_state(claim: claimed.Claim, written: claimed.Claim | None) -> bool:
    """Whether a claim is the written one in a later state."""
    same = written is not None and written.attempt == claim.attempt
    return same and may_follow(written.state, claim.state)


def may_follow(old: claimed.State, new: claimed.State) -> bool:
    """Whether a state may follow another; messages may arrive late and crossed."""
    match old:
        case claimed.State.RUNNING:
            return new is not claimed.State.RUNNING
        case claimed.State.UNKNOWN:
            return new in (claimed.State.DONE, claimed.State.CLOSED)
        case claimed.State.DONE:
            return new is claimed.State.CLOSED
    return False
