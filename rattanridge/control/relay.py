"""The relay's side of subscriptions: fan out to nodes and collect reports."""

import asyncio
import collections.abc
import dataclasses
import random

import grpc
import grpc.aio

from rattanridge.control import messages, replica
from rattanridge.kernel import clock, log, metrics, settings, snapshot

BUSY_SPREAD = 2.0  # seconds over which refused subscribers are told to return
CONFIGS_KEPT = 4  # former snapshots that deltas can start from


@dataclasses.dataclass(slots=True, eq=False)
class Member:
    """One subscriber of this relay."""

    hello: messages.Hello
    outbox: asyncio.Queue
    report: messages.Report
    heard: float
    config_sent: str = ""


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
        self.reports: dict[str, messages.Report] = {}
        self.lost_at: dict[str, float] = {}
        self.admitting = 0
        self.serving = False
        self.former: dict[str, snapshot.Snapshot] = {}
        self.batch: list[messages.Record] = []
        self.flushing: asyncio.Task | None = None
        self.handlers: dict[type, Handler] = {}
        state.table.listeners.append(self.collect)
        state.listeners.append(self.spread)

    async def subscribe(self, node: str, context: grpc.aio.ServicerContext) -> None:
        """Serve one subscriber until its stream ends."""
        hello = await context.read()
        if not isinstance(hello, messages.Hello) or hello.node != node:
            return
        if not self.serving or self.admitting >= self.config.control.admissions:
            self.counters.add("control.refused.relay-busy")
            wait = random.uniform(0.1, BUSY_SPREAD)
            await context.write(messages.Busy(wait))
            return
        member = Member(
            hello,
            asyncio.Queue(),
            messages.Report(hello.generation, hello.digest),
            self.time.monotonic(),
        )
        self.members[node] = member
        self.reports[node] = member.report
        self.lost_at.pop(node, None)
        self.admitting += 1
        reader = asyncio.create_task(self.read(member, context))
        try:
            await self.admit(member, context)
        finally:
            self.admitting -= 1
        try:
            await self.write_all(member, context)
        finally:
            reader.cancel()
            if self.members.get(node) is member:
                del self.members[node]
                self.lost_at[node] = self.time.monotonic()

    async def admit(self, member: Member, context: grpc.aio.ServicerContext) -> None:
        """Send the welcome and what the subscriber lacks, and no more."""
        generation = self.state.generation
        welcome = messages.Welcome(self.config.name, self.config.zone, generation)
        await self.write(context, welcome)
        if member.hello.generation > generation:
            await self.write(context, messages.Want())
        elif member.hello.digest != self.state.digest:
            await self.write(context, self.change_for(member.hello.digest))
        member.config_sent = self.state.digest
        if member.hello.table != self.state.table.digest():
            await self.write(context, messages.Records(self.state.table.all()))

    def change_for(self, digest: str) -> messages.Config:
        """Return a delta from the named snapshot, or the full one."""
        base = self.former.get(digest)
        return messages.Config(snapshot.diff(base, self.state.snapshot))

    async def write_all(
        self, member: Member, context: grpc.aio.ServicerContext
    ) -> None:
        """Write what waits for the subscriber, and heartbeats."""
        limit = self.config.control.stream_timeout
        while self.serving:
            try:
                message = await asyncio.wait_for(
                    member.outbox.get(), self.config.control.report_interval
                )
            except TimeoutError:
                message = messages.Beat(self.state.generation)
            if self.time.monotonic() - member.heard > limit:
                self.log.info("member-silent", member=member.hello.node)
                return
            await self.write(context, message)

    async def write(
        self, context: grpc.aio.ServicerContext, message: messages.Message
    ) -> None:
        self.counters.add(f"control.sent.{type(message).__name__.lower()}")
        await context.write(message)

    async def read(self, member: Member, context: grpc.aio.ServicerContext) -> None:
        """Read what the subscriber sends."""
        while True:
            message = await context.read()
            if message is grpc.aio.EOF:
                member.heard = float("-inf")
                member.outbox.put_nowait(messages.Beat(self.state.generation))
                return
            member.heard = self.time.monotonic()
            self.handle(member, message)

    def handle(self, member: Member, message: messages.Message) -> None:
        match message:
            case messages.Report():
                member.report = message
                self.reports[member.hello.node] = message
            case messages.Records():
                for record in message.items:
                    self.state.table.merge(record)
            case messages.Config():
                self.state.apply(message.delta)
            case messages.Want():
                if self.state.snapshot is not None:
                    member.outbox.put_nowait(self.state.full())
            case _:
                handler = self.handlers.get(type(message))
                if handler is not None:
                    handler(member, message)

    def collect(self, record: messages.Record) -> None:
        """Gather accepted records for a short time, then send them as one."""
        self.batch.append(record)
        if self.flushing is None and self.serving:
            self.flushing = asyncio.create_task(self.flush())

    async def flush(self) -> None:
        await self.time.sleep(self.config.control.batch_interval)
        self.flushing = None
        batch, self.batch = self.batch, []
        for member in self.members.values():
            member.outbox.put_nowait(messages.Records(batch))

    def spread(self) -> None:
        """Send a new configuration to every subscriber, as deltas."""
        current = self.state.snapshot
        if current is None or current.digest in self.former:
            return
        self.former[current.digest] = current
        while len(self.former) > CONFIGS_KEPT:
            del self.former[next(iter(self.former))]
        if not self.serving:
            return
        shared: dict[str, messages.Config] = {}
        for member in self.members.values():
            base = member.report.digest
            if base not in shared:
                shared[base] = self.change_for(base)
            member.outbox.put_nowait(shared[base])
            member.config_sent = current.digest
