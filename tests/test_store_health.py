"""A store that is silent, in virtual time."""

import asyncio
import random
import types

import pytest

from rattanridge.kernel import codes
from rattanridge.mesh.discovery import store_health
from tests import silent_log, virtual_time

TIMEOUT = 0.8  # seconds until a call to the silent store fails
CONFIG = types.SimpleNamespace(store_reads_per_s=2000)
TARGET = 2.0  # seconds after the store's return in which all watches begin again


class Store:
    """A store that answers no call that begins while it is silent."""

    def __init__(self):
        self.silent = False
        self.calls = []

    async def check(self):
        self.calls.append(asyncio.get_running_loop().time())
        if self.silent:
            await asyncio.sleep(TIMEOUT)
            raise codes.Failure(codes.PLATFORM_DOWN, "TimeoutError")


class Watch:
    """Records when it begins again."""

    def __init__(self):
        self.renewed_at = []

    def renew(self):
        self.renewed_at.append(asyncio.get_running_loop().time())


def make_node(store, seed=1):
    health = store_health.StoreHealth(
        CONFIG, store.check, silent_log.SilentLog(), random.Random(seed)
    )
    watch = Watch()
    health.watches.append(watch)
    return health, watch


class TestChecks:
    def test_follow_each_watch_that_begins(self):
        async def run():
            store = Store()
            health, _ = make_node(store)
            health.record_watch()
            await asyncio.sleep(1.0)
            assert store.calls == [store_health.CHECK_DELAY]

        virtual_time.run(run())

    def test_are_few_while_watches_end_and_begin(self):
        async def run():
            store = Store()
            health, _ = make_node(store)
            for _ in range(40):
                health.record_success()
                await asyncio.sleep(0.2)
                health.record_watch()
                await asyncio.sleep(0.05)
            assert 8 <= len(store.calls) <= 11

        virtual_time.run(run())

    def test_are_few_at_rest(self):
        async def run():
            store = Store()
            health, watch = make_node(store)
            health.record_success()
            await asyncio.sleep(60.0)
            assert 60 / 3.5 < len(store.calls) < 60 / 1.9
            assert not watch.renewed_at

        virtual_time.run(run())

    def test_are_not_made_while_the_store_answers_other_calls(self):
        async def run():
            store = Store()
            health, _ = make_node(store)
            for _ in range(40):
                health.record_success()
                await asyncio.sleep(1.0)
            assert not store.calls

        virtual_time.run(run())

    def test_are_few_during_an_outage(self):
        async def run():
            store = Store()
            store.silent = True
            health, _ = make_node(store)
            health.record_watch()
            await asyncio.sleep(10.0)
            assert not health.up.is_set()
            assert len(store.calls) < 12

        virtual_time.run(run())


class TestSilence:
    # Guards against: a watch that began while the store was silent waited on for up to
    # 10.8 s after the store's return, and the node missed what had changed.
    @pytest.mark.parametrize("silence", [0.5, 1.5, 4.5, 9.0])
    @pytest.mark.parametrize("nodes", [16, 71, 195])
    def test_all_watches_begin_again_soon_after_it(self, nodes, silence):
        virtual_time.run(self.end_silence(nodes, silence))

    async def end_silence(self, nodes, silence):
        """Begin a watch at each node during the silence."""
        store = Store()
        made = [make_node(store, seed) for seed in range(nodes)]
        rng = random.Random(5)
        loop = asyncio.get_running_loop()
        store.silent = True
        for health, _ in made:
            loop.call_later(rng.uniform(0, 0.8 * silence), health.record_watch)
        await asyncio.sleep(silence)
        store.silent = False
        back_at = loop.time()
        await asyncio.sleep(TARGET)
        assert all(health.up.is_set() for health, _ in made)
        for _, watch in made:
            assert back_at <= watch.renewed_at[-1] <= back_at + TARGET

    def test_is_found_though_no_watch_begins(self):
        async def run():
            store = Store()
            health, watch = make_node(store)
            health.record_success()
            store.silent = True
            await asyncio.sleep(5.0)
            store.silent = False
            await asyncio.sleep(TARGET)
            assert len(watch.renewed_at) == 1

        virtual_time.run(run())


class TestSpread:
    # Guards against: after a forgotten history, 830 nodes made 2,490 lists within
    # 0.15 s, more than the store's rate of 2,000 a second.
    @pytest.mark.parametrize("nodes", [16, 195, 830])
    def test_lists_of_all_nodes_stay_within_the_rate(self, nodes):
        async def run():
            health, _ = make_node(Store())
            health.watches = [Watch()] * 3
            health.nodes = nodes
            assert 3 * nodes / health.spread() <= CONFIG.store_reads_per_s
            assert health.spread() <= TARGET

        virtual_time.run(run())
