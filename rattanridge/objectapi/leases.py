"""Leases with fencing, by conditional updates of ``leases/<role>``.

The holder counts the term from its monotonic clock before the renewing write
was sent, and stops on its own before the term ends. Others take over only
after they saw the version unchanged for a whole term by their own clock. A
write whose answer was lost is known again by its write id.
"""

import dataclasses
import random
import uuid

from rattanridge.kernel import clock, codes, log
from rattanridge.objectapi import client, objects

SAFETY = 0.8  # fraction of the term after which the holder stops by itself
RENEW = 0.3  # fraction of the term after which the holder renews
ATTEMPTS_KEPT = 8  # writes of unknown outcome that are remembered


@dataclasses.dataclass(slots=True)
class Seen:
    """A lease's version and when this node first saw it, by its own clock."""

    version: int
    since: float
    value: objects.LeaseValue


@dataclasses.dataclass(slots=True)
class Attempt:
    """A write that may have taken effect or may still do so."""

    sent: float
    value: objects.LeaseValue


class Lease:
    """One node's view of one role's lease.

    :param platform: the platform's client.
    :param role: the role's name.
    :param holder: this node's name.
    :param address: this node's control address.
    :param term: seconds.

    ``given_back`` tells whether the holder before this node left as planned.
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
        self.attempts: dict[str, Attempt] = {}
        self.given_back = False

    def held(self) -> bool:
        """Whether this node may act in the role now."""
        return self.time.monotonic() < self.expires

    def taken(self) -> bool:
        """Whether another node was seen as the holder."""
        return self.seen is not None and self.seen.value.holder not in ("", self.holder)

    def vacant(self) -> bool:
        """Whether the lease may be taken, by what was observed so far."""
        if self.seen is None or not self.seen.value.holder:
            return True
        term = max(self.seen.value.term, self.term)
        return self.time.monotonic() - self.seen.since >= term

    async def step(self) -> bool:
        """Renew, or try to acquire; return whether the lease is held."""
        try:
            if self.version and self.held():
                await self.renew()
            else:
                await self.acquire()
        except codes.Failure as failure:
            self.log.debug("lease-failed", role=self.role, code=failure.code.number)
            if failure.code is codes.PLATFORM_CONFLICT:
                await self.check_conflict()
        return self.held()

    async def check_conflict(self) -> None:
        """After a conflict look who wrote: an own lost write is no loss."""
        try:
            stored = await self.platform.find(self.key)
        except codes.Failure:
            self.drop()
            return
        if stored is None or not self.recognise(stored):
            self.drop()
            if stored is not None:
                self.observe(stored)

    async def renew(self) -> None:
        renewals = (self.seen.value.renewals if self.seen else 0) + 1
        await self.write(self.epoch, renewals, self.version)

    async def acquire(self) -> None:
        """Take the lease if it is free or was unchanged for a whole term."""
        stored = await self.platform.find(self.key)
        if stored is None:
            self.seen = None
            await self.write(1, 0, 0)
            return
        own = self.recognise(stored)
        if self.held():
            return
        self.observe(stored)
        self.given_back = not self.seen.value.holder
        if own or stored.version == self.version or self.vacant():
            await self.write(self.seen.value.epoch + 1, 0, stored.version)

    def observe(self, stored: objects.Stored) -> None:
        """Note a version of the lease that was read, and when it was first seen."""
        if self.seen is not None and self.seen.version >= stored.version:
            return
        value = client.value_of(stored, objects.LeaseValue)
        self.seen = Seen(stored.version, self.time.monotonic(), value)

    def recognise(self, stored: objects.Stored) -> bool:
        """Take over an own write whose answer was lost, from when it was sent."""
        attempt = self.attempts.get(stored.write_id)
        if attempt is None:
            return False
        self.take(stored.version, attempt)
        return True

    async def write(self, epoch: int, renewals: int, if_version: int) -> None:
        """Write the lease in this node's name; the term starts before sending."""
        value = objects.LeaseValue(
            self.holder, self.address, epoch, self.term, renewals
        )
        attempt = Attempt(self.time.monotonic(), value)
        write_id = uuid.uuid4().hex
        self.attempts[write_id] = attempt
        while len(self.attempts) > ATTEMPTS_KEPT:
            del self.attempts[next(iter(self.attempts))]
        try:
            stored = await self.platform.put(self.key, value, if_version, write_id)
        except codes.Failure as failure:
            # After any other failure the write may still take effect.
            if failure.code is codes.PLATFORM_CONFLICT:
                self.attempts.pop(write_id, None)
            raise
        self.take(stored.version, attempt)

    def take(self, version: int, attempt: Attempt) -> None:
        """Count the term of a write that took effect."""
        begun = self.epoch != attempt.value.epoch or not self.version
        self.epoch = attempt.value.epoch
        self.version = version
        self.seen = Seen(version, attempt.sent, attempt.value)
        self.expires = attempt.sent + self.term * SAFETY
        self.attempts.clear()
        if begun:
            self.log.info("lease-taken", role=self.role, epoch=self.epoch)

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
        self.attempts.clear()

    def pause(self) -> float:
        """Return the seconds to wait before the next step, with jitter."""
        if self.held():
            return self.term * RENEW
        return self.term * random.uniform(0.3, 0.5)
