"""A node's subscription to one relay: one task, one stream."""

import asyncio
import collections.abc

import grpc
import grpc.aio

from rattanridge.control import messages, outbox, replica, transport
from rattanridge.kernel import clock, codes, log, metrics, settings

OUTBOX_LIMIT = 10_000  # messages that may wait for the relay

Handler = collections.abc.Callable[[messages.Message], None]


def as_failure(error: BaseException) -> codes.Failure:
    """Return why a stream ended, as a coded failure."""
    if isinstance(error, codes.Failure):
        return error
    if isinstance(error, grpc.aio.AioRpcError):
        return transport.as_failure(error)
    return codes.Failure(codes.NO_RELAY, f"stream ended: {type(error).__name__}")


class Subscriber:
    """Keeps the replica up to date from one relay's stream.

    ``handlers`` takes further kinds of messages from the relay, by type.

    :param config: the node's settings.
    :param state: the replica to keep.
    :param channels: connections to other nodes.
    :param incarnation: the node's start, in milliseconds since the epoch.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        state: replica.Replica,
        channels: transport.Channels,
        counters: metrics.Counters,
        incarnation: int,
        time: clock.Clock | None = None,
    ):
        self.config = config
        self.state = state
        self.channels = channels
        self.counters = counters
        self.incarnation = incarnation
        self.time = time or clock.Clock()
        self.log = log.Log("subscriber", config.name)
        self.relay = ""
        self.is_relay = False
        self.receiving = False
        self.heard = float("-inf")
        self.outbox = outbox.Outbox(OUTBOX_LIMIT)
        self.handlers: dict[type, Handler] = {}

    async def run(self, address: str) -> None:
        """Subscribe and stay until the stream ends; raise a coded failure then."""
        call = self.channels.stream(address, "Subscribe")
        self.outbox = outbox.Outbox(OUTBOX_LIMIT)
        sender = asyncio.create_task(self.send(call))
        self.state.table.listeners.append(self.offer)
        self.state.listeners.append(self.report)
        try:
            await self.receive(call)
        except (
            grpc.aio.AioRpcError,
            asyncio.InvalidStateError,
            asyncio.CancelledError,
            codes.Failure,
        ) as error:
            # A read that is cancelled may raise any of these, and a read of a
            # call that the sender ended raises CancelledError: ask the task.
            if asyncio.current_task().cancelling():
                raise asyncio.CancelledError
            raise as_failure(error)
        finally:
            self.relay = ""
            self.heard = float("-inf")
            self.state.table.listeners.remove(self.offer)
            self.state.listeners.remove(self.report)
            sender.cancel()
            call.cancel()

    async def leave(self) -> None:
        """Tell the relay that this node stops as planned."""
        report = self.state.report()
        report.leaving = True
        self.outbox.put(report)

    def hello(self) -> messages.Hello:
        return messages.Hello(
            node=self.config.name,
            zone=self.config.zone,
            incarnation=self.incarnation,
            generation=self.state.generation,
            digest=self.state.digest,
            table=self.state.table.digest(),
            relay=self.is_relay,
        )

    async def send(self, call: grpc.aio.StreamStreamCall) -> None:
        """Write the hello, then all that waits, and heartbeats."""
        try:
            await self.write(call, self.hello())
            while True:
                message = await self.next_message()
                if message is None:
                    self.counters.add("control.dropped.slow-relay")
                    break
                await self.write(call, message)
        except (TimeoutError, grpc.aio.AioRpcError, asyncio.InvalidStateError):
            pass
        call.cancel()

    async def next_message(self) -> messages.Message | None:
        try:
            async with asyncio.timeout(self.config.control.node_beat_interval):
                return await self.outbox.get()
        except TimeoutError:
            return messages.Beat(self.state.generation)

    async def write(
        self, call: grpc.aio.StreamStreamCall, message: messages.Message
    ) -> None:
        encoded = messages.frame(message)
        self.counters.add(f"control.sent.{encoded.kind}")
        self.counters.add(f"control.sent-bytes.{encoded.kind}", len(encoded.data))
        async with asyncio.timeout(self.config.control.stream_timeout):
            await call.write(encoded)

    async def receive(self, call: grpc.aio.StreamStreamCall) -> None:
        """Read until the stream ends or is silent for too long."""
        while True:
            try:
                async with asyncio.timeout(self.config.control.stream_timeout):
                    message = await call.read()
            except TimeoutError:
                raise codes.Failure(codes.NO_RELAY, "silent")
            if message is grpc.aio.EOF:
                raise codes.Failure(codes.NO_RELAY, "stream ended")
            self.heard = self.time.monotonic()
            self.counters.add(f"control.received.{messages.kind_of(message)}")
            self.handle(message)

    def handle(self, message: messages.Message) -> None:
        """Act on one message of the relay."""
        match message:
            case messages.Welcome():
                self.welcome(message)
            case messages.Busy():
                raise codes.Failure(codes.RELAY_BUSY, retry_after=message.retry_after)
            case messages.Config():
                self.configure(message)
            case messages.Records():
                self.merge(message.items)
            case messages.Rejected():
                self.state.note_rejection(message.rejection)
            case messages.Want():
                if self.state.snapshot is not None:
                    self.outbox.put(self.state.full())
            case _:
                handler = self.handlers.get(type(message))
                if handler is not None:
                    handler(message)

    def welcome(self, message: messages.Welcome) -> None:
        self.relay = message.relay
        self.log.info("subscribed", relay=message.relay)
        # All that is known here goes up once: the relay may have lost it.
        records = self.state.table.all() if self.is_relay else self.own_records()
        if records:
            self.outbox.put(messages.Records(records))

    def own_records(self) -> list[messages.Record]:
        """Return the node's endpoint, and the quarantines, which any node may add."""
        endpoint = self.state.table.records.get(("endpoint", self.config.name))
        quarantines = self.state.table.all(messages.Quarantine)
        return quarantines if endpoint is None else [endpoint, *quarantines]

    def configure(self, message: messages.Config) -> None:
        try:
            self.state.apply(message.delta)
        except codes.Failure:
            self.outbox.put(messages.Want(self.state.digest))

    def merge(self, items: list[messages.Record]) -> None:
        self.receiving = True
        try:
            for record in items:
                self.state.table.merge(record)
        finally:
            self.receiving = False

    def offer(self, record: messages.Record) -> None:
        """Send up what was merged here and did not come from the relay.

        A relay sends nothing up: the other relay subscribes to it as well.
        """
        if not self.is_relay and not self.receiving:
            self.outbox.put(messages.Records([record]))

    def report(self) -> None:
        self.outbox.put(self.state.report())
