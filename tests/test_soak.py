"""The fault soak: its proxy, its checks, its schedule, and short runs of it."""

import asyncio
import contextlib

import pytest

from rattanridge.kernel import codes
from rattanridge.soak import (
    announced,
    api_keys,
    callers,
    faults,
    journals,
    key_promises,
    processes,
    promises,
    proxy,
    schedule,
    soak,
)
from rattanridge.standin import metadata
from rattanridge.web import streams

AT = 100.0
SILENT_STORE = [
    # Guards against: requests with an idempotency key wait 4 s for the silent store,
    # far past their deadline, and are cut off at a node that is stopped meanwhile.
    schedule.PlannedFault(1.0, schedule.STORE, 0, 2.9, 0.2),
    schedule.PlannedFault(1.6, "node-stop", 5, 0.3, 0.0),
]
# Seeds that once failed, with minutes of faults and the causes.
FAILED_SEEDS = {
    # First failure: the check blamed a node that was stopped just after its start for
    # callers that could not connect; it had accepted nothing from them. Second, most
    # likely: a reload ended a node without signal handlers yet, and nothing restarted
    # it. Third: the failure of SILENT_STORE.
    5: 0.2,
}
# Their faults, which depend on seed, duration and the names of all faults.
EXPECTED_FAULTS = {
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

    @contextlib.asynccontextmanager
    async def connect(self):
        """Yield a proxy before an echo server, and a connection through it."""
        async with contextlib.AsyncExitStack() as opened:
            server = streams.StreamServer(self.echo)
            await opened.enter_async_context(server)
            forwarder = proxy.Proxy(server.address)
            await forwarder.start()
            opened.push_async_callback(forwarder.stop)
            through = streams.connect(forwarder.address)
            yield forwarder, *await opened.enter_async_context(through)

    @pytest.mark.parametrize(
        ("mode", "answered"),
        [
            (proxy.Mode(), True),
            (proxy.Mode(delay=0.01), True),
            (proxy.Mode(drop_to_target=True), False),
            (proxy.Mode(drop_from_target=True), False),
        ],
    )
    async def test_modes(self, mode, answered):
        async with self.connect() as (forwarder, reader, writer):
            forwarder.mode = mode
            writer.write(b"hello")
            try:
                async with asyncio.timeout(0.3):
                    assert await reader.read(100) == b"hello"
                assert answered
            except TimeoutError:
                assert not answered

    async def test_reset(self):
        async with self.connect() as (forwarder, reader, writer):
            writer.write(b"hello")
            await reader.read(100)
            forwarder.reset()
            with pytest.raises(ConnectionError):
                if not await reader.read(100):
                    raise ConnectionResetError


def make_attempt(attempt, **more):
    return callers.Attempt(attempt, "POST", "/a/1", "", "host-0", AT, **more)


class TestPromises:
    """Each check reports the violation that it is there for."""

    def test_run_twice(self):
        runs = [journals.Run("e", "1", "", AT), journals.Run("f", "1", "", AT)]
        assert promises.check_at_most_once(runs, [make_attempt("1")])
        runs = [journals.Run("e", "1", "k", AT), journals.Run("f", "2", "k", AT)]
        assert promises.check_at_most_once(runs, [make_attempt("1"), make_attempt("2")])
        runs = [journals.Run("e", "1", "k", AT), journals.Run("f", "2", "l", AT)]
        assert not promises.check_at_most_once(
            runs, [make_attempt("1"), make_attempt("2")]
        )

    def test_false_refusal(self):
        runs = [journals.Run("e", "1", "", AT)]
        assert promises.check_not_run(runs, [make_attempt("1", ran="not-run")])
        assert not promises.check_not_run(runs, [make_attempt("2", ran="not-run")])

    def test_answer_to_another_request(self):
        assert promises.check_answers(
            [make_attempt("1", status=200, body=b"s v1 /a/2 ")]
        )
        assert not promises.check_answers(
            [make_attempt("1", status=200, body=b"s v1 /a/1 ")]
        )

    def test_request_after_a_farewell(self):
        late = AT + announced.DRAIN_BOUND + 0.5
        assert promises.check_drained([journals.Run("e", "1", "", late)], {"e": AT})
        assert not promises.check_drained([journals.Run("f", "1", "", late)], {"e": AT})

    @pytest.mark.parametrize(
        ("count", "windows", "broken"),
        [
            (17, [], False),
            (18, [], True),
            (18, [faults.Window("node-kill", "host-0", AT + 0.2, AT + 0.3)], False),
            (18, [faults.Window("node-kill", "host-1", AT + 0.2, AT + 0.3)], True),
        ],
    )
    def test_requests_beyond_a_limit(self, count, windows, broken):
        first = make_attempt("first", limit="2", answered_at=AT)
        later = [make_attempt(str(number)) for number in range(count)]
        runs = [journals.Run("e", "first", "", AT)]
        runs += [journals.Run("e", item.id, "", AT + 1) for item in later]
        told = announced.ToldNodes(runs, [first, *later], windows, 0.0)
        limits = {"e": [(AT - 1, "2"), (AT + 9, "")]}
        assert bool(announced.check_limits(runs, limits, told)) is broken

    @pytest.mark.parametrize(("after", "broken"), [(1.0, False), (2.5, True)])
    def test_request_of_a_node_that_was_told_of_a_leaving(self, after, broken):
        first = make_attempt("first", leaving=True, answered_at=AT)
        runs = [journals.Run("e", "first", "", AT)]
        runs.append(journals.Run("e", "1", "", AT + after))
        told = announced.ToldNodes(runs, [first, make_attempt("1")], [], 0.0)
        assert bool(announced.check_leaving(runs, told)) is broken

    @pytest.mark.parametrize(
        ("error", "broken"),
        [
            ("ServerDisconnectedError", True),
            (promises.NO_CONNECTION, False),
            ("", False),
        ],
    )
    def test_cut_by_a_planned_stop(self, error, broken):
        windows = [faults.Window(schedule.STOP, "host-0", AT + 0.2, AT + 3)]
        attempts = [make_attempt("1", error=error)]
        assert bool(promises.check_planned_stops([], attempts, windows)) is broken

    @pytest.mark.parametrize(
        ("began", "ran", "broken"),
        [(2.9, True, True), (2.9, False, False), (4.1, True, False)],
    )
    def test_cut_at_the_end_of_a_planned_stop(self, began, ran, broken):
        windows = [faults.Window(schedule.STOP, "host-0", AT - began, AT - began + 4)]
        attempts = [make_attempt("1", error="ServerDisconnectedError")]
        runs = [journals.Run("e", "1", "", AT)] if ran else []
        assert bool(promises.check_planned_stops(runs, attempts, windows)) is broken

    @pytest.mark.parametrize(
        ("name", "target", "broken"),
        [
            ("node-pause", "host-0", False),
            ("node-pause", "host-1", True),
            (schedule.STORE, "store", True),
        ],
    )
    def test_no_answer(self, name, target, broken):
        windows = [faults.Window(name, target, AT + 0.2, AT + 3)]
        found = promises.check_answered(
            [make_attempt("1", error="TimeoutError")], windows
        )
        assert bool(found) is broken


class TestKeyPromises:
    """Each check reports the violation that it is there for."""

    @pytest.mark.parametrize(
        ("key", "path", "account", "broken"),
        [
            ("steady-key", "/a/1", "steady", False),
            ("steady-key", "/a/1", "rotated", True),
            ("steady-key", "/a/1", "", True),
            ("steady-key", "/a/public/1", "", True),
            ("rotated-key-3", "/a/1", "rotated", False),
            ("rotated-key-3", "/a/public/1", "", False),
            (api_keys.WRONG_KEY, "/a/1", "", True),
            (api_keys.WRONG_KEY, "/a/public/1", "", False),
            ("", "/a/1", "", True),
            ("", "/a/public/1", "", False),
            ("", "/a/public/1", "steady", True),
        ],
    )
    def test_run_of_a_request(self, key, path, account, broken):
        attempt = make_attempt("1", api_key=key)
        attempt.path = path
        attempts = [attempt, make_attempt("2", api_key="steady-key")]
        runs = [journals.Run("e", "1", "", AT, account)]
        assert bool(key_promises.check_all(runs, attempts)) is broken

    def test_key_at_the_endpoint(self):
        attempts = [make_attempt("1", api_key="steady-key")]
        runs = [journals.Run("e", "1", "", AT, "steady", "Token steady-key")]
        assert key_promises.check_all(runs, attempts)

    @pytest.mark.parametrize("key", ["steady-key", "rotated-key-1"])
    def test_refusal(self, key):
        refused = make_attempt("1", api_key=key, code=str(codes.NO_ACCOUNT.number))
        found = key_promises.check_all([], [refused])
        assert bool(found) is (key == "steady-key")

    def test_nothing_is_checked_without_accounts(self):
        runs = [journals.Run("e", "1", "", AT)]
        assert not key_promises.check_all(runs, [make_attempt("1")])


class TestSchedule:
    # Guards against: a seed gives different faults in each run and reproduces nothing.
    def test_schedule_depends_on_the_seed_alone(self):
        names = faults.FAULTS.names()
        first = schedule.plan(5, 12.0, 6, names)
        assert first == schedule.plan(5, 12.0, 6, names)
        assert first != schedule.plan(6, 12.0, 6, names)

    # Guards against: a seed gives other faults than it did and no longer covers its
    # failure.
    def test_failed_seeds_keep_their_faults(self):
        names = faults.FAULTS.names()
        for seed, expected in EXPECTED_FAULTS.items():
            planned = schedule.plan(seed, FAILED_SEEDS[seed] * 60, soak.HOSTS, names)
            assert [f"{x.at:.1f} {x.name} {x.target()}" for x in planned] == expected

    def test_limits_leave_the_other_faults_of_a_seed_as_they_are(self):
        planned = schedule.plan_limits(5, 60.0, 6)
        assert planned == schedule.plan_limits(5, 60.0, 6)
        assert len(planned) > 20
        assert {item.name for item in planned} == {schedule.LIMIT}

    def test_returns_of_the_store_leave_the_other_faults_as_they_are(self):
        planned = schedule.plan_returns(5, 60.0)
        assert planned == schedule.plan_returns(5, 60.0)
        assert len(planned) > 6
        assert {item.name for item in planned} == {schedule.RETURN}
        assert {item.target() for item in planned} == {schedule.RETURN}

    @pytest.mark.parametrize("seed", range(20))
    def test_faults_overlap_within_limits(self, seed):
        found = schedule.plan(seed, 60.0, 6, faults.FAULTS.names())
        assert len(found) > 25
        for item in found:
            others = [x for x in found if x.at < item.at < x.recovered_at()]
            assert len(others) < schedule.MAX_CONCURRENT
            assert item.target() not in {x.target() for x in others}

    async def test_fault_of_a_busy_target_is_skipped(self, monkeypatch):
        started = []

        async def hang(cluster, host, planned):
            started.append(planned)
            await asyncio.sleep(planned.duration)

        monkeypatch.setitem(faults.FAULTS.items, "node-kill", hang)
        planned = [
            schedule.PlannedFault(at, "node-kill", 0, 0.3, 0.0)
            for at in (0.0, 0.1, 0.5)
        ]
        cluster = processes.Cluster(None, 1)
        cluster.hosts = [None]
        injector = faults.FaultInjector(cluster, planned)
        await injector.run()
        assert started == [planned[0], planned[2]]
        assert injector.skipped == [planned[1]]


class TestFault:
    async def test_a_reload_does_not_end_a_starting_node(self, tmp_path):
        """Guards against: SIGHUP ends a node without signal handlers yet, for good."""
        cluster = processes.Cluster(tmp_path, 1)
        try:
            await cluster.start()
            host = cluster.hosts[0]
            await host.node.kill()
            await host.node.start()
            planned = schedule.PlannedFault(0.0, "node-reload", 0, 0.3, 0.0)
            await faults.reload_node(cluster, host, planned)
            await cluster.wait(lambda: cluster.fetch_state(host))
            assert host.node.is_running()
        finally:
            await cluster.stop()


class TestSoak:
    # Guards against: a change of the preset that was cancelled had taken effect, and
    # the next one is refused as being in force, which ends the soak.
    async def test_change_after_a_cancelled_one_is_another_preset(self, tmp_path):
        standin = metadata.MetadataStore()
        await standin.start()
        try:
            made = soak.Soak(1, 1.0, tmp_path)
            made.cluster.store_address = standin.address
            await made.apply_preset()
            made.generation = 0
            await made.apply_preset()
            assert made.generation == 2
        finally:
            await standin.stop()

    def test_a_failed_start_is_reported(self, tmp_path, monkeypatch):
        """Guards against: a seed that does not start ends the seeds after it."""

        async def hang(cluster):
            raise TimeoutError

        monkeypatch.setattr(processes.Cluster, "start", hang)
        monkeypatch.setattr(processes.Cluster, "stop", lambda cluster: asyncio.sleep(0))
        outcome = asyncio.run(soak.Soak(1, 1.0, tmp_path).run())
        assert outcome.broken == ["the processes did not start within 20.0 s"]

    @pytest.mark.parametrize(("seed", "minutes"), [(1, 0.07)])
    def test_a_short_run(self, seed, minutes, tmp_path):
        outcome = asyncio.run(soak.Soak(seed, minutes * 60, tmp_path).run())
        assert not outcome.broken
        assert outcome.answered > 0.5 * outcome.calls

    # Guards against: keys that change with presets, under faults, let the wrong
    # requests run or refuse the right ones.
    def test_a_short_run_with_accounts(self, tmp_path):
        run = soak.Soak(2, 4.2, tmp_path, accounts=True)
        outcome = asyncio.run(run.run())
        assert not outcome.broken
        statuses = {item.status for item in run.callers.attempts}
        assert {200, 401} <= statuses
        lines = [path.read_text() for path in tmp_path.glob("*.log")]
        assert not any("steady-key" in text for text in lines)

    # Guards against: what a node passes on just before it ends is cut.
    def test_stops_in_series_beside_long_requests(self, tmp_path):
        outcome = asyncio.run(soak.Soak(1, 10.0, tmp_path, stops=True).run())
        assert not outcome.broken
        assert outcome.answered > 0.5 * outcome.calls

    @pytest.mark.parametrize(("seed", "minutes"), FAILED_SEEDS.items())
    def test_seeds_that_failed_once(self, seed, minutes, tmp_path):
        outcome = asyncio.run(soak.Soak(seed, minutes * 60, tmp_path).run())
        assert not outcome.broken

    # Guards against: a silent store delays answers to requests with an idempotency key.
    def test_a_silent_store_while_a_node_stops(self, tmp_path):
        run = soak.Soak(5, 6.0, tmp_path)
        run.injector = faults.FaultInjector(run.cluster, SILENT_STORE)
        outcome = asyncio.run(run.run())
        assert not outcome.broken
        assert not outcome.skipped
