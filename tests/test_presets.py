"""Presets in the store: lost answers, outages, races and history."""

import asyncio
import contextlib

import hypothesis
import pytest
from hypothesis import strategies

from rattanridge import policies
from rattanridge.admin import objects, presets as preset_store, store_writes
from rattanridge.kernel import codes, registry
from rattanridge.platform import configs, store as stores
from rattanridge.standin import fleet, metadata

DAY = fleet.preset_text(fleet.make_preset("day", ["workshop"]))
PEAK = fleet.preset_text(fleet.make_preset("peak", ["workshop"], timeout=2.0))

registry.load_plugins(policies)


@contextlib.asynccontextmanager
async def presets_on():
    """Give the presets of a stand-in of the store, and the stand-in."""
    served = metadata.Metadata()
    await served.start()
    reached = stores.Store(served.address)
    try:
        yield preset_store.Presets(reached), served
    finally:
        await reached.close()
        await served.stop()


async def refused(awaitable):
    with pytest.raises(codes.Failure) as caught:
        await awaitable
    return caught.value


class TestPut:
    async def test_same_content_is_the_same_revision(self):
        async with presets_on() as (presets, served):
            first = await presets.put("day", DAY, "olga")
            again = await presets.put("day", "# told again\n" + DAY, "oscar")
            assert (first.revision, again.revision, again.operator) == (1, 1, "olga")
            assert len(served.objects) == 1

    async def test_former_content_is_a_new_revision(self):
        async with presets_on() as (presets, _):
            other = DAY.replace("5.0", "4.0")
            for text in (DAY, other, DAY):
                last = await presets.put("day", text, "olga")
            assert last.revision == 3

    async def test_race_names_the_winner(self, monkeypatch):
        async def none_yet(name=""):
            return []

        async with presets_on() as (presets, _):
            monkeypatch.setattr(presets, "revisions", none_yet)
            other = DAY.replace("5.0", "4.0")
            both = await asyncio.gather(
                presets.put("day", DAY, "olga"),
                presets.put("day", other, "oscar"),
                return_exceptions=True,
            )
            monkeypatch.undo()
            won = next(item for item in both if isinstance(item, objects.Revision))
            lost = next(item for item in both if isinstance(item, codes.Failure))
            assert lost.code is codes.CONFLICT
            assert won.operator in lost.detail
            assert (await presets.show("day", 1)).operator == won.operator

    @pytest.mark.parametrize(
        ("name", "text", "code"),
        [
            ("peak", DAY, codes.BAD_FIELD),
            ("day", DAY.replace('"/workshop"', '"workshop"'), codes.BAD_FIELD),
            ("day", DAY.replace('"header"', '"none-such"'), codes.BAD_FIELD),
            ("day", "{", codes.BAD_YAML),
            ("day", DAY + "#" * 2_000_000, codes.TOO_LARGE),
        ],
    )
    async def test_bad_preset_leaves_nothing(self, name, text, code):
        async with presets_on() as (presets, served):
            assert (await refused(presets.put(name, text, "olga"))).code is code
            assert not served.objects

    async def test_foreign_objects_are_passed_over(self):
        async with presets_on() as (presets, served):
            for name in ("day.notes", "loose"):
                await served.put(objects.PRESETS, name, b'"keep"')
            assert (await presets.put("day", DAY, "olga")).revision == 1
            assert [item.name for item in await presets.newest()] == ["day"]


class TestUse:
    async def test_writes_the_configuration_that_nodes_read(self):
        async with presets_on() as (presets, served):
            await presets.put("day", DAY, "olga")
            chosen = await presets.use("day", "olga")
            stored = served.objects[configs.KIND, configs.NAME]
            found = configs.decode(bytes(stored.spec))
            assert found.version == chosen.generation == 1
            route = found.match("any", "/workshop/1", "POST")
            assert (route.idempotent, route.key.name) == (False, "Idempotency-Key")

    async def test_goes_on_from_what_the_platform_s_operator_wrote(self):
        async with presets_on() as (presets, served):
            data = b'{"Version":"0000001f","VirtualHosts":[],"Services":[]}'
            await served.put(configs.KIND, configs.NAME, data)
            await presets.put("day", DAY, "olga")
            assert (await presets.use("day", "olga")).generation == 32
            assert (await presets.in_force(31)) is None

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

    @pytest.mark.parametrize("spoilt", [None, b'"text"', b'{"Version":"zz"}'])
    async def test_configuration_that_was_deleted_or_spoilt(self, spoilt):
        """Nodes would pass over a generation that is not above theirs."""
        async with presets_on() as (presets, served):
            await presets.put("day", DAY, "olga")
            await presets.put("peak", PEAK, "olga")
            await presets.use("day", "olga")
            await presets.use("peak", "olga")
            if spoilt is None:
                del served.objects[configs.KIND, configs.NAME]
            else:
                await served.put(configs.KIND, configs.NAME, spoilt)
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
            won = next(item for item in both if isinstance(item, objects.Choice))
            lost = next(item for item in both if isinstance(item, codes.Failure))
            assert lost.code is codes.CONFLICT
            assert won.operator in lost.detail
            assert [item.operator for item in await presets.history()] == [won.operator]

    async def test_a_choice_that_lost_to_the_platform_leaves_no_trace(self):
        async with presets_on() as (presets, served):
            await presets.put("day", DAY, "olga")
            reserve = presets.reserve

            async def overtaken(chosen):
                await reserve(chosen)
                data = b'{"Version":"0000000f","VirtualHosts":[],"Services":[]}'
                await served.put(configs.KIND, configs.NAME, data)

            presets.reserve = overtaken
            assert (await refused(presets.use("day", "olga"))).code is codes.CONFLICT
            assert not await presets.history()

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
    def test_history_tells_every_success_once(self, choices):
        async def run():
            async with presets_on() as (presets, _):
                await presets.put("day", DAY, "olga")
                await presets.put("peak", PEAK, "olga")
                ends = await asyncio.gather(
                    *(presets.use(name, who) for who, name in choices),
                    return_exceptions=True,
                )
                done = [item for item in ends if isinstance(item, objects.Choice)]
                done.sort(key=lambda item: item.generation)
                assert await presets.history() == done
                assert [item.generation for item in done] == [
                    number + 1 for number in range(len(done))
                ]

        asyncio.run(run())


class TestLostAnswers:
    """The store takes writes but their answers are lost."""

    async def test_no_false_failure_and_nothing_twice(self, monkeypatch):
        monkeypatch.setattr(store_writes, "PAUSE", 0.01)
        async with presets_on() as (presets, served):
            served.faults.lost = True
            for number in range(3):
                text = DAY.replace("5.0", f"{number + 1}.0")
                assert (await presets.put("day", text, "olga")).revision == number + 1
                assert (await presets.use("day", "olga")).generation == number + 1
            served.faults.lost = False
            assert [item.revision for item in await presets.history()] == [1, 2, 3]


class TestOutage:
    async def test_refused_and_nothing_queues(self, monkeypatch):
        monkeypatch.setattr(store_writes, "PAUSE", 0.01)
        async with presets_on() as (presets, served):
            await presets.put("day", DAY, "olga")
            before = dict(served.objects)
            served.faults.down = True
            ends = await asyncio.gather(
                presets.put("peak", PEAK, "olga"),
                presets.use("day", "olga"),
                return_exceptions=True,
            )
            assert {item.code for item in ends} == {codes.PLATFORM_BUSY}
            served.faults.down = False
            assert served.objects == before

    async def test_unreadable_answers(self, monkeypatch):
        async with presets_on() as (presets, _):

            async def garbage(*args, **more):
                return b"[" * 100_000

            monkeypatch.setattr(presets.store, "call", garbage)
            failure = await refused(presets.use("day", "olga"))
            assert failure.code is codes.PLATFORM_REFUSED
