"""Store writes that are retried until their outcome is known.

The response to a write may be lost, so a failed write is followed by a read that
shows what the store holds.
"""

import asyncio
import collections.abc

import msgspec

from rattanridge.kernel import codes
from rattanridge.platform import store as stores, store_objects

MAX_ATTEMPTS = 4
INITIAL_BACKOFF = 0.2  # seconds before the second attempt; doubles after each


async def create(
    store: stores.Store, kind: str, name: str, spec: bytes
) -> store_objects.StoredObject:
    """Create an object; return the object that the store holds afterwards.

    If another writer created it first, that writer's object is returned.
    """
    return await write(store, kind, name, spec, 0, lambda stored: True)


async def replace(
    store: stores.Store, kind: str, name: str, spec: bytes, revision: int
) -> store_objects.StoredObject:
    """Replace an object's spec if its revision is still the given one.

    :param revision: 0 if the object must not exist yet.
    """
    return await write(
        store, kind, name, spec, revision, lambda stored: same_json(stored.spec, spec)
    )


async def write(
    store: stores.Store,
    kind: str,
    name: str,
    spec: bytes,
    revision: int,
    is_acceptable: collections.abc.Callable[[store_objects.StoredObject], bool],
) -> store_objects.StoredObject:
    """Write an object, with retries, until the outcome is known.

    :param is_acceptable: returns whether an object that the store holds after a
        failed write counts as a success.
    """
    backoff = INITIAL_BACKOFF
    for attempts_left in reversed(range(MAX_ATTEMPTS)):
        try:
            if revision:
                return await store.replace(kind, name, spec, revision)
            return await store.create(kind, name, spec)
        except codes.Failure as failure:
            conflict = failure.code is codes.PLATFORM_CONFLICT
            if not conflict and failure.code not in stores.TRANSIENT_CODES:
                raise
            stored = await read_back(store, kind, name, failure)
            if stored is not None and is_acceptable(stored):
                return stored
            if conflict or not attempts_left:
                raise
        await asyncio.sleep(backoff)
        backoff *= 2
    raise AssertionError("not reached")


async def read_back(
    store: stores.Store, kind: str, name: str, failure: codes.Failure
) -> store_objects.StoredObject | None:
    """Return the object that the store holds after a failed write.

    Return None if there is none, if the store was too busy for the write to take
    effect, or if the read failed for a reason that may pass. Raise the write's
    ``failure`` if the read failed for any other reason.
    """
    if failure.code is codes.PLATFORM_BUSY:
        return None
    try:
        return await store.get(kind, name)
    except codes.Failure as error:
        if error.code in stores.TRANSIENT_CODES:
            return None
        raise failure


async def delete(store: stores.Store, kind: str, name: str, revision: int) -> None:
    """Delete an object of a revision; do nothing if it is gone.

    Raise ``platform-conflict`` if it has another revision.
    """
    backoff = INITIAL_BACKOFF
    for attempts_left in reversed(range(MAX_ATTEMPTS)):
        try:
            await store.delete(kind, name, revision)
            return
        except codes.Failure as failure:
            if failure.code is codes.PLATFORM_MISSING:
                return
            if failure.code not in stores.TRANSIENT_CODES:
                raise
            if await is_gone(store, kind, name, revision):
                return
            if not attempts_left:
                raise
        await asyncio.sleep(backoff)
        backoff *= 2


async def is_gone(store: stores.Store, kind: str, name: str, revision: int) -> bool:
    """Return whether the store is known not to hold an object of a revision."""
    try:
        stored = await store.get(kind, name)
    except codes.Failure:
        return False
    return stored is None or stored.revision != revision


def same_json(first: bytes, second: bytes) -> bool:
    """Return whether two texts encode the same JSON value."""
    return msgspec.json.decode(first) == msgspec.json.decode(second)
