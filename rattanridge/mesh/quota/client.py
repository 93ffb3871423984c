"""A node's side of the quotas: admits requests, and reports to the allocator."""

import asyncio
import collections.abc

from rattanridge.kernel import accounts, codes
from rattanridge.mesh import events, peers as forwarders
from rattanridge.mesh.discovery import store_health
from rattanridge.mesh.quota import allocator as allocators, lease as leases, messages
from rattanridge.policies import quota

MAX_WAIT = 0.25  # seconds that a request waits for the answer to a report
RETRY_DELAY = 0.3  # seconds after a report that got no answer
SLOW_RETRY_DELAY = 1.0  # the same after the second one
# Seconds that a node waits for each node before it in the ranking, until it takes a
# lease that nobody holds.
RANK_STAGGER = 0.01
MAX_RANK_STAGGER = 0.05
UNAVAILABLE_RETRY_AFTER = 0.4  # seconds

RecordVersion = collections.abc.Callable[[int, str], None]


class Client:
    """Admits requests by the node's shares of the accounts of one partition.

    :param node: the node's name.
    :param version: returns the version of the configuration in force.
    :param record_peer_version: called with the version at the allocator.
    :param first_address: returns the address of the node that may know the allocator.
    """

    def __init__(
        self,
        node: str,
        keeper: leases.LeaseKeeper,
        allocator: allocators.Allocator,
        peers: forwarders.PeerClient,
        health: store_health.StoreHealth,
        version: allocators.Version,
        record_peer_version: RecordVersion,
        first_address: collections.abc.Callable[[], str],
        log: events.Events,
        meters: events.Meters,
    ):
        self.node = node
        self.keeper = keeper
        self.allocator = allocator
        self.peers = peers
        self.health = health
        self.version = version
        self.record_peer_version = record_peer_version
        self.first_address = first_address
        self.log = log
        self.meters = meters
        self.shares = quota.NodeShares(keeper.incarnation)
        self.address = ""
        self.failures = 0
        self.retry_at = float("-inf")
        # Set to make the next report at once.
        self.wanted = asyncio.Event()
        # Set, and replaced, when a report has been answered or has failed.
        self.answered = asyncio.Event()

    async def admit(self, account: accounts.Account, attempt: str) -> None:
        """Admit a request of an account.

        It waits for tokens of the allocator if the node's share is used up. Raise
        ``quota-exceeded`` if there are none, ``quota-unavailable`` if that is unknown.
        """
        if not account.rate:
            return
        now = self.keeper.now()
        limit = quota.Limit(account.rate, account.burst)
        share = self.shares.share_of(account.name, limit, now)
        share.record_request(now)
        # Requests that wait already come first.
        if not share.waiting and share.try_take(now):
            rested = now > self.shares.sent_at + quota.MIN_REPORT_INTERVAL
            if rested and share.has_grown(now):
                self.wanted.set()
            return
        if await self.wait_for_token(share):
            took = self.keeper.now() - now
            self.meters.add("quota.waited")
            self.log.note("quota-waited", id=attempt, account=account.name, took=took)
            return
        raise self.refuse(account.name, share, attempt)

    async def wait_for_token(self, share: quota.AccountShare) -> bool:
        """Take a token as soon as there is one; return False if none comes in time."""
        ends_at = self.keeper.now() + MAX_WAIT
        ahead = share.waiting
        share.waiting += 1
        try:
            while True:
                now = self.keeper.now()
                left = ends_at - now
                delay = share.delay(now, ahead)
                if left <= 0 or delay > left or now < self.retry_at:
                    return False
                if not delay:
                    self.wanted.set()
                await self.wait_answered(delay or left)
                if share.try_take(self.keeper.now()):
                    return True
        finally:
            share.waiting -= 1

    async def wait_answered(self, seconds: float) -> None:
        """Wait for the answer to a report, some seconds at most."""
        try:
            async with asyncio.timeout(seconds):
                await self.answered.wait()
        except TimeoutError:
            pass

    def refuse(
        self, account: str, share: quota.AccountShare, attempt: str
    ) -> codes.Failure:
        """Return the refusal of a request that got no token, and log it.

        A node that has no share, and was not told that there is none left, does not
        know whether the request is beyond the quota.
        """
        now = self.keeper.now()
        exhausted = now < share.not_before and not share.settling
        if share.depth or exhausted:
            code, name = codes.QUOTA_EXCEEDED, "quota.exceeded"
            wait = share.retry_after(now)
        else:
            code, name = codes.QUOTA_UNAVAILABLE, "quota.unavailable"
            wait = UNAVAILABLE_RETRY_AFTER
        self.meters.add(name)
        self.log.note(
            "quota-refused",
            id=attempt,
            account=account,
            code=code.number,
            limit=share.limit.rate,
            burst=share.limit.burst,
            share=share.rate * share.limit.rate,
            tokens=share.bucket.tokens,
            demand=share.demand.rate(now),
            retry_after=wait,
            allocator=self.address or "-",
            term=self.shares.term,
            report_age=now - self.shares.sent_at,
            settling=share.settling,
        )
        return codes.Failure(code, retry_after=wait)

    async def run(self) -> None:
        """Report whenever it is due or wanted, until cancelled."""
        while True:
            await self.wait_due()
            self.wanted.clear()
            if await self.report():
                self.failures = 0
                self.retry_at = float("-inf")
                self.wake_waiting()
            else:
                await self.back_off()

    async def wait_due(self) -> None:
        """Wait until a report is due, or wanted."""
        left = self.shares.due_at() - self.keeper.now()
        try:
            async with asyncio.timeout(max(left, 0.0) if left < 60 else None):
                await self.wanted.wait()
        except TimeoutError:
            pass

    def wake_waiting(self) -> None:
        """Wake the requests that wait for an answer."""
        self.answered.set()
        self.answered = asyncio.Event()

    async def back_off(self) -> None:
        """Wait after a report without an answer, or until an allocator is announced.

        Requests that come meanwhile do not wait.
        """
        self.failures += 1
        delay = RETRY_DELAY if self.failures == 1 else SLOW_RETRY_DELAY
        self.retry_at = self.keeper.now() + delay
        self.meters.add("quota.report-failed")
        self.log.note("quota-report-failed", failures=self.failures)
        self.wake_waiting()
        self.wanted.clear()
        while not self.address and self.keeper.now() < self.retry_at:
            await asyncio.sleep(min(delay, RETRY_DELAY / 3))

    async def report(self) -> bool:
        """Report to the allocator and apply its answer; return False without one."""
        first = self.first_address() if not self.address else ""
        if first and first != self.keeper.address and await self.report_to(first):
            return True
        if self.address == self.keeper.address and not self.allocator.is_granting():
            # Others name this node, whose former process had the lease.
            self.address = ""
        for _ in range(2):
            address = self.address or await self.find_allocator()
            if not address:
                return False
            if await self.report_to(address):
                return True
            # The answer may have named another allocator.
            if self.address == address or not self.address:
                break
        return False

    async def report_to(self, address: str) -> bool:
        """Report to one node; return whether it has granted shares."""
        now = self.keeper.now()
        entries = self.shares.report(now)
        report = messages.Report(
            self.node,
            self.shares.incarnation,
            self.shares.sequence,
            self.shares.term,
            self.version(),
            self.keeper.address,
            self.shares.full,
            entries,
        )
        self.meters.add("quota.report")
        response = await self.send(address, report)
        if response is None or not response.holder:
            self.shares.abandon()
            self.address = response.address if response is not None else ""
            if response is not None and response.ended_turn >= 0:
                self.keeper.observe_end(response.term, response.ended_turn)
            return False
        self.address = address
        self.keeper.observe_term(response.term)
        self.record_peer_version(response.version, address)
        if response.incarnation > self.shares.incarnation:
            self.shares.renew_incarnation(response.incarnation, self.keeper.now())
            self.wanted.set()
            return True
        if response.wants_full:
            self.shares.want_full()
            self.wanted.set()
            return True
        return self.shares.apply(
            report.sequence,
            response.term,
            response.grants,
            response.interval,
            self.keeper.now(),
        )

    async def send(
        self, address: str, report: messages.Report
    ) -> messages.Response | None:
        """Send a report; return the answer, None if there is none."""
        if address == self.keeper.address:
            return await self.allocator.answer(report)
        body = messages.encode(report)
        path = f"{messages.REPORT_PATH}/{self.allocator.partition}"
        data = await self.peers.fetch(address, "POST", path, body)
        if data is None:
            self.log.note("quota-allocator-unreachable", address=address)
            return None
        return messages.decode(data, messages.Response)

    async def give_back(self) -> None:
        """Tell the allocator that this node holds nothing any more."""
        if self.address and self.shares.give_back(self.keeper.now()):
            await self.report_to(self.address)

    async def find_allocator(self) -> str:
        """Return the address of the allocator, perhaps this node; empty if unknown."""
        if self.allocator.is_granting():
            return self.keeper.address
        if not self.health.up.is_set():
            return ""
        try:
            lease = await self.keeper.look()
            if self.keeper.is_vacant():
                rank = self.keeper.rank()
                await asyncio.sleep(min(rank * RANK_STAGGER, MAX_RANK_STAGGER))
                if self.address:
                    return self.address
                if rank:
                    lease = await self.keeper.look()
        except codes.Failure as failure:
            self.log.note("quota-lease-not-read", code=failure.code.number)
            return ""
        if self.keeper.may_take() and await self.allocator.take():
            return self.keeper.address
        return lease.address if lease is not None and not lease.released else ""

    def apply_announcement(self, announcement: messages.Announcement) -> None:
        """Report to a new allocator at once."""
        if announcement.term < max(self.shares.term, self.keeper.highest_term):
            return
        self.keeper.observe_term(announcement.term)
        self.address = announcement.address
        self.retry_at = float("-inf")
        self.wanted.set()
        self.log.note(
            "quota-allocator-announced",
            term=announcement.term,
            address=announcement.address,
        )
