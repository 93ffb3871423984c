"""Stand-in of the platform's metadata store, in memory, with faults on demand."""

import asyncio
import dataclasses

import aiohttp.web
import msgspec

from rattanridge.platform import store as stores
from rattanridge.standin import faults

HISTORY = 1000  # changes that a watch may go back
PREFIX = "/api/objects/"
FAULTS_PATH = "/faults"


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """What goes wrong now.

    :param down: every call is answered 503; nothing is done.
    :param silent: calls are not answered at all.
    :param lost: writes are done, and their connection is closed instead of an
        answer.
    :param delay: seconds before each call is looked at.
    :param deaf: watches are told nothing until their time is over.
    :param mute: watches are not answered at all.
    """

    down: bool = False
    silent: bool = False
    lost: bool = False
    delay: float = 0.0
    deaf: bool = False
    mute: bool = False


@dataclasses.dataclass(slots=True)
class Event:
    """One change."""

    revision: int
    kind: str
    object: stores.WireObject
    deleted: bool


class Metadata:
    """Serves objects by kind and name; counts calls, and bytes of answers."""

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[tuple[str, str], stores.WireObject] = {}
        self.events: list[Event] = []
        self.changed = asyncio.Condition()
        self.faults = Faults()
        self.calls = 0
        self.sent = 0
        self.runner: aiohttp.web.ServerRunner | None = None
        self.address = ""

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Listen at ``host:port``; port 0 takes a free one."""
        served = aiohttp.web.Server(self.serve)
        self.runner = aiohttp.web.ServerRunner(served, shutdown_timeout=0.1)
        await self.runner.setup()
        host, _, port = address.rpartition(":")
        await aiohttp.web.TCPSite(self.runner, host, int(port)).start()
        self.address = f"{host}:{self.runner.addresses[0][1]}"

    async def stop(self) -> None:
        """End."""
        await self.runner.cleanup()

    async def serve(self, request: aiohttp.web.BaseRequest) -> aiohttp.web.Response:
        """Answer one call, or fail it as the faults say."""
        if request.path == FAULTS_PATH:
            self.faults, answer = await faults.exchange(request, self.faults)
            return answer
        self.calls += 1
        await asyncio.sleep(self.faults.delay)
        if self.faults.silent:
            await asyncio.sleep(3600)
        if self.faults.down:
            return aiohttp.web.Response(status=503)
        kind, _, rest = request.path.removeprefix(PREFIX).partition("/")
        name, _, part = rest.partition("/")
        response = await self.answer(request, kind, name, part)
        self.sent += len(response.body or b"")
        if self.faults.lost and request.method != "GET":
            request.transport.abort()
        return response

    async def answer(
        self, request: aiohttp.web.BaseRequest, kind: str, name: str, part: str
    ) -> aiohttp.web.Response:
        """Do what a call asks."""
        if request.method == "GET" and stores.WATCH in request.query:
            return await self.watch(request, kind)
        if request.method == "GET":
            return self.get(kind, name)
        if request.method == "DELETE":
            known = self.objects.get((kind, name))
            revision = int(request.query.get(stores.REVISION, 0))
            return await self.write(kind, name, revision, known, deleted=True)
        wire = msgspec.json.decode(await request.read(), type=stores.WireObject)
        known = self.objects.get((kind, wire.metadata.name))
        if request.method == "POST" and known is not None:
            return self.reply(known, 409)
        fresh = self.merge(known, wire, part)
        revision = wire.metadata.revision
        return await self.write(kind, wire.metadata.name, revision, fresh)

    def merge(
        self, known: stores.WireObject | None, wire: stores.WireObject, part: str
    ) -> stores.WireObject:
        """Return the object after a write of its spec or of its status."""
        metadata = stores.WireMetadata(wire.metadata.name)
        if known is None:
            return stores.WireObject(metadata, wire.spec)
        if part:
            return stores.WireObject(metadata, known.spec, wire.status)
        return stores.WireObject(metadata, wire.spec, known.status)

    def get(self, kind: str, name: str) -> aiohttp.web.Response:
        """Return one object, or all of a kind."""
        if name:
            known = self.objects.get((kind, name))
            return self.reply(known) if known else aiohttp.web.Response(status=404)
        found = [item for key, item in sorted(self.objects.items()) if key[0] == kind]
        items = [msgspec.Raw(msgspec.json.encode(item)) for item in found]
        return self.reply(stores.WireListing(items, False, self.revision))

    async def watch(
        self, request: aiohttp.web.BaseRequest, kind: str
    ) -> aiohttp.web.Response:
        """Return the changes after a revision as soon as there is one."""
        after = int(request.query[stores.WATCH])
        if self.events and after < self.events[0].revision - 1:
            return aiohttp.web.Response(status=410)
        wait = int(request.query.get(stores.WAIT, 0)) / 1000
        if self.faults.mute:
            await asyncio.sleep(3600)
        try:
            async with asyncio.timeout(wait), self.changed:
                await self.changed.wait_for(
                    lambda: not self.faults.deaf and self.since(kind, after)
                )
        except TimeoutError:
            pass
        events = [
            stores.WireEvent(
                msgspec.Raw(msgspec.json.encode(item.object)), item.deleted
            )
            for item in self.since(kind, after)
        ]
        return self.reply(stores.WireChanges(events, self.revision))

    def since(self, kind: str, after: int) -> list[Event]:
        """Return the events of a kind after a revision."""
        return [
            item for item in self.events if item.kind == kind and item.revision > after
        ]

    async def write(
        self,
        kind: str,
        name: str,
        revision: int,
        fresh: stores.WireObject | None,
        deleted: bool = False,
    ) -> aiohttp.web.Response:
        """Make one change, if its condition holds."""
        known = self.objects.get((kind, name))
        if known is None and (revision or deleted):
            return aiohttp.web.Response(status=404)
        if known is not None and revision not in (0, known.metadata.revision):
            return self.reply(known, 409)
        async with self.changed:
            self.revision += 1
            fresh.metadata.revision = self.revision
            if deleted:
                del self.objects[kind, name]
            else:
                self.objects[kind, name] = fresh
            self.events.append(Event(self.revision, kind, fresh, deleted))
            del self.events[:-HISTORY]
            self.changed.notify_all()
        return self.reply(fresh)

    async def put(self, kind: str, name: str, spec: bytes) -> None:
        """Write an object as an operator does, whatever it holds."""
        metadata = stores.WireMetadata(name)
        known = self.objects.get((kind, name))
        status = known.status if known is not None else msgspec.Raw(stores.NULL)
        await self.write(
            kind, name, 0, stores.WireObject(metadata, msgspec.Raw(spec), status)
        )

    def forget(self) -> None:
        """Forget the history: watches have to list again."""
        self.revision += 1
        self.events = [Event(self.revision, "", None, False)]

    def reply(self, body: object, status: int = 200) -> aiohttp.web.Response:
        """Return an answer with a JSON body."""
        return aiohttp.web.Response(
            status=status,
            body=msgspec.json.encode(body),
            content_type="application/json",
        )
