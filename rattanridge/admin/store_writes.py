"""Writes whose answer may be lost: repeated until the store says what it holds."""

import asyncio

import msgspec

from rattanridge.kernel import codes
from rattanridge.platform import store as stores

TRIES = 4
PAUSE = 0.2  # seconds before the second try; doubles


async def create(
    store: stores.Store, kind: str, name: str, spec: bytes
) -> stores.StoredObject:
    """Create an object; return the one that the store holds then, whoever made it."""
    return await write(store, kind, name, spec, 0, lambda found: True)


async def replace(
    store: stores.Store, kind: str, name: str, spec: bytes, revision: int
) -> stores.StoredObject:
    """Write an object's spec if its revision is still the one given.

    :param revision: 0 if there must be none yet.
    """
    return await write(
        store, kind, name, spec, revision, lambda found: same(found.spec, spec)
    )


async def write(
    store: stores.Store, kind: str, name: str, spec: bytes, revision: int, settles
) -> stores.StoredObject:
    """Write until the store's answer, or what it holds, settles the matter.

    :param settles: whether an object found in the store is a good outcome.
    """
    pause = PAUSE
    for left in reversed(range(TRIES)):
        try:
            if revision:
                return await store.replace(kind, name, spec, revision)
            return await store.create(kind, name, spec)
        except codes.Failure as failure:
            lost = failure.code is codes.PLATFORM_CONFLICT
            if not lost and failure.code not in stores.TRANSIENT_CODES:
                raise
            found = await read_back(store, kind, name, failure)
            if found is not None and settles(found):
                return found
            if lost or not left:
                raise
        await asyncio.sleep(pause)
        pause *= 2
    raise AssertionError("not reached")


async def read_back(
    store: stores.Store, kind: str, name: str, failure: codes.Failure
) -> stores.StoredObject | None:
    """Return what the store holds; raise the write's failure if it can't tell."""
    if failure.code is codes.PLATFORM_BUSY:
        return None
    try:
        return await store.get(kind, name)
    except codes.Failure as error:
        if error.code in stores.TRANSIENT_CODES:
            return None
        raise failure


def same(first: bytes, second: bytes) -> bool:
    """Whether two texts hold the same JSON, however it is written."""
    return msgspec.json.decode(first) == msgspec.json.decode(second)
