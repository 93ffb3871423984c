"""All parts of the quotas on one node, and the pages that they have for other nodes."""

import asyncio
import hashlib
import time

import aiohttp.web_request
import aiohttp.web_response

from rattanridge.kernel import accounts, clock
from rattanridge.mesh import (
    configs as configurations,
    directory as directories,
    events,
    peers as forwarders,
    settings,
    store_health,
)
from rattanridge.mesh.quota import allocator, client, lease, messages
from rattanridge.platform import store as stores
from rattanridge.web import bodies


class Quota:
    """The quotas of client accounts, over all nodes.

    A node without requests of accounts that have a limit sends nothing.
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
        self.name = config.name
        self.configs = configs
        self.directory = directory
        self.keeper = lease.LeaseKeeper(
            config.name,
            config.listen.hops,
            time.time_ns() // 1_000_000,
            store,
            self.rank,
            clock.seconds_since_boot,
        )
        self.allocator = allocator.Allocator(
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
            log,
            meters,
        )

    async def admit(self, account: accounts.Account, attempt: str) -> None:
        """Admit a request of an account; raise a coded failure if it is refused.

        :param attempt: id of the request.
        """
        await self.client.admit(account, attempt)

    async def run(self) -> None:
        """Report, and allocate while this node has the lease, until cancelled."""
        await asyncio.gather(self.client.run(), self.allocator.run())

    def current_accounts(self) -> dict[str, accounts.Account]:
        """Return the accounts of the configuration in force."""
        current = self.configs.current
        return current.accounts if current is not None else {}

    def version(self) -> int:
        """Return the version of the configuration in force."""
        return self.configs.version

    def rank(self) -> int:
        """Return this node's rank, from 0, among those that may allocate."""
        own = rank_key(self.name)
        names = self.directory.running_nodes()
        return sum(rank_key(name) < own for name in names)

    async def answer(
        self, request: aiohttp.web_request.BaseRequest
    ) -> aiohttp.web_response.Response | None:
        """Return the answer to a message of another node; None if it is for others."""
        if request.path == messages.REPORT_PATH:
            return await self.answer_report(request)
        if request.path == messages.ANNOUNCEMENT_PATH:
            return await self.answer_announcement(request)
        return None

    async def answer_report(
        self, request: aiohttp.web_request.BaseRequest
    ) -> aiohttp.web_response.Response:
        """Return the grants for the report of another node."""
        data = await bodies.read_body(request, messages.MAX_BYTES)
        report = messages.decode(data, messages.Report)
        if report is None:
            return aiohttp.web_response.Response(status=400)
        self.configs.record_peer_version(report.version, report.address)
        response = await self.allocator.answer(report)
        return aiohttp.web_response.Response(body=messages.encode(response))

    async def answer_announcement(
        self, request: aiohttp.web_request.BaseRequest
    ) -> aiohttp.web_response.Response:
        """Note the new allocator."""
        data = await bodies.read_body(request, messages.MAX_BYTES)
        announcement = messages.decode(data, messages.Announcement)
        if announcement is None:
            return aiohttp.web_response.Response(status=400)
        self.client.apply_announcement(announcement)
        return aiohttp.web_response.Response()


def rank_key(node: str) -> bytes:
    """Return the sort key of a node in the ranking, on which all nodes agree."""
    return hashlib.blake2b(f"quota/{node}".encode(), digest_size=8).digest()
