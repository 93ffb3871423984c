"""A node's part in control: find relays, subscribe, and serve roles.

One task for each stream. A node without a relay looks at its zone's leases in
the platform, and tries one that is vacant; a node with a relay costs the
platform nothing.
"""

import asyncio
import random

from rattanridge.control import (
    messages,
    relay as relays,
    replica,
    roster,
    source as sources,
    subscriber as subscribers,
    transport,
)
from rattanridge.kernel import clock, codes, log, metrics, settings
from rattanridge.platform import client, leases, objects

RELAYS_IN_ZONE = 2
PEERS_INTERVAL = 5.0  # seconds between looks for relays of other zones


class Member:
    """Runs the control path of one node.

    :param config: the node's settings.
    :param platform: the platform's client.
    :param state: the node's replica.
    :param server: the node's control server.
    :param counters: the node's counters.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        platform: client.Client,
        state: replica.Replica,
        server: transport.Server,
        counters: metrics.Counters,
        time: clock.Clock | None = None,
    ):
        self.config = config
        self.platform = platform
        self.state = state
        self.server = server
        self.counters = counters
        self.time = time or clock.Clock()
        self.log = log.Log("member", config.name)
        self.incarnation = int(self.time.wall() * 1000)
        self.channels = transport.Channels(config)
        self.relay = relays.Relay(config, state, counters, self.time)
        self.source = sources.Source(config, platform, state, self.time)
        self.roster = roster.Roster(config, platform, state, self.relay, self.time)
        self.lease: leases.Lease | None = None
        self.candidates: dict[str, leases.Lease] = {}
        self.upstream_streams: dict[str, asyncio.Task] = {}
        self.tasks: list[asyncio.Task] = []
        self.role_tasks: list[asyncio.Task] = []
        self.on_relay = []
        self.on_subscribe = []
        server.add_stream("Subscribe", self.relay.subscribe)
        server.add_unary("Ask", self.answer_ask)

    async def start(self) -> None:
        """Start the tasks; the control server must listen already."""
        self.tasks.append(asyncio.create_task(self.run()))

    async def stop(self) -> None:
        """Give roles back and end all tasks."""
        await self.leave_role(release=True)
        for task in [*self.tasks, *self.upstream_streams.values()]:
            task.cancel()
        await asyncio.gather(
            *self.tasks, *self.upstream_streams.values(), return_exceptions=True
        )
        await self.channels.close()

    async def run(self) -> None:
        """Stay subscribed; between tries wait with jitter that grows."""
        pause = self.config.control.backoff_first
        while True:
            began = self.time.monotonic()
            wait = 0.0
            try:
                await self.attend()
            except codes.Failure as failure:
                self.counters.add(f"control.retry.{failure.code.name}")
                self.log.info(
                    "relay-lost", code=failure.code.number, why=failure.detail
                )
                wait = failure.retry_after
            if self.time.monotonic() - began > self.config.control.stream_timeout:
                pause = self.config.control.backoff_first
            await self.time.sleep(wait or random.uniform(pause / 2, pause))
            pause = min(pause * 2, self.config.control.backoff_limit)

    async def attend(self) -> None:
        """Serve as relay if a lease is held, else subscribe to a relay."""
        if self.lease is not None:
            await self.serve_role(self.lease)
            return
        addresses = await self.find_relays()
        if self.lease is not None:
            return
        if not addresses:
            raise codes.Failure(codes.NO_RELAY, "none known")
        subscription = self.make_subscriber()
        await subscription.run(random.choice(addresses))

    def make_subscriber(self) -> subscribers.Subscriber:
        subscription = subscribers.Subscriber(
            self.config,
            self.state,
            self.channels,
            self.counters,
            self.incarnation,
            self.time,
        )
        subscription.candidate = self.become_candidate
        for note in self.on_subscribe:
            note(subscription)
        return subscription

    async def find_relays(self) -> list[str]:
        """Return addresses of the zone's relays, from records, leases or peers.

        A lease that is vacant is tried on the way.
        """
        known = self.known_relays()
        if known and not self.relays_failed(known):
            return known
        try:
            await self.look_at_leases()
        except codes.Failure:
            await self.ask_peers()
        return self.known_relays()

    def known_relays(self) -> list[str]:
        names = set(self.relay_roles())
        return [
            record.address
            for record in self.state.table.all(messages.Role)
            if record.role in names and record.address
        ]

    def relays_failed(self, known: list[str]) -> bool:
        """Whether to look again: after the first failure, always."""
        return self.counters.get("control.retry.no-relay") > 0

    def relay_roles(self) -> list[str]:
        return [f"relay-{self.config.zone}-{n}" for n in range(RELAYS_IN_ZONE)]

    async def look_at_leases(self) -> None:
        """Read the zone's relay leases; try the first that is vacant."""
        listing = await self.platform.list(f"leases/relay-{self.config.zone}-")
        found = {item.key: item for item in listing.objects}
        for role in self.relay_roles():
            stored = found.get(f"leases/{role}")
            if stored is not None:
                value = client.value_of(stored, objects.LeaseValue)
                self.state.table.merge(sources.role_record(role, value))
        if not self.config.relay:
            return
        for role in self.relay_roles():
            lease = self.candidate(role)
            if await lease.step():
                self.lease = lease
                return
            if f"leases/{role}" not in found:
                return

    def candidate(self, role: str) -> leases.Lease:
        if role not in self.candidates:
            self.candidates[role] = leases.Lease(
                self.platform,
                role,
                self.config.name,
                self.server.address,
                self.config.control.lease_term,
                self.time,
            )
        return self.candidates[role]

    def become_candidate(self, role: str) -> None:
        """A relay asks this node to take a vacant role."""
        if not self.config.relay or self.lease is not None:
            return
        self.tasks = [task for task in self.tasks if not task.done()]
        self.tasks.append(asyncio.create_task(self.try_role(role)))

    async def try_role(self, role: str) -> None:
        """Try for a bit longer than a term; take up the role if it is won."""
        lease = self.candidate(role)
        end = self.time.monotonic() + 2 * self.config.control.lease_term
        while self.time.monotonic() < end and self.lease is None:
            if await lease.step():
                self.lease = lease
                self.tasks[0].cancel()
                self.tasks[0] = asyncio.create_task(self.run())
                return
            await self.time.sleep(lease.pause())

    async def ask_peers(self) -> None:
        """Learn the relays from peers of the settings, while the platform is down."""
        for address in self.config.peers:
            try:
                known = await self.channels.call(address, "Ask", messages.Ask(), 1.0)
            except codes.Failure:
                continue
            for role in known.roles:
                self.state.table.merge(role)

    async def answer_ask(self, node: str, message: messages.Ask) -> messages.Known:
        roles = self.state.table.all(messages.Role)
        return messages.Known(self.state.generation, roles)

    async def serve_role(self, lease: leases.Lease) -> None:
        """Serve as relay until the lease is lost to another node.

        While the platform is down the lease can't be renewed; fan-out goes on,
        for merging is harmless, and ends when another holder is seen.
        """
        self.log.info("relay-begins", role=lease.role, epoch=lease.epoch)
        self.announce_role(lease)
        self.role_tasks = [
            asyncio.create_task(self.source.run()),
            asyncio.create_task(self.roster.run(lease)),
            asyncio.create_task(self.follow_relays()),
        ]
        self.role_tasks += [
            asyncio.create_task(start(lease)) for start in self.on_relay
        ]
        try:
            await sources.reach(self.state, self.config.control.lease_term)
            self.relay.serving = True
            while not self.superseded(lease):
                await self.time.sleep(lease.pause())
                await lease.step()
        finally:
            self.relay.serving = False
            await self.leave_role(release=False)

    def superseded(self, lease: leases.Lease) -> bool:
        """Whether another node is known to hold the role."""
        seen = lease.seen
        if seen is not None and seen.value.holder not in ("", self.config.name):
            return True
        record = self.state.table.records.get(("role", lease.role))
        return record is not None and record.epoch > max(lease.epoch, 1)

    def announce_role(self, lease: leases.Lease) -> None:
        role = messages.Role(
            lease.role, self.config.name, self.server.address, lease.epoch
        )
        self.state.table.merge(role)

    async def leave_role(self, release: bool) -> None:
        """Stop the role's tasks; give the lease back on a planned stop."""
        lease, self.lease = self.lease, None
        tasks = [*self.role_tasks, *self.upstream_streams.values()]
        self.role_tasks = []
        self.upstream_streams = {}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if lease is not None and release:
            await lease.release()

    async def follow_relays(self) -> None:
        """Keep one stream to every other relay, and fill vacant relay roles."""
        while True:
            try:
                listing = await self.platform.list("leases/relay-")
                for stored in listing.objects:
                    role = stored.key.removeprefix("leases/")
                    value = client.value_of(stored, objects.LeaseValue)
                    self.state.table.merge(sources.role_record(role, value))
            except codes.Failure:
                pass
            self.open_streams()
            self.appoint()
            await self.time.sleep(PEERS_INTERVAL * random.uniform(0.5, 1.0))

    def open_streams(self) -> None:
        for record in self.state.table.all(messages.Role):
            other = record.address and record.address != self.server.address
            if not record.role.startswith("relay-") or not other:
                continue
            task = self.upstream_streams.get(record.address)
            if task is None or task.done():
                self.upstream_streams[record.address] = asyncio.create_task(
                    self.follow_relay(record.address)
                )

    async def follow_relay(self, address: str) -> None:
        """Subscribe to another relay until the stream ends."""
        subscription = self.make_subscriber()
        subscription.is_relay = True
        try:
            await subscription.run(address)
        except codes.Failure as failure:
            self.log.info("peer-lost", address=address, code=failure.code.number)
        await self.channels.drop(address)

    def appoint(self) -> None:
        """Ask a subscriber of the zone to take a relay role that has no stream."""
        nodes = [m for m in self.relay.members.values() if not m.hello.relay]
        if not nodes:
            return
        for role in self.relay_roles():
            record = self.state.table.records.get(("role", role))
            if record is not None and record.address == self.server.address:
                continue
            task = self.upstream_streams.get(record.address) if record else None
            if task is None or task.done():
                random.choice(nodes).outbox.put_nowait(messages.Candidate(role))
