"""In-memory object store with versions, conditional updates and watches."""

import asyncio
import collections
import collections.abc

import msgspec

from rattanridge.kernel import codes
from rattanridge.objectapi import objects

EVENTS_KEPT = 10_000


class Store:
    """Objects with versions; the store's revision is the last version given."""

    def __init__(self):
        self.revision = 0
        self.objects: dict[str, objects.Stored] = {}
        self.events: collections.deque[objects.Stored] = collections.deque(
            maxlen=EVENTS_KEPT
        )
        self.changed = asyncio.Event()

    def get(self, key: str) -> objects.Stored:
        if key not in self.objects:
            raise codes.Failure(codes.PLATFORM_MISSING, key)
        return self.objects[key]

    def put(self, key: str, write: objects.Write) -> objects.Stored:
        """Write if the version fits; a write id that took effect answers again."""
        current = self.objects.get(key)
        if len(write.value) > objects.MAX_VALUE_BYTES:
            raise codes.Failure(codes.TOO_LARGE, key)
        if (
            current is not None
            and write.write_id
            and current.write_id == write.write_id
        ):
            return current
        version = current.version if current is not None else 0
        if version != write.if_version:
            raise codes.Failure(codes.PLATFORM_CONFLICT, f"{key}: {version}")
        value = msgspec.Raw(bytes(write.value))
        return self.record(key, value, write.write_id)

    def delete(self, key: str, if_version: int) -> None:
        if self.get(key).version != if_version:
            raise codes.Failure(codes.PLATFORM_CONFLICT, key)
        self.record(key, msgspec.Raw(b"null"), "")
        del self.objects[key]

    def record(self, key: str, value: msgspec.Raw, write_id: str) -> objects.Stored:
        self.revision += 1
        stored = objects.Stored(key, self.revision, value, write_id)
        self.objects[key] = stored
        self.events.append(stored)
        self.changed.set()
        self.changed = asyncio.Event()
        return stored

    def list(self, prefixes: collections.abc.Iterable[str]) -> objects.Listing:
        starts = tuple(prefixes)
        found = [self.objects[k] for k in sorted(self.objects) if k.startswith(starts)]
        return objects.Listing(self.revision, found)

    def since(
        self, prefixes: collections.abc.Iterable[str], after: int
    ) -> objects.Listing:
        """Return the newest event of each key that changed after a revision."""
        oldest = self.events[0].version if self.events else self.revision + 1
        if after + 1 < oldest or after > self.revision:
            raise codes.Failure(codes.WATCH_LOST, f"{after}, oldest {oldest}")
        starts = tuple(prefixes)
        latest: dict[str, objects.Stored] = {}
        for event in reversed(self.events):
            if event.version <= after:
                break
            if event.key.startswith(starts):
                latest.setdefault(event.key, event)
        found = sorted(latest.values(), key=lambda event: event.version)
        return objects.Listing(self.revision, found)


def without_values(listing: objects.Listing) -> objects.Listing:
    """Return a listing with every value null."""
    items = [
        objects.Stored(item.key, item.version, write_id=item.write_id)
        for item in listing.objects
    ]
    return objects.Listing(listing.revision, items)
