"""Publishes the node's own record in the store."""

import asyncio
import collections.abc

from rattanridge.kernel import codes
from rattanridge.mesh import events
from rattanridge.mesh.discovery import records, store_health
from rattanridge.platform import store as stores, store_objects


class Publisher:
    """Keeps the node's record in the store equal to the desired one.

    Each write is conditional on the revision, so a delayed write cannot overwrite a
    newer one.

    :param name: the node's name, which is also the name of its record.
    :param health: nothing is written while it reports the store as unreachable.
    :param on_read: called with each record of the node that the store holds.
    """

    def __init__(
        self,
        name: str,
        store: stores.Store,
        health: store_health.StoreHealth,
        log: events.Events,
        on_read: collections.abc.Callable[[records.Record], None],
    ):
        self.on_read = on_read
        self.name = name
        self.store = store
        self.health = health
        self.log = log
        self.desired: records.Record | None = None
        # Until something is published, the record of an earlier process stays.
        self.published = False
        self.stored: records.Record | None = None
        self.revision = 0
        self.changed = asyncio.Event()
        self.written = asyncio.Event()

    def publish(self, record: records.Record | None) -> None:
        """Set the record to keep in the store; None removes it."""
        self.published = True
        if record != self.desired:
            self.desired = record
            self.written.clear()
            self.changed.set()

    def apply(self, item: store_objects.StoredObject) -> None:
        """Record what the store holds; schedule a write if it differs from the desired.

        Ignores records of other nodes and revisions older than the last known one.
        """
        if item.name != self.name or item.revision < self.revision:
            return
        self.record_stored(None if item.deleted else item)
        if self.published and self.stored != self.desired:
            self.changed.set()

    def record_stored(self, item: store_objects.StoredObject | None) -> None:
        """Record what the store holds; None if it has no record of the node."""
        self.revision = item.revision if item is not None else 0
        self.stored = None
        if item is None:
            return
        try:
            self.stored = records.decode(item.spec)
        except codes.Failure as failure:
            self.log.note("record-unreadable", name=self.name, why=failure.detail)
            return
        self.on_read(self.stored)

    async def run(self, retry_delay: float) -> None:
        """Write the record after each change, until cancelled.

        :param retry_delay: seconds before a failed write is retried.
        """
        while True:
            await self.changed.wait()
            self.changed.clear()
            while not await self.reconcile():
                await asyncio.sleep(retry_delay)
                await self.health.up.wait()
            self.written.set()

    async def reconcile(self) -> bool:
        """Write the desired record if the store holds another one.

        Return whether the store now holds the record that is desired now.
        """
        desired = self.desired
        try:
            if desired == self.stored and (desired is None or self.revision):
                return True
            await self.write(desired)
        except codes.Failure as failure:
            self.log.note("record-not-written", code=failure.code.number)
            await self.read_back()
            return False
        return desired == self.desired

    async def write(self, desired: records.Record | None) -> None:
        """Delete, replace or create the record in the store."""
        if desired is None:
            await self.store.delete(records.KIND, self.name, self.revision)
            self.record_stored(None)
            return
        spec = records.encode(desired)
        if self.revision:
            stored = await self.store.replace(
                records.KIND, self.name, spec, self.revision
            )
        else:
            stored = await self.store.create(records.KIND, self.name, spec)
        self.revision = stored.revision
        self.stored = desired
        self.log.note("record-written", revision=self.revision, state=desired.state)

    async def read_back(self) -> None:
        """Read the record after a write whose outcome is unknown."""
        try:
            self.record_stored(await self.store.get(records.KIND, self.name))
        except codes.Failure as failure:
            self.log.note("record-not-read", code=failure.code.number)
