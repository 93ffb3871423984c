"""Connections to upstreams and nodes: whose answer it is, and whether it is whole."""

import asyncio
import socket
import struct

import pytest

from rattanridge.kernel import codes
from rattanridge.mesh import connections

HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: mine\r\nContent-Length: 2000\r\n\r\n"
BODY = bytes(range(250)) * 8
LINGER_NONE = struct.pack("ii", 1, 0)  # closing resets the connection


class Peer:
    """Answers each connection's first bytes with the parts given."""

    def __init__(self, parts, then="keep"):
        self.parts = parts
        self.then = then
        self.connections = 0
        self.server = None

    async def serve(self, reader, writer):
        self.connections += 1
        while await reader.read(65536):
            for part in self.parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0.002)
            if self.then == "reset":
                opened = writer.get_extra_info("socket")
                opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
                writer.transport.abort()
                return
            if self.then == "close":
                break
        writer.close()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"


async def exchange(pool, address, matches=None):
    connection = await pool.acquire(address, 1.0)
    request = connections.write_request("GET", "/", [("Host", "h")], b"")
    async with asyncio.timeout(2):
        response = await connection.exchange(request, True, matches)
    pool.release(address, connection, response)
    return response


def mine(response):
    return response.headers.get("Attempt-Id") == "mine"


class TestParts:
    @pytest.mark.parametrize("cut", [1, 9, 30, 58, len(HEAD), len(HEAD) + 1, 1500])
    async def test_an_answer_in_two_parts(self, cut):
        data = HEAD + BODY
        peer = Peer([data[:cut], data[cut:]])
        address = await peer.start()
        pool = connections.Pool()
        for _ in range(3):
            assert (await exchange(pool, address)).body == BODY
        assert peer.connections == 1
        pool.close()

    async def test_an_answer_byte_by_byte(self):
        data = HEAD.replace(b"2000", b"20") + BODY[:20]
        peer = Peer([data[index : index + 1] for index in range(len(data))])
        pool = connections.Pool()
        assert (await exchange(pool, await peer.start())).body == BODY[:20]
        pool.close()


class TestWhole:
    @pytest.mark.parametrize("then", ["close", "reset"])
    async def test_a_cut_answer_is_a_failure_with_unknown_outcome(self, then):
        peer = Peer([HEAD, BODY[:700]], then)
        with pytest.raises(codes.Failure) as caught:
            await exchange(connections.Pool(), await peer.start())
        assert caught.value.ran is codes.Ran.UNKNOWN

    async def test_an_answer_that_ends_with_its_connection(self):
        peer = Peer([b"HTTP/1.1 200 OK\r\n\r\n", BODY], "close")
        assert (await exchange(connections.Pool(), await peer.start())).body == BODY

    async def test_such_an_answer_that_is_reset_is_not_whole(self):
        peer = Peer([b"HTTP/1.1 200 OK\r\n\r\n", BODY], "reset")
        with pytest.raises(codes.Failure):
            await exchange(connections.Pool(), await peer.start())

    @pytest.mark.parametrize(
        "junk", [b"\x00\x01nonsense\r\n\r\n", b"HTTP/1.1 abc\r\n\r\n"]
    )
    async def test_bytes_that_are_no_answer(self, junk):
        peer = Peer([junk])
        with pytest.raises(codes.Failure) as caught:
            await exchange(connections.Pool(), await peer.start())
        assert caught.value.ran is codes.Ran.UNKNOWN


class TestBelonging:
    async def test_an_answer_to_an_earlier_request_is_skipped(self):
        other = HEAD.replace(b"mine", b"else") + BODY
        peer = Peer([other, HEAD + BODY])
        pool = connections.Pool()
        response = await exchange(pool, await peer.start(), mine)
        assert mine(response)

    async def test_bytes_between_requests_end_the_connection(self):
        peer = Peer([HEAD + BODY, HEAD + BODY])
        address = await peer.start()
        pool = connections.Pool()
        await exchange(pool, address)
        await asyncio.sleep(0.05)
        await exchange(pool, address)
        assert peer.connections == 2
        pool.close()


class TestConnecting:
    async def test_nobody_listens(self):
        with pytest.raises(codes.Failure) as caught:
            await connections.Pool().acquire("127.0.0.1:9", 1.0)
        assert caught.value.code is codes.CONNECT_FAILED
        assert caught.value.ran is codes.Ran.NOT_RUN

    async def test_the_peers_own_idle_limit_is_kept(self):
        head = HEAD.replace(b"\r\n\r\n", b"\r\nKeep-Alive: timeout=1\r\n\r\n")
        peer = Peer([head + BODY])
        address = await peer.start()
        pool = connections.Pool()
        await exchange(pool, address)
        await asyncio.sleep(0.85)
        await exchange(pool, address)
        assert peer.connections == 2
        pool.close()
