"""The endpoints of each service, from the records of all nodes."""

import asyncio

import msgspec

from rattanridge.kernel import codes
from rattanridge.mesh import events, records, watching
from rattanridge.platform import store as stores
from rattanridge.policies import placement

PAGE = "/records"


class Page(msgspec.Struct):
    """The records of all nodes as one node tells them to another.

    :param records: record and revision by the node's name.
    """

    records: dict[str, tuple[records.Record, int]]


class Directory:
    """Candidates by service, kept in step with the store's records."""

    def __init__(self, log: events.Events):
        self.log = log
        self.records: dict[str, records.Record] = {}
        self.revisions: dict[str, int] = {}
        self.candidates: dict[str, placement.Candidate] = {}
        self.services: dict[str, list[placement.Candidate]] = {}

    def take_all(self, items: list[stores.Stored]) -> None:
        """Take over a whole list; what is not in it is gone."""
        names = {item.name for item in items}
        for name in [name for name in self.records if name not in names]:
            self.remove(name)
        for item in items:
            self.take(item)

    def page(self) -> bytes:
        """Return all records for another node."""
        known = {
            name: (record, self.revisions[name])
            for name, record in self.records.items()
        }
        return msgspec.json.encode(Page(known))

    def take_page(self, data: bytes) -> bool:
        """Take over another node's records; return whether they can be read."""
        try:
            page = msgspec.json.decode(data, type=Page)
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
            self.log.note("record-unreadable", name="page", why=str(error))
            return False
        for name, (record, revision) in page.records.items():
            self.take(stores.Stored(name, revision, records.encode(record)))
        return True

    def take(self, item: stores.Stored) -> None:
        """Take one record; an older one than the known one is ignored."""
        if item.revision < self.revisions.get(item.name, 0):
            return
        self.revisions[item.name] = item.revision
        if item.deleted:
            self.remove(item.name)
            return
        try:
            record = records.decode(item.spec)
        except codes.Failure as failure:
            self.log.note(
                "record-unreadable",
                name=item.name,
                code=failure.code.number,
                why=failure.detail,
            )
            self.remove(item.name)
            return
        if self.records.get(item.name) == record:
            return
        self.records[item.name] = record
        self.log.note(
            "record-changed",
            name=item.name,
            revision=item.revision,
            endpoint=record.endpoint,
            state=record.state,
        )
        self.place(item.name, record)

    def place(self, name: str, record: records.Record) -> None:
        """Make a candidate of a record, if its endpoint takes requests."""
        known = self.candidates.get(name)
        if self.is_superseded(name, record):
            self.drop(name)
            return
        if record.state != records.READY or not record.endpoint:
            self.drop(name)
            return
        same = known is not None and (
            (known.endpoint, known.hop, known.service)
            == (record.endpoint, record.hop, record.service)
        )
        if same:
            known.version = record.version
            known.slots = record.slots
            return
        self.drop(name)
        made = placement.Candidate(
            name,
            record.hop,
            record.zone,
            record.service,
            record.endpoint,
            record.version,
            record.slots,
        )
        self.candidates[name] = made
        # A new list each time: whoever holds the old one goes on with it.
        self.services[record.service] = [*self.of(record.service), made]

    def is_superseded(self, name: str, record: records.Record) -> bool:
        """Whether a newer record names the same address; drop those it replaces.

        An address belongs to one node. A host that is gone for good leaves its
        record behind, and its address may be given to another one.
        """
        superseded = False
        for other, known in list(self.records.items()):
            if other == name or known.hop != record.hop:
                continue
            if self.revisions[other] > self.revisions[name]:
                superseded = True
            else:
                self.drop(other)
        return superseded

    def drop(self, name: str) -> None:
        """Forget a candidate."""
        known = self.candidates.pop(name, None)
        if known is not None:
            rest = [item for item in self.of(known.service) if item is not known]
            self.services[known.service] = rest

    def remove(self, name: str) -> None:
        """Forget a node."""
        if self.records.pop(name, None) is not None:
            self.log.note("record-removed", name=name)
        self.drop(name)

    def of(self, service: str) -> list[placement.Candidate]:
        """Return the candidates of a service."""
        return self.services.get(service, [])


class Publisher:
    """Keeps the node's own record in the store as it should be.

    Each write is conditional, so one that happens late can't undo a newer one.

    :param name: the node's name, which is also the record's.
    :param health: of the store; while it is away nothing is written.
    """

    def __init__(
        self,
        name: str,
        store: stores.Store,
        health: watching.Health,
        log: events.Events,
    ):
        self.name = name
        self.store = store
        self.health = health
        self.log = log
        self.wanted: records.Record | None = None
        self.known: records.Record | None = None
        self.revision = 0
        self.changed = asyncio.Event()
        self.written = asyncio.Event()

    def publish(self, record: records.Record | None) -> None:
        """Ask for a record in the store; None asks for none."""
        if record != self.wanted:
            self.wanted = record
            self.written.clear()
            self.changed.set()

    def see(self, item: stores.Stored) -> None:
        """Take what the store holds; write again if that is not what is wanted."""
        if item.name != self.name or item.revision < self.revision:
            return
        self.note(None if item.deleted else item)
        if self.known != self.wanted:
            self.changed.set()

    def note(self, item: stores.Stored | None) -> None:
        """Remember what the store holds."""
        self.revision = item.revision if item is not None else 0
        self.known = None
        if item is None:
            return
        try:
            self.known = records.decode(item.spec)
        except codes.Failure as failure:
            self.log.note("record-unreadable", name=self.name, why=failure.detail)

    async def run(self, pause: float) -> None:
        """Write on each change; after a failure again after ``pause`` seconds."""
        while True:
            await self.changed.wait()
            self.changed.clear()
            while not await self.settle():
                await asyncio.sleep(pause)
                await self.health.up.wait()
            self.written.set()

    async def settle(self) -> bool:
        """Bring the store in step; return whether that is done."""
        wanted = self.wanted
        try:
            if wanted == self.known and (wanted is None or self.revision):
                return True
            await self.write(wanted)
        except codes.Failure as failure:
            self.log.note("record-not-written", code=failure.code.number)
            await self.look()
            return False
        return wanted == self.wanted

    async def write(self, wanted: records.Record | None) -> None:
        """Make the one write that is due."""
        if wanted is None:
            await self.store.delete(records.KIND, self.name, self.revision)
            self.note(None)
            return
        spec = records.encode(wanted)
        if self.revision:
            stored = await self.store.replace(
                records.KIND, self.name, spec, self.revision
            )
        else:
            stored = await self.store.create(records.KIND, self.name, spec)
        self.revision = stored.revision
        self.known = wanted
        self.log.note("record-written", revision=self.revision, state=wanted.state)

    async def look(self) -> None:
        """Read back after a write whose outcome is not known."""
        try:
            self.note(await self.store.get(records.KIND, self.name))
        except codes.Failure as failure:
            self.log.note("record-not-read", code=failure.code.number)
