"""Stand-ins: every fault that they can show, and their plain processes."""

import asyncio

import aiohttp
import click.testing
import msgspec
import pytest

from rattanridge.calls import headers
from rattanridge.cli import main, standin
from rattanridge.kernel import codes
from rattanridge.measure import fleet
from rattanridge.objectapi import client, objects
from rattanridge.standin import (
    platform as platforms,
    store as stores,
    upstream as upstreams,
)

LIMIT = 20.0  # seconds; only a hang takes that long


@pytest.fixture
async def upstream():
    made = upstreams.Upstream(upstreams.Shape("workshop", work=0.0), seed=1)
    await made.start()
    yield made
    await made.stop()


@pytest.fixture
async def platform():
    made = platforms.Platform(seed=1)
    await made.start()
    yield made
    await made.stop()


@pytest.fixture
async def reached(platform):
    made = client.Client([platform.url], timeout=5.0)
    yield made
    await made.close()


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as made:
        yield made


async def ask(session, upstream, path="/a", **more):
    """Return the status of one request; 0 if there was no whole answer."""
    url = f"http://127.0.0.1:{upstream.port}{path}"
    try:
        async with session.post(url, **more) as response:
            await response.read()
            return response.status
    except aiohttp.ClientError:
        return 0


async def until(condition):
    async with asyncio.timeout(fleet.READY_LIMIT):
        while not condition():
            await asyncio.sleep(0.01)


class TestUpstreamFaults:
    @pytest.mark.parametrize(
        ("faults", "status"),
        [
            ({}, 200),
            ({"error_rate": 1.0}, 500),
            ({"error_rate": 1.0, "only_prefix": "/a"}, 500),
            ({"error_rate": 1.0, "only_prefix": "/b"}, 200),
            ({"error_rate": 1.0, "after": 1000.0}, 200),
            ({"error_rate": 1.0, "above": 1}, 200),
            ({"shed": True}, 503),
            ({"cut": True}, 0),
            ({"crash_on": "gold"}, 0),
            ({"crash_on": "/a"}, 0),
            ({"crash_on": "silver"}, 200),
        ],
    )
    async def test_one_request(self, upstream, session, faults, status):
        upstream.faults = upstreams.Faults(**faults)
        assert await ask(session, upstream, data=b"gold") == status

    async def test_error_rate_is_a_fraction(self, upstream, session):
        upstream.faults.error_rate = 0.5
        seen = [await ask(session, upstream) for _ in range(100)]
        assert 30 <= seen.count(500) <= 70

    async def test_above_a_concurrency(self, upstream, session):
        upstream.faults = upstreams.Faults(error_rate=1.0, above=2)
        upstream.shape.work = 0.2
        seen = await asyncio.gather(*(ask(session, upstream) for _ in range(4)))
        assert sorted(seen) == [200, 200, 500, 500]

    async def test_crash_takes_no_more_requests(self, upstream, session):
        upstream.faults.crash_on = "gold"
        assert await ask(session, upstream, data=b"gold") == 0
        assert upstream.crashed.is_set()
        await upstream.stopping
        assert await ask(session, upstream) == 0
        assert len(upstream.runs) == 1

    @pytest.mark.parametrize(
        ("faults", "status"),
        [
            ({}, 200),
            ({"error_rate": 0.9}, 503),
            ({"silent": True}, 503),
            ({"error_rate": 0.9, "lie": True}, 200),
            ({"silent": True, "lie": True}, 200),
        ],
    )
    async def test_health(self, upstream, session, faults, status):
        upstream.faults = upstreams.Faults(**faults)
        assert await ask(session, upstream, "/-/health") == status

    @pytest.mark.parametrize(("lie", "load"), [(False, 1), (True, 0)])
    async def test_load(self, upstream, session, lie, load):
        upstream.faults = upstreams.Faults(silent=True, lie=lie)
        waiting = asyncio.create_task(ask(session, upstream))
        await until(lambda: upstream.running)
        url = f"http://127.0.0.1:{upstream.port}/-/load"
        async with session.get(url) as response:
            assert await response.json() == {"running": load}
        waiting.cancel()

    async def test_faults_are_set_over_http(self, upstream, session):
        url = f"http://127.0.0.1:{upstream.port}/-/faults"
        for body, status in ((b'{"slow": 0.5}', 200), (b'{"slo": 1}', 400)):
            async with session.put(url, data=body) as response:
                assert response.status == status
        assert upstream.faults.slow == 0.5

    async def test_large_body(self, upstream, session):
        assert await ask(session, upstream, data=b"x" * 3_000_000) == 200
        assert len(upstream.runs[0].body) == 3_000_000


class TestDeadlineAndCancellation:
    @pytest.mark.parametrize("faults", [{"silent": True}, {"slow": 1000.0}])
    async def test_deadline_ends_the_work(self, upstream, session, faults):
        upstream.faults = upstreams.Faults(**faults)
        sent = {headers.DEADLINE: "50"}
        assert await ask(session, upstream, headers=sent) == 504
        assert upstream.counts["deadlines"] == 1
        assert upstream.runs[0].cancelled
        assert not upstream.running

    async def test_caller_that_goes_away_ends_the_work(self, upstream, session):
        upstream.faults.silent = True
        waiting = asyncio.create_task(ask(session, upstream))
        await until(lambda: upstream.running)
        waiting.cancel()
        await until(lambda: not upstream.running)
        assert upstream.runs[0].cancelled

    async def test_deaf_goes_on(self, upstream, session):
        upstream.faults = upstreams.Faults(slow=0.3, deaf=True)
        sent = {headers.DEADLINE: "1"}
        assert await ask(session, upstream, headers=sent) == 200
        assert upstream.runs[0].finished


class TestLeaving:
    async def test_withdraws_then_finishes_then_goes(self, session):
        async with fleet.Fleet() as running:
            shape = upstreams.Shape("workshop", work=0.2)
            host = await running.add("one", "zone-a", shape)
            upstream = host.upstream
            waiting = asyncio.create_task(ask(session, upstream))
            await until(lambda: upstream.running)
            await upstream.leave()
            assert await waiting == 200
            assert host.node.exit.admission.closed
            assert host.node.exit.upstream.state == "gone"
            assert await ask(session, upstream) == 0

    async def test_node_that_is_gone_does_not_hold_it_up(self):
        made = upstreams.Upstream(upstreams.Shape("workshop"), "http://127.0.0.1:9")
        await made.start()
        await made.leave()


class TestPlatformFaults:
    @pytest.mark.parametrize(
        ("faults", "code"),
        [
            ({"down": True}, codes.PLATFORM_DOWN),
            ({"writes_per_second": -1}, codes.PLATFORM_BUSY),
        ],
    )
    async def test_refused_write(self, platform, reached, faults, code):
        platform.faults = platforms.Faults(**faults)
        with pytest.raises(codes.Failure) as caught:
            await reached.put("a", 1, 0)
        assert caught.value.code is code
        assert not platform.store.objects

    async def test_rate_limit_counts_calls(self, platform, reached):
        platform.faults.reads_per_second = 3
        ends = await asyncio.gather(
            *(reached.find("a") for _ in range(60)), return_exceptions=True
        )
        # A loaded machine may spread them over a few of the windows.
        assert platform.counts["limited"] == 60 - ends.count(None) > 0

    async def test_slow(self, platform, reached):
        platform.faults.slow = 1000.0
        reached.timeout = 0.05
        with pytest.raises(codes.Failure) as caught:
            await reached.get("a")
        assert caught.value.code is codes.PLATFORM_DOWN

    async def test_lost_answer_took_effect(self, platform, reached):
        platform.faults.lose_answers = 1.0
        assert (await reached.put("a", 1, 0)).version == 1
        assert platform.counts["answers-lost"] >= 1
        assert platform.store.revision == 1

    async def test_write_that_breaks_off_has_no_effect(self, platform, reached):
        """A caller that goes away in the middle of its write."""
        host, _, port = platform.url.removeprefix("http://").rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        head = "PUT /v1/objects/a HTTP/1.1\r\nHost: a\r\nContent-Length: 99\r\n\r\n{"
        writer.write(head.encode())
        await writer.drain()
        async with asyncio.timeout(LIMIT):
            while not platform.counts["put"]:
                await asyncio.sleep(0)
            writer.transport.abort()
            while not platform.counts["broken-off"]:
                await asyncio.sleep(0)
        assert await reached.find("a") is None

    async def test_stale_watch_is_closed(self, platform, reached):
        platform.faults.cut_watches = True
        with pytest.raises(codes.Failure) as caught:
            await reached.watch([""], 0, 5.0)
        assert caught.value.code is codes.WATCH_LOST

    @pytest.mark.parametrize("after", [-5, 7])
    async def test_watch_from_a_revision_that_is_not_kept(self, reached, after):
        with pytest.raises(codes.Failure) as caught:
            await reached.watch([""], after, 5.0)
        assert caught.value.code is codes.WATCH_LOST

    @pytest.mark.parametrize(
        "path",
        [
            "/v1/watch?after=x",
            "/v1/watch",
            "/v1/watch?after=0&wait=nan",
            "/v1/objects/",
            "/nowhere",
        ],
    )
    async def test_odd_calls(self, platform, session, path):
        async with session.get(platform.url + path) as response:
            assert response.status in (400, 404)


class TestStore:
    def write(self, value, if_version, write_id):
        return objects.Write(msgspec.Raw(value), if_version, write_id)

    def test_same_write_id_twice_takes_effect_once(self):
        store = stores.Store()
        first = store.put("a", self.write(b"1", 0, "w"))
        assert store.put("a", self.write(b"1", 0, "w")) == first
        assert store.revision == 1

    def test_same_write_id_after_another_write_is_a_conflict(self):
        store = stores.Store()
        store.put("a", self.write(b"1", 0, "w"))
        store.put("a", self.write(b"2", 1, "x"))
        with pytest.raises(codes.Failure) as caught:
            store.put("a", self.write(b"1", 0, "w"))
        assert caught.value.code is codes.PLATFORM_CONFLICT
        assert bytes(store.get("a").value) == b"2"

    def test_no_write_id_is_never_the_same(self):
        store = stores.Store()
        store.put("a", self.write(b"1", 0, ""))
        with pytest.raises(codes.Failure):
            store.put("a", self.write(b"1", 0, ""))


class TestOptions:
    def test_faults(self):
        made = standin.parse_faults(["slow=0.5", "lie=true"], upstreams.Faults)
        assert made == upstreams.Faults(slow=0.5, lie=True)

    @pytest.mark.parametrize("text", ["none=1", "slow=x", "lie=perhaps", "slow"])
    def test_wrong_fault(self, text):
        run = click.testing.CliRunner().invoke(
            main.main, ["standin", "upstream", "--service", "a", "--fault", text]
        )
        assert run.exit_code == codes.BAD_FIELD.exit_code
        assert str(codes.BAD_FIELD.number) in run.output
