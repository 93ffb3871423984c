"""Keeps the node's own record in the store as it should be."""

import asyncio

from rattanridge.kernel import codes
from rattanridge.mesh import events, records, watching
from rattanridge.platform import store as stores


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

    def see(self, item: stores.StoredObject) -> None:
        """Take what the store holds; write again if that is not what is wanted."""
        if item.name != self.name or item.revision < self.revision:
            return
        self.note(None if item.deleted else item)
        if self.known != self.wanted:
            self.changed.set()

    def note(self, item: stores.StoredObject | None) -> None:
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
