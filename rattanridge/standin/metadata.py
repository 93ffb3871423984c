"""Stand-in of the platform's metadata store, in memory, with faults on demand."""

import asyncio
import collections
import dataclasses
import re
import time

import aiohttp.web
import msgspec

from rattanridge.platform import store as stores, store_objects
from rattanridge.standin import faults

MAX_HISTORY = 1000  # latest changes that a watch can still read
PREFIX = "/api/objects/"
# Texts and numbers of JSON.
TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|-?\d[\d.eE+-]*')
WHOLE_NUMBER = re.compile(rb"-?\d+")
FAULTS_PATH = "/faults"
RETURN_PATH = "/return"


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults in force; all off by default.

    :param down: every call is answered 503 and has no effect.
    :param silent: no call is answered.
    :param lost: writes take effect, but their connection is closed without an
        answer.
    :param delay: seconds before each call is processed.
    :param deaf: watches report no change before their waiting time is over.
    :param mute: no watch is answered.
    :param fractions: whole numbers in answers are written with a fraction, as ``6.0``.
    """

    down: bool = False
    silent: bool = False
    lost: bool = False
    delay: float = 0.0
    deaf: bool = False
    mute: bool = False
    fractions: bool = False


@dataclasses.dataclass(slots=True)
class Event:
    """One change of an object; without an object it marks a dropped history."""

    revision: int
    kind: str
    object: store_objects.WireObject | None
    deleted: bool


@dataclasses.dataclass(slots=True)
class Undo:
    """What one write has replaced.

    :param at: monotonic seconds of the write.
    :param revision: the store's revision before it.
    :param existing: the object before it; None if there was none.
    """

    at: float
    revision: int
    key: tuple[str, str]
    existing: store_objects.WireObject | None


class MetadataStore:
    """Serves objects by kind and name, and counts calls and bytes of answers."""

    def __init__(self) -> None:
        self.revision = 1
        self.era = 1
        self.undos: collections.deque[Undo] = collections.deque(maxlen=MAX_HISTORY)
        self.objects: dict[tuple[str, str], store_objects.WireObject] = {}
        self.events: list[Event] = []
        self.changed = asyncio.Condition()
        self.faults = Faults()
        self.calls = 0
        self.sent_bytes = 0
        self.runner: aiohttp.web.ServerRunner
        self.address = ""

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Listen at ``host:port``; port 0 selects a free port."""
        server = aiohttp.web.Server(self.serve)
        self.runner = aiohttp.web.ServerRunner(server, shutdown_timeout=0.1)
        await self.runner.setup()
        host, _, port = address.rpartition(":")
        await aiohttp.web.TCPSite(self.runner, host, int(port)).start()
        self.address = f"{host}:{self.runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        await self.runner.cleanup()

    async def serve(self, request: aiohttp.web.BaseRequest) -> aiohttp.web.Response:
        """Answer one call, subject to the faults in force."""
        if request.path == FAULTS_PATH:
            self.faults, answer = await faults.handle_faults(request, self.faults)
            return answer
        if request.path == RETURN_PATH:
            return await self.answer_return(request)
        self.calls += 1
        await asyncio.sleep(self.faults.delay)
        if self.faults.silent:
            await asyncio.sleep(3600)
        if self.faults.down:
            return aiohttp.web.Response(status=503)
        kind, _, rest = request.path.removeprefix(PREFIX).partition("/")
        name, _, part = rest.partition("/")
        response = await self.answer(request, kind, name, part)
        response.headers[stores.ERA] = str(self.era)
        self.sent_bytes += response.content_length or 0
        if self.faults.lost and request.method != "GET":
            faults.transport_of(request).abort()
        return response

    async def answer(
        self, request: aiohttp.web.BaseRequest, kind: str, name: str, part: str
    ) -> aiohttp.web.Response:
        """Execute a call on the objects and return its response."""
        if request.method == "GET" and stores.WATCH in request.query:
            return await self.watch(request, kind)
        if request.method == "GET":
            return self.get(kind, name)
        if request.method == "DELETE":
            existing = self.objects.get((kind, name))
            revision = int(request.query.get(stores.REVISION, 0))
            return await self.write(kind, name, revision, existing, deleted=True)
        wire = msgspec.json.decode(await request.read(), type=store_objects.WireObject)
        existing = self.objects.get((kind, wire.metadata.name))
        if request.method == "POST" and existing is not None:
            return self.reply(existing, 409)
        updated = self.merge(existing, wire, part)
        revision = wire.metadata.revision
        return await self.write(kind, wire.metadata.name, revision, updated)

    def merge(
        self,
        existing: store_objects.WireObject | None,
        wire: store_objects.WireObject,
        part: str,
    ) -> store_objects.WireObject:
        """Return the object after a write.

        :param part: empty if the spec is written, else the status is.
        """
        metadata = store_objects.WireMetadata(wire.metadata.name)
        if existing is None:
            return store_objects.WireObject(metadata, wire.spec)
        if part:
            return store_objects.WireObject(metadata, existing.spec, wire.status)
        return store_objects.WireObject(metadata, wire.spec, existing.status)

    def get(self, kind: str, name: str) -> aiohttp.web.Response:
        """Return one object, or all objects of a kind if ``name`` is empty."""
        if name:
            existing = self.objects.get((kind, name))
            return (
                self.reply(existing) if existing else aiohttp.web.Response(status=404)
            )
        found = [item for key, item in sorted(self.objects.items()) if key[0] == kind]
        items = [msgspec.Raw(msgspec.json.encode(item)) for item in found]
        return self.reply(store_objects.WireListing(items, False, self.revision))

    async def watch(
        self, request: aiohttp.web.BaseRequest, kind: str
    ) -> aiohttp.web.Response:
        """Return the changes after a revision as soon as there is one.

        The list is empty if the waiting time passes without a change. The status is
        410 if the history no longer reaches back to the revision.
        """
        after = int(request.query[stores.WATCH])
        if after > self.revision:
            return aiohttp.web.Response(status=410)
        if self.events and after < self.events[0].revision - 1:
            return aiohttp.web.Response(status=410)
        wait = int(request.query.get(stores.WAIT, 0)) / 1000
        era = self.era
        if self.faults.mute:
            await asyncio.sleep(3600)
        try:
            async with asyncio.timeout(wait), self.changed:
                await self.changed.wait_for(
                    lambda: (
                        self.era != era
                        or (not self.faults.deaf and self.since(kind, after))
                    )
                )
        except TimeoutError:
            pass
        if self.era != era:
            return aiohttp.web.Response(status=410)
        events = [
            store_objects.WireEvent(
                msgspec.Raw(msgspec.json.encode(item.object)), item.deleted
            )
            for item in self.since(kind, after)
        ]
        return self.reply(store_objects.WireChanges(events, self.revision))

    def since(self, kind: str, after: int) -> list[Event]:
        """Return the changes of a kind after a revision."""
        return [
            item for item in self.events if item.kind == kind and item.revision > after
        ]

    async def write(
        self,
        kind: str,
        name: str,
        revision: int,
        updated: store_objects.WireObject | None,
        deleted: bool = False,
    ) -> aiohttp.web.Response:
        """Create, replace or delete an object.

        :param revision: revision that the object must have, or the response is 409;
            0 accepts any.
        """
        existing = self.objects.get((kind, name))
        if existing is None and (revision or deleted):
            return aiohttp.web.Response(status=404)
        if existing is not None and revision not in (0, existing.metadata.revision):
            return self.reply(existing, 409)
        if updated is None:
            raise ValueError(f"nothing to write as {kind}/{name}")
        async with self.changed:
            self.undos.append(
                Undo(time.monotonic(), self.revision, (kind, name), copy(existing))
            )
            self.revision += 1
            updated.metadata.revision = self.revision
            if deleted:
                del self.objects[kind, name]
            else:
                self.objects[kind, name] = updated
            self.events.append(Event(self.revision, kind, updated, deleted))
            del self.events[:-MAX_HISTORY]
            self.changed.notify_all()
        return self.reply(updated)

    async def put(self, kind: str, name: str, spec: bytes) -> None:
        """Write the spec of an object unconditionally and without checking it."""
        metadata = store_objects.WireMetadata(name)
        existing = self.objects.get((kind, name))
        status = (
            existing.status if existing is not None else msgspec.Raw(store_objects.NULL)
        )
        await self.write(
            kind, name, 0, store_objects.WireObject(metadata, msgspec.Raw(spec), status)
        )

    async def answer_return(
        self, request: aiohttp.web.BaseRequest
    ) -> aiohttp.web.Response:
        """Return to the copy whose age in seconds is the body; 400 if unreadable."""
        try:
            seconds = msgspec.json.decode(await request.read(), type=float)
        except msgspec.MsgspecError as error:
            return aiohttp.web.Response(text=str(error), status=400)
        await self.restore(seconds)
        return self.reply(self.era)

    async def restore(self, seconds: float) -> None:
        """Return to the state of some seconds ago, and begin a new era.

        Waiting watches are cut off; revisions are given out again.
        """
        oldest = time.monotonic() - seconds
        async with self.changed:
            while self.undos and self.undos[-1].at > oldest:
                self.undo(self.undos.pop())
            self.events = [
                item for item in self.events if item.revision <= self.revision
            ]
            self.era += 1
            self.changed.notify_all()

    def undo(self, undo: Undo) -> None:
        """Take one write back."""
        self.revision = undo.revision
        if undo.existing is None:
            self.objects.pop(undo.key, None)
        else:
            self.objects[undo.key] = undo.existing

    def expire_history(self) -> None:
        """Drop the history, so that watches have to list all objects again."""
        self.revision += 1
        self.events = [Event(self.revision, "", None, False)]

    def reply(self, body: object, status: int = 200) -> aiohttp.web.Response:
        """Return a response with a JSON body."""
        text = msgspec.json.encode(body)
        if self.faults.fractions:
            text = TOKEN.sub(add_fraction, text)
        return aiohttp.web.Response(
            status=status, body=text, content_type="application/json"
        )


def add_fraction(token: re.Match[bytes]) -> bytes:
    """Return a token of JSON, a whole number as one with a fraction."""
    text = token[0]
    return text + b".0" if WHOLE_NUMBER.fullmatch(text) else text


def copy(item: store_objects.WireObject | None) -> store_objects.WireObject | None:
    """Return a copy of an object that later writes do not change."""
    if item is None:
        return None
    metadata = store_objects.WireMetadata(item.metadata.name, item.metadata.revision)
    return store_objects.WireObject(metadata, item.spec, item.status)
