"""Which availability zones are evacuated: their endpoints get no requests.

An operator's object in the store names the zone. Entries choose no endpoint there, and
the exits of the zone refuse, whatever an entry believes. What was known stays in force
without the store, and if the store returns from an older copy.
"""

import asyncio
import collections.abc

import msgspec

from rattanridge.kernel import untrusted_json
from rattanridge.mesh import events, settings
from rattanridge.mesh.discovery import directory as directories
from rattanridge.platform import store_objects

PATH = "/evacuations"
NODE = "node"  # query parameter: address of the node that asks
VERSION = "version"  # query parameter: its configuration
NEWEST = "zones"  # query parameter: revision of the last change that it knows
MAX_ENDED = 16  # ended evacuations of a zone that are remembered
MAX_ZONES = 256  # zones that are remembered, also as no longer evacuated
LEARN_INTERVAL = 1.0  # seconds between two requests for what other nodes know

Fetch = collections.abc.Callable[[str, str], collections.abc.Awaitable[bytes | None]]


class Zone(msgspec.Struct, frozen=True):
    """What is known of one zone.

    :param revision: the store's revision of the last change.
    :param ended: revisions of the objects of ended evacuations, the last ones. A store
        that returns from an older copy may have one of them again.
    """

    revision: int
    evacuated: bool
    ended: tuple[int, ...] = ()


class Page(msgspec.Struct):
    """What one node knows, for other nodes and the status.

    :param zone: the node's own zone.
    :param running: requests at its endpoint.
    """

    zone: str
    running: int
    zones: dict[str, Zone]


class Evacuations:
    """Follows the evacuations, if the settings ask for it.

    :param fetch: fetches a page from another node.
    :param count_running: returns the number of requests at the local endpoint.
    """

    def __init__(
        self,
        config: settings.Settings,
        directory: directories.Directory,
        fetch: Fetch,
        count_running: collections.abc.Callable[[], int],
        log: events.Events,
        meters: events.Meters,
    ):
        self.config = config
        self.directory = directory
        self.fetch = fetch
        self.count_running = count_running
        self.log = log
        self.meters = meters
        self.enabled = config.evacuation_ms is not None
        # Whether they are known, from the store or from another node.
        self.known = not self.enabled
        self.zones: dict[str, Zone] = {}
        self.newest = 0  # revision of the last change; 0 if there was none
        # Zones whose object the store has lost, and zones of which it has one again
        # that was deleted, by that object's revision.
        self.lost: set[str] = set()
        self.revived: dict[str, int] = {}
        self.learn_task: asyncio.Task | None = None
        self.learnt_at = float("-inf")
        self.listeners: list[collections.abc.Callable[[], None]] = []

    def is_evacuated(self, zone: str) -> bool:
        """Return whether the endpoints of a zone get no requests."""
        known = self.zones.get(zone)
        return known is not None and known.evacuated

    def evacuated(self) -> frozenset[str]:
        """Return the evacuated zones."""
        return frozenset(name for name, zone in self.zones.items() if zone.evacuated)

    def apply_all(self, items: list[store_objects.StoredObject], revision: int) -> None:
        """Apply a complete list.

        :param revision: of the store when it made the list.
        """
        names = {item.name for item in items}
        for name in [name for name in self.zones if name not in names]:
            self.apply_absence(name, revision)
        for item in items:
            self.apply(item)
        if not self.known:
            self.known = True
            self.notify()

    def apply_absence(self, name: str, revision: int) -> None:
        """Apply that the store has no object of a zone.

        One of an earlier era is lost, not deleted: it stays in force.
        """
        self.revived.pop(name, None)
        known = self.zones[name]
        if not known.evacuated or known.revision > revision:
            return
        if store_objects.era_of(known.revision) < store_objects.era_of(revision):
            self.lost.add(name)
        else:
            self.end(name, revision)

    def apply(self, item: store_objects.StoredObject) -> None:
        """Apply one object that was written or deleted; ignore older changes."""
        known = self.zones.get(item.name)
        if known is not None and item.revision < known.revision:
            return
        self.lost.discard(item.name)
        self.revived.pop(item.name, None)
        if item.deleted:
            self.end(item.name, item.revision)
        elif known is None or known.evacuated:
            ended = known.ended if known is not None else ()
            self.set_zone(item.name, Zone(item.revision, True, ended))
        elif item.revision == known.revision or is_revived(item.revision, known):
            self.revived[item.name] = item.revision
            self.set_zone(item.name, Zone(item.revision, False, known.ended))
        else:
            self.set_zone(item.name, Zone(item.revision, True, known.ended))

    def end(self, name: str, revision: int) -> None:
        """End the evacuation of a zone.

        :param revision: at which it was known to have ended.
        """
        self.lost.discard(name)
        known = self.zones.get(name)
        ended = known.ended if known is not None else ()
        if known is not None and known.evacuated:
            ended = (*ended, known.revision)[-MAX_ENDED:]
        self.set_zone(name, Zone(revision, False, ended))

    def set_zone(self, name: str, zone: Zone, source: str = "store") -> None:
        """Set what is known of a zone; log and report a change.

        :param source: what it was learnt from.
        """
        before = self.is_evacuated(name)
        if name not in self.zones and len(self.zones) >= MAX_ZONES:
            self.forget_one()
        self.zones[name] = zone
        self.newest = max(self.newest, zone.revision)
        self.meters.zone_evacuated.labels(name).set(zone.evacuated)
        if zone.evacuated != before:
            event = "zone-evacuated" if zone.evacuated else "zone-restored"
            self.log.info(event, zone=name, revision=zone.revision, source=source)
            self.notify()

    def forget_one(self) -> None:
        """Forget the first zone that is not evacuated, if there is one."""
        for name, zone in self.zones.items():
            if not zone.evacuated:
                del self.zones[name]
                return

    def notify(self) -> None:
        """Tell the parts of the node that the evacuations have changed."""
        self.directory.evacuated = self.evacuated()
        for listener in self.listeners:
            listener()

    def encode_page(self) -> bytes:
        """Return what is known as JSON, for other nodes; empty if nothing is."""
        if not (self.enabled and self.known):
            return b""
        page = Page(self.config.zone, self.count_running(), self.zones)
        return msgspec.json.encode(page)

    async def learn(self, address: str, path: str = PATH) -> None:
        """Take over what another node knows and this one does not."""
        data = await self.fetch(address, path) if self.enabled else None
        page = untrusted_json.decode_or_none(data, Page) if data else None
        if page is None:
            return
        for name, zone in page.zones.items():
            self.merge(name, zone, address)
        if not self.known:
            self.known = True
            self.log.info("evacuations-learnt", source=address)
            self.notify()

    async def exchange(self, address: str, own_address: str, version: int) -> None:
        """Ask another node what it knows, and let it ask this one for what is newer.

        Nobody sends calls to a node of an evacuated zone. If its watch is late, or if
        it has started without the store, it has no other way to hear of a change.

        :param own_address: at which this node accepts calls of others.
        :param version: of the configuration in force here.
        """
        query = f"{NODE}={own_address}&{VERSION}={version}&{NEWEST}={self.newest}"
        await self.learn(address, f"{PATH}?{query}")

    def merge(self, name: str, zone: Zone, source: str) -> None:
        """Take over what another node knows of a zone, if it is newer.

        Of two nodes that know the same object, the one is right that knows of its end.
        """
        known = self.zones.get(name)
        if known is not None:
            if zone.revision < known.revision:
                return
            if zone.revision == known.revision and not known.evacuated:
                return
            if (
                zone.evacuated
                and not known.evacuated
                and is_revived(zone.revision, known)
            ):
                return
        if zone == known:
            return
        self.lost.discard(name)
        self.revived.pop(name, None)
        self.set_zone(name, zone, source)

    def record_peer(self, newest: int, address: str) -> None:
        """Ask a node what it knows if it knows of a later change.

        The watch of this node may be late, or the store out of its reach.

        :param newest: revision of the last change that the other node knows.
        """
        if not self.enabled or newest <= self.newest or not address:
            return
        now = asyncio.get_running_loop().time()
        if now - self.learnt_at < LEARN_INTERVAL:
            return
        self.learnt_at = now
        self.learn_task = asyncio.create_task(self.learn(address))


def is_revived(revision: int, known: Zone) -> bool:
    """Return whether an object is one of an ended evacuation, from an older copy.

    It has the number that it had in the earlier era.
    """
    era, number = divmod(revision, store_objects.ERA_REVISIONS)
    return any(
        store_objects.era_of(ended) < era
        and ended % store_objects.ERA_REVISIONS == number
        for ended in known.ended
    )
