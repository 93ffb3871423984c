"""The allocator: grants shares of quotas while this node has the lease."""

import asyncio
import collections.abc

import msgspec

from rattanridge.kernel import accounts, codes
from rattanridge.mesh import events, peers as forwarders
from rattanridge.mesh.discovery import directory as directories
from rattanridge.mesh.quota import lease as leases, messages
from rattanridge.policies import quota, quota_ledger

RENEW_INTERVAL = 1.0  # seconds
RETRY_DELAY = 0.3  # seconds after a renewal that failed
RELEASE_TIMEOUT = 0.5  # seconds of a shutdown
IDLE_RELEASE = 30.0  # seconds without a report after which the lease is released

Accounts = collections.abc.Callable[[], dict[str, accounts.Account]]
Version = collections.abc.Callable[[], int]


class Allocator:
    """Answers reports of one partition while this node holds its lease.

    :param partition: number of the partition.
    :param current_accounts: returns the accounts of the configuration in force.
    :param version: returns its version.
    """

    def __init__(
        self,
        partition: int,
        keeper: leases.LeaseKeeper,
        directory: directories.Directory,
        peers: forwarders.PeerClient,
        current_accounts: Accounts,
        version: Version,
        log: events.Events,
        meters: events.Meters,
    ):
        self.partition = partition
        self.keeper = keeper
        self.directory = directory
        self.peers = peers
        self.current_accounts = current_accounts
        self.version = version
        self.log = log
        self.meters = meters
        self.ledger: quota_ledger.Ledger | None = None
        self.lock = asyncio.Lock()
        self.started = asyncio.Event()
        self.reported_at = float("-inf")
        self.stopping = False
        # Bounds whose writes were not answered yet, and may still be executed.
        self.unconfirmed: list[quota_ledger.Bounds] = []

    def is_granting(self) -> bool:
        """Return whether this node answers reports."""
        return self.ledger is not None and self.keeper.is_valid()

    async def take(self) -> bool:
        """Take the lease if it may be taken; return whether this node has it."""
        if self.stopping or not self.keeper.may_take():
            return False
        async with self.lock:
            if self.ledger is None:
                self.ledger = await self.keeper.take(self.directory.running_nodes())
        if self.ledger is None or self.keeper.own is None:
            return False
        self.reported_at = self.keeper.now()
        self.unconfirmed.clear()
        self.started.set()
        self.log.info(
            "quota-allocator-taken",
            partition=self.partition,
            term=self.keeper.own.term,
            unheard=len(self.ledger.unheard),
        )
        return True

    async def run(self) -> None:
        """Announce and renew the lease while this node holds it, until cancelled."""
        while True:
            await self.started.wait()
            self.started.clear()
            await self.announce()
            while self.ledger is not None:
                delay = await self.keep()
                await asyncio.sleep(delay)

    async def announce(self) -> None:
        """Ask all nodes to report, so that it is soon known what they hold."""
        own = self.keeper.own
        if own is None:
            return
        body = messages.encode(messages.Announcement(own.term, own.address))
        records = self.directory.records.values()
        addresses = {record.hop for record in records} - {own.address}
        path = f"{messages.ANNOUNCEMENT_PATH}/{self.partition}"
        await asyncio.gather(
            *(self.peers.fetch(address, "POST", path, body) for address in addresses)
        )

    async def keep(self) -> float:
        """Renew or release the lease; return the seconds until the next time."""
        if self.keeper.now() > self.reported_at + IDLE_RELEASE:
            await self.release()
            return 0.0
        try:
            async with self.lock:
                await self.renew()
        except codes.Failure as failure:
            self.log.note("quota-lease-not-renewed", code=failure.code.number)
            return RETRY_DELAY
        return RENEW_INTERVAL

    async def renew(self, *more: str, released: bool = False) -> None:
        """Renew the lease; raise a coded failure if the store does not answer.

        :param more: names of nodes that are about to get shares.
        """
        if self.ledger is None:
            return
        members = self.ledger.holders(self.keeper.now())
        members.discard(leases.UNKNOWN_NODE)
        members.update(more, self.directory.running_nodes())
        bounds = self.ledger.bounds()
        # Until the store has answered, these or the former ones may be in force.
        self.unconfirmed.append(bounds)
        if not await self.keeper.renew(members, bounds, released):
            self.lose("another node has taken the lease")
        elif self.keeper.own is not None and self.keeper.own.bounds is bounds:
            self.unconfirmed.clear()

    def lose(self, why: str) -> None:
        """Stop to allocate."""
        self.ledger = None
        self.keeper.lose()
        self.log.info("quota-allocator-lost", term=self.keeper.highest_term, why=why)

    async def release(self) -> None:
        """Stop to allocate, and write so, that another node can take over at once."""
        if self.ledger is None:
            return
        async with self.lock:
            # Nothing is granted while the write is on its way.
            self.keeper.valid_until = float("-inf")
            try:
                await self.renew(released=True)
            except codes.Failure as failure:
                self.log.note("quota-lease-not-renewed", code=failure.code.number)
        if self.ledger is not None:
            self.lose("released")

    async def stop(self) -> None:
        """Release the lease for good, as the node stops."""
        self.stopping = True
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT):
                await self.release()
        except TimeoutError:
            self.lose("the store did not answer")

    async def answer(self, report: messages.Report) -> messages.Response:
        """Return the grants for a report, or who grants instead of this node."""
        if report.term > self.keeper.highest_term and self.ledger is not None:
            self.keeper.observe_term(report.term)
            self.lose("a node knows of a later term")
        if self.is_granting() and not self.is_member(report.node):
            await self.add_member(report.node)
        ledger = self.ledger
        if ledger is None or not self.is_granting() or not self.is_member(report.node):
            return self.refuse()
        now = self.keeper.now()
        self.reported_at = now
        entries = [self.apply_limit(entry) for entry in report.entries]
        response = self.refuse()
        response.holder = True
        known = ledger.is_known(report.node, report.incarnation)
        response.wants_full = not report.full and not known
        grants = ledger.answer(
            report.node,
            report.incarnation,
            report.sequence,
            entries,
            report.full,
            now,
        )
        if grants and not await self.cover(ledger, report.node, entries):
            return self.refuse()
        response.incarnation = ledger.incarnation_of(report.node)
        if grants is not None:
            response.grants = grants
            response.interval = ledger.interval(entries, grants)
            self.meters.add("quota.granted")
        return response

    def refuse(self) -> messages.Response:
        """Return the answer of a node that does not grant."""
        known = self.keeper.known
        usable = known is not None and not known.released
        address = known.address if known is not None and usable else ""
        if address == self.keeper.address and not self.is_granting():
            # Whoever asks must look at the lease, which another node may take.
            address = ""
        response = messages.Response(
            False, self.keeper.highest_term, address, self.version()
        )
        own = self.keeper.own
        if own is not None and self.keeper.has_ended():
            response.term = own.term
            response.ended_turn = own.turn
        return response

    def is_member(self, node: str) -> bool:
        """Return whether the object in the store names a node."""
        return self.keeper.own is not None and node in self.keeper.own.members

    async def add_member(self, node: str) -> None:
        """Write a node to the object in the store before it gets its first share."""
        async with self.lock:
            if self.is_member(node):
                return
            try:
                await self.renew(node)
            except codes.Failure as failure:
                self.log.note("quota-lease-not-renewed", code=failure.code.number)

    async def cover(
        self, ledger: quota_ledger.Ledger, node: str, entries: list[quota.Entry]
    ) -> bool:
        """Write larger bounds before a node gets more than those in the store.

        Return whether the node may get its shares.
        """
        if self.is_covered(ledger, node, entries):
            return True
        async with self.lock:
            if self.is_covered(ledger, node, entries):
                return True
            try:
                await self.renew()
            except codes.Failure as failure:
                self.log.note("quota-lease-not-renewed", code=failure.code.number)
        return self.is_covered(ledger, node, entries)

    def is_covered(
        self, ledger: quota_ledger.Ledger, node: str, entries: list[quota.Entry]
    ) -> bool:
        """Return whether the bounds in the store cover what a node may hold."""
        own = self.keeper.own
        if own is None or self.ledger is not ledger:
            return False
        return all(
            ledger.is_within(node, entries, bounds)
            for bounds in (own.bounds, *self.unconfirmed)
        )

    def apply_limit(self, entry: quota.Entry) -> quota.Entry:
        """Return an entry with the limit in force at this node, if it has one."""
        account = self.current_accounts().get(entry.account)
        if account is None or not account.rate:
            return entry
        limit = quota.Limit(account.rate, account.burst)
        if limit == entry.limit:
            return entry
        return msgspec.structs.replace(entry, limit=limit)
