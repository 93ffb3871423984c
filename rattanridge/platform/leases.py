"""Leases with fencing, by conditional updates of ``leases/<role>``.

The holder counts the term from its monotonic clock before the renewing write
was sent, and stops on its own before the term ends. Others take over only
after they saw the version unchanged for a whole term by their own clock.
"""

import dataclasses
import random

from rattanridge.kernel import clock, codes, log
from rattanridge.platform import client, objects

SAFETY = 0.8  # fraction of the term after which the holder stops by itself
RENEW = 0.3  # fraction of the term after which the holder renews


@dataclasses.dataclass(slots=True)
class Seen:
    """A lease's version and when this node first saw it, by its own clock."""

    version: int
    since: float
    value: objects.LeaseValue


class Lease:
    """One node's view of one role's lease.

    :param platform: the platform's client.
    :param role: the role's name.
    :param holder: this node's name.
    :param address: this node's control address.
    :param term: seconds.
    """

    def __init__(
        self,
        platform: client.Client,
        role: str,
        holder: str,
        address: str,
        term: float,
        time: clock.Clock | None = None,
    ):
        self.platform = platform
        self.role = role
        self.key = f"leases/{role}"
        self.holder = holder
        self.address = address
        self.term = term
        self.time = time or clock.Clock()
        self.log = log.Log("lease", holder)
        self.epoch = 0
        self.version = 0
        self.expires = float("-inf")
        self.seen: Seen | None = None

    def held(self) -> bool:
        """Whether this node may act in the role now."""
        return self.time.monotonic() < self.expires

    async def step(self) -> bool:
        """Renew, or try to acquire; return whether the lease is held."""
        try:
            if self.version and self.held():
                await self.renew()
            else:
                await self.acquire()
        except codes.Failure as failure:
            if failure.code is codes.PLATFORM_CONFLICT:
                self.drop()
            self.log.debug("lease-failed", role=self.role, code=failure.code.number)
        return self.held()

    async def renew(self) -> None:
        renewals = (self.seen.value.renewals if self.seen else 0) + 1
        await self.write(self.epoch, renewals, self.version)

    async def acquire(self) -> None:
        """Take the lease if it is free or was unchanged for a whole term."""
        stored = await self.platform.find(self.key)
        if stored is None:
            await self.write(1, 0, 0)
            return
        value = client.value_of(stored, objects.LeaseValue)
        if self.seen is None or self.seen.version != stored.version:
            self.seen = Seen(stored.version, self.time.monotonic(), value)
        unchanged = self.time.monotonic() - self.seen.since
        own = stored.version == self.version
        if own or not value.holder or unchanged >= max(value.term, self.term):
            await self.write(value.epoch + 1, 0, stored.version)

    async def write(self, epoch: int, renewals: int, if_version: int) -> None:
        """Write the lease in this node's name; the term starts before sending."""
        sent = self.time.monotonic()
        value = objects.LeaseValue(
            self.holder, self.address, epoch, self.term, renewals
        )
        stored = await self.platform.put(self.key, value, if_version)
        taken = self.epoch != epoch
        self.epoch = epoch
        self.version = stored.version
        self.seen = Seen(stored.version, sent, value)
        self.expires = sent + self.term * SAFETY
        if taken:
            self.log.info("lease-taken", role=self.role, epoch=epoch)

    async def release(self) -> None:
        """Give the lease back, so that another node need not wait."""
        if not self.held():
            return
        version, epoch = self.version, self.epoch
        self.drop()
        value = objects.LeaseValue("", "", epoch, self.term)
        try:
            await self.platform.put(self.key, value, version)
        except codes.Failure as failure:
            self.log.info("lease-not-released", role=self.role, why=str(failure))

    def drop(self) -> None:
        """Stop acting in the role at once."""
        if self.version:
            self.log.info("lease-dropped", role=self.role, epoch=self.epoch)
        self.version = 0
        self.expires = float("-inf")

    def pause(self) -> float:
        """Return the seconds to wait before the next step, with jitter."""
        if self.held():
            return self.term * RENEW
        return self.term * random.uniform(0.3, 0.5)
