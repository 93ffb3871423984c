"""Presets in the platform: immutable revisions, and the pointer ``in-force``."""

import time

import msgspec

from rattanridge.control import source
from rattanridge.kernel import codes, presets, snapshot
from rattanridge.platform import client, objects

HISTORY_KEPT = 200
POINTER = source.POINTER
HISTORY = source.HISTORY


class Revision(msgspec.Struct):
    """One revision of a preset."""

    name: str
    revision: int
    content: presets.Preset | None = None


class Choice(msgspec.Struct):
    """One choice of a preset, in the history."""

    generation: int
    preset: str
    revision: int
    operator: str
    at: float


class Presets:
    """Puts, shows and chooses presets.

    :param platform: the platform's client.
    """

    def __init__(self, platform: client.Client):
        self.platform = platform

    async def put(self, name: str, text: str, operator: str) -> Revision:
        """Check a preset and store it as the next revision."""
        preset = presets.parse(text, name)
        if preset.name != name:
            detail = f"the document names {preset.name!r}"
            raise codes.Failure(codes.BAD_FIELD, detail, where=name)
        snapshot.build(1, snapshot.split(preset, 1))
        revision = await self.latest(name) + 1
        try:
            await self.platform.put(source.preset_key(name, revision), preset, 0)
        except codes.Failure as failure:
            if failure.code is codes.PLATFORM_CONFLICT:
                detail = f"revision {revision} was put by another operator"
                raise codes.Failure(codes.CONFLICT, detail)
            raise
        return Revision(name, revision)

    async def latest(self, name: str) -> int:
        """Return the newest revision's number; 0 if there is none."""
        listing = await self.platform.list(f"presets/{name}/")
        numbers = [int(item.key.rpartition("/")[2]) for item in listing.objects]
        return max(numbers, default=0)

    async def newest(self) -> list[Revision]:
        """Return the newest revision of each preset, without content."""
        listing = await self.platform.list("presets/")
        numbers: dict[str, int] = {}
        for item in listing.objects:
            _, name, number = item.key.split("/")
            numbers[name] = max(numbers.get(name, 0), int(number))
        return [Revision(name, number) for name, number in sorted(numbers.items())]

    async def show(self, name: str, revision: int = 0) -> Revision:
        """Return one revision with its content; 0 means the newest."""
        number = revision or await self.latest(name)
        stored = await self.platform.find(source.preset_key(name, number))
        if stored is None:
            raise codes.Failure(codes.NO_PRESET, name)
        return Revision(name, number, client.value_of(stored, presets.Preset))

    async def use(
        self, name: str, operator: str, expected: int | None = None
    ) -> objects.InForce:
        """Put the newest revision of a preset in force.

        :param expected: generation that the operator saw; another one in force
            is a conflict that names who chose it.
        """
        revision = await self.latest(name)
        if not revision:
            raise codes.Failure(codes.NO_PRESET, name)
        stored = await self.platform.find(POINTER)
        current = client.value_of(stored, objects.InForce) if stored else None
        generation = current.generation if current else 0
        if expected is not None and expected != generation:
            raise conflict(current)
        chosen = objects.InForce(generation + 1, name, revision, operator, time.time())
        try:
            await self.platform.put(POINTER, chosen, stored.version if stored else 0)
        except codes.Failure as failure:
            if failure.code is not codes.PLATFORM_CONFLICT:
                raise
            winner = await self.platform.get(POINTER)
            raise conflict(client.value_of(winner, objects.InForce))
        await self.remember(chosen)
        return chosen

    async def remember(self, chosen: objects.InForce) -> None:
        """Add a choice to the history, as far as the platform lets."""
        choice = Choice(
            chosen.generation,
            chosen.preset,
            chosen.revision,
            chosen.operator,
            chosen.at,
        )
        for _ in range(5):
            try:
                stored = await self.platform.find(HISTORY)
                past = client.value_of(stored, list[Choice]) if stored else []
                kept = [*past, choice][-HISTORY_KEPT:]
                await self.platform.put(HISTORY, kept, stored.version if stored else 0)
                return
            except codes.Failure as failure:
                if failure.code is not codes.PLATFORM_CONFLICT:
                    return

    async def history(self) -> list[Choice]:
        """Return the choices, the oldest first."""
        stored = await self.platform.find(HISTORY)
        found = client.value_of(stored, list[Choice]) if stored else []
        return sorted(found, key=lambda choice: choice.generation)


def conflict(winner: objects.InForce | None) -> codes.Failure:
    if winner is None:
        return codes.Failure(codes.CONFLICT, "nothing is in force")
    detail = (
        f"generation {winner.generation} is in force: preset {winner.preset} "
        f"revision {winner.revision}, chosen by {winner.operator}"
    )
    return codes.Failure(codes.CONFLICT, detail)
