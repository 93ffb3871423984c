"""A relay's streams to other relays, and what it hears of their roles."""

import asyncio
import collections.abc
import dataclasses
import random
import typing

from rattanridge.control import (
    backoff,
    learning,
    messages,
    relay as relays,
    replica,
    subscriber,
)
from rattanridge.kernel import clock, codes, log, settings
from rattanridge.objectapi import client

RELAYS_IN_ZONE = 2
PEERS_INTERVAL = 4.0  # seconds between looks at the leases of all relays
ZONE_LOST_AFTER = 15.0  # seconds without a renewed relay lease in a zone
APPOINT_PAUSE = 3.0  # seconds between requests to take one vacant role


@dataclasses.dataclass(slots=True, eq=False)
class Peer:
    """One other relay that this one subscribes to."""

    subscription: subscriber.Subscriber
    task: asyncio.Task
    presence: messages.Presence | None = None


@dataclasses.dataclass(slots=True)
class Renewal:
    """A lease's newest version, and when it was first seen."""

    version: int
    since: float


class Peers:
    """Keeps one stream to every other relay, and fills vacant relay roles.

    :param config: the node's settings.
    :param platform: the platform's client.
    :param state: the node's replica.
    :param relay: the relay's subscribers.
    :param address: the node's own control address.
    :param subscribe: makes a subscription.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        platform: client.Client,
        state: replica.Replica,
        relay: relays.Relay,
        address: typing.Callable[[], str],
        subscribe: collections.abc.Callable[[], subscriber.Subscriber],
        time: clock.Clock | None = None,
    ):
        self.config = config
        self.platform = platform
        self.state = state
        self.relay = relay
        self.address = address
        self.subscribe = subscribe
        self.time = time or clock.Clock()
        self.log = log.Log("peers", config.name)
        self.peers: dict[str, Peer] = {}
        self.renewals: dict[str, Renewal] = {}
        self.asked: dict[str, float] = {}

    async def run(self) -> None:
        """Look at the leases now and then, and keep the streams open."""
        try:
            while True:
                await self.look()
                await self.open_streams()
                self.appoint()
                await self.time.sleep(PEERS_INTERVAL * random.uniform(0.5, 1.0))
        finally:
            await self.close()

    async def close(self) -> None:
        tasks = [peer.task for peer in self.peers.values()]
        self.peers.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def look(self) -> None:
        """Read all relay leases, as far as the platform lets."""
        try:
            listing = await self.platform.list(learning.LEASES)
        except codes.Failure:
            # Nothing is known of any lease now, so none may count as stale.
            self.renewals.clear()
            return
        now = self.time.monotonic()
        for stored in listing.objects:
            role = stored.key.removeprefix("leases/")
            known = self.renewals.get(role)
            if known is None or known.version != stored.version:
                self.renewals[role] = Renewal(stored.version, now)
            learning.merge_role(self.state, stored)

    def zone_alive(self, zone: str) -> bool:
        """Whether a relay of the zone renews its lease, as far as can be known."""
        now = self.time.monotonic()
        found = [self.renewals.get(role) for role in relay_roles(zone)]
        found = [item for item in found if item is not None]
        if not found:
            return True
        return any(now - item.since < ZONE_LOST_AFTER for item in found)

    def roles(self) -> list[messages.Role]:
        """Return the relay roles that are held, as far as known."""
        return [
            record
            for record in self.state.table.all(messages.Role)
            if record.role.startswith("relay-") and record.address
        ]

    async def open_streams(self) -> None:
        """Follow every relay that holds a role, and leave those that do not."""
        wanted = {record.address for record in self.roles()} - {self.address()}
        for address, peer in list(self.peers.items()):
            if address not in wanted or peer.task.done():
                del self.peers[address]
                peer.task.cancel()
                await asyncio.gather(peer.task, return_exceptions=True)
                await peer.subscription.channels.drop(address)
        for address in wanted - set(self.peers):
            subscription = self.subscribe()
            subscription.is_relay = True
            task = asyncio.create_task(self.follow(address, subscription))
            peer = Peer(subscription, task)
            self.peers[address] = peer
            subscription.handlers[messages.Presence] = self.presence_handler(peer)
            subscription.merge = self.merge_handler(subscription)

    def presence_handler(self, peer: Peer) -> subscriber.Handler:
        def take(message: messages.Presence) -> None:
            peer.presence = message
            self.relay.changed.set()

        return take

    def merge_handler(
        self, subscription: subscriber.Subscriber
    ) -> collections.abc.Callable[[list[messages.Record]], None]:
        def merge(items: list[messages.Record]) -> None:
            self.relay.merge(items, subscription.relay)

        return merge

    async def follow(self, address: str, subscription: subscriber.Subscriber) -> None:
        """Subscribe to another relay until the stream ends, then return to it."""
        pauses = backoff.Backoff(self.config.control, self.time)
        while True:
            pauses.begin()
            try:
                await subscription.run(address)
            except codes.Failure as failure:
                self.log.info("peer-lost", address=address, code=failure.code.number)
            self.relay.changed.set()
            self.appoint()
            await pauses.wait()

    def heard(self, peer: Peer) -> bool:
        """Whether a peer's stream stands."""
        age = self.time.monotonic() - peer.subscription.heard
        return bool(peer.subscription.relay) and (
            age < self.config.control.stream_timeout
        )

    def any_heard(self) -> bool:
        return any(self.heard(peer) for peer in self.peers.values())

    def presences(self) -> list[messages.Presence]:
        """Return what the peers that stand told of their nodes."""
        return [
            peer.presence
            for peer in self.peers.values()
            if peer.presence is not None and self.heard(peer)
        ]

    def serves(self, role: str) -> bool:
        """Whether a relay role's holder is heard, or is this node."""
        record = self.state.table.records.get(("role", role))
        if record is None or not record.address:
            return False
        if record.address == self.address():
            return True
        peer = self.peers.get(record.address)
        return peer is not None and self.heard(peer)

    def is_writer(self, role: str) -> bool:
        """Whether this relay writes the zone's roster: the first that is heard."""
        for other in relay_roles(self.config.zone):
            if other == role:
                return True
            if self.serves(other):
                return False
        return True

    def appoint(self) -> None:
        """Ask a subscriber of each zone to take a relay role that nobody serves."""
        if not self.relay.serving:
            return
        nodes = [m for m in self.relay.members.values() if not m.hello.relay]
        now = self.time.monotonic()
        for zone in {member.hello.zone for member in nodes}:
            for role in relay_roles(zone):
                recent = now - self.asked.get(role, float("-inf")) < APPOINT_PAUSE
                if recent or self.serves(role):
                    continue
                self.asked[role] = now
                chosen = random.choice([m for m in nodes if m.hello.zone == zone])
                chosen.outbox.put(messages.Candidate(role))


def relay_roles(zone: str) -> list[str]:
    """Return the names of a zone's relay roles."""
    return [f"relay-{zone}-{number}" for number in range(RELAYS_IN_ZONE)]
