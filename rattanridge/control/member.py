"""A node's part in control: subscribe to a relay, and serve roles.

One task for each stream. A node with a relay costs the platform nothing.
"""

import asyncio
import random

from rattanridge.control import (
    backoff,
    finder as finders,
    learning,
    messages,
    peers,
    relay as relays,
    replica,
    source as sources,
    subscriber as subscribers,
    transport,
    zone as zones,
)
from rattanridge.kernel import clock, codes, log, metrics, settings
from rattanridge.objectapi import client, leases

RETURN_INTERVAL = 5.0  # seconds between looks for a relay of the own zone
TIDY_INTERVAL = 30.0  # seconds between drops of ended records
LEAVE_PAUSE = 0.05  # seconds for a farewell to be written


class Member:
    """Runs the control path of one node.

    ``on_relay`` takes functions ``start(lease)`` of further work that runs
    while this node is a relay.

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
        self.learner = learning.Learner(config, platform, state, self.channels)
        self.relay = relays.Relay(config, state, counters, self.time)
        self.source = sources.Source(config, platform, state, self.time)
        self.peers = peers.Peers(
            config,
            platform,
            state,
            self.relay,
            lambda: self.server.address,
            self.make_subscriber,
            self.time,
        )
        self.zone = zones.Zone(config, platform, state, self.relay, self.time)
        self.zone.presences = self.peers.presences
        self.zone.zone_alive = self.peers.zone_alive
        self.lease: leases.Lease | None = None
        self.won = asyncio.Event()
        self.finder = finders.Finder(
            config,
            platform,
            state,
            self.peers,
            self.learner,
            lambda: self.server.address,
            self.time,
        )
        self.subscription: subscribers.Subscriber | None = None
        self.tasks: list[asyncio.Task] = []
        self.role_tasks: list[asyncio.Task] = []
        self.trying: asyncio.Task | None = None
        self.on_relay = []
        self.on_subscribe = []
        server.add_stream("Subscribe", self.relay.subscribe)
        server.add_unary("Ask", self.answer_ask)

    async def start(self) -> None:
        """Start the tasks; the control server must listen already."""
        self.state.hold()
        self.tasks.append(asyncio.create_task(self.run()))
        self.tasks.append(asyncio.create_task(self.tidy()))

    async def leave(self) -> None:
        """Tell the relay of a planned stop, so that it forgets this node."""
        if self.subscription is not None and self.subscription.relay:
            await self.subscription.leave()
            await self.time.sleep(LEAVE_PAUSE)

    async def stop(self) -> None:
        """Give roles back and end all tasks."""
        lease = self.lease
        tasks = [*self.tasks]
        if self.trying is not None:
            tasks.append(self.trying)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if lease is not None:
            await lease.release()
        await self.channels.close()

    async def tidy(self) -> None:
        """Drop records that ended, now and then."""
        while True:
            await self.time.sleep(TIDY_INTERVAL)
            keep = self.config.control.keep_dead
            self.state.table.tidy(self.time.monotonic(), self.time.wall(), keep)

    async def run(self) -> None:
        """Stay subscribed; between tries wait with jitter that grows."""
        pauses = backoff.Backoff(self.config.control, self.time)
        while True:
            pauses.begin()
            wait = 0.0
            try:
                await self.attend()
            except codes.Failure as failure:
                self.counters.add(f"control.retry.{failure.code.name}")
                self.log.info(
                    "relay-lost", code=failure.code.number, why=failure.detail
                )
                wait = failure.retry_after
            await pauses.wait(wait)

    async def attend(self) -> None:
        """Serve as relay if a lease is held, else subscribe to a relay."""
        if self.lease is None:
            address = await self.finder.find()
            self.lease = self.lease or self.finder.take_won()
        if self.lease is not None:
            await self.serve_role(self.lease)
            return
        if not address:
            raise codes.Failure(codes.NO_RELAY, "none known")
        await self.subscribe(address)

    async def subscribe(self, address: str) -> None:
        """Stay with a relay until it fails or this node has a reason to leave it."""
        self.won.clear()
        self.subscription = self.make_subscriber()
        self.subscription.handlers[messages.Candidate] = self.become_candidate
        stream = asyncio.create_task(self.subscription.run(address))
        leaving = asyncio.create_task(self.reason_to_leave(address))
        try:
            await asyncio.wait({stream, leaving}, return_when=asyncio.FIRST_COMPLETED)
            if stream.done():
                stream.result()
        except codes.Failure as failure:
            if failure.code is not codes.RELAY_BUSY:
                self.finder.note_failed(address)
                await self.channels.drop(address)
            raise
        finally:
            leaving.cancel()
            stream.cancel()
            await asyncio.gather(stream, leaving, return_exceptions=True)
            self.subscription = None

    async def reason_to_leave(self, address: str) -> None:
        """Return when a role was won, or a relay of the own zone is back."""
        while True:
            pause = RETURN_INTERVAL * random.uniform(0.5, 1.5)
            if await clock.wait_event(self.time, self.won, pause):
                return
            own = address in self.finder.zone_addresses()
            if not own and self.finder.zone_relays():
                return

    def make_subscriber(self) -> subscribers.Subscriber:
        subscription = subscribers.Subscriber(
            self.config,
            self.state,
            self.channels,
            self.counters,
            self.incarnation,
            self.time,
        )
        for note in self.on_subscribe:
            note(subscription)
        return subscription

    def become_candidate(self, message: messages.Candidate) -> None:
        """A relay asks this node to take a vacant role."""
        busy = self.trying is not None and not self.trying.done()
        if self.config.relay and self.lease is None and not busy:
            self.trying = asyncio.create_task(self.try_role(message.role))

    async def try_role(self, role: str) -> None:
        """Try for a bit longer than a term; take up the role if it is won."""
        lease = self.finder.candidate(role)
        end = self.time.monotonic() + 2 * self.config.control.lease_term
        while self.time.monotonic() < end and self.lease is None:
            if await lease.step():
                self.lease = lease
                self.won.set()
                return
            await self.time.sleep(lease.pause())

    async def answer_ask(self, node: str, message: messages.Ask) -> messages.Known:
        """Tell a node without configuration what is known of its generation."""
        known = [self.relay.nodes.get(node)]
        known += [told.nodes.get(node) for told in self.peers.presences()]
        generations = [item.generation for item in known if item is not None]
        contact = self.source.reachable or self.peers.any_heard()
        return messages.Known(
            max([self.state.generation, *generations]),
            self.state.table.all(messages.Role),
            self.relay.serving and self.state.floor is not None and contact,
        )

    async def serve_role(self, lease: leases.Lease) -> None:
        """Serve as relay until the lease is lost to another node.

        While the platform is down the lease can't be renewed; fan-out goes on,
        for merging is harmless, and ends when another holder is seen.
        """
        self.log.info("relay-begins", role=lease.role, epoch=lease.epoch)
        self.announce_role(lease)
        self.zone.is_writer = lambda: self.peers.is_writer(lease.role)
        starts = [self.zone.run, *self.on_relay]
        self.role_tasks = [
            asyncio.create_task(self.source.run()),
            asyncio.create_task(self.peers.run()),
            *[asyncio.create_task(start(lease)) for start in starts],
        ]
        for task in self.role_tasks:
            task.add_done_callback(self.note_end)
        try:
            await self.source.tried.wait()
            self.relay.begin()
            while not self.superseded(lease):
                await self.time.sleep(lease.pause())
                if await lease.step():
                    self.announce_role(lease)
        finally:
            await self.leave_role()

    def note_end(self, task: asyncio.Task) -> None:
        """Log a role's task that ended by an error."""
        if not task.cancelled() and task.exception() is not None:
            self.counters.add("control.role-failed")
            self.log.error("role-failed", why=repr(task.exception()))

    def superseded(self, lease: leases.Lease) -> bool:
        """Whether another node is known to hold the role."""
        if lease.taken():
            return True
        record = self.state.table.records.get(("role", lease.role))
        if record is None or record.holder in ("", self.config.name):
            return False
        return record.epoch > lease.epoch

    def announce_role(self, lease: leases.Lease) -> None:
        role = messages.Role(
            lease.role, self.config.name, self.server.address, lease.epoch
        )
        self.state.table.merge(role)

    async def leave_role(self) -> None:
        """Stop the role's tasks and send the subscribers away."""
        if self.lease is not None:
            self.log.info("relay-ends", role=self.lease.role, epoch=self.lease.epoch)
        self.lease = None
        self.relay.end()
        tasks, self.role_tasks = self.role_tasks, []
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.source.reachable = False
