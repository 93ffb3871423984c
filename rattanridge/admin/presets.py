"""Presets in the store: immutable revisions, and the choice of one of them.

To choose a preset is to write the configuration that it stands for, under the
condition that nobody wrote another one meanwhile. The platform's operator
writes the same object; so there is one source of truth, whoever chose.
"""

import asyncio
import secrets
import time

from rattanridge.admin import objects, store_writes
from rattanridge.kernel import codes, presets, untrusted_json
from rattanridge.platform import configs, store as stores


class Presets:
    """Puts, shows and chooses presets.

    :param store: the platform's store.
    """

    def __init__(self, store: stores.Store):
        self.store = store

    async def put(self, name: str, text: str, operator: str) -> objects.Revision:
        """Check a preset and store it as the next revision.

        The content of the newest revision put once more is that revision.
        """
        # A large document takes a while to read; calls go on meanwhile.
        preset = await asyncio.to_thread(presets.parse, text, name)
        if preset.name != name:
            detail = f"the document names {preset.name!r}"
            raise codes.Failure(codes.BAD_FIELD, detail, where=name)
        known = await self.revisions(name)
        if known and known[-1].content == preset:
            return without_content(known[-1])
        number = known[-1].revision + 1 if known else 1
        made = objects.Revision(name, number, operator, preset)
        return without_content(await self.create(made))

    async def create(self, made: objects.Revision) -> objects.Revision:
        """Write a revision; the same content written by another is as good."""
        key = objects.revision_key(made.name, made.revision)
        found = await store_writes.create(
            self.store, objects.PRESETS, key, objects.encode(made)
        )
        winner = untrusted_json.decode_or_none(found.spec, objects.Revision)
        if winner is not None and winner.content == made.content:
            return winner
        who = winner.operator if winner is not None else "another writer"
        detail = f"revision {made.revision} was put by {who}"
        raise codes.Failure(codes.CONFLICT, detail)

    async def revisions(self, name: str = "") -> list[objects.Revision]:
        """Return all revisions of one preset, or of all, in order."""
        listing = await self.store.list(objects.PRESETS)
        found = [
            untrusted_json.decode_or_none(item.spec, objects.Revision)
            for item in listing.items
        ]
        kept = [item for item in found if item is not None and item.content is not None]
        if name:
            kept = [item for item in kept if item.name == name]
        return sorted(kept, key=lambda item: (item.name, item.revision))

    async def newest(self) -> list[objects.Revision]:
        """Return the newest revision of each preset, without content."""
        found = {item.name: item for item in await self.revisions()}
        return [without_content(found[name]) for name in sorted(found)]

    async def show(self, name: str, revision: int = 0) -> objects.Revision:
        """Return one revision with its content; 0 means the newest."""
        known = await self.revisions(name)
        wanted = [item for item in known if not revision or item.revision == revision]
        if not wanted:
            detail = f"{name} revision {revision}" if revision else name
            raise codes.Failure(codes.NO_PRESET, detail)
        return wanted[-1]

    async def use(
        self,
        name: str,
        operator: str,
        expected: int | None = None,
        revision: int = 0,
    ) -> objects.Choice:
        """Put a revision of a preset in force; the newest by default.

        :param expected: generation that the operator saw; another one in force
            is a conflict that names who chose it.
        """
        wanted = await self.show(name, revision)
        current = await self.store.get(configs.KIND, configs.NAME)
        generation = version_of(current)
        past = await self.history()
        in_force = find(past, generation)
        if expected is not None and expected != generation:
            raise conflict(generation, in_force)
        if in_force and (in_force.preset, in_force.revision) == (name, wanted.revision):
            raise codes.Failure(codes.PRESET_IN_FORCE, describe(in_force))
        last = max([generation, *(item.generation for item in past)])
        chosen = objects.Choice(
            generation=last + 1,
            preset=name,
            revision=wanted.revision,
            operator=operator,
            at=round(time.time(), 3),
            sending=secrets.token_hex(6),
        )
        await self.reserve(chosen)
        await self.put_in_force(chosen, wanted, current)
        return chosen

    async def reserve(self, chosen: objects.Choice) -> None:
        """Write the choice before it takes effect; of racing operators one may."""
        found = await store_writes.create(
            self.store,
            objects.CHOICES,
            objects.choice_key(chosen.generation),
            objects.encode(chosen),
        )
        winner = untrusted_json.decode_or_none(found.spec, objects.Choice)
        if winner != chosen:
            raise conflict(chosen.generation, winner)

    async def put_in_force(
        self,
        chosen: objects.Choice,
        wanted: objects.Revision,
        current: stores.StoredObject | None,
    ) -> None:
        """Write the configuration; a choice that lost is taken out again."""
        data = configs.encode(
            presets.make_configuration(wanted.content, chosen.generation)
        )
        revision = current.revision if current else 0
        try:
            await store_writes.replace(
                self.store, configs.KIND, configs.NAME, data, revision
            )
        except codes.Failure as failure:
            if failure.code is codes.PLATFORM_CONFLICT:
                await self.withdraw(chosen)
                raise conflict(0, None)
            raise

    async def withdraw(self, chosen: objects.Choice) -> None:
        """Remove a choice that never took effect."""
        key = objects.choice_key(chosen.generation)
        stored = await self.store.get(objects.CHOICES, key)
        if stored is not None:
            await self.store.delete(objects.CHOICES, key, stored.revision)

    async def history(self) -> list[objects.Choice]:
        """Return the choices, the oldest first."""
        listing = await self.store.list(objects.CHOICES)
        found = [
            untrusted_json.decode_or_none(item.spec, objects.Choice)
            for item in listing.items
        ]
        kept = [item for item in found if item is not None]
        return sorted(kept, key=lambda item: item.generation)

    async def in_force(self, generation: int) -> objects.Choice | None:
        """Return the choice that made a generation, if an operator made it here."""
        key = objects.choice_key(generation)
        stored = await self.store.get(objects.CHOICES, key)
        return (
            untrusted_json.decode_or_none(stored.spec, objects.Choice)
            if stored
            else None
        )


def version_of(stored: stores.StoredObject | None) -> int:
    """Return the version of the stored configuration; 0 if none can be read."""
    if stored is None:
        return 0
    try:
        return configs.decode(stored.spec).version
    except codes.Failure:
        # Whoever chooses next puts a readable one in its place.
        return 0


def find(past: list[objects.Choice], generation: int) -> objects.Choice | None:
    """Return the choice of a generation."""
    for item in past:
        if item.generation == generation:
            return item
    return None


def without_content(item: objects.Revision) -> objects.Revision:
    """Return a revision as lists show it."""
    return objects.Revision(item.name, item.revision, item.operator)


def describe(choice: objects.Choice) -> str:
    """Return one line that tells a choice and who made it."""
    return (
        f"generation {choice.generation} is in force: preset {choice.preset} "
        f"revision {choice.revision}, chosen by {choice.operator}"
    )


def conflict(generation: int, winner: objects.Choice | None) -> codes.Failure:
    """Return the failure of an operator who lost a race."""
    if winner is not None:
        return codes.Failure(codes.CONFLICT, describe(winner))
    if generation:
        detail = f"generation {generation} is in force, written by the platform"
        return codes.Failure(codes.CONFLICT, detail)
    return codes.Failure(codes.CONFLICT, "the configuration changed meanwhile")
