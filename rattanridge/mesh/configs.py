"""The configuration in force at this node. Its version never falls."""

import asyncio

from rattanridge.kernel import codes, routes
from rattanridge.mesh import events
from rattanridge.platform import configs, store as stores

HINT_PAUSE = 0.2  # seconds between two reads that other nodes' versions cause


class Configs:
    """Takes over newer versions, each decoded and checked whole."""

    def __init__(self, store: stores.Store, log: events.Events, meters: events.Meters):
        self.store = store
        self.log = log
        self.meters = meters
        self.current: routes.Configuration | None = None
        self.changed_at = 0.0
        self.reading: asyncio.Task | None = None

    @property
    def version(self) -> int:
        """Version in force; 0 if there is none yet."""
        return self.current.version if self.current is not None else 0

    def take_all(self, items: list[stores.Stored]) -> None:
        """Take over what a list holds."""
        for item in items:
            self.take(item)

    def take(self, item: stores.Stored) -> None:
        """Take over a newer configuration; an unreadable one changes nothing."""
        if item.name != configs.NAME or item.deleted:
            return
        try:
            found = configs.decode(item.spec)
        except codes.Failure as failure:
            self.log.error(
                "configuration-refused",
                revision=item.revision,
                code=failure.code.number,
                why=str(failure),
            )
            return
        if found.version <= self.version:
            return
        self.log.info(
            "configuration-in-force",
            version=found.version,
            before=self.version,
            revision=item.revision,
        )
        self.current = found
        self.changed_at = asyncio.get_running_loop().time()
        self.meters.version.set(found.version)

    def hint(self, version: int) -> None:
        """Another node has this version in force: read it if it is a newer one."""
        if version <= self.version or self.reading is not None:
            return
        self.reading = asyncio.create_task(self.read(version))

    async def read(self, version: int) -> None:
        """Read the configuration without waiting for the watch."""
        try:
            self.log.note("configuration-behind", version=self.version, other=version)
            item = await self.store.get(configs.KIND, configs.NAME)
            if item is not None:
                self.take(item)
            await asyncio.sleep(HINT_PAUSE)
        except codes.Failure as failure:
            self.log.note("configuration-not-read", code=failure.code.number)
            await asyncio.sleep(HINT_PAUSE)
        finally:
            self.reading = None
