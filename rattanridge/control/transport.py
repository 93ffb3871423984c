"""Control streams and calls between nodes on grpc, without generated code.

Every call carries the caller's name and an HMAC over it with the shared key.
"""

import collections.abc
import hashlib
import hmac
import os
import typing

# Read once when the library is imported: its own lines would break the rule of
# one line of key=value pairs for each event.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")

import grpc
import grpc.aio

from rattanridge.control import messages
from rattanridge.kernel import addresses, codes, settings

SERVICE = "rattanridge.Control"
STOP_GRACE = 0.1  # seconds for calls in progress when the server stops
OPTIONS = [
    ("grpc.max_receive_message_length", messages.MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", messages.MAX_MESSAGE_BYTES),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.so_reuseport", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
]

UnaryHandler = collections.abc.Callable[
    [str, typing.Any], collections.abc.Awaitable[typing.Any]
]


def sign(key: str, purpose: str, node: str) -> str:
    """Return the token by which a node proves that it knows the shared key."""
    text = f"{purpose}/{node}".encode(errors="surrogateescape")
    return hmac.new(key.encode(), text, hashlib.sha256).hexdigest()


class Server:
    """Serves control methods of one node.

    :param config: the node's settings.
    """

    def __init__(self, config: settings.NodeSettings):
        self.config = config
        self.methods: dict[str, grpc.RpcMethodHandler] = {}
        self.server: grpc.aio.Server | None = None
        self.address = ""

    def add_unary(self, name: str, handler: UnaryHandler) -> None:
        """Serve a method that takes one message and answers one.

        ``handler(node, message)``; a coded failure travels to the caller.
        """

        async def handle(message: typing.Any, context: grpc.aio.ServicerContext):
            node = await self.authenticate(context)
            try:
                return await handler(node, message)
            except codes.Failure as failure:
                text = f"{failure.code.number} {failure.detail}"
                await context.abort(grpc.StatusCode.FAILED_PRECONDITION, text)

        self.methods[name] = grpc.unary_unary_rpc_method_handler(
            handle, messages.decode, messages.encode
        )

    def add_stream(self, name: str, handler: collections.abc.Callable) -> None:
        """Serve a stream; ``handler(node, context)`` reads and writes it."""

        async def handle(requests: typing.Any, context: grpc.aio.ServicerContext):
            node = await self.authenticate(context)
            await handler(node, context)

        self.methods[name] = grpc.stream_stream_rpc_method_handler(
            handle, messages.decode, messages.encode
        )

    async def authenticate(self, context: grpc.aio.ServicerContext) -> str:
        """Return the peer's name, or end the call if it did not prove the key."""
        metadata = {item[0]: item[1] for item in context.invocation_metadata()}
        node = str(metadata.get("node", ""))
        token = str(metadata.get("token", ""))
        wanted = sign(self.config.key, "control", node)
        if not hmac.compare_digest(token.encode(), wanted.encode()):
            text = f"{codes.NOT_AUTHENTIC.number}"
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, text)
        return node

    async def start(self) -> str:
        """Listen; return the address as ``host:port``."""
        self.server = grpc.aio.server(options=OPTIONS)
        handler = grpc.method_handlers_generic_handler(SERVICE, self.methods)
        self.server.add_generic_rpc_handlers((handler,))
        host = self.config.address
        wanted = addresses.join(host, self.config.control_port)
        try:
            port = self.server.add_insecure_port(wanted)
        except RuntimeError:
            raise codes.Failure(codes.CANNOT_LISTEN, where=wanted)
        await self.server.start()
        self.address = addresses.join(host, port)
        return self.address

    async def stop(self) -> None:
        if self.server is not None:
            await self.server.stop(STOP_GRACE)


class Channels:
    """Connections to other nodes, one for each address.

    :param config: the node's settings.
    """

    def __init__(self, config: settings.NodeSettings):
        self.config = config
        token = sign(config.key, "control", config.name)
        self.metadata = (("node", config.name), ("token", token))
        self.channels: dict[str, grpc.aio.Channel] = {}

    def channel(self, address: str) -> grpc.aio.Channel:
        if address not in self.channels:
            self.channels[address] = grpc.aio.insecure_channel(address, OPTIONS)
        return self.channels[address]

    async def call(
        self, address: str, method: str, message: typing.Any, timeout: float
    ) -> typing.Any:
        """Call a method once; raise a coded failure if it fails."""
        rpc = self.channel(address).unary_unary(
            f"/{SERVICE}/{method}", messages.encode, messages.decode
        )
        try:
            return await rpc(message, timeout=timeout, metadata=self.metadata)
        except grpc.aio.AioRpcError as error:
            raise as_failure(error)

    def stream(self, address: str, method: str) -> grpc.aio.StreamStreamCall:
        """Open a stream; the caller reads, writes and cancels it."""
        rpc = self.channel(address).stream_stream(
            f"/{SERVICE}/{method}", messages.encode, messages.decode
        )
        return rpc(metadata=self.metadata)

    async def drop(self, address: str) -> None:
        """Close the connection to an address that is no longer used."""
        channel = self.channels.pop(address, None)
        if channel is not None:
            await channel.close(None)

    async def close(self) -> None:
        for address in list(self.channels):
            await self.drop(address)


def as_failure(error: grpc.aio.AioRpcError) -> codes.Failure:
    """Turn a failed call into the coded failure that the peer meant."""
    details = error.details() or ""
    number, _, text = details.partition(" ")
    if error.code() is grpc.StatusCode.FAILED_PRECONDITION and number.isdigit():
        return codes.Failure(codes.TABLE.get(int(number), codes.BAD_MESSAGE), text)
    if error.code() is grpc.StatusCode.UNAUTHENTICATED:
        return codes.Failure(codes.NOT_AUTHENTIC)
    return codes.Failure(codes.NO_RELAY, f"{error.code().name}: {details}")
