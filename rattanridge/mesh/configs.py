"""The configuration in force at this node. Its version never decreases."""

import asyncio
import collections.abc

import msgspec

from rattanridge.kernel import codes, compression, routes
from rattanridge.mesh import events, refusal
from rattanridge.mesh.discovery import store_health, watching
from rattanridge.platform import configs, store as stores, store_objects
from rattanridge.policies import freshness

WATCH_GRACE = 0.5  # seconds for the watch to deliver a version that a peer has
STORM_GRACE = 1.2  # the same while the watch lists now and then
CATCH_UP_TIMEOUT = 0.4  # seconds for which a request waits for a newer version
PATH = "/configuration"
STATE_PATH = "/state"
MAX_CONTENT_BYTES = 33_554_432  # of a configuration that another node sends

FetchMembers = collections.abc.Callable[[str], collections.abc.Awaitable[None]]
Fetch = collections.abc.Callable[[str, str], collections.abc.Awaitable[bytes | None]]


class State(msgspec.Struct):
    """What a node has in force.

    :param version: version of its configuration; 0 if it has none.
    :param refused: source and error of the last configuration if it could not be
        used, else empty.
    :param store: whether the node can reach the store.
    """

    version: int
    refused: str = ""
    store: bool = True


class Configs:
    """Applies newer versions of the configuration, each decoded and checked whole.

    :param fetch: fetches a page from another node.
    :param fetch_members: fetches the records of all nodes, and the rollouts, from
        another node.
    :param health: the store's health; makes the watches list again if one of them
        missed a version.
    """

    def __init__(
        self,
        store: stores.Store,
        fetch: Fetch,
        fetch_members: FetchMembers,
        health: store_health.StoreHealth,
        log: events.Events,
        meters: events.Meters,
    ):
        self.store = store
        self.fetch = fetch
        self.fetch_members = fetch_members
        self.health = health
        self.peer_address = ""
        self.content = b""
        self.compressed_content = b""
        self.refusal = refusal.Refusal(log, meters)
        self.log = log
        self.meters = meters
        self.freshness = freshness.Freshness()
        self.current: routes.Configuration | None = None
        self.changed_at = float("-inf")
        # Highest version that another node has in force.
        self.newest_known = 0
        # Set while a request waits for that version.
        self.wanted = asyncio.Event()
        self.catch_up_task: asyncio.Task | None = None
        # Called after a newer version has come in force.
        self.listeners: list[collections.abc.Callable[[], None]] = []

    @property
    def version(self) -> int:
        """Version in force; 0 if there is none yet."""
        return self.current.version if self.current is not None else 0

    def state(self) -> bytes:
        """Return the node's ``State`` as JSON, for other nodes."""
        state = State(self.version, self.refusal.why, self.health.up.is_set())
        return msgspec.json.encode(state)

    def compressed(self) -> bytes:
        """Return the configuration in force, compressed, for other nodes.

        All nodes that cannot reach the store may fetch it from this node at the same
        time, over its single link.
        """
        if not self.compressed_content:
            self.compressed_content = compression.compress(self.content)
        return self.compressed_content

    def apply_all(self, items: list[store_objects.StoredObject]) -> None:
        """Apply a complete list of the stored objects."""
        for item in items:
            self.apply(item)

    def apply(self, item: store_objects.StoredObject) -> None:
        """Apply a stored configuration if it is newer; ignore an invalid one."""
        if item.name != configs.NAME or item.deleted:
            return
        if self.apply_content(item.spec, f"revision {item.revision}"):
            self.refusal.end()

    def apply_content(self, content: bytes, source: str) -> bool:
        """Apply a configuration, as the operator wrote it, if it is newer.

        Return whether it can be used. An invalid one changes nothing but ``refusal``.

        :param source: where it was read, for the log and the node's state.
        """
        if content == self.content:
            return True
        try:
            found = configs.decode(content)
        except codes.Failure as failure:
            self.record_refused(content, source, failure)
            return False
        if found.version > self.version:
            self.put_in_force(found, content, source)
        return True

    def put_in_force(
        self, found: routes.Configuration, content: bytes, source: str
    ) -> None:
        """Replace the configuration by a newer one."""
        self.log.info(
            "configuration-in-force",
            version=found.version,
            before=self.version,
            source=source,
            bytes=len(content),
            accounts=len(found.accounts),
        )
        self.current = found
        self.changed_at = asyncio.get_running_loop().time()
        self.content = content
        self.compressed_content = b""
        if found.version > self.refusal.version > 0:
            self.refusal.end()
        self.meters.version.set(found.version)
        self.report_oddities(found)
        for listener in self.listeners:
            listener()

    def report_oddities(self, found: routes.Configuration) -> None:
        """Show what of a configuration in force this program does not know or use."""
        self.meters.unknown_kinds.set(len(found.unknown_kinds))
        if found.unknown_kinds:
            self.log.warn(
                "route-kind-unknown",
                version=found.version,
                kinds=",".join(sorted(found.unknown_kinds)),
            )
        self.meters.unused_values.set(len(found.unused))
        if found.unused:
            self.log.warn(
                "configuration-values-unused",
                version=found.version,
                count=len(found.unused),
                first=found.unused[0],
            )

    def record_refused(
        self, content: bytes, source: str, failure: codes.Failure
    ) -> None:
        """Record that a configuration cannot be used, unless it is an old one."""
        version = configs.version_of(content)
        if version == 0 or version > self.version:
            self.refusal.record(version, source, failure)

    def known_age(self) -> float:
        """Return the seconds since the version in force was known to be the newest.

        Infinite while a newer one is known that cannot be used.
        """
        if self.refusal.why:
            return float("inf")
        return self.freshness.age(asyncio.get_running_loop().time())

    def record_peer_version(
        self, version: int, address: str = "", known_at: float = float("-inf")
    ) -> None:
        """Record the version that another node has; catch up if it is newer.

        :param address: hop address of that node; empty if it is unknown.
        :param known_at: monotonic seconds at which that version was known to be the
            newest.
        """
        if version == self.version:
            self.freshness.record(known_at)
        if version <= self.version:
            return
        self.newest_known = max(version, self.newest_known)
        self.peer_address = address or self.peer_address
        if self.is_behind() and self.catch_up_task is None:
            self.catch_up_task = asyncio.create_task(self.catch_up(version))

    async def catch_up(self, version: int) -> None:
        """Read the configuration unless the watch delivers the version in time.

        A node without any configuration does not wait for its watch.
        """
        try:
            if self.current is None:
                await self.read_from_peer()
                return
            in_storm = self.is_storm()
            wanted = await self.wait_wanted(STORM_GRACE if in_storm else WATCH_GRACE)
            if version <= self.version:
                return
            self.log.note("configuration-behind", version=self.version, other=version)
            refused = version <= self.refusal.version
            if wanted or in_storm or refused or not self.health.up.is_set():
                await self.read_from_peer()
            elif not self.health.relist(f"another node has version {version} in force"):
                await self.read_from_store()
        finally:
            self.wanted.clear()
            self.catch_up_task = None

    async def wait_wanted(self, seconds: float) -> bool:
        """Wait until a request needs the newer version, for some seconds at most.

        Return whether one does.
        """
        try:
            async with asyncio.timeout(seconds):
                await self.wanted.wait()
        except TimeoutError:
            return False
        return True

    def highest_known_version(self) -> int:
        """Return the highest version that is known, also one that is refused."""
        return max(self.version, self.newest_known, self.refusal.version)

    def knows_newer(self) -> bool:
        """Return whether a version is known that is newer than the one in force."""
        return self.highest_known_version() > self.version

    def is_behind(self) -> bool:
        """Return whether another node has a newer version in force that may help."""
        return self.newest_known > max(self.version, self.refusal.version_of_peers)

    async def wait_caught_up(self) -> None:
        """Get the newer version of another node at once, within CATCH_UP_TIMEOUT.

        Return at once if no node has one that this node can use.
        """
        if not self.is_behind():
            return
        if self.catch_up_task is None:
            self.catch_up_task = asyncio.create_task(self.catch_up(self.newest_known))
        self.wanted.set()
        await asyncio.wait([self.catch_up_task], timeout=CATCH_UP_TIMEOUT)

    def is_storm(self) -> bool:
        """Return whether versions may be following each other quickly."""
        now = asyncio.get_running_loop().time()
        return now - self.changed_at < watching.STORM_GAP

    async def read_from_store(self) -> None:
        """Read the configuration from the store, or from a peer that is ahead of it.

        A store that has returned from an older copy may be behind.
        """
        try:
            item = await self.store.get(configs.KIND, configs.NAME)
        except codes.Failure as failure:
            self.log.note("configuration-not-read", code=failure.code.number)
            await self.read_from_peer()
            return
        if item is not None:
            self.apply(item)
        if self.is_behind():
            await self.read_from_peer()

    def has_none_to_use(self) -> bool:
        """Return whether the store's configuration is the first one and is refused."""
        return self.current is None and bool(self.refusal.why)

    async def learn(self, address: str) -> None:
        """Read the configuration of another node, which may be an older version.

        :param address: hop address of that node; empty if none is known.
        """
        self.peer_address = address or self.peer_address
        await self.read_from_peer()

    async def read_from_peer(self) -> None:
        """Read the configuration, records and rollouts from the node that is ahead."""
        if not self.peer_address:
            return
        content = self.decompress(await self.fetch(self.peer_address, PATH))
        if content:
            await self.fetch_members(self.peer_address)
            if not self.apply_content(content, self.peer_address):
                self.refusal.version_of_peers = configs.version_of(content)

    def decompress(self, data: bytes | None) -> bytes:
        """Return what another node sent, decompressed.

        Empty if the node did not answer, or if its answer is unreadable.
        """
        if not data:
            return b""
        try:
            return compression.decompress(data, MAX_CONTENT_BYTES)
        except codes.Failure as failure:
            self.log.note(
                "configuration-not-read",
                code=failure.code.number,
                source=self.peer_address,
                why=failure.detail,
            )
            return b""
