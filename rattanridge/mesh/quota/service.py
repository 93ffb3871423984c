"""All parts of the quotas on one node, and the pages that they have for other nodes."""

import asyncio
import hashlib
import time

import aiohttp.web_request
import aiohttp.web_response

from rattanridge.kernel import accounts, clock
from rattanridge.mesh import (
    configs as configurations,
    events,
    peers as forwarders,
    settings,
)
from rattanridge.mesh.discovery import directory as directories, store_health
from rattanridge.mesh.quota import allocator, client, lease, messages
from rattanridge.platform import store as stores
from rattanridge.web import bodies

# All nodes must agree on it. On 0.43 of a core a node answers some 100 reports a second
# beside its requests.
PARTITIONS = 8
GIVE_BACK_TIMEOUT = 0.2  # seconds of a shutdown
ELECTION_INTERVAL = 0.2  # seconds between two looks at the lease for other nodes
MAX_KNOWN = 10_000  # accounts whose partition is remembered


class Partition:
    """The quotas of some of the accounts, with an allocator of their own.

    :param number: of the partition, from 0.
    :param config: the node's settings.
    :param directory: the nodes, one of which allocates.
    """

    def __init__(
        self,
        number: int,
        config: settings.Settings,
        store: stores.Store,
        health: store_health.StoreHealth,
        configs: configurations.Configs,
        directory: directories.Directory,
        peers: forwarders.PeerClient,
        log: events.Events,
        meters: events.Meters,
    ):
        self.number = number
        self.name = config.name
        self.configs = configs
        self.directory = directory
        self.keeper = lease.LeaseKeeper(
            f"allocator-{number}",
            config.name,
            config.listen.hops,
            time.time_ns() // 1_000_000,
            store,
            self.rank,
            clock.seconds_since_boot,
        )
        self.allocator = allocator.Allocator(
            number,
            self.keeper,
            directory,
            peers,
            self.current_accounts,
            self.version,
            log,
            meters,
        )
        self.client = client.Client(
            config.name,
            self.keeper,
            self.allocator,
            peers,
            health,
            self.version,
            configs.record_peer_version,
            self.first_address,
            log,
            meters,
        )
        self.election = asyncio.Lock()
        self.next_election_at = float("-inf")

    async def run(self) -> None:
        """Report, and allocate while this node has the lease, until cancelled."""
        await asyncio.gather(self.client.run(), self.allocator.run())

    async def answer(self, report: messages.Report) -> messages.Response:
        """Return the answer to a report.

        A node that does not allocate finds out who does, or takes the lease if it may:
        nodes that know no allocator ask the first one in the ranking, and the holder
        may have been restarted.
        """
        async with self.election:
            now = self.keeper.now()
            if not self.allocator.is_granting() and now >= self.next_election_at:
                self.next_election_at = now + ELECTION_INTERVAL
                await self.client.find_allocator()
                # A new allocator waits until all have told what they hold, also this
                # node.
                self.client.wanted.set()
        return await self.allocator.answer(report)

    def first_address(self) -> str:
        """Return the address of the first node in the ranking; empty if unknown."""
        names = self.directory.running_nodes()
        if not names:
            return ""
        first = min(names, key=lambda name: rank_key(self.number, name))
        return self.directory.records[first].hop

    def current_accounts(self) -> dict[str, accounts.Account]:
        """Return the accounts of the configuration in force."""
        current = self.configs.current
        return current.accounts if current is not None else {}

    def version(self) -> int:
        """Return the version of the configuration in force."""
        return self.configs.version

    def rank(self) -> int:
        """Return this node's rank, from 0, among those that may allocate."""
        own = rank_key(self.number, self.name)
        names = self.directory.running_nodes()
        return sum(rank_key(self.number, name) < own for name in names)


class Quota:
    """The quotas of client accounts, over all nodes.

    The accounts are divided among partitions, whose allocators are different nodes: one
    node could not answer the reports for all small accounts. A node without requests of
    accounts that have a limit sends nothing.
    """

    def __init__(
        self,
        config: settings.Settings,
        store: stores.Store,
        health: store_health.StoreHealth,
        configs: configurations.Configs,
        directory: directories.Directory,
        peers: forwarders.PeerClient,
        log: events.Events,
        meters: events.Meters,
    ):
        self.partitions = [
            Partition(
                number, config, store, health, configs, directory, peers, log, meters
            )
            for number in range(PARTITIONS)
        ]
        self.configs = configs
        self.log = log
        # By name of the account, so that a request computes no hash.
        self.known: dict[str, Partition] = {}

    def partition_of(self, account: str) -> Partition:
        """Return the partition of an account; the same at all nodes."""
        found = self.known.get(account)
        if found is None:
            digest = hashlib.blake2b(account.encode(), digest_size=4).digest()
            found = self.partitions[int.from_bytes(digest) % PARTITIONS]
            if len(self.known) >= MAX_KNOWN:
                self.known.clear()
            self.known[account] = found
        return found

    async def admit(self, account: accounts.Account, attempt: str) -> None:
        """Admit a request of an account; raise a coded failure if it is refused.

        :param attempt: id of the request.
        """
        if account.rate:
            await self.partition_of(account.name).client.admit(account, attempt)

    async def run(self) -> None:
        """Run all partitions until cancelled."""
        await asyncio.gather(*(item.run() for item in self.partitions))

    async def stop(self) -> None:
        """Release the leases of this node for good, as it stops."""
        await asyncio.gather(*(item.allocator.stop() for item in self.partitions))

    async def give_back(self) -> None:
        """Give the shares of this node back, as it serves no more requests."""
        try:
            async with asyncio.timeout(GIVE_BACK_TIMEOUT):
                await asyncio.gather(
                    *(item.client.give_back() for item in self.partitions)
                )
        except TimeoutError:
            self.log.note("quota-not-given-back", why="no allocator answered")

    async def answer(
        self, request: aiohttp.web_request.BaseRequest
    ) -> aiohttp.web_response.Response | None:
        """Return the answer to a message of another node; None if it is for others."""
        for path, answer in (
            (messages.REPORT_PATH, self.answer_report),
            (messages.ANNOUNCEMENT_PATH, self.answer_announcement),
        ):
            number = request.path.removeprefix(f"{path}/")
            if number != request.path:
                if not number.isdecimal() or int(number) >= PARTITIONS:
                    return aiohttp.web_response.Response(status=404)
                return await answer(request, self.partitions[int(number)])
        return None

    async def answer_report(
        self, request: aiohttp.web_request.BaseRequest, partition: Partition
    ) -> aiohttp.web_response.Response:
        """Return the grants for the report of another node."""
        data = await bodies.read_body(request, messages.MAX_BYTES)
        report = messages.decode(data, messages.Report)
        if report is None:
            return aiohttp.web_response.Response(status=400)
        self.configs.record_peer_version(report.version, report.address)
        response = await partition.answer(report)
        return aiohttp.web_response.Response(body=messages.encode(response))

    async def answer_announcement(
        self, request: aiohttp.web_request.BaseRequest, partition: Partition
    ) -> aiohttp.web_response.Response:
        """Note the new allocator."""
        data = await bodies.read_body(request, messages.MAX_BYTES)
        announcement = messages.decode(data, messages.Announcement)
        if announcement is None:
            return aiohttp.web_response.Response(status=400)
        partition.client.apply_announcement(announcement)
        return aiohttp.web_response.Response()


def rank_key(partition: int, node: str) -> bytes:
    """Return the sort key of a node in a ranking on which all nodes agree."""
    text = f"quota/{partition}/{node}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
