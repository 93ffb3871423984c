"""The configuration in force at this node. Its version never falls."""

import asyncio
import collections.abc

import msgspec

from rattanridge.kernel import codes, compression, routes
from rattanridge.mesh import events, watching
from rattanridge.platform import configs, store as stores

HINT_WAIT = 1.2  # seconds that the watch has to tell what another node knows
PATH = "/configuration"
STATE_PATH = "/state"
CONTENT_BYTES = 33_554_432  # of the largest configuration that another node may send

Learn = collections.abc.Callable[[str], collections.abc.Awaitable[None]]
Fetch = collections.abc.Callable[[str, str], collections.abc.Awaitable[bytes | None]]


class State(msgspec.Struct):
    """What a node has in force.

    :param version: version of its configuration; 0 if it has none.
    :param refused: the last one that could not be used, and why; else empty.
    :param store: whether the store answers it.
    """

    version: int
    refused: str = ""
    store: bool = True


class Configs:
    """Takes over newer versions, each decoded and checked whole.

    :param fetch: asks another node for a page.
    :param learn: asks another node for the rest that a node has to know.
    :param health: of the store; told when the watch has missed a version.
    """

    def __init__(
        self,
        store: stores.Store,
        fetch: Fetch,
        learn: Learn,
        health: watching.Health,
        log: events.Events,
        meters: events.Meters,
    ):
        self.store = store
        self.fetch = fetch
        self.learn = learn
        self.health = health
        self.informant = ""
        self.content = b""
        self.packed_content = b""
        self.refused = ""
        self.log = log
        self.meters = meters
        self.current: routes.Configuration | None = None
        self.reading: asyncio.Task | None = None

    @property
    def version(self) -> int:
        """Version in force; 0 if there is none yet."""
        return self.current.version if self.current is not None else 0

    def state(self) -> bytes:
        """Return what this node has in force, as other nodes read it."""
        state = State(self.version, self.refused, self.health.up.is_set())
        return msgspec.json.encode(state)

    def packed(self) -> bytes:
        """Return the configuration in force as other nodes read it: compressed.

        All nodes that the store turns away may ask this one at once, over its one link.
        """
        if not self.packed_content:
            self.packed_content = compression.compress(self.content)
        return self.packed_content

    def take_all(self, items: list[stores.StoredObject]) -> None:
        """Take over what a list holds."""
        for item in items:
            self.take(item)

    def take(self, item: stores.StoredObject) -> None:
        """Take over a newer configuration; an unreadable one changes nothing."""
        if item.name != configs.NAME or item.deleted:
            return
        self.take_content(item.spec, f"revision {item.revision}")

    def take_content(self, content: bytes, source: str) -> None:
        """Take over a configuration as the operator wrote it."""
        try:
            found = configs.decode(content)
        except codes.Failure as failure:
            self.log.error(
                "configuration-refused",
                source=source,
                code=failure.code.number,
                why=str(failure),
            )
            self.refused = f"{source}: {failure}"
            return
        if found.version <= self.version:
            return
        self.log.info(
            "configuration-in-force",
            version=found.version,
            before=self.version,
            source=source,
            bytes=len(content),
        )
        self.current = found
        self.content = content
        self.packed_content = b""
        self.refused = ""
        self.meters.version.set(found.version)

    def record_peer_version(self, version: int, address: str = "") -> None:
        """Another node has this version in force: read it if it is a newer one.

        :param address: where that node can be asked, if it is known.
        """
        if version <= self.version:
            return
        self.informant = address or self.informant
        if self.reading is None:
            self.reading = asyncio.create_task(self.read(version))

    async def read(self, version: int) -> None:
        """Read the configuration if the watch does not tell it."""
        try:
            if self.current is None:
                await self.read_informant()
                return
            await asyncio.sleep(HINT_WAIT)
            if version <= self.version:
                return
            self.log.note("configuration-behind", version=self.version, other=version)
            if self.health.up.is_set():
                self.health.doubt(f"version {version} is in force elsewhere")
                await self.read_store()
            else:
                await self.read_informant()
        finally:
            self.reading = None

    async def read_store(self) -> None:
        """Read the configuration from the store, else from another node."""
        try:
            item = await self.store.get(configs.KIND, configs.NAME)
        except codes.Failure as failure:
            self.log.note("configuration-not-read", code=failure.code.number)
            await self.read_informant()
            return
        if item is not None:
            self.take(item)

    async def read_informant(self) -> None:
        """Read the configuration from the node that has a newer one."""
        if not self.informant:
            return
        content = self.unpack(await self.fetch(self.informant, PATH))
        if content:
            await self.learn(self.informant)
            self.take_content(content, self.informant)

    def unpack(self, data: bytes | None) -> bytes:
        """Return what another node sent; empty if it is nothing or unreadable."""
        if not data:
            return b""
        try:
            return compression.decompress(data, CONTENT_BYTES)
        except codes.Failure as failure:
            self.log.note(
                "configuration-not-read",
                code=failure.code.number,
                source=self.informant,
                why=failure.detail,
            )
            return b""
