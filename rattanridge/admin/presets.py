"""Presets in the store: immutable revisions, and the choice of one of them.

Choosing a preset writes the configuration generated from it, on condition that the
stored configuration has not changed since it was read. The platform's operator
writes the same object, so there is a single source of truth for both.
"""

import asyncio
import collections.abc
import secrets
import time

from rattanridge.admin import objects, store_writes
from rattanridge.kernel import codes, presets, untrusted_json
from rattanridge.platform import configs, store as stores, store_objects


class Presets:
    """Stores, shows and chooses presets.

    :param store: the platform's store.
    :param known_generation: returns the highest generation that is in force at a node.
        It is higher than the stored one if the store has lost a choice.
    """

    def __init__(
        self,
        store: stores.Store,
        known_generation: collections.abc.Callable[[], int] = lambda: 0,
    ):
        self.store = store
        self.known_generation = known_generation

    async def put(self, name: str, text: str, operator: str) -> objects.Revision:
        """Check a preset and store it as the next revision.

        If the content equals that of the newest revision, return that revision and
        store nothing.
        """
        # Parsing a large document takes long enough to block the event loop, which
        # also serves calls.
        preset = await asyncio.to_thread(presets.parse, text, name)
        if preset.name != name:
            detail = f"the document names {preset.name!r}"
            raise codes.Failure(codes.BAD_FIELD, detail, where=name)
        stored = await self.list_revisions(name)
        if stored and stored[-1].content == preset:
            return without_content(stored[-1])
        number = stored[-1].revision + 1 if stored else 1
        revision = objects.Revision(name, number, operator, preset)
        return without_content(await self.create_revision(revision))

    async def create_revision(self, new: objects.Revision) -> objects.Revision:
        """Write a revision; return the stored one.

        A revision that another operator stored first is accepted if its content is
        the same; otherwise raise ``conflict``.
        """
        key = objects.revision_key(new.name, new.revision)
        stored = await store_writes.create(
            self.store, objects.PRESETS, key, objects.encode(new)
        )
        winner = untrusted_json.decode_or_none(stored.spec, objects.Revision)
        if winner is not None and winner.content == new.content:
            return winner
        writer = winner.operator if winner is not None else "another writer"
        detail = f"revision {new.revision} was put by {writer}"
        raise codes.Failure(codes.CONFLICT, detail)

    async def list_revisions(self, name: str = "") -> list[objects.Revision]:
        """Return the revisions of one preset, or of all, by name and revision.

        Objects that cannot be decoded are left out.
        """
        listing = await self.store.list(objects.PRESETS)
        decoded = [
            untrusted_json.decode_or_none(item.spec, objects.Revision)
            for item in listing.items
        ]
        valid = [
            item for item in decoded if item is not None and item.content is not None
        ]
        if name:
            valid = [item for item in valid if item.name == name]
        return sorted(valid, key=lambda item: (item.name, item.revision))

    async def list_newest(self) -> list[objects.Revision]:
        """Return the newest revision of each preset, without content."""
        newest = {item.name: item for item in await self.list_revisions()}
        return [without_content(newest[name]) for name in sorted(newest)]

    async def show(self, name: str, revision: int = 0) -> objects.Revision:
        """Return one revision with its content; 0 means the newest.

        Raise ``no-preset`` if there is none.
        """
        stored = await self.list_revisions(name)
        matching = [
            item for item in stored if not revision or item.revision == revision
        ]
        if not matching:
            detail = (
                f"preset {name} has no revision {revision}"
                if revision
                else f"preset {name} has no revision"
            )
            raise codes.Failure(codes.NO_PRESET, detail)
        return matching[-1]

    async def use(
        self,
        name: str,
        operator: str,
        expected: int | None = None,
        revision: int = 0,
    ) -> objects.Choice:
        """Put a revision of a preset in force; the newest by default.

        :param expected: generation that the operator saw in force. If another one
            is in force now, raise a ``conflict`` that names who chose it.
        """
        target = await self.show(name, revision)
        current = await self.store.get(configs.KIND, configs.NAME)
        generation = version_of(current)
        past = await self.history()
        in_force = find_choice(past, generation)
        if expected is not None and expected != generation:
            raise conflict_failure(generation, in_force)
        known = self.known_generation()
        if known <= generation:
            refuse_same(in_force, target)
        highest = max([generation, known, *(item.generation for item in past)])
        choice = objects.Choice(
            generation=highest + 1,
            preset=name,
            revision=target.revision,
            operator=operator,
            at=round(time.time(), 3),
            sending=secrets.token_hex(6),
        )
        await self.reserve(choice)
        await self.put_in_force(choice, content_of(target), current)
        return choice

    async def reserve(self, choice: objects.Choice) -> None:
        """Write the choice before it takes effect.

        Of several operators who choose the same generation at once, only one
        succeeds; for the others, raise ``conflict``.
        """
        stored = await store_writes.create(
            self.store,
            objects.CHOICES,
            objects.choice_key(choice.generation),
            objects.encode(choice),
        )
        winner = untrusted_json.decode_or_none(stored.spec, objects.Choice)
        if winner != choice:
            raise conflict_failure(choice.generation, winner)

    async def put_in_force(
        self,
        choice: objects.Choice,
        target: presets.Preset,
        current: store_objects.StoredObject | None,
    ) -> None:
        """Write the configuration that a choice stands for.

        If the stored configuration is no longer ``current``, withdraw the choice and
        raise ``conflict``.
        """
        data = configs.encode(presets.make_configuration(target, choice.generation))
        revision = current.revision if current else 0
        try:
            await store_writes.replace(
                self.store, configs.KIND, configs.NAME, data, revision
            )
        except codes.Failure as failure:
            if failure.code is codes.PLATFORM_CONFLICT:
                await self.withdraw(choice)
                raise conflict_failure(0, None)
            raise

    async def withdraw(self, choice: objects.Choice) -> None:
        """Delete a choice that never took effect."""
        key = objects.choice_key(choice.generation)
        stored = await self.store.get(objects.CHOICES, key)
        if stored is not None:
            await self.store.delete(objects.CHOICES, key, stored.revision)

    async def history(self) -> list[objects.Choice]:
        """Return the choices that can be decoded, the oldest first."""
        listing = await self.store.list(objects.CHOICES)
        decoded = [
            untrusted_json.decode_or_none(item.spec, objects.Choice)
            for item in listing.items
        ]
        valid = [item for item in decoded if item is not None]
        return sorted(valid, key=lambda item: item.generation)

    async def get_choice(self, generation: int) -> objects.Choice | None:
        """Return the choice that produced a generation.

        Return None if the platform's operator wrote that generation.
        """
        key = objects.choice_key(generation)
        stored = await self.store.get(objects.CHOICES, key)
        return (
            untrusted_json.decode_or_none(stored.spec, objects.Choice)
            if stored
            else None
        )


def version_of(stored: store_objects.StoredObject | None) -> int:
    """Return the version of the stored configuration; 0 if there is none.

    The rest of it may be unreadable: the next choice replaces it by a valid one.
    """
    return configs.version_of(stored.spec) if stored is not None else 0


def find_choice(past: list[objects.Choice], generation: int) -> objects.Choice | None:
    """Return the choice that produced a generation; None if there is none."""
    for item in past:
        if item.generation == generation:
            return item
    return None


def refuse_same(in_force: objects.Choice | None, target: objects.Revision) -> None:
    """Raise ``preset-in-force`` if a choice in force has chosen this revision."""
    wanted = (target.name, target.revision)
    if in_force is not None and (in_force.preset, in_force.revision) == wanted:
        raise codes.Failure(codes.PRESET_IN_FORCE, describe(in_force))


def content_of(item: objects.Revision) -> presets.Preset:
    """Return the preset of a revision; raise ``no-preset`` if only it is listed."""
    if item.content is None:
        detail = f"revision {item.revision} of preset {item.name} has no content"
        raise codes.Failure(codes.NO_PRESET, detail)
    return item.content


def without_content(item: objects.Revision) -> objects.Revision:
    """Return a revision without its preset, for lists."""
    return objects.Revision(item.name, item.revision, item.operator)


def describe(choice: objects.Choice) -> str:
    """Return one line that describes a choice and names its operator."""
    return (
        f"generation {choice.generation} is in force: preset {choice.preset} "
        f"revision {choice.revision}, chosen by {choice.operator}"
    )


def conflict_failure(generation: int, winner: objects.Choice | None) -> codes.Failure:
    """Return the failure of an operator whose choice conflicts with another one.

    :param generation: generation in force; 0 if it is not known.
    :param winner: the choice in force; None if it is not an operator's choice here.
    """
    if winner is not None:
        return codes.Failure(codes.CONFLICT, describe(winner))
    if generation:
        detail = f"generation {generation} is in force, written by the platform"
        return codes.Failure(codes.CONFLICT, detail)
    return codes.Failure(codes.CONFLICT, "the configuration changed meanwhile")
