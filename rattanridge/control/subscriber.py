"""A node's subscription to one relay: one task, one stream."""

import asyncio

import grpc
import grpc.aio

from rattanridge.control import messages, replica, transport
from rattanridge.kernel import clock, codes, log, metrics, settings


class Subscriber:
    """Keeps the replica up to date from one relay's stream.

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
        self.outbox: asyncio.Queue = asyncio.Queue()
        self.candidate = lambda role: None

    async def run(self, address: str) -> None:
        """Subscribe and stay until the stream ends; raise a coded failure then."""
        call = self.channels.stream(address, "Subscribe")
        self.outbox = asyncio.Queue()
        sender = asyncio.create_task(self.send(call))
        self.state.table.listeners.append(self.offer)
        self.state.listeners.append(self.report)
        try:
            await self.receive(call)
        except grpc.aio.AioRpcError as error:
            raise transport.as_failure(error)
        except asyncio.InvalidStateError:
            raise codes.Failure(codes.NO_RELAY, "stream closed")
        finally:
            self.relay = ""
            self.state.table.listeners.remove(self.offer)
            self.state.listeners.remove(self.report)
            sender.cancel()
            call.cancel()

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
        """Write the hello, then all that waits, and a report as heartbeat."""
        try:
            await self.write(call, self.hello())
            while True:
                await self.write(call, await self.next_message())
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
            call.cancel()

    async def next_message(self) -> messages.Message:
        try:
            return await asyncio.wait_for(
                self.outbox.get(), self.config.control.report_interval
            )
        except TimeoutError:
            return self.state.report()

    async def write(
        self, call: grpc.aio.StreamStreamCall, message: messages.Message
    ) -> None:
        self.counters.add(f"control.sent.{type(message).__name__.lower()}")
        await call.write(message)

    async def receive(self, call: grpc.aio.StreamStreamCall) -> None:
        """Read until the stream ends or is silent for too long."""
        while True:
            try:
                message = await asyncio.wait_for(
                    call.read(), self.config.control.stream_timeout
                )
            except TimeoutError:
                raise codes.Failure(codes.NO_RELAY, "silent")
            if message is grpc.aio.EOF:
                raise codes.Failure(codes.NO_RELAY, "stream ended")
            self.counters.add(f"control.received.{type(message).__name__.lower()}")
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
                for record in message.items:
                    self.state.table.merge(record)
            case messages.Want():
                if self.state.snapshot is not None:
                    self.outbox.put_nowait(self.state.full())
            case messages.Candidate():
                self.candidate(message.role)

    def welcome(self, message: messages.Welcome) -> None:
        self.relay = message.relay
        self.log.info("subscribed", relay=message.relay)
        # All that is known here goes up once: the relay may have lost it.
        records = self.state.table.all() if self.is_relay else self.own_records()
        if records:
            self.outbox.put_nowait(messages.Records(records))

    def own_records(self) -> list[messages.Record]:
        return [
            record
            for record in self.state.table.all(messages.Endpoint)
            if record.name == self.config.name
        ]

    def configure(self, message: messages.Config) -> None:
        try:
            self.state.apply(message.delta)
        except codes.Failure:
            self.outbox.put_nowait(messages.Want(self.state.digest))

    def offer(self, record: messages.Record) -> None:
        """Send a new record up; the relay drops what it knows already."""
        own = getattr(record, "name", "") == self.config.name
        if self.is_relay or own or isinstance(record, messages.Quarantine):
            self.outbox.put_nowait(messages.Records([record]))

    def report(self) -> None:
        self.outbox.put_nowait(self.state.report())
