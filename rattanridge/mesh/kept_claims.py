"""Claims that this node holds, to write them again if the store has lost them."""

import asyncio
import dataclasses

from rattanridge.kernel import codes
from rattanridge.mesh import claim as claiming, events
from rattanridge.platform import store as stores

KIND = "claims"
MAX_AGE = 60.0  # seconds; copies that a store returns from are not as old
MAX_CLAIMS = 4096
# Seconds after a return of the store in which no claim is granted: until the other
# nodes have heard of it, and have written their claims again.
SETTLING_TIME = 3.0


@dataclasses.dataclass(slots=True)
class KeptClaim:
    """A claim that was written.

    :param at: monotonic seconds of the write.
    """

    claim: claiming.Claim
    at: float


class KeptClaims:
    """The claims that this node has written lately."""

    def __init__(self, store: stores.Store, log: events.Events):
        self.store = store
        self.log = log
        self.claims: dict[str, KeptClaim] = {}
        self.settled_at = float("-inf")

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def record(self, name: str, claim: claiming.Claim) -> None:
        """Keep a claim that was written; forget those that are too old or too many."""
        self.claims.pop(name, None)
        self.claims[name] = KeptClaim(claim, self.now())
        while len(self.claims) > MAX_CLAIMS or self.oldest_at() < self.now() - MAX_AGE:
            del self.claims[next(iter(self.claims))]

    def oldest_at(self) -> float:
        """Return when the oldest kept claim was written."""
        return next(iter(self.claims.values())).at

    def forget(self, name: str) -> None:
        """Forget a claim that was withdrawn."""
        self.claims.pop(name, None)

    def begin_settling(self) -> None:
        """Grant no claim for a while: the store has returned from an older copy."""
        self.settled_at = self.now() + SETTLING_TIME

    def is_settling(self) -> bool:
        """Return whether claims that the store has lost may still be missing."""
        return self.now() < self.settled_at

    async def wait_settled(self) -> None:
        """Wait until claims may be granted again."""
        while self.is_settling():
            await asyncio.sleep(self.settled_at - self.now())

    async def write_again(self) -> None:
        """Write all kept claims that the store has lost."""
        for name, kept in list(self.claims.items()):
            try:
                await self.write_one(name, kept.claim)
            except codes.Failure as failure:
                self.log.note(
                    "claim-not-written-again", claim=name, code=failure.code.number
                )

    async def write_one(self, name: str, claim: claiming.Claim) -> None:
        """Create a claim, or replace an earlier state of it."""
        data = claiming.encode(claim)
        try:
            await self.store.create(KIND, name, data)
        except codes.Failure as failure:
            if failure.code is not codes.PLATFORM_CONFLICT:
                raise
            stored = await self.store.get(KIND, name)
            if stored is None:
                return
            known = claiming.decode(stored.spec)
            if known is not None and known.sending == claim.sending:
                await self.store.replace(KIND, name, data, stored.revision)
