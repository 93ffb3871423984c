"""The relay's side of subscriptions: fan out to nodes and collect reports."""

import asyncio
import collections.abc
import dataclasses
import random
import typing

import grpc
import grpc.aio
import msgspec

from rattanridge.control import messages, outbox, replica
from rattanridge.kernel import clock, codes, log, metrics, settings, snapshot

BUSY_SPREAD = 2.0  # seconds over which refused subscribers are told to return
BEGIN_SPREAD = 0.5  # the same while the relay does not serve (yet)
CONFIGS_KEPT = 4  # former snapshots that deltas can start from
STORM_RECORDS = 4  # records in a batch from which the next ones gather longer
STORM_STRETCH = 10  # how many times longer they gather at most
BEAT_PARTS = 8  # parts of the subscribers that get their heartbeats in turn
OUTBOX_LIMIT = 256  # messages that may wait for one subscriber


@dataclasses.dataclass(slots=True, eq=False)
class Member:
    """One subscriber of this relay.

    :param heard: monotonic seconds of its last message.
    :param config_sent: hash of the snapshot that was sent to it last.
    :param presence_sent: what it was told of this relay's nodes.
    """

    hello: messages.Hello
    outbox: outbox.Outbox
    report: messages.Report
    heard: float
    config_sent: str = ""
    presence_sent: bytes = b""


Handler = collections.abc.Callable[[Member, messages.Message], None]


class Relay:
    """Serves subscriptions from the node's replica.

    ``handlers`` takes further kinds of messages from subscribers, by type.

    :param config: the node's settings.
    :param state: the node's replica.
    :param counters: counts messages by kind.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        state: replica.Replica,
        counters: metrics.Counters,
        time: clock.Clock | None = None,
    ):
        self.config = config
        self.state = state
        self.counters = counters
        self.time = time or clock.Clock()
        self.log = log.Log("relay", config.name)
        self.members: dict[str, Member] = {}
        self.nodes: dict[str, messages.NodeState] = {}
        self.lost_at: dict[str, float] = {}
        self.admitting = 0
        self.serving = False
        self.changed = asyncio.Event()
        self.former: dict[str, snapshot.Snapshot] = {}
        self.batch: list[tuple[messages.Record, str]] = []
        self.origin = ""
        self.gathering = config.control.batch_interval
        self.flushing: asyncio.Task | None = None
        self.beating: asyncio.Task | None = None
        self.handlers: dict[type, Handler] = {}
        state.table.listeners.append(self.collect)
        state.listeners.append(self.spread)

    def begin(self) -> None:
        """Admit subscribers from now on."""
        self.serving = True
        self.beating = asyncio.create_task(self.beat())

    def end(self) -> None:
        """Send every subscriber away and forget what was known of them."""
        self.serving = False
        if self.beating is not None:
            self.beating.cancel()
        for member in self.members.values():
            member.outbox.close()
        self.nodes.clear()
        self.lost_at.clear()
        self.batch.clear()

    async def subscribe(self, node: str, context: grpc.aio.ServicerContext) -> None:
        """Serve one subscriber until its stream ends."""
        hello = await self.read_hello(node, context)
        if hello is None:
            self.counters.add("control.refused.bad-message")
            return
        if not self.serving or self.admitting >= self.config.control.admissions:
            self.counters.add("control.refused.relay-busy")
            spread = BUSY_SPREAD if self.serving else BEGIN_SPREAD
            wait = random.uniform(0.1, spread)
            await context.write(messages.Busy(wait))
            return
        member = self.add(hello)
        reader = asyncio.create_task(self.read(member, context))
        try:
            self.admitting += 1
            try:
                await self.admit(member, context)
            finally:
                self.admitting -= 1
            await self.write_all(member, context)
        except TimeoutError:
            self.counters.add("control.dropped.slow-subscriber")
        finally:
            reader.cancel()
            self.remove(member)

    async def read_hello(
        self, node: str, context: grpc.aio.ServicerContext
    ) -> messages.Hello | None:
        """Return the first message if it is the subscriber's own hello."""
        try:
            async with asyncio.timeout(self.config.control.stream_timeout):
                hello = await context.read()
        except (TimeoutError, codes.Failure):
            return None
        if isinstance(hello, messages.Hello) and hello.node == node:
            return hello
        return None

    def add(self, hello: messages.Hello) -> Member:
        """Enter a subscriber; an older stream of the same node is closed."""
        former = self.members.get(hello.node)
        if former is not None:
            former.outbox.close()
        member = Member(
            hello,
            outbox.Outbox(OUTBOX_LIMIT),
            messages.Report(hello.generation, hello.digest),
            self.time.monotonic(),
        )
        self.members[hello.node] = member
        self.lost_at.pop(hello.node, None)
        if not hello.relay:
            known = self.nodes.get(hello.node)
            # A restarted node says 0; what it applied before is remembered.
            highest = max(hello.generation, known.generation if known else 0)
            self.nodes[hello.node] = messages.NodeState(highest)
            self.changed.set()
        return member

    def remove(self, member: Member) -> None:
        """Note that a subscriber's stream ended, unless it has a newer one."""
        name = member.hello.node
        if self.members.get(name) is not member:
            return
        del self.members[name]
        if member.hello.relay or not self.serving:
            return
        if member.report.leaving:
            self.nodes.pop(name, None)
        else:
            self.lost_at[name] = self.time.monotonic()
            known = self.nodes[name]
            self.nodes[name] = msgspec.structs.replace(known, lost_at=self.time.wall())
        self.changed.set()

    def forget(self, name: str) -> None:
        """Drop a node that was lost long ago or has another relay."""
        if self.lost_at.pop(name, None) is not None:
            self.nodes.pop(name, None)
            self.changed.set()

    async def admit(self, member: Member, context: grpc.aio.ServicerContext) -> None:
        """Send the welcome and what the subscriber lacks, and no more."""
        hello = member.hello
        generation = self.state.generation
        member.config_sent = hello.digest
        welcome = messages.Welcome(self.config.name, self.config.zone, generation)
        await self.write(context, welcome)
        if hello.generation > generation:
            await self.write(context, messages.Want())
        else:
            change = self.next_change(member)
            if change is not None:
                await self.write(context, change)
        if self.state.rejection is not None:
            await self.write(context, messages.Rejected(self.state.rejection))
        if hello.table != self.state.table.digest():
            await self.write(context, messages.Records(self.state.table.all()))

    def next_change(self, member: Member) -> messages.Config | None:
        """Return the delta from what the subscriber has, if it lacks anything."""
        current = self.state.snapshot
        if current is None or member.config_sent == current.digest:
            return None
        base = self.former.get(member.config_sent)
        member.config_sent = current.digest
        return messages.Config(snapshot.diff(base, current))

    async def write_all(
        self, member: Member, context: grpc.aio.ServicerContext
    ) -> None:
        """Write what waits for the subscriber until its outbox is closed."""
        while (message := await member.outbox.get()) is not None:
            await self.write(context, message)

    async def beat(self) -> None:
        """Send heartbeats to all subscribers in turn, and drop silent ones."""
        pause = self.config.control.beat_interval / BEAT_PARTS
        while True:
            members = list(self.members.values())
            for part in range(BEAT_PARTS):
                heartbeat = messages.frame(messages.Beat(self.state.generation))
                for member in members[part::BEAT_PARTS]:
                    self.beat_one(member, heartbeat)
                await self.time.sleep(pause)

    def beat_one(self, member: Member, heartbeat: messages.Frame) -> None:
        silence = self.time.monotonic() - member.heard
        if silence > self.config.control.silence_limit:
            self.counters.add("control.dropped.silent-subscriber")
            self.log.info("member-silent", member=member.hello.node)
            member.outbox.close()
        else:
            member.outbox.put(heartbeat)

    async def write(
        self,
        context: grpc.aio.ServicerContext,
        message: messages.Message | messages.Frame,
    ) -> None:
        """Write one message; a subscriber that does not take it is sent away."""
        encoded = message
        if not isinstance(message, messages.Frame):
            encoded = messages.frame(message)
        self.counters.add(f"control.sent.{encoded.kind}")
        self.counters.add(f"control.sent-bytes.{encoded.kind}", len(encoded.data))
        async with asyncio.timeout(self.config.control.stream_timeout):
            await context.write(encoded)

    async def read(self, member: Member, context: grpc.aio.ServicerContext) -> None:
        """Read what the subscriber sends, until its stream ends."""
        try:
            while True:
                message = await context.read()
                if message is grpc.aio.EOF:
                    return
                member.heard = self.time.monotonic()
                self.handle(member, message)
        except codes.Failure as failure:
            self.counters.add(f"control.refused.{failure.code.name}")
        except grpc.aio.BaseError as error:
            self.log.debug("stream-broken", member=member.hello.node, why=str(error))
        finally:
            member.outbox.close()

    def handle(self, member: Member, message: messages.Message) -> None:
        match message:
            case messages.Report():
                self.take_report(member, message)
            case messages.Records():
                self.merge(message.items, member.hello.node)
            case messages.Config():
                self.configure(member, message)
            case messages.Want():
                if self.state.snapshot is not None:
                    member.outbox.put(self.state.full())
            case _:
                handler = self.handlers.get(type(message))
                if handler is not None:
                    handler(member, message)

    def take_report(self, member: Member, report: messages.Report) -> None:
        changed = report != member.report
        member.report = report
        name = member.hello.node
        if not changed or name not in self.nodes:
            return
        highest = max(report.generation, self.nodes[name].generation)
        self.nodes[name] = messages.NodeState(highest, report.rejection)
        self.changed.set()

    def merge(self, items: list[messages.Record], origin: str) -> None:
        """Merge records; they are not sent back to where they came from."""
        self.origin = origin
        try:
            for record in items:
                self.state.table.merge(record)
        finally:
            self.origin = ""

    def configure(self, member: Member, message: messages.Config) -> None:
        """Take a configuration that a subscriber has and this relay lacks."""
        try:
            if self.state.apply(message.delta):
                member.config_sent = message.delta.digest
        except codes.Failure:
            member.outbox.put(messages.Want(self.state.digest))

    def collect(self, record: messages.Record) -> None:
        """Gather accepted records for a short time, then send them as one."""
        if not self.serving:
            return
        self.batch.append((record, self.origin))
        if self.flushing is None:
            self.flushing = asyncio.create_task(self.flush())

    async def flush(self) -> None:
        """Send the gathered records; encoded once for all but their senders.

        In a storm the time to gather grows, for each message costs every node.
        """
        await self.time.sleep(self.gathering)
        self.flushing = None
        batch, self.batch = self.batch, []
        shortest = self.config.control.batch_interval
        if len(batch) >= STORM_RECORDS:
            self.gathering = min(self.gathering * 2, shortest * STORM_STRETCH)
        else:
            self.gathering = max(self.gathering / 2, shortest)
        if not batch:
            return
        senders = {origin for _, origin in batch}
        shared = frame_records(record for record, _ in batch)
        for name, member in self.members.items():
            if name not in senders:
                member.outbox.put(shared)
                continue
            others = [record for record, origin in batch if origin != name]
            if others:
                member.outbox.put(frame_records(others))

    def spread(self) -> None:
        """Send a new configuration or rejection to every subscriber."""
        current = self.state.snapshot
        if self.serving and self.state.rejection is not None:
            rejected = messages.frame(messages.Rejected(self.state.rejection))
            for member in self.members.values():
                member.outbox.put(rejected)
        if current is None or current.digest in self.former:
            return
        self.former[current.digest] = current
        while len(self.former) > CONFIGS_KEPT:
            del self.former[next(iter(self.former))]
        if self.serving:
            self.spread_config(current)

    def spread_config(self, current: snapshot.Snapshot) -> None:
        """Send deltas, made once for each base that subscribers have."""
        shared: dict[str, messages.Frame] = {}
        for member in self.members.values():
            base = member.config_sent
            if member.report.generation >= current.generation:
                member.config_sent = member.report.digest
                continue
            if base == current.digest:
                continue
            if base not in shared:
                shared[base] = messages.frame(self.next_change(member))
            member.outbox.put(shared[base])
            member.config_sent = current.digest

    def tell_presence(self) -> None:
        """Tell other relays of this one's nodes if that changed."""
        presence = messages.Presence(self.config.name, dict(self.nodes))
        told = messages.frame(presence)
        for member in self.members.values():
            if member.hello.relay and member.presence_sent != told.data:
                member.presence_sent = told.data
                member.outbox.put(told)


def frame_records(records: typing.Iterable[messages.Record]) -> messages.Frame:
    """Encode records as one message for many streams."""
    return messages.frame(messages.Records(list(records)))
