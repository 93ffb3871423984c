"""Client of the platform's metadata store: objects by kind and name, with watches."""

import asyncio
import dataclasses
import socket
import typing
import urllib.parse

import aiohttp
import msgspec

from rattanridge.kernel import codes, untrusted_json

NULL = b"null"
MAX_ANSWER_BYTES = 33_554_432  # of the largest answer that is taken
CALL_TIMEOUT = 2.0  # seconds for an answer to a call that is not a watch
WATCH_MARGIN = 0.8  # seconds that a watch may take longer than it was asked to wait
CONNECT_TIMEOUT = 1.0  # seconds
KEEPALIVE_IDLE = 1  # seconds of silence before the first probe of a connection
KEEPALIVE_COUNT = 2  # lost probes, a second apart, that end a connection
STATUS_CODES = {
    404: codes.PLATFORM_MISSING,
    409: codes.PLATFORM_CONFLICT,
    410: codes.WATCH_LOST,
    429: codes.PLATFORM_BUSY,
    503: codes.PLATFORM_BUSY,
}

# Failures of which another try may be free.
TRANSIENT_CODES = (codes.PLATFORM_DOWN, codes.PLATFORM_BUSY)

# Parameters of a query.
AFTER = "after"
WATCH = "Watch"
WAIT = "WaitMs"
REVISION = "Revision"
STALE = "AllowStale"


@dataclasses.dataclass(slots=True, frozen=True)
class StoredObject:
    """One object of the store.

    :param revision: the store's revision at the object's last change; 0 for an
        object that cannot be read.
    :param spec: JSON that the writer of the object set.
    :param status: JSON that the system answers with.
    :param deleted: whether the object is gone.
    """

    name: str
    revision: int
    spec: bytes = NULL
    status: bytes = NULL
    deleted: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Listing:
    """Objects of one kind, all or the changed ones, up to a revision of the store."""

    items: list[StoredObject]
    revision: int


class WireMetadata(msgspec.Struct, omit_defaults=True):
    """What the store says of an object."""

    name: str = msgspec.field(name="Name")
    revision: int = msgspec.field(name="Revision", default=0)
    marked: bool = msgspec.field(name="MarkedForDeletion", default=False)


class WireObject(msgspec.Struct, omit_defaults=True):
    """An object on the wire."""

    metadata: WireMetadata = msgspec.field(name="Metadata")
    spec: msgspec.Raw = msgspec.field(name="Spec", default=msgspec.Raw(NULL))
    status: msgspec.Raw = msgspec.field(name="Status", default=msgspec.Raw(NULL))


class WireEvent(msgspec.Struct):
    """One change that a watch tells."""

    object: msgspec.Raw = msgspec.field(name="Object")
    deleted: bool = msgspec.field(name="IsDeleted", default=False)


class WireListing(msgspec.Struct):
    """The answer to a list."""

    items: list[msgspec.Raw] = []
    more: bool = msgspec.field(name="HasMore", default=False)
    revision: int = msgspec.field(name="CurrentRev", default=0)


class WireChanges(msgspec.Struct):
    """The answer to a watch."""

    events: list[WireEvent] = []
    revision: int = msgspec.field(name="CurrentRev", default=0)


def decode_object(data: bytes, deleted: bool = False) -> StoredObject | None:
    """Decode one object; None if even its name cannot be read."""
    wire = untrusted_json.decode_or_none(data, WireObject)
    if wire is None:
        return None
    return StoredObject(
        wire.metadata.name,
        wire.metadata.revision,
        bytes(wire.spec),
        bytes(wire.status),
        deleted or wire.metadata.marked,
    )


def encode(name: str, revision: int, spec: bytes = NULL, status: bytes = NULL) -> bytes:
    """Return an object as it is written; revision 0 sets no condition."""
    wire = WireObject(
        WireMetadata(name, revision), msgspec.Raw(spec), msgspec.Raw(status)
    )
    return msgspec.json.encode(wire)


def decode(data: bytes, kind: type) -> typing.Any:
    """Decode an answer of the store."""
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise codes.Failure(codes.PLATFORM_REFUSED, f"unreadable answer: {error}")


def open_socket(info: tuple) -> socket.socket:
    """Open a socket whose peer is probed, so that a silent connection ends."""
    family, kind, protocol = info[:3]
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
    return opened


class Store:
    """Makes the store's calls; each failure is a coded one.

    ``platform-down`` leaves open whether a write took effect; ``platform-busy``
    says that nothing was done.

    :param address: ``host:port`` of the store.
    :param observe: told the call's name and outcome, for the metrics.
    """

    def __init__(
        self,
        address: str,
        observe: typing.Callable[[str, str], None] = lambda call, outcome: None,
    ):
        self.base = f"http://{address}/api/objects/"
        self.observe = observe
        self.session: aiohttp.ClientSession | None = None

    def open(self) -> aiohttp.ClientSession:
        """Return the session; made on first use, for it needs the running loop."""
        if self.session is None:
            connector = aiohttp.TCPConnector(
                limit=0, ttl_dns_cache=None, socket_factory=open_socket
            )
            self.session = aiohttp.ClientSession(
                connector=connector, cookie_jar=aiohttp.DummyCookieJar()
            )
        return self.session

    async def close(self) -> None:
        """Close all connections."""
        if self.session is not None:
            await self.session.close()

    async def list(self, kind: str) -> Listing:
        """Return all objects of a kind that can be read."""
        items: list[StoredObject] = []
        query: dict[str, str] = {}
        while True:
            wire = decode(await self.call("list", "GET", kind, query), WireListing)
            page = [decode_object(bytes(raw)) for raw in wire.items]
            items.extend(item for item in page if item is not None)
            if not wire.more or not items:
                return Listing(items, wire.revision)
            query = {AFTER: items[-1].name}

    async def watch(
        self, kind: str, revision: int, wait: float, stale: bool = False
    ) -> Listing:
        """Wait for changes after a revision, at most ``wait`` seconds.

        :param stale: whether changes may be told seconds late; then the call costs
            a tenth, and does not count against the store's rate.

        Raises ``watch-lost`` if the store's history no longer reaches back so far,
        or if the watch stays silent beyond its time.
        """
        query = {WATCH: str(revision), WAIT: str(int(wait * 1000))}
        if stale:
            query[STALE] = "1"
        try:
            async with asyncio.timeout(wait + WATCH_MARGIN):
                data = await self.call("watch", "GET", kind, query, timeout=None)
        except TimeoutError:
            self.observe("watch", codes.WATCH_LOST.name)
            raise codes.Failure(codes.WATCH_LOST, f"{kind}: silent")
        wire = decode(data, WireChanges)
        page = [decode_object(bytes(item.object), item.deleted) for item in wire.events]
        return Listing([item for item in page if item is not None], wire.revision)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return one object, or None if there is none."""
        try:
            data = await self.call("get", "GET", f"{kind}/{quote(name)}")
        except codes.Failure as failure:
            if failure.code is codes.PLATFORM_MISSING:
                return None
            raise
        return decode_object(data)

    async def create(self, kind: str, name: str, spec: bytes) -> StoredObject:
        """Create an object; ``platform-conflict`` if there is one already."""
        body = encode(name, 0, spec=spec)
        return self.stored(await self.call("create", "POST", kind, body=body))

    async def replace(
        self, kind: str, name: str, spec: bytes, revision: int
    ) -> StoredObject:
        """Replace the spec if the object's revision is still the one given."""
        body = encode(name, revision, spec=spec)
        path = f"{kind}/{quote(name)}"
        return self.stored(await self.call("replace", "PUT", path, body=body))

    async def replace_status(
        self, kind: str, name: str, status: bytes, revision: int
    ) -> StoredObject:
        """Replace the status if the object's revision is still the one given."""
        body = encode(name, revision, status=status)
        path = f"{kind}/{quote(name)}/status"
        return self.stored(await self.call("status", "PUT", path, body=body))

    async def delete(self, kind: str, name: str, revision: int) -> None:
        """Delete an object if its revision is still the one given."""
        query = {REVISION: str(revision)}
        await self.call("delete", "DELETE", f"{kind}/{quote(name)}", query)

    def stored(self, data: bytes) -> StoredObject:
        """Decode the object that a write returns."""
        found = decode_object(data)
        if found is None:
            raise codes.Failure(codes.PLATFORM_REFUSED, "unreadable object")
        return found

    async def call(
        self,
        name: str,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        body: bytes = b"",
        timeout: float | None = CALL_TIMEOUT,
    ) -> bytes:
        """Make one call; raise a coded failure unless it succeeds."""
        limit = aiohttp.ClientTimeout(total=timeout, sock_connect=CONNECT_TIMEOUT)
        headers = {"Content-Type": "application/json"} if body else {}
        try:
            async with self.open().request(
                method,
                self.base + path,
                params=query or None,
                data=body or None,
                headers=headers,
                timeout=limit,
            ) as response:
                data = await read_answer(response)
                status = response.status
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self.observe(name, codes.PLATFORM_DOWN.name)
            raise codes.Failure(codes.PLATFORM_DOWN, f"{name}: {type(error).__name__}")
        if 200 <= status < 300:
            self.observe(name, "ok")
            return data
        code = STATUS_CODES.get(status, codes.PLATFORM_REFUSED)
        self.observe(name, code.name)
        raise codes.Failure(code, f"{method} {path}: {status}")


async def read_answer(response: aiohttp.ClientResponse) -> bytes:
    """Return the body of an answer; one without an end is broken off."""
    parts = []
    size = 0
    while part := await response.content.readany():
        parts.append(part)
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            raise aiohttp.ClientPayloadError("answer too large")
    return b"".join(parts)


def quote(name: str) -> str:
    """Return an object's name as part of a path."""
    return urllib.parse.quote(name, safe="")
