"""One soak: start, make trouble under load, heal, check."""

import asyncio
import dataclasses
import pathlib
import random
import time

import aiohttp

from rattanridge.admin import presets as preset_store
from rattanridge.kernel import codes, log, presets
from rattanridge.platform import store as stores
from rattanridge.soak import callers, faults, parts, promises, schedule
from rattanridge.standin import fleet

HOSTS = 6
IN_FORCE = 4.0  # seconds from an accepted choice until it is in force everywhere
HEAL = 4.0  # seconds after the last fault until everything must work again
CHANGE_INTERVAL = 2.0  # seconds between two choices of a preset
FINAL_CALLS = 60
FINAL_SHARE = 0.95  # of the calls after the healing that must be answered


@dataclasses.dataclass(slots=True)
class Outcome:
    """What a soak found.

    :param faults: names and targets, in order.
    :param skipped: planned faults whose target was still hit by another one.
    :param broken: promises that did not hold.
    """

    seed: int
    calls: int = 0
    answered: int = 0
    faults: list[str] = dataclasses.field(default_factory=list)
    skipped: list[str] = dataclasses.field(default_factory=list)
    broken: list[str] = dataclasses.field(default_factory=list)


class Soak:
    """Runs one seed.

    :param directory: for settings, logs and journals; kept if something broke.
    """

    def __init__(self, seed: int, seconds: float, directory: pathlib.Path):
        self.world = parts.World(directory, HOSTS)
        self.callers = callers.Callers(self.world, random.Random(seed))
        planned = schedule.plan(seed, seconds, HOSTS, faults.FAULTS.names())
        self.trouble = faults.Trouble(self.world, planned)
        self.watcher = promises.Watcher(self.world)
        self.outcome = Outcome(seed)
        self.generation = 0
        self.log = log.Log("soak")

    async def run(self) -> Outcome:
        """Run everything; the outcome tells what did not hold."""
        try:
            if not await self.begin():
                return self.outcome
            watching = asyncio.create_task(self.watcher.run())
            calling = asyncio.create_task(self.callers.run())
            changing = asyncio.create_task(self.change())
            await self.trouble.run()
            changing.cancel()
            await asyncio.gather(changing, return_exceptions=True)
            await self.heal()
            self.callers.ending = True
            await calling
            await self.check_service()
            watching.cancel()
        finally:
            await self.world.stop()
        self.sum_up()
        return self.outcome

    async def begin(self) -> bool:
        """Start all processes with a preset in force; return whether that went well."""
        try:
            await self.world.start()
            await self.choose()
            await self.settle()
        except TimeoutError:
            self.outcome.broken.append(f"not started after {parts.START_LIMIT} s")
            return False
        return True

    async def choose(self) -> None:
        """Put another preset in force, as an operator at the store does."""
        preset = fleet.make_preset(
            "day", list(parts.SERVICES), 2.0 + self.generation / 100
        )
        # Work without a key must not be sent on either.
        for service in parts.SERVICES:
            preset.routes.append(
                presets.Route(prefix=f"/{service}/once", service=service)
            )
        reached = stores.Store(self.world.store_address)
        operations = preset_store.Presets(reached)
        try:
            await operations.put("day", fleet.preset_text(preset), "olga")
            self.generation = (await operations.use("day", "olga")).generation
        finally:
            await reached.close()

    async def change(self) -> None:
        """Choose presets while trouble is made; refusals are the store's faults."""
        while True:
            await asyncio.sleep(CHANGE_INTERVAL)
            try:
                await self.choose()
            except codes.Failure as failure:
                self.log.info("choice-refused", code=failure.code.number)

    async def settle(self, seconds: float = parts.START_LIMIT) -> None:
        """Wait until all nodes apply the newest choice."""
        await self.world.wait(self.is_in_force, seconds)

    async def is_in_force(self) -> bool:
        """Whether all nodes apply the newest choice."""
        states = await asyncio.gather(*(self.world.state(x) for x in self.world.hosts))
        return all(
            state is not None and state.version >= self.generation for state in states
        )

    async def heal(self) -> None:
        """End all faults, then see that a choice is in force everywhere in time."""
        await self.world.set_store_faults()
        await asyncio.sleep(HEAL)
        await self.choose()
        began = time.monotonic()
        try:
            await self.settle(IN_FORCE)
        except TimeoutError:
            took = time.monotonic() - began
            self.outcome.broken.append(f"not in force everywhere after {took:.1f} s")

    async def check_service(self) -> None:
        """See that nearly all requests are served again."""
        before = len(self.callers.sent)
        async with aiohttp.ClientSession() as session:
            for _ in range(FINAL_CALLS):
                await self.callers.send_one(session)
        found = self.callers.sent[before:]
        served = sum(item.status == 200 for item in found)
        if served < FINAL_SHARE * len(found):
            told = {(item.status, item.code, item.cut) for item in found}
            self.outcome.broken.append(f"served {served} of {len(found)}: {told}")

    def sum_up(self) -> None:
        """Check what all sides saw."""
        sent = self.callers.sent
        self.outcome.calls = len(sent)
        self.outcome.answered = sum(item.status == 200 for item in sent)
        windows = self.trouble.windows
        self.outcome.faults = [f"{item.name} {item.key}" for item in windows]
        self.outcome.skipped = [
            f"{item.name} {item.key()}" for item in self.trouble.skipped
        ]
        self.outcome.broken += self.watcher.broken
        self.outcome.broken += promises.check(self.world, sent, windows)
