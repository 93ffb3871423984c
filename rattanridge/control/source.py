"""The relay's view of the platform: watch the pointer, fetch, check, apply."""

import asyncio
import typing

import msgspec

from rattanridge.control import messages, replica
from rattanridge.kernel import clock, codes, log, presets, settings, snapshot
from rattanridge.objectapi import client, objects

POINTER = "in-force"
HISTORY = "history"
PREFIXES = (POINTER, "rollouts/")
UNREACHABLE = (codes.PLATFORM_DOWN, codes.PLATFORM_BUSY, codes.PLATFORM_REFUSED)
PAUSE = 0.05  # seconds between watches, so that changes come in batches
RETRY_FIRST = 0.1  # seconds
RETRY_LIMIT = 2.0  # seconds


class Source:
    """Feeds a replica from the platform while ``run`` runs.

    :param config: the node's settings.
    :param platform: the platform's client.
    :param state: the replica to feed.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        platform: client.Client,
        state: replica.Replica,
        time: clock.Clock | None = None,
    ):
        self.config = config
        self.platform = platform
        self.state = state
        self.time = time or clock.Clock()
        self.log = log.Log("source", config.name)
        self.revision = 0
        self.reachable = False
        self.tried = asyncio.Event()
        self.rollout_seen: typing.Callable[[objects.Stored], None] = lambda item: None

    async def run(self) -> None:
        """List, then watch; after a failure wait and list again."""
        retry = RETRY_FIRST
        while True:
            try:
                await self.load()
                self.tried.set()
                retry = RETRY_FIRST
                while True:
                    await self.follow()
                    await self.time.sleep(PAUSE)
            except codes.Failure as failure:
                lost = failure.code is codes.WATCH_LOST
                self.reachable = self.reachable and lost
                self.log.info("platform-failed", code=failure.code.number)
                self.tried.set()
                await self.time.sleep(retry)
                retry = min(retry * 2, RETRY_LIMIT)

    async def load(self) -> None:
        """Read all watched objects once."""
        listing = await self.platform.list(*PREFIXES)
        self.reachable = True
        if not any(stored.key == POINTER for stored in listing.objects):
            self.state.learn(0)
        await self.take(listing)

    async def follow(self) -> None:
        """Wait for the next changes."""
        wait = self.config.control.watch_wait
        listing = await self.platform.watch(PREFIXES, self.revision, wait)
        self.reachable = True
        await self.take(listing)

    async def take(self, listing: objects.Listing) -> None:
        for stored in listing.objects:
            try:
                await self.take_one(stored)
            except codes.Failure as failure:
                if failure.code in UNREACHABLE:
                    raise
                # One bad object must not hide the others.
                self.log.warn("object-unreadable", key=stored.key, why=failure.detail)
        self.revision = listing.revision

    async def take_one(self, stored: objects.Stored) -> None:
        """Take one object that is new or changed."""
        if stored.key == POINTER:
            await self.choose(stored)
        else:
            self.rollout_seen(stored)

    async def choose(self, stored: objects.Stored) -> None:
        """Apply the preset that the pointer names, if its generation is new.

        An invalid one is rejected; the newest valid choice before it stays, or
        comes, in force.
        """
        if bytes(stored.value) == b"null":
            return
        pointer = client.value_of(stored, objects.InForce)
        if pointer.generation <= self.state.generation:
            self.state.learn(pointer.generation)
            return
        try:
            new = await self.fetch(pointer)
        except codes.Failure as failure:
            if failure.code in UNREACHABLE:
                raise
            self.state.reject(pointer.generation, failure)
            new = await self.fetch_former(pointer.generation)
        self.state.learn(new.generation if new is not None else 0)
        if new is not None:
            self.state.swap(new)

    async def fetch(self, pointer: objects.InForce) -> snapshot.Snapshot:
        """Read and check the preset's revision."""
        key = preset_key(pointer.preset, pointer.revision)
        stored = await self.platform.get(key)
        try:
            preset = msgspec.json.decode(stored.value, type=presets.Preset)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise codes.Failure(codes.BAD_FIELD, str(error), where=key)
        presets.check(preset, key)
        resources = snapshot.split(preset, pointer.revision)
        return snapshot.build(pointer.generation, resources)

    async def read_history(self) -> list[objects.InForce]:
        """Return the former choices; none if the history can't be read."""
        stored = await self.platform.find(HISTORY)
        try:
            return client.value_of(stored, list[objects.InForce]) if stored else []
        except codes.Failure as failure:
            self.log.warn("object-unreadable", key=HISTORY, why=failure.detail)
            return []

    async def fetch_former(self, generation: int) -> snapshot.Snapshot | None:
        """Return the newest valid choice below a generation that is not known."""
        choices = await self.read_history()
        choices.sort(key=lambda choice: choice.generation, reverse=True)
        for choice in choices:
            if choice.generation <= self.state.generation:
                break
            if choice.generation >= generation:
                continue
            try:
                return await self.fetch(choice)
            except codes.Failure as failure:
                if failure.code in UNREACHABLE:
                    raise
        return None


def preset_key(name: str, revision: int) -> str:
    """Return the key of one revision of a preset."""
    return f"presets/{name}/{revision:08}"


def role_record(role: str, value: objects.LeaseValue) -> messages.Role:
    """Return the record that a lease stands for."""
    return messages.Role(role, value.holder, value.address, value.epoch)
