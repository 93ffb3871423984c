"""Client of the platform's metadata store: read, write and watch its objects."""

import collections.abc
import dataclasses
import socket
import typing
import urllib.parse

import aiohttp

from rattanridge.kernel import codes
from rattanridge.platform import store_objects

MAX_ANSWER_BYTES = 33_554_432  # largest answer that is read; more is an error
CALL_TIMEOUT = 2.0  # seconds until the whole answer to a call other than a watch
CHECK_TIMEOUT = 0.8  # seconds until the answer to a check
CONNECT_TIMEOUT = 1.0  # seconds to open a connection
KEEPALIVE_IDLE = 1  # seconds without data before the first TCP keep-alive probe
KEEPALIVE_COUNT = 2  # unanswered probes, 1 s apart, that close the connection
CODES_BY_STATUS = {
    404: codes.PLATFORM_MISSING,
    409: codes.PLATFORM_CONFLICT,
    410: codes.WATCH_LOST,
    429: codes.PLATFORM_BUSY,
    503: codes.PLATFORM_BUSY,
}

# Failures that may not occur again if the call is retried.
TRANSIENT_CODES = (codes.PLATFORM_DOWN, codes.PLATFORM_BUSY)

ERA = "Store-Era"  # header of each answer

# Query parameters.
AFTER = "after"
WATCH = "Watch"
WAIT = "WaitMs"
REVISION = "Revision"
STALE = "AllowStale"

Observe = collections.abc.Callable[[str, str], None]


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """The answer to a call.

    :param era: of the store when it answered.
    """

    body: bytes
    era: int


def open_socket(info: tuple) -> socket.socket:
    """Open a socket with TCP keep-alive, so that a dead connection is closed."""
    family, kind, protocol = info[:3]
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
    return opened


class Store:
    """Client of the store; each error is raised as a ``codes.Failure``.

    After ``platform-down`` a write may or may not have taken effect; after
    ``platform-busy`` it did not.

    :param address: ``host:port`` of the store.
    :param observe: called with the name and outcome of each call, for the metrics.

    ``era`` is the highest era of an answer; None before the first one. Functions in
    ``era_listeners`` are called when it rises.
    """

    def __init__(
        self,
        address: str,
        observe: Observe = lambda call, outcome: None,
    ):
        self.base = f"http://{address}/api/objects/"
        self.observe = observe
        self.session: aiohttp.ClientSession | None = None
        self.era: int | None = None
        self.era_listeners: list[typing.Callable[[], None]] = []

    def record_era(self, text: str | None) -> int:
        """Record the era that an answer names, and return it.

        An answer that names none, or nothing readable, counts as one of the last era.
        """
        known = self.era or 0
        if text is None or not (text.isascii() and text.isdigit()):
            return known
        era = int(text)
        if self.era is None:
            self.era = era
        elif era > self.era:
            self.era = era
            for listener in self.era_listeners:
                listener()
        return era

    def wire_revision(self, revision: int, code: codes.Code) -> int:
        """Return a revision as the store knows it; 0 for none.

        Raise a failure with ``code`` if it belongs to an earlier era: the same number
        may stand for something else now.
        """
        if (
            revision
            and self.era is not None
            and store_objects.era_of(revision) < self.era
        ):
            raise codes.Failure(code, f"revision of the era before {self.era}")
        return revision % store_objects.ERA_REVISIONS

    def get_session(self) -> aiohttp.ClientSession:
        """Return the session, created on first use because it needs a running loop."""
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

    async def list(self, kind: str, allow_stale: bool = False) -> store_objects.Listing:
        """Return all readable objects of a kind.

        :param allow_stale: whether they may be seconds old; see ``watch``.
        """
        items: list[store_objects.StoredObject] = []
        common = {STALE: "1"} if allow_stale else {}
        query = common
        first_era = None
        while True:
            answer = await self.call("list", "GET", kind, query)
            wire = store_objects.decode(answer.body, store_objects.WireListing)
            era = answer.era
            if first_era not in (None, era):
                raise codes.Failure(codes.PLATFORM_BUSY, f"{kind}: era {era} began")
            first_era = era
            page = drop_unreadable(
                self.observe,
                [
                    store_objects.decode_object(bytes(raw), era=era)
                    for raw in wire.items or ()
                ],
            )
            items.extend(page)
            if wire.more and not page:
                # Nothing names the object after which the next page begins.
                raise codes.Failure(
                    codes.PLATFORM_REFUSED, f"{kind}: a page of a list has no object"
                )
            if not wire.more:
                return store_objects.Listing(
                    items, store_objects.make_revision(era, wire.revision)
                )
            query = common | {AFTER: items[-1].name}

    async def watch(
        self,
        kind: str,
        revision: int,
        wait: float,
        margin: float,
        stale: bool = False,
    ) -> store_objects.Listing:
        """Wait for changes after a revision, at most ``wait`` seconds.

        Raise ``watch-lost`` if the store's history no longer reaches back to the
        revision, or if the store has begun a new era since; ``watch-unanswered`` if
        nothing comes for ``wait`` and ``margin`` seconds.

        :param margin: seconds for the way to the store and back.
        :param stale: whether changes may arrive seconds late; such a call costs a
            tenth of a normal one and does not count against the store's rate limit.
        """
        number = self.wire_revision(revision, codes.WATCH_LOST)
        query = {WATCH: str(number), WAIT: str(int(wait * 1000))}
        if stale:
            query[STALE] = "1"
        silence = wait + margin
        answer = await self.call(
            "watch",
            "GET",
            kind,
            query,
            timeout=silence + CALL_TIMEOUT,
            max_silence=silence,
        )
        era = answer.era
        if revision and era != store_objects.era_of(revision):
            raise codes.Failure(codes.WATCH_LOST, f"{kind}: answer of era {era}")
        wire = store_objects.decode(answer.body, store_objects.WireChanges)
        items = drop_unreadable(
            self.observe,
            [
                store_objects.decode_object(bytes(item.object), bool(item.deleted), era)
                for item in wire.events or ()
            ],
        )
        return store_objects.Listing(
            items, store_objects.make_revision(era, wire.revision)
        )

    async def get(self, kind: str, name: str) -> store_objects.StoredObject | None:
        """Return one object; None if it does not exist or is unreadable."""
        try:
            answer = await self.call("get", "GET", f"{kind}/{quote(name)}")
        except codes.Failure as failure:
            if failure.code is codes.PLATFORM_MISSING:
                return None
            raise
        return store_objects.decode_object(answer.body, era=answer.era)

    async def check(self, kind: str, name: str) -> None:
        """Make the cheapest call; raise a coded failure unless the store answers it.

        :param name: an object, which need not exist.
        """
        try:
            await self.call(
                "check",
                "GET",
                f"{kind}/{quote(name)}",
                {STALE: "1"},
                timeout=CHECK_TIMEOUT,
            )
        except codes.Failure as failure:
            if failure.code is not codes.PLATFORM_MISSING:
                raise

    async def check_history(self, kind: str, revision: int) -> None:
        """Raise ``watch-lost`` unless the store's history reaches back to a revision.

        As cheap as ``check`` if there are few small changes of the kind.
        """
        number = self.wire_revision(revision, codes.WATCH_LOST)
        query = {WATCH: str(number), WAIT: "0", STALE: "1"}
        await self.call("check", "GET", kind, query, timeout=CHECK_TIMEOUT)

    async def create(
        self, kind: str, name: str, spec: bytes
    ) -> store_objects.StoredObject:
        """Create an object; raise ``platform-conflict`` if it already exists."""
        body = store_objects.encode(name, 0, spec=spec)
        return self.decode_written(await self.call("create", "POST", kind, body=body))

    async def replace(
        self, kind: str, name: str, spec: bytes, revision: int
    ) -> store_objects.StoredObject:
        """Replace the spec; raise ``platform-conflict`` if the revision changed."""
        number = self.wire_revision(revision, codes.PLATFORM_CONFLICT)
        body = store_objects.encode(name, number, spec=spec)
        path = f"{kind}/{quote(name)}"
        return self.decode_written(await self.call("replace", "PUT", path, body=body))

    async def replace_status(
        self, kind: str, name: str, status: bytes, revision: int
    ) -> store_objects.StoredObject:
        """Replace the status; raise ``platform-conflict`` if the revision changed."""
        number = self.wire_revision(revision, codes.PLATFORM_CONFLICT)
        body = store_objects.encode(name, number, status=status)
        path = f"{kind}/{quote(name)}/status"
        return self.decode_written(await self.call("status", "PUT", path, body=body))

    async def delete(self, kind: str, name: str, revision: int) -> None:
        """Delete an object; raise ``platform-conflict`` if its revision changed."""
        number = self.wire_revision(revision, codes.PLATFORM_CONFLICT)
        query = {REVISION: str(number)}
        await self.call("delete", "DELETE", f"{kind}/{quote(name)}", query)

    def decode_written(self, answer: Answer) -> store_objects.StoredObject:
        """Decode the object in the answer to a write.

        Raise ``platform-down`` if a new era has begun meanwhile, which may have lost
        the write.
        """
        if answer.era < (self.era or 0):
            raise codes.Failure(codes.PLATFORM_DOWN, "written in an earlier era")
        written = store_objects.decode_object(answer.body, era=answer.era)
        if written is None:
            raise codes.Failure(
                codes.PLATFORM_REFUSED, "the answer to a write holds no readable object"
            )
        return written

    async def call(
        self,
        name: str,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        body: bytes = b"",
        timeout: float = CALL_TIMEOUT,
        max_silence: float | None = None,
    ) -> Answer:
        """Return a call's answer; raise a ``codes.Failure`` if it fails.

        :param name: the call's name in the metrics.
        :param timeout: seconds for the whole call.
        :param max_silence: seconds without a byte of the answer after which
            ``watch-unanswered`` is raised; None for no such limit.
        """
        limit = aiohttp.ClientTimeout(
            total=timeout, sock_connect=CONNECT_TIMEOUT, sock_read=max_silence
        )
        headers = {"Content-Type": "application/json"} if body else {}
        try:
            async with self.get_session().request(
                method,
                self.base + path,
                params=query or None,
                data=body or None,
                headers=headers,
                timeout=limit,
            ) as response:
                data = await read_answer(response)
                status = response.status
                era = self.record_era(response.headers.get(ERA))
        except aiohttp.SocketTimeoutError:
            self.observe(name, codes.WATCH_UNANSWERED.name)
            raise codes.Failure(
                codes.WATCH_UNANSWERED, f"{path}: nothing for {max_silence:.1f} s"
            )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self.observe(name, codes.PLATFORM_DOWN.name)
            raise codes.Failure(codes.PLATFORM_DOWN, f"{name}: {type(error).__name__}")
        if 200 <= status < 300:
            self.observe(name, "ok")
            return Answer(data, era)
        code = CODES_BY_STATUS.get(status, codes.PLATFORM_REFUSED)
        self.observe(name, code.name)
        raise codes.Failure(code, f"{method} {path}: {status}")


def drop_unreadable(
    observe: Observe, found: list[store_objects.StoredObject | None]
) -> list[store_objects.StoredObject]:
    """Return the objects that could be read; count the others."""
    readable = [item for item in found if item is not None]
    for _ in range(len(found) - len(readable)):
        observe("decode", "unreadable-object")
    return readable


async def read_answer(response: aiohttp.ClientResponse) -> bytes:
    """Return the body of an answer; raise if it exceeds ``MAX_ANSWER_BYTES``."""
    parts = []
    size = 0
    while part := await response.content.readany():
        parts.append(part)
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            raise aiohttp.ClientPayloadError(
                f"answer of the store is larger than {MAX_ANSWER_BYTES} bytes"
            )
    return b"".join(parts)


def quote(name: str) -> str:
    """Quote an object's name for use in a URL path."""
    return urllib.parse.quote(name, safe="")
