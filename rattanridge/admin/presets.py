"""Presets in the platform: immutable revisions, and the pointer ``in-force``.

A write whose answer is lost is sent again with the same write id until its
outcome is known, so that it is neither reported as failed nor done twice.
"""

import asyncio
import time
import typing
import uuid

import msgspec

from rattanridge.control import source
from rattanridge.kernel import codes, presets, snapshot
from rattanridge.objectapi import client, objects

T = typing.TypeVar("T")

HISTORY_KEPT = 200
PAST_KEPT = 20  # former choices that the pointer itself carries
POINTER = source.POINTER
HISTORY = source.HISTORY
WRITE_TRIES = 3
WRITE_PAUSE = 0.2  # seconds between tries
RACES_MOST = 5  # tries to add to the history against other writers
UNSURE = (codes.PLATFORM_DOWN, codes.PLATFORM_BUSY, codes.PLATFORM_REFUSED)


class Revision(msgspec.Struct):
    """One revision of a preset.

    :param operator: who put it; empty if it is not known.
    """

    name: str
    revision: int
    operator: str = ""
    content: presets.Preset | None = None


class Presets:
    """Puts, shows and chooses presets.

    :param platform: the platform's client.
    """

    def __init__(self, platform: client.Client):
        self.platform = platform

    async def put(self, name: str, text: str, operator: str) -> Revision:
        """Check a preset and store it as the next revision.

        The content of the newest revision put once more is that revision.
        """
        # A large document takes a while to read; calls go on meanwhile.
        preset = await asyncio.to_thread(presets.parse, text, name)
        if preset.name != name:
            detail = f"the document names {preset.name!r}"
            raise codes.Failure(codes.BAD_FIELD, detail, where=name)
        snapshot.build(1, snapshot.split(preset, 1))
        revision = await self.latest(name)
        if revision:
            newest = await self.show(name, revision)
            if newest.content == preset:
                newest.content = None
                return newest
        return await self.create(preset, revision + 1, operator)

    async def create(
        self, preset: presets.Preset, revision: int, operator: str
    ) -> Revision:
        """Write a revision; the same content written by another is as good."""
        key = source.preset_key(preset.name, revision)
        try:
            stored = await self.write(key, preset, 0, operator)
        except codes.Failure as failure:
            if failure.code is not codes.PLATFORM_CONFLICT:
                raise
            stored = await self.platform.get(key)
            if client.value_of(stored, presets.Preset) != preset:
                winner = writer_of(stored) or "another operator"
                detail = f"revision {revision} was put by {winner}"
                raise codes.Failure(codes.CONFLICT, detail)
        return Revision(preset.name, revision, writer_of(stored))

    async def write(
        self, key: str, value: object, if_version: int, operator: str
    ) -> objects.Stored:
        """Write an object; try again with the same id while it is not known."""
        write_id = f"{operator}:{uuid.uuid4().hex}"
        for left in reversed(range(WRITE_TRIES)):
            try:
                return await self.platform.put(key, value, if_version, write_id)
            except codes.Failure as failure:
                if failure.code not in UNSURE or not left:
                    raise
            await asyncio.sleep(WRITE_PAUSE)
        raise AssertionError("not reached")

    async def latest(self, name: str) -> int:
        """Return the newest revision's number; 0 if there is none."""
        listing = await self.platform.list_keys(f"presets/{name}/")
        return max(map(number_of, listing.objects), default=0)

    async def newest(self) -> list[Revision]:
        """Return the newest revision of each preset, without content."""
        listing = await self.platform.list_keys("presets/")
        found: dict[str, Revision] = {}
        for item in listing.objects:
            name = item.key.split("/")[1]
            number = number_of(item)
            if number and (name not in found or found[name].revision < number):
                found[name] = Revision(name, number, writer_of(item))
        return [found[name] for name in sorted(found)]

    async def show(self, name: str, revision: int = 0) -> Revision:
        """Return one revision with its content; 0 means the newest."""
        number = revision or await self.latest(name)
        stored = await self.platform.find(source.preset_key(name, number))
        if stored is None:
            raise codes.Failure(codes.NO_PRESET, described(name, number))
        content = client.value_of(stored, presets.Preset)
        return Revision(name, number, writer_of(stored), content)

    async def use(
        self,
        name: str,
        operator: str,
        expected: int | None = None,
        revision: int = 0,
    ) -> objects.InForce:
        """Put a revision of a preset in force; the newest by default.

        :param expected: generation that the operator saw; another one in force
            is a conflict that names who chose it.
        """
        revision = (await self.show(name, revision)).revision
        stored = await self.platform.find(POINTER)
        current = readable(stored, objects.InForce)
        generation = current.generation if current else await self.last_generation()
        if expected is not None and expected != generation:
            raise conflict(current)
        if current and (current.preset, current.revision) == (name, revision):
            raise codes.Failure(codes.PRESET_IN_FORCE, described_choice(current))
        chosen = objects.InForce(generation + 1, name, revision, operator, time.time())
        if current:
            chosen.past = [*current.past, as_choice(current)][-PAST_KEPT:]
        await self.point(chosen, stored.version if stored else 0)
        await self.remember([*chosen.past, as_choice(chosen)])
        chosen.past = []
        return chosen

    async def last_generation(self) -> int:
        """Return the newest generation of the history; 0 if there is none.

        It counts if the pointer was deleted or spoilt: nodes would pass over a
        generation that is not above theirs.
        """
        stored = await self.platform.find(HISTORY)
        past = readable(stored, list[objects.Choice]) or []
        return max((choice.generation for choice in past), default=0)

    async def point(self, chosen: objects.InForce, if_version: int) -> None:
        """Write the pointer; raise a conflict only if the choice lost."""
        try:
            await self.write(POINTER, chosen, if_version, chosen.operator)
        except codes.Failure as failure:
            if failure.code not in (codes.PLATFORM_CONFLICT, *UNSURE):
                raise
            found = client.value_of(await self.platform.get(POINTER), objects.InForce)
            # A later choice may stand over this one, which took effect before.
            if as_choice(chosen) in [*found.past, as_choice(found)]:
                return
            lost = failure.code is codes.PLATFORM_CONFLICT
            if lost or found.generation >= chosen.generation:
                raise conflict(found)
            raise failure

    async def remember(self, choices: list[objects.Choice]) -> None:
        """Add choices to the history, as far as the platform lets.

        What is lost here stays in the pointer, and comes with the next choice.
        """
        try:
            for _ in range(RACES_MOST):
                if await self.add_to_history(choices):
                    return
        except codes.Failure:
            return

    async def add_to_history(self, choices: list[objects.Choice]) -> bool:
        """Merge choices into the history; return whether no other write won."""
        stored = await self.platform.find(HISTORY)
        past = readable(stored, list[objects.Choice]) or []
        kept = merge(past, choices)[-HISTORY_KEPT:]
        if kept == past:
            return True
        try:
            await self.platform.put(HISTORY, kept, stored.version if stored else 0)
        except codes.Failure as failure:
            if failure.code is codes.PLATFORM_CONFLICT:
                return False
            raise
        return True

    async def history(self) -> list[objects.Choice]:
        """Return the choices, the oldest first."""
        listing = await self.platform.list(HISTORY, POINTER)
        found: list[objects.Choice] = []
        for stored in listing.objects:
            if stored.key == POINTER:
                current = client.value_of(stored, objects.InForce)
                found = merge(found, [*current.past, as_choice(current)])
            elif stored.key == HISTORY:
                found = merge(found, client.value_of(stored, list[objects.Choice]))
        return found


def readable(stored: objects.Stored | None, kind: type[T]) -> T | None:
    """Return an object's value; ``None`` if there is none or it can't be read."""
    if stored is None:
        return None
    try:
        return client.value_of(stored, kind)
    except codes.Failure:
        return None


def merge(
    first: list[objects.Choice], second: list[objects.Choice]
) -> list[objects.Choice]:
    """Return the choices of both lists, one for each generation, in order."""
    both = {choice.generation: choice for choice in [*first, *second]}
    return [both[generation] for generation in sorted(both)]


def as_choice(pointer: objects.InForce) -> objects.Choice:
    """Return a pointer without its past."""
    return objects.Choice(
        pointer.generation,
        pointer.preset,
        pointer.revision,
        pointer.operator,
        pointer.at,
    )


def number_of(stored: objects.Stored) -> int:
    """Return the revision that a key names; 0 if it names none."""
    number = stored.key.rpartition("/")[2]
    return int(number) if number.isdecimal() else 0


def writer_of(stored: objects.Stored) -> str:
    """Return the operator who wrote an object; empty if it is not known."""
    operator, colon, _ = stored.write_id.partition(":")
    return operator if colon else ""


def described(name: str, revision: int) -> str:
    """Return a preset's name, and its revision if one is meant."""
    return f"{name} revision {revision}" if revision else name


def described_choice(choice: objects.Choice) -> str:
    """Return one line that tells a choice and who made it."""
    return (
        f"generation {choice.generation} is in force: preset {choice.preset} "
        f"revision {choice.revision}, chosen by {choice.operator}"
    )


def conflict(winner: objects.Choice | None) -> codes.Failure:
    """Return the failure of an operator who lost a race."""
    if winner is None:
        return codes.Failure(codes.CONFLICT, "nothing is in force")
    return codes.Failure(codes.CONFLICT, described_choice(winner))
