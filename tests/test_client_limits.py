"""Limits on what a client makes a node hold, on ports of a running node."""

import asyncio

import msgspec
import pytest

from rattanridge.kernel import codes
from rattanridge.mesh import settings
from rattanridge.web import headers, streams
from tests import bench as benches

GET = b"GET /workshop/a HTTP/1.1\r\nHost: a\r\n"
POST = b"POST /workshop/a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
WAIT = 10.0  # seconds after which a condition counts as not met
PAUSE = 0.05  # seconds between two looks


@pytest.fixture(scope="module")
def bench():
    with benches.running() as made:
        yield made


@pytest.fixture
def node(bench):
    """Yield the node; check that it holds nothing after the test."""
    yield bench.host.node
    bench.run(wait_until(lambda: bench.host.node.memory_budget.used == 0))


def address_of(bench):
    return bench.host.node.config.listen.callers


def send(bench, data):
    return bench.run(benches.exchange(address_of(bench), data))


def with_length(size):
    return POST + b"Content-Length: %d\r\n\r\n" % size


def dropped(node, reason):
    name = f"rattanridge_events{{http.dropped.{reason}}}"
    return node.meters.values().get(name, 0)


async def wait_until(condition):
    async with asyncio.timeout(WAIT):
        while not condition():
            await asyncio.sleep(PAUSE)


class TestSettings:
    def test_defaults_are_within_their_own_bounds(self):
        """Guards against: a node refuses settings that give a default explicitly."""
        data = msgspec.json.encode(settings.Limits())
        assert msgspec.json.decode(data, type=settings.Limits) == settings.Limits()


class TestHeads:
    @pytest.mark.parametrize(
        "fields",
        [b"A: " + b"v" * 20_000 + b"\r\nB: " + b"v" * 20_000, b"A: " + b"v" * 60_000],
    )
    def test_head_counts_as_a_whole(self, bench, node, fields):
        """Guards against: a limit of each line only, and 128 lines."""
        answer = send(bench, GET + fields + b"\r\n\r\n")
        assert benches.status_of(answer) == 431
        found = benches.header_of(answer, headers.CODE)
        assert found == str(codes.HEADERS_TOO_LARGE.number)

    def test_head_without_end_is_refused(self, bench, node):
        """Guards against: short lines that each are within the limit pile up."""
        answer = send(bench, GET + b"A: v\r\n" * 5_500)
        assert benches.status_of(answer) in (400, 431)

    def test_head_within_the_limit_is_served(self, bench, node):
        """Guards against: a count that includes the head of an earlier request."""
        filler = (b"A: " + b"v" * 4_000 + b"\r\n") * 7
        last = b"Connection: close\r\n\r\n"
        answer = send(bench, (GET + filler + b"\r\n") * 3 + GET + filler + last)
        assert answer.count(b"HTTP/1.1 200") == 4


class TestFraming:
    def test_tiny_chunks_are_served(self, bench, node):
        """Guards against: a bound of the framing that refuses small chunks."""
        data = CHUNKED + b"1\r\nx\r\n" * 60_000 + b"0\r\n\r\n"
        answer = send(bench, data)
        assert benches.status_of(answer) == 200
        assert answer.endswith(b"x" * 60_000)

    def test_request_behind_tiny_chunks_is_served(self, bench, node):
        """Guards against: bytes that are lost, or counted as a head, after a pause."""
        first = CHUNKED.replace(b"Connection: close\r\n", b"")
        data = first + b"2\r\nxy\r\n" * 30_000 + b"0\r\n\r\n"
        answer = send(bench, data * 2 + GET + b"Connection: close\r\n\r\n")
        assert answer.count(b"HTTP/1.1 200") == 3
        assert answer.count(b"xy" * 30_000) == 2

    @pytest.mark.parametrize(
        "rest",
        [b"2;" + b"e" * 100_000, b"0\r\n" + (b"T: " + b"u" * 4_000 + b"\r\n") * 20],
    )
    def test_long_framing_is_refused(self, bench, node, rest):
        """Guards against: chunk extensions and trailers without a bound."""
        runs = len(bench.host.upstream.runs)
        answer = send(bench, CHUNKED + rest)
        assert benches.status_of(answer) in (0, 400, 431)
        assert len(bench.host.upstream.runs) == runs


class TestMemory:
    def test_stalled_connection_gives_way(self, bench, node, monkeypatch):
        """Guards against: unfinished bodies keep all others out."""
        monkeypatch.setattr(node.memory_budget, "limit", 2_000_000)
        monkeypatch.setattr(node.config.limits, "stall_seconds", 0.2)

        async def run():
            before = dropped(node, "memory")
            async with streams.connect(address_of(bench)) as (_, writer):
                writer.write(with_length(1_600_000) + b"x" * 1_500_000)
                await wait_until(lambda: any_stalled(node))
                data = with_length(600_000) + b"x" * 600_000
                answer = await benches.exchange(address_of(bench), data)
                assert benches.status_of(answer) == 200
                assert dropped(node, "memory") == before + 1

        bench.run(run())

    def test_newcomer_is_refused_while_all_progress(self, bench, node, monkeypatch):
        """Guards against: an upload that progresses is cut for a later one."""
        monkeypatch.setattr(node.memory_budget, "limit", 2_000_000)

        async def run():
            async with streams.connect(address_of(bench)) as (reader, writer):
                writer.write(with_length(1_500_000) + b"x" * 1_400_000)
                await wait_until(lambda: node.memory_budget.used >= 1_400_000)
                data = with_length(600_000) + b"x" * 600_000
                refused = await benches.exchange(address_of(bench), data)
                assert benches.status_of(refused) == codes.MEMORY_FULL.status
                assert benches.header_of(refused, "Retry-After")
                monkeypatch.undo()
                writer.write(b"x" * 100_000)
                assert benches.status_of(await reader.read()) == 200

        bench.run(run())

    def test_answer_counts_until_it_is_read(self, bench, node):
        """Guards against: long answers that nobody reads are not counted."""
        size = 30_000_000

        async def run():
            async with streams.connect(address_of(bench)) as (reader, writer):
                reader._transport.pause_reading()
                target = b"GET /workshop/a?size=%d HTTP/1.1\r\n" % size
                writer.write(target + b"Host: a\r\nConnection: close\r\n\r\n")
                await wait_until(lambda: node.memory_budget.holders)
                await asyncio.sleep(PAUSE)
                assert node.memory_budget.used >= size
                reader._transport.resume_reading()
                assert len(await reader.read()) > size

        bench.run(run())


class TestProgress:
    def test_client_that_stops_is_disconnected(self, bench, node, monkeypatch):
        """Guards against: a client keeps a part of a body for ever."""
        monkeypatch.setattr(node.config.limits, "progress_interval", 0.5)

        async def run():
            before = dropped(node, "slow")
            data = with_length(100_000) + b"x" * 1_000
            assert await benches.exchange(address_of(bench), data) == b""
            assert dropped(node, "slow") == before + 1

        bench.run(run())

    def test_slow_client_is_served(self, bench, node, monkeypatch):
        """Guards against: a fixed time for a whole body."""
        monkeypatch.setattr(node.config.limits, "progress_interval", 0.5)

        async def run():
            async with streams.connect(address_of(bench)) as (reader, writer):
                writer.write(with_length(4_000))
                for _ in range(40):
                    writer.write(b"x" * 100)
                    await asyncio.sleep(PAUSE)
                assert benches.status_of(await reader.read()) == 200

        bench.run(run())

    def test_slow_reader_gets_the_whole_answer(self, bench, node, monkeypatch):
        """Guards against: bytes that wait to be written are taken for progress."""
        monkeypatch.setattr(node.config.limits, "progress_interval", 0.5)
        size = 20_000_000

        async def run():
            async with streams.connect(address_of(bench)) as (reader, writer):
                target = b"GET /workshop/a?size=%d HTTP/1.1\r\n" % size
                writer.write(target + b"Host: a\r\nConnection: close\r\n\r\n")
                count = 0
                while data := await reader.read(400_000):
                    count += len(data)
                    await asyncio.sleep(PAUSE)
                assert count > size

        bench.run(run())


class TestConnections:
    def test_unused_connection_gives_way(self, bench, node, monkeypatch):
        """Guards against: connections without a request keep callers out."""

        async def run():
            async with streams.connect(address_of(bench)) as (reader, _):
                await asyncio.sleep(2.2)
                monkeypatch.setattr(node.config.limits, "connections", 1)
                answer = await benches.exchange(
                    address_of(bench), GET + b"Connection: close\r\n\r\n"
                )
                assert benches.status_of(answer) == 200
                assert await reader.read() == b""

        before = dropped(node, "unused")
        bench.run(run())
        assert dropped(node, "unused") == before + 1


def any_stalled(node):
    return any(holder.is_stalled for holder in node.memory_budget.holders)
