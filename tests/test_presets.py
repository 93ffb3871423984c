"""Presets in the store: lost responses, outages, races and history."""

import asyncio
import contextlib
import time

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
    """Start a stand-in of the store; yield the presets in it, and the stand-in."""
    standin = metadata.MetadataStore()
    await standin.start()
    client = stores.Store(standin.address)
    try:
        yield preset_store.Presets(client), standin
    finally:
        await client.close()
        await standin.stop()


async def failure_of(awaitable):
    """Return the coded failure that an awaitable raises."""
    with pytest.raises(codes.Failure) as caught:
        await awaitable
    return caught.value


class TestPut:
    async def test_same_content_is_the_same_revision(self):
        async with presets_on() as (presets, standin):
            first = await presets.put("day", DAY, "olga")
            again = await presets.put("day", "# a comment\n" + DAY, "oscar")
            assert (first.revision, again.revision, again.operator) == (1, 1, "olga")
            assert len(standin.objects) == 1

    async def test_earlier_content_is_a_new_revision(self):
        async with presets_on() as (presets, _):
            other = DAY.replace("5.0", "4.0")
            for text in (DAY, other, DAY):
                last = await presets.put("day", text, "olga")
            assert last.revision == 3

    async def test_conflict_names_the_winner(self, monkeypatch):
        async def no_revisions(name=""):
            return []

        async with presets_on() as (presets, _):
            monkeypatch.setattr(presets, "list_revisions", no_revisions)
            other = DAY.replace("5.0", "4.0")
            results = await asyncio.gather(
                presets.put("day", DAY, "olga"),
                presets.put("day", other, "oscar"),
                return_exceptions=True,
            )
            monkeypatch.undo()
            won = next(item for item in results if isinstance(item, objects.Revision))
            lost = next(item for item in results if isinstance(item, codes.Failure))
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
    async def test_invalid_preset_is_not_stored(self, name, text, code):
        async with presets_on() as (presets, standin):
            assert (await failure_of(presets.put(name, text, "olga"))).code is code
            assert not standin.objects

    async def test_foreign_objects_are_ignored(self):
        async with presets_on() as (presets, standin):
            for name in ("day.notes", "loose"):
                await standin.put(objects.PRESETS, name, b'"keep"')
            assert (await presets.put("day", DAY, "olga")).revision == 1
            assert [item.name for item in await presets.list_newest()] == ["day"]


class TestUse:
    async def test_writes_the_configuration_that_nodes_read(self):
        async with presets_on() as (presets, standin):
            await presets.put("day", DAY, "olga")
            chosen = await presets.use("day", "olga")
            stored = standin.objects[configs.KIND, configs.NAME]
            configuration = configs.decode(bytes(stored.spec))
            assert configuration.version == chosen.generation == 1
            route = configuration.match("any", "/workshop/1", "POST")
            assert (route.idempotent, route.key.name) == (False, "Idempotency-Key")

    async def test_generation_follows_that_of_the_platform_operator(self):
        async with presets_on() as (presets, standin):
            data = b'{"Version":"0000001f","VirtualHosts":[],"Services":[]}'
            await standin.put(configs.KIND, configs.NAME, data)
            await presets.put("day", DAY, "olga")
            assert (await presets.use("day", "olga")).generation == 32
            assert (await presets.get_choice(31)) is None

    async def test_preset_in_force_is_refused(self):
        async with presets_on() as (presets, _):
            await presets.put("day", DAY, "olga")
            await presets.use("day", "olga")
            failure = await failure_of(presets.use("day", "oscar"))
            assert failure.code is codes.PRESET_IN_FORCE
            assert "olga" in failure.detail
            assert [item.generation for item in await presets.history()] == [1]

    # Guards against: the store has lost a choice that nodes have in force, and the next
    # choice gets its generation, which the nodes ignore.
    async def test_generation_is_above_a_choice_that_the_store_has_lost(self):
        async with presets_on() as (presets, standin):
            await presets.put("day", DAY, "olga")
            await presets.use("day", "olga")
            copied_at = time.monotonic()
            await presets.put("peak", PEAK, "olga")
            known = (await presets.use("peak", "olga")).generation
            await standin.restore(time.monotonic() - copied_at)
            presets.known_generation = lambda: known
            again = await presets.use("day", "olga")
            assert again.generation == known + 1

    async def test_older_revision_gets_a_higher_generation(self):
        async with presets_on() as (presets, _):
            for text in (DAY, DAY.replace("5.0", "4.0")):
                await presets.put("day", text, "olga")
            await presets.use("day", "olga")
            choice = await presets.use("day", "olga", revision=1)
            assert (choice.generation, choice.revision) == (2, 1)

    @pytest.mark.parametrize("revision", [0, 7])
    async def test_missing_preset(self, revision):
        async with presets_on() as (presets, _):
            failure = await failure_of(presets.use("day", "olga", revision=revision))
            assert failure.code is codes.NO_PRESET

    @pytest.mark.parametrize("invalid", [None, b'"text"', b'{"Version":"zz"}'])
    async def test_deleted_or_invalid_configuration(self, invalid):
        """Guards against: a generation not above that of the nodes, which ignore it."""
        async with presets_on() as (presets, standin):
            await presets.put("day", DAY, "olga")
            await presets.put("peak", PEAK, "olga")
            await presets.use("day", "olga")
            await presets.use("peak", "olga")
            if invalid is None:
                del standin.objects[configs.KIND, configs.NAME]
            else:
                await standin.put(configs.KIND, configs.NAME, invalid)
            assert (await presets.use("day", "olga")).generation == 3

    # Guards against a choice with a lower number than the version in the store: nodes
    # that can use that one would ignore the choice.
    async def test_number_of_a_configuration_that_cannot_be_used(self):
        async with presets_on() as (presets, standin):
            await presets.put("day", DAY, "olga")
            unusable = b'{"Version":"00000010","VirtualHosts":"none"}'
            await standin.put(configs.KIND, configs.NAME, unusable)
            assert (await presets.use("day", "olga")).generation == 17

    async def test_outdated_expected_generation(self):
        async with presets_on() as (presets, _):
            await presets.put("day", DAY, "olga")
            await presets.put("peak", PEAK, "olga")
            await presets.use("day", "olga", 0)
            await presets.use("peak", "olga", 1)
            failure = await failure_of(presets.use("day", "oscar", 1))
            assert failure.code is codes.CONFLICT
            assert "olga" in failure.detail

    async def test_conflict_of_two_choices_names_the_winner(self):
        async with presets_on() as (presets, _):
            await presets.put("day", DAY, "olga")
            await presets.put("peak", PEAK, "olga")
            results = await asyncio.gather(
                presets.use("day", "olga", 0),
                presets.use("peak", "oscar", 0),
                return_exceptions=True,
            )
            won = next(item for item in results if isinstance(item, objects.Choice))
            lost = next(item for item in results if isinstance(item, codes.Failure))
            assert lost.code is codes.CONFLICT
            assert won.operator in lost.detail
            assert [item.operator for item in await presets.history()] == [won.operator]

    async def test_choice_overtaken_by_the_platform_is_withdrawn(self):
        async with presets_on() as (presets, standin):
            await presets.put("day", DAY, "olga")
            reserve = presets.reserve

            async def reserve_then_overtake(choice):
                await reserve(choice)
                data = b'{"Version":"0000000f","VirtualHosts":[],"Services":[]}'
                await standin.put(configs.KIND, configs.NAME, data)

            presets.reserve = reserve_then_overtake
            assert (await failure_of(presets.use("day", "olga"))).code is codes.CONFLICT
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
    def test_history_has_every_success_once(self, choices):
        async def run():
            async with presets_on() as (presets, _):
                await presets.put("day", DAY, "olga")
                await presets.put("peak", PEAK, "olga")
                results = await asyncio.gather(
                    *(presets.use(name, operator) for operator, name in choices),
                    return_exceptions=True,
                )
                made = [item for item in results if isinstance(item, objects.Choice)]
                made.sort(key=lambda item: item.generation)
                assert await presets.history() == made
                assert [item.generation for item in made] == [
                    number + 1 for number in range(len(made))
                ]

        asyncio.run(run())


class TestLostResponses:
    """The store carries out writes, but their responses are lost."""

    async def test_writes_succeed_and_take_effect_once(self, monkeypatch):
        monkeypatch.setattr(store_writes, "INITIAL_BACKOFF", 0.01)
        async with presets_on() as (presets, standin):
            standin.faults.lost = True
            for number in range(3):
                text = DAY.replace("5.0", f"{number + 1}.0")
                assert (await presets.put("day", text, "olga")).revision == number + 1
                assert (await presets.use("day", "olga")).generation == number + 1
            standin.faults.lost = False
            assert [item.revision for item in await presets.history()] == [1, 2, 3]


class TestOutage:
    async def test_writes_are_refused_and_not_queued(self, monkeypatch):
        monkeypatch.setattr(store_writes, "INITIAL_BACKOFF", 0.01)
        async with presets_on() as (presets, standin):
            await presets.put("day", DAY, "olga")
            before = dict(standin.objects)
            standin.faults.down = True
            results = await asyncio.gather(
                presets.put("peak", PEAK, "olga"),
                presets.use("day", "olga"),
                return_exceptions=True,
            )
            assert {item.code for item in results} == {codes.PLATFORM_BUSY}
            standin.faults.down = False
            assert standin.objects == before

    async def test_unreadable_responses(self, monkeypatch):
        async with presets_on() as (presets, _):

            async def unreadable(*args, **kwargs):
                return stores.Answer(b"[" * 100_000, 0)

            monkeypatch.setattr(presets.store, "call", unreadable)
            failure = await failure_of(presets.use("day", "olga"))
            assert failure.code is codes.PLATFORM_REFUSED
