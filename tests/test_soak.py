"""The fault soak: its proxy, its checks, and a short run of it."""

import asyncio

import pytest

from rattanridge.soak import callers, faults, parts, promises, proxy, schedule, soak

AT = 100.0
SILENT_STORE = [
    # A schedule that failed: requests with a key waited 4 s for the silent store, far
    # past their deadline, and looked cut at a node that was stopped meanwhile.
    schedule.Planned(1.0, schedule.STORE, 0, 2.9, 0.2),
    schedule.Planned(1.6, "node-stop", 5, 0.3, 0.0),
]
# Seeds that failed once, each with the cause.
FAILED_SEEDS = {
    # A check's fault: a node that was stopped just after its start had taken
    # nothing from callers that got no connection. Later, most likely: a reload
    # ended a node that had no handlers yet, and nothing started it again. Last: as in
    # SILENT_STORE.
    5: 0.2,
}
# Their faults, which follow from seed, length and the names of all faults.
KEPT = {
    5: [
        "0.8 store-faults store",
        "1.9 link-faults host-3",
        "2.1 node-pause host-0",
        "5.8 node-reload host-3",
        "6.1 node-pause host-2",
        "6.9 link-faults host-4",
        "9.1 store-faults store",
        "9.6 link-faults host-3",
        "10.7 node-reload host-0",
        "11.8 store-faults store",
    ],
}


class TestProxy:
    async def echo(self, reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    async def start(self):
        server = await asyncio.start_server(self.echo, "127.0.0.1", 0)
        made = proxy.Proxy(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        await made.start()
        host, _, port = made.address.rpartition(":")
        return server, made, host, int(port)

    @pytest.mark.parametrize(
        ("mode", "answered"),
        [
            (proxy.Mode(), True),
            (proxy.Mode(delay=0.01), True),
            (proxy.Mode(mute_up=True), False),
            (proxy.Mode(mute_down=True), False),
        ],
    )
    async def test_modes(self, mode, answered):
        server, made, host, port = await self.start()
        made.mode = mode
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b"hello")
        try:
            async with asyncio.timeout(0.3):
                assert await reader.read(100) == b"hello"
            assert answered
        except TimeoutError:
            assert not answered
        writer.close()
        await made.stop()
        server.close()

    async def test_reset(self):
        server, made, host, port = await self.start()
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b"hello")
        await reader.read(100)
        made.reset()
        with pytest.raises(ConnectionError):
            if not await reader.read(100):
                raise ConnectionResetError
        writer.close()
        await made.stop()
        server.close()


def sending(attempt, **more):
    return callers.Sent(attempt, "POST", "/a/1", "", "host-0", AT, **more)


class TestPromises:
    """Each check finds what it is there for."""

    def test_twice(self):
        runs = [promises.Run("e", "1", "", AT), promises.Run("f", "1", "", AT)]
        assert promises.check_once(runs, [sending("1")])
        runs = [promises.Run("e", "1", "k", AT), promises.Run("f", "2", "k", AT)]
        assert promises.check_once(runs, [sending("1"), sending("2")])
        runs = [promises.Run("e", "1", "k", AT), promises.Run("f", "2", "l", AT)]
        assert not promises.check_once(runs, [sending("1"), sending("2")])

    def test_false_refusal(self):
        runs = [promises.Run("e", "1", "", AT)]
        assert promises.check_refusals(runs, [sending("1", ran="not-run")])
        assert not promises.check_refusals(runs, [sending("2", ran="not-run")])

    def test_another_s_answer(self):
        assert promises.check_answers([sending("1", status=200, body=b"s v1 /a/2 ")])
        assert not promises.check_answers(
            [sending("1", status=200, body=b"s v1 /a/1 ")]
        )

    def test_late_for_a_leaving_upstream(self):
        late = AT + promises.DRAIN_BOUND + 0.5
        assert promises.check_leaving([promises.Run("e", "1", "", late)], {"e": AT})
        assert not promises.check_leaving([promises.Run("f", "1", "", late)], {"e": AT})

    @pytest.mark.parametrize(
        ("cut", "broken"),
        [
            ("ServerDisconnectedError", True),
            (promises.NO_CONNECTION, False),
            ("", False),
        ],
    )
    def test_cut_by_a_planned_stop(self, cut, broken):
        windows = [faults.Window(promises.PLANNED_STOP, "host-0", AT + 0.2, AT + 3)]
        found = promises.check_planned_stops([sending("1", cut=cut)], windows)
        assert bool(found) is broken

    @pytest.mark.parametrize(
        ("name", "key", "broken"),
        [
            ("node-pause", "host-0", False),
            ("node-pause", "host-1", True),
            (schedule.STORE, "store", True),
        ],
    )
    def test_no_answer(self, name, key, broken):
        windows = [faults.Window(name, key, AT + 0.2, AT + 3)]
        found = promises.check_timely([sending("1", cut="TimeoutError")], windows)
        assert bool(found) is broken


class TestSchedule:
    # Guards against: a seed whose faults change from run to run reproduces nothing.
    def test_follows_from_the_seed_alone(self):
        names = faults.FAULTS.names()
        first = schedule.plan(5, 12.0, 6, names)
        assert first == schedule.plan(5, 12.0, 6, names)
        assert first != schedule.plan(6, 12.0, 6, names)

    # A kept seed whose faults have changed guards against nothing.
    def test_kept_seeds_still_mean_what_they_meant(self):
        names = faults.FAULTS.names()
        for seed, meant in KEPT.items():
            planned = schedule.plan(seed, FAILED_SEEDS[seed] * 60, soak.HOSTS, names)
            assert [f"{x.at:.1f} {x.name} {x.key()}" for x in planned] == meant

    @pytest.mark.parametrize("seed", range(20))
    def test_faults_come_in_series_and_overlap(self, seed):
        found = schedule.plan(seed, 60.0, 6, faults.FAULTS.names())
        assert len(found) > 25
        for item in found:
            others = [x for x in found if x.at < item.at < x.until()]
            assert len(others) < schedule.MOST
            assert item.key() not in {x.key() for x in others}

    async def test_what_can_not_begin_is_noted_and_skipped(self, monkeypatch):
        begun = []

        async def hang(world, host, planned):
            begun.append(planned)
            await asyncio.sleep(planned.lasts)

        monkeypatch.setitem(faults.FAULTS.items, "node-kill", hang)
        planned = [
            schedule.Planned(at, "node-kill", 0, 0.3, 0.0) for at in (0.0, 0.1, 0.5)
        ]
        world = parts.World(None, 1)
        world.hosts = [None]
        trouble = faults.Trouble(world, planned)
        await trouble.run()
        assert begun == [planned[0], planned[2]]
        assert trouble.skipped == [planned[1]]


class TestFault:
    async def test_a_reload_spares_a_node_that_just_starts(self, tmp_path):
        """Before its handlers are set, SIGHUP would end the process for good."""
        world = parts.World(tmp_path, 1)
        try:
            await world.start()
            host = world.hosts[0]
            await host.node.kill()
            await host.node.start()
            planned = schedule.Planned(0.0, "node-reload", 0, 0.3, 0.0)
            await faults.reload_node(world, host, planned)
            await world.wait(lambda: world.state(host))
            assert host.node.running()
        finally:
            await world.stop()


class TestSoak:
    def test_a_world_that_does_not_start_is_told(self, tmp_path, monkeypatch):
        """One seed that can't begin must not end the seeds after it."""

        async def hang(world):
            raise TimeoutError

        monkeypatch.setattr(parts.World, "start", hang)
        monkeypatch.setattr(parts.World, "stop", lambda world: asyncio.sleep(0))
        outcome = asyncio.run(soak.Soak(1, 1.0, tmp_path).run())
        assert outcome.broken == ["not started after 20.0 s"]

    @pytest.mark.parametrize(("seed", "minutes"), [(1, 0.07)])
    def test_a_short_run(self, seed, minutes, tmp_path):
        outcome = asyncio.run(soak.Soak(seed, minutes * 60, tmp_path).run())
        assert not outcome.broken
        assert outcome.answered > 0.5 * outcome.calls

    @pytest.mark.parametrize(("seed", "minutes"), FAILED_SEEDS.items())
    def test_seeds_that_failed_once(self, seed, minutes, tmp_path):
        outcome = asyncio.run(soak.Soak(seed, minutes * 60, tmp_path).run())
        assert not outcome.broken

    # Guards against: a silent store holds answers to requests with a key back.
    def test_a_silent_store_while_a_node_stops(self, tmp_path):
        run = soak.Soak(5, 6.0, tmp_path)
        run.trouble = faults.Trouble(run.world, SILENT_STORE)
        outcome = asyncio.run(run.run())
        assert not outcome.broken
        assert not outcome.skipped
