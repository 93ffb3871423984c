"""Connections to upstreams and nodes: matching, completeness and size of responses."""

import asyncio
import socket
import struct
import tracemalloc

import hypothesis
import pytest
from hypothesis import strategies as st

from rattanridge.kernel import codes
from rattanridge.mesh import connections, exchanges, response_limits
from rattanridge.platform import store
from rattanridge.web import memory, streams
from tests import floods

MEMORY_LIMIT = 80_000_000  # bytes
HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: mine\r\nContent-Length: 2000\r\n\r\n"
BODY = bytes(range(250)) * 8
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER value: closing sends a reset


class Peer:
    """Server that answers each read of a connection with the given parts.

    :param then: what follows the parts: "keep" the connection, "close" or "reset" it.
    """

    def __init__(self, parts, then="keep"):
        self.parts = parts
        self.then = then
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        while await reader.read(65536):
            for part in self.parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0.002)
            if self.then == "reset":
                opened = writer.get_extra_info("socket")
                opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                writer.transport.abort()
                return
            if self.then == "close":
                break


async def exchange(pool, address, matches=None):
    connection = await pool.acquire(address, 1.0)
    request = exchanges.write_request("GET", "/", [("Host", "h")], b"")
    async with asyncio.timeout(2):
        response = await connection.exchange(request, True, matches)
    pool.release(address, connection, response)
    return response


async def exchange_once(address):
    return await exchange(connections.Pool(memory.MemoryBudget(MEMORY_LIMIT)), address)


def mine(response):
    return response.headers.get("Attempt-Id") == "mine"


class TestParts:
    @pytest.mark.parametrize("cut", [1, 9, 30, 58, len(HEAD), len(HEAD) + 1, 1500])
    async def test_an_answer_in_two_parts(self, listen, cut):
        data = HEAD + BODY
        peer = Peer([data[:cut], data[cut:]])
        address = await listen(peer.serve)
        pool = connections.Pool(memory.MemoryBudget(MEMORY_LIMIT))
        for _ in range(3):
            assert (await exchange(pool, address)).body == BODY
        assert peer.connections == 1
        pool.close()

    async def test_an_answer_byte_by_byte(self, listen):
        data = HEAD.replace(b"2000", b"20") + BODY[:20]
        peer = Peer([data[index : index + 1] for index in range(len(data))])
        pool = connections.Pool(memory.MemoryBudget(MEMORY_LIMIT))
        assert (await exchange(pool, await listen(peer.serve))).body == BODY[:20]
        pool.close()


class TestCompleteness:
    @pytest.mark.parametrize("then", ["close", "reset"])
    async def test_a_cut_answer_is_a_failure_with_unknown_outcome(self, listen, then):
        peer = Peer([HEAD, BODY[:700]], then)
        with pytest.raises(codes.Failure) as caught:
            await exchange_once(await listen(peer.serve))
        assert caught.value.ran is codes.Execution.UNKNOWN

    async def test_an_answer_may_end_with_its_connection(self, listen):
        peer = Peer([b"HTTP/1.1 200 OK\r\n\r\n", BODY], "close")
        assert (await exchange_once(await listen(peer.serve))).body == BODY

    async def test_an_answer_cut_by_a_reset_is_refused(self, listen):
        peer = Peer([b"HTTP/1.1 200 OK\r\n\r\n", BODY], "reset")
        with pytest.raises(codes.Failure):
            await exchange_once(await listen(peer.serve))

    @pytest.mark.parametrize(
        "junk", [b"\x00\x01nonsense\r\n\r\n", b"HTTP/1.1 abc\r\n\r\n"]
    )
    async def test_bytes_that_are_no_answer(self, listen, junk):
        peer = Peer([junk])
        with pytest.raises(codes.Failure) as caught:
            await exchange_once(await listen(peer.serve))
        assert caught.value.ran is codes.Execution.UNKNOWN


class TestStatus:
    # Guards against: an answer with a status that HTTP does not define, such as 000,
    # reaches the caller as an answer.
    @hypothesis.given(status=st.integers(0, 999))
    @hypothesis.example(status=0)
    @hypothesis.example(status=99)
    @hypothesis.example(status=100)
    @hypothesis.example(status=199)
    @hypothesis.example(status=600)
    @hypothesis.example(status=999)
    def test_only_defined_statuses_are_answers(self, status):
        asyncio.run(self.check(status))

    async def check(self, status):
        final = b"HTTP/1.1 204 No Content\r\n\r\n"
        head = b"HTTP/1.1 %03d Any\r\nContent-Length: 0\r\n\r\n" % status
        peer = Peer([head, final] if 100 <= status < 200 else [head])
        async with streams.StreamServer(peer.serve) as server:
            if 100 <= status < 600 and status != 101:
                response = await exchange_once(server.address)
                assert response.status == (204 if status < 200 else status)
                return
            with pytest.raises(codes.Failure) as caught:
                await exchange_once(server.address)
            assert caught.value.code is codes.UPSTREAM_FAILED
            assert caught.value.ran is codes.Execution.UNKNOWN


class TestMatching:
    async def test_an_answer_to_an_earlier_request_is_skipped(self, listen):
        other = HEAD.replace(b"mine", b"else") + BODY
        peer = Peer([other, HEAD + BODY])
        pool = connections.Pool(memory.MemoryBudget(MEMORY_LIMIT))
        response = await exchange(pool, await listen(peer.serve), mine)
        assert mine(response)

    async def test_bytes_between_requests_end_the_connection(self, listen):
        peer = Peer([HEAD + BODY, HEAD + BODY])
        address = await listen(peer.serve)
        pool = connections.Pool(memory.MemoryBudget(MEMORY_LIMIT))
        await exchange(pool, address)
        await asyncio.sleep(0.05)
        await exchange(pool, address)
        assert peer.connections == 2
        pool.close()


class TestConnecting:
    async def test_a_refused_connection(self):
        with pytest.raises(codes.Failure) as caught:
            await connections.Pool(memory.MemoryBudget(MEMORY_LIMIT)).acquire(
                "127.0.0.1:9", 1.0
            )
        assert caught.value.code is codes.CONNECT_FAILED
        assert caught.value.ran is codes.Execution.NOT_RUN

    async def test_the_idle_limit_of_the_peer_is_respected(self, listen):
        head = HEAD.replace(b"\r\n\r\n", b"\r\nKeep-Alive: timeout=1\r\n\r\n")
        peer = Peer([head + BODY])
        address = await listen(peer.serve)
        pool = connections.Pool(memory.MemoryBudget(MEMORY_LIMIT))
        await exchange(pool, address)
        await asyncio.sleep(0.85)
        await exchange(pool, address)
        assert peer.connections == 2
        pool.close()


SOCKET_BUFFERS = 16_000_000  # bytes that the system may buffer between the two ends
# Bytes of memory: a body may take twice the size of the largest one that is accepted.
PEAK_MEMORY = {"body": 70_000_000, "body-of-a-length": 70_000_000}
DEFAULT_PEAK_MEMORY = 8_000_000  # bytes of memory for anything that is not a body


async def failed_exchange(flood, address, held):
    """Send a request that must fail, and return its failure."""
    connection = await connections.Pool(held).acquire(address, 1.0)
    request = exchanges.write_request("GET", "/", [("Host", "h")], b"")
    with pytest.raises(codes.Failure) as caught:
        await connection.exchange(request, True, mine)
    assert not connection.is_open()
    return caught.value


class TestEndlessResponses:
    """Faulty upstreams send until the node closes the connection."""

    # Guards against: bytes that belong to no response are read until the request's
    # deadline, and take many times their size in memory if they come in small chunks.
    @pytest.mark.parametrize("name", floods.ENDLESS)
    async def test_bytes_without_end(self, listen, name):
        flood = floods.Flood(*floods.ENDLESS[name])
        address = await listen(flood.serve)
        held = memory.MemoryBudget(MEMORY_LIMIT)
        tracemalloc.start()
        try:
            async with asyncio.timeout(10):
                failure = await failed_exchange(flood, address, held)
                while not flood.ended:
                    await asyncio.sleep(0.01)
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        assert failure.code is codes.UPSTREAM_FAILED
        assert failure.ran is codes.Execution.UNKNOWN
        assert flood.sent <= response_limits.MAX_BODY_BYTES + SOCKET_BUFFERS
        assert peak <= PEAK_MEMORY.get(name, DEFAULT_PEAK_MEMORY)
        assert held.used == 0

    # Guards against: endless bodies on all slots together exhaust the node's memory.
    async def test_bodies_without_end_at_many_connections(self, listen):
        flood = floods.Flood(*floods.ENDLESS["body"])
        address = await listen(flood.serve)
        held = memory.MemoryBudget(20_000_000)
        tracemalloc.start()
        try:
            async with asyncio.timeout(20):
                failures = await asyncio.gather(
                    *(failed_exchange(flood, address, held) for _ in range(12))
                )
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        assert codes.MEMORY_FULL in {failure.code for failure in failures}
        assert {failure.ran for failure in failures} == {codes.Execution.UNKNOWN}
        assert peak <= 2 * 20_000_000
        assert held.used == 0

    async def test_a_large_answer_in_small_chunks_is_accepted(self, listen):
        body = bytes(range(256)) * 4
        chunk = b"400\r\n" + body + b"\r\n"
        peer = Peer([floods.CHUNKED, *([chunk * 100] * 20), b"0\r\n\r\n"])
        pool = connections.Pool(memory.MemoryBudget(MEMORY_LIMIT))
        response = await exchange(pool, await listen(peer.serve), mine)
        assert response.body == body * 2000
        assert pool.memory_budget.used == 0

    # Guards against: an endless answer of the store exhausts the node's memory.
    async def test_an_answer_of_the_store_without_end(self, listen):
        flood = floods.Flood(floods.ANSWER + b"\r\n", b"b" * 65536)
        client = store.Store(await listen(flood.serve))
        async with asyncio.timeout(10):
            with pytest.raises(codes.Failure) as caught:
                await client.list("records")
        assert caught.value.code is codes.PLATFORM_DOWN
        assert flood.sent <= store.MAX_ANSWER_BYTES + SOCKET_BUFFERS
        await client.close()
