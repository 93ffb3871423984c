"""Every fault of the platform at every step of an operator's command."""

import collections

import pytest

from rattanridge.admin import presets as store
from rattanridge.kernel import codes
from rattanridge.measure import fleet
from rattanridge.objectapi import client
from rattanridge.standin import platform as platforms

DAY = fleet.preset_text(fleet.make_preset("day", ["workshop"]))
NEW = fleet.preset_text(fleet.make_preset("day", ["workshop"], timeout=4.0))
STEPS = range(7)
UNKNOWN = (codes.PLATFORM_DOWN, codes.PLATFORM_BUSY, codes.PLATFORM_REFUSED)


class Faulty(client.Client):
    """A client whose call number ``step`` meets a fault.

    :param fault: name of a method.
    """

    step = -1
    calls = 0
    fault = ""

    async def call(self, method, path, body=b"", timeout=0.0):
        number, self.calls = self.calls, self.calls + 1
        if self.step < 0 or number < self.step:
            return await super().call(method, path, body, timeout)
        if number > self.step and self.fault != "down_from_here":
            return await super().call(method, path, body, timeout)
        return await getattr(self, self.fault)(method, path, body, timeout)

    async def down(self, *arguments):
        raise codes.Failure(codes.PLATFORM_DOWN)

    down_from_here = down

    async def busy(self, *arguments):
        raise codes.Failure(codes.PLATFORM_BUSY)

    async def lost(self, *arguments):
        await super().call(*arguments)
        raise codes.Failure(codes.PLATFORM_DOWN)

    async def bad_gateway(self, *arguments):
        await super().call(*arguments)
        raise codes.Failure(codes.PLATFORM_REFUSED)

    async def garbage(self, *arguments):
        await super().call(*arguments)
        return b"{"

    async def overtaken(self, *arguments):
        """Another operator finishes a choice before this call."""
        await self.rival()
        return await super().call(*arguments)

    async def lost_and_overtaken(self, *arguments):
        await super().call(*arguments)
        await self.rival()
        raise codes.Failure(codes.PLATFORM_DOWN)

    async def rival(self):
        clean = client.Client(self.urls)
        try:
            await store.Presets(clean).use("peak", "oscar")
        except codes.Failure as failure:
            assert failure.code is codes.PRESET_IN_FORCE
        finally:
            await clean.close()


FAULTS = (
    "down",
    "down_from_here",
    "busy",
    "lost",
    "bad_gateway",
    "garbage",
    "overtaken",
    "lost_and_overtaken",
)


@pytest.fixture
async def platform(monkeypatch):
    monkeypatch.setattr(store, "WRITE_PAUSE", 0.0)
    made = platforms.Platform(seed=1)
    await made.start()
    yield made
    await made.stop()


@pytest.fixture
async def clean(platform):
    """Presets over a client without faults, with ``day`` and ``peak`` put."""
    reached = client.Client([platform.url])
    presets = store.Presets(reached)
    await presets.put("day", DAY, "olga")
    peak = fleet.make_preset("peak", ["workshop"])
    await presets.put("peak", fleet.preset_text(peak), "olga")
    yield presets
    await reached.close()


@pytest.fixture
async def faulty(platform, clean):
    reached = Faulty([platform.url])
    yield reached
    await reached.close()


async def attempt(awaitable):
    """Return the code of a failure; ``None`` for a success."""
    try:
        await awaitable
    except codes.Failure as failure:
        return failure.code
    return None


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("step", STEPS)
class TestUse:
    async def test_told_as_it_is_and_once(self, clean, faulty, step, fault):
        faulty.step, faulty.fault = step, fault
        told = await attempt(store.Presets(faulty).use("day", "olga"))
        by = collections.Counter(item.operator for item in await clean.history())
        if told is None:
            assert by["olga"] == 1
        elif told is codes.CONFLICT:
            assert by == {"oscar": 1}
        else:
            assert told in UNKNOWN
            # One fault alone leaves time to learn the outcome.
            assert by["olga"] <= (fault == "down_from_here")

    async def test_repeated_command_ends_in_one_choice(
        self, clean, faulty, step, fault
    ):
        faulty.step, faulty.fault = step, fault
        await attempt(store.Presets(faulty).use("day", "olga"))
        again = await attempt(clean.use("day", "olga"))
        assert again in (None, codes.PRESET_IN_FORCE)
        choices = await clean.history()
        assert (choices[-1].preset, choices[-1].operator) == ("day", "olga")
        assert [item.generation for item in choices] == [
            number + 1 for number in range(len(choices))
        ]


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("step", STEPS)
class TestPut:
    async def test_one_revision_whatever_is_told(self, clean, faulty, step, fault):
        faulty.step, faulty.fault = step, fault
        told = await attempt(store.Presets(faulty).put("day", NEW, "olga"))
        revision = (await clean.show("day")).revision
        if told is None:
            assert revision == 2
        else:
            assert told in UNKNOWN
            assert revision == 1 or fault == "down_from_here"
        assert (await clean.put("day", NEW, "olga")).revision == 2
