"""Presets in the platform: lost answers, outages, races and history."""

import asyncio
import contextlib

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from rattanridge.admin import presets as store
from rattanridge.kernel import codes
from rattanridge.measure import fleet
from rattanridge.objectapi import client, objects
from rattanridge.standin import platform as platforms

OLGA, VICTOR = fleet.TOKENS
DAY = fleet.preset_text(fleet.make_preset("day", ["workshop"]))
PEAK = fleet.preset_text(fleet.make_preset("peak", ["workshop"], timeout=2.0))


@contextlib.asynccontextmanager
async def presets_on(**faults):
    """Give the presets of a platform stand-in, and the stand-in."""
    platform = platforms.Platform(seed=1)
    reached = client.Client([await platform.start()], timeout=1.0)
    try:
        yield store.Presets(reached), platform
    finally:
        await reached.close()
        await platform.stop()


async def refused(awaitable):
    with pytest.raises(codes.Failure) as caught:
        await awaitable
    return caught.value


class TestPut:
    async def test_same_content_is_the_same_revision(self):
        async with presets_on() as (presets, platform):
            first = await presets.put("day", DAY, "olga")
            again = await presets.put("day", "# told again\n" + DAY, "oscar")
            assert (first.revision, again.revision, again.operator) == (1, 1, "olga")
            assert platform.counts["put"] == 1

    async def test_former_content_is_a_new_revision(self):
        async with presets_on() as (presets, _):
            other = DAY.replace("5.0", "4.0")
            for text in (DAY, other, DAY):
                last = await presets.put("day", text, "olga")
            assert last.revision == 3

    async def test_race_names_the_winner(self, monkeypatch):
        async def none_yet(name):
            return 0

        async with presets_on() as (presets, _):
            monkeypatch.setattr(presets, "latest", none_yet)
            other = DAY.replace("5.0", "4.0")
            both = await asyncio.gather(
                presets.put("day", DAY, "olga"),
                presets.put("day", other, "oscar"),
                return_exceptions=True,
            )
            won = next(item for item in both if isinstance(item, store.Revision))
            lost = next(item for item in both if isinstance(item, codes.Failure))
            assert lost.code is codes.CONFLICT
            assert won.operator in lost.detail
            assert (await presets.show("day", 1)).operator == won.operator

    @pytest.mark.parametrize(
        ("name", "text", "code"),
        [
            ("peak", DAY, codes.BAD_FIELD),
            ("day", DAY.replace('"/workshop"', '"workshop"'), codes.BAD_FIELD),
            ("day", DAY.replace("two-choices", "none-such"), codes.BAD_FIELD),
            ("day", "{", codes.BAD_YAML),
            ("day", DAY + "#" * 2_000_000, codes.TOO_LARGE),
        ],
    )
    async def test_bad_preset_leaves_nothing(self, name, text, code):
        async with presets_on() as (presets, platform):
            assert (await refused(presets.put(name, text, "olga"))).code is code
            assert not platform.store.objects

    async def test_foreign_objects_are_passed_over(self):
        async with presets_on() as (presets, _):
            await presets.platform.put("presets/day/notes", "keep", 0)
            await presets.platform.put("presets/loose", "keep", 0)
            assert (await presets.put("day", DAY, "olga")).revision == 1
            assert [item.name for item in await presets.newest()] == ["day"]


class TestUse:
    async def test_the_one_in_force_is_refused(self):
        async with presets_on() as (presets, _):
            await presets.put("day", DAY, "olga")
            await presets.use("day", "olga")
            failure = await refused(presets.use("day", "oscar"))
            assert failure.code is codes.PRESET_IN_FORCE
            assert "olga" in failure.detail
            assert [item.generation for item in await presets.history()] == [1]

    async def test_older_revision_takes_a_higher_generation(self):
        async with presets_on() as (presets, _):
            for text in (DAY, DAY.replace("5.0", "4.0")):
                await presets.put("day", text, "olga")
            await presets.use("day", "olga")
            back = await presets.use("day", "olga", revision=1)
            assert (back.generation, back.revision) == (2, 1)

    @pytest.mark.parametrize("revision", [0, 7])
    async def test_missing(self, revision):
        async with presets_on() as (presets, _):
            failure = await refused(presets.use("day", "olga", revision=revision))
            assert failure.code is codes.NO_PRESET

    @pytest.mark.parametrize("spoilt", [None, "text", {"generation": "x"}])
    async def test_pointer_that_was_deleted_or_spoilt(self, spoilt):
        async with presets_on() as (presets, _):
            await presets.put("day", DAY, "olga")
            await presets.put("peak", PEAK, "olga")
            await presets.use("day", "olga")
            await presets.use("peak", "olga")
            stored = await presets.platform.get(store.POINTER)
            if spoilt is None:
                await presets.platform.delete(store.POINTER, stored.version)
            else:
                await presets.platform.put(store.POINTER, spoilt, stored.version)
            assert (await presets.use("day", "olga")).generation == 3

    async def test_expected_generation_that_is_old(self):
        async with presets_on() as (presets, _):
            await presets.put("day", DAY, "olga")
            await presets.put("peak", PEAK, "olga")
            await presets.use("day", "olga", 0)
            await presets.use("peak", "olga", 1)
            failure = await refused(presets.use("day", "oscar", 1))
            assert failure.code is codes.CONFLICT
            assert "olga" in failure.detail

    async def test_race_has_one_winner_whom_the_other_learns(self):
        async with presets_on() as (presets, _):
            await presets.put("day", DAY, "olga")
            await presets.put("peak", PEAK, "olga")
            both = await asyncio.gather(
                presets.use("day", "olga", 0),
                presets.use("peak", "oscar", 0),
                return_exceptions=True,
            )
            won = next(item for item in both if isinstance(item, objects.InForce))
            lost = next(item for item in both if isinstance(item, codes.Failure))
            assert lost.code is codes.CONFLICT
            assert won.operator in lost.detail
            assert [item.operator for item in await presets.history()] == [won.operator]

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["olga", "oscar"]),
                strategies.sampled_from(["day", "peak"]),
            ),
            min_size=2,
            max_size=6,
        )
    )
    @hypothesis.settings(max_examples=25)
    def test_generations_tell_every_success_once(self, choices):
        async def run():
            async with presets_on() as (presets, _):
                await presets.put("day", DAY, "olga")
                await presets.put("peak", PEAK, "olga")
                ends = await asyncio.gather(
                    *(presets.use(name, who) for who, name in choices),
                    return_exceptions=True,
                )
                done = [item for item in ends if isinstance(item, objects.InForce)]
                told = [store.as_choice(item) for item in done]
                told.sort(key=lambda item: item.generation)
                assert await presets.history() == told
                assert [item.generation for item in told] == [
                    number + 1 for number in range(len(told))
                ]

        asyncio.run(run())


class TestLostAnswers:
    """The platform takes writes but their answers are lost."""

    @pytest.mark.parametrize("lost", [0.5, 1.0])
    async def test_no_false_failure_and_nothing_twice(self, lost):
        async with presets_on() as (presets, platform):
            platform.faults.lose_answers = lost
            for number in range(5):
                text = DAY.replace("5.0", f"{number + 1}.0")
                assert (await presets.put("day", text, "olga")).revision == number + 1
                assert (await presets.use("day", "olga")).generation == number + 1
            platform.faults.lose_answers = 0.0
            assert platform.counts["answers-lost"] > 0
            assert [item.revision for item in await presets.history()] == [*range(1, 6)]

    async def test_choice_that_was_followed_by_another_did_win(self, monkeypatch):
        async with presets_on() as (presets, _):
            await presets.put("day", DAY, "olga")
            await presets.put("peak", PEAK, "olga")
            real = presets.platform.put

            async def overtaken(key, value, if_version, write_id=""):
                await real(key, value, if_version, write_id)
                monkeypatch.setattr(presets.platform, "put", real)
                if key == store.POINTER:
                    await store.Presets(presets.platform).use("peak", "oscar")
                raise codes.Failure(codes.PLATFORM_CONFLICT)

            monkeypatch.setattr(presets.platform, "put", overtaken)
            assert (await presets.use("day", "olga")).generation == 1
            assert [item.operator for item in await presets.history()] == [
                "olga",
                "oscar",
            ]

    async def test_history_that_could_not_be_written_is_found_later(self, monkeypatch):
        async with presets_on() as (presets, platform):
            await presets.put("day", DAY, "olga")
            await presets.put("peak", PEAK, "olga")

            async def fail(choices):
                raise codes.Failure(codes.PLATFORM_DOWN)

            monkeypatch.setattr(presets, "add_to_history", fail)
            await presets.use("day", "olga")
            assert store.HISTORY not in platform.store.objects
            assert [item.operator for item in await presets.history()] == ["olga"]
            monkeypatch.undo()
            await presets.use("peak", "oscar")
            kept = msgspec.json.decode(platform.store.objects[store.HISTORY].value)
            assert [item["operator"] for item in kept] == ["olga", "oscar"]


class TestOutage:
    @pytest.mark.parametrize(
        ("faults", "code"),
        [
            ({"down": True}, codes.PLATFORM_DOWN),
            ({"slow": 30.0}, codes.PLATFORM_DOWN),
            ({"reads_per_second": -1}, codes.PLATFORM_BUSY),
        ],
    )
    async def test_refused_and_nothing_queues(self, faults, code):
        async with presets_on() as (presets, platform):
            await presets.put("day", DAY, "olga")
            before = dict(platform.store.objects)
            platform.faults = platforms.Faults(**faults)
            for _ in range(2):
                ends = await asyncio.gather(
                    presets.put("peak", PEAK, "olga"),
                    presets.use("day", "olga"),
                    return_exceptions=True,
                )
            assert all(isinstance(item, codes.Failure) for item in ends)
            assert {item.code for item in ends} == {code}
            platform.faults = platforms.Faults()
            assert platform.store.objects == before

    async def test_unreadable_answers(self, monkeypatch):
        async with presets_on() as (presets, _):

            async def garbage(*args, **more):
                return b"[" * 100_000

            monkeypatch.setattr(presets.platform, "call", garbage)
            failure = await refused(presets.use("day", "olga"))
            assert failure.code is codes.PLATFORM_REFUSED
