"""Bytes on their way through two hops: targets, heads, bodies, connections."""

import asyncio

import pytest

from rattanridge.calls import bodies, headers
from rattanridge.kernel import codes
from tests import mesh


class Scripted(mesh.Upstream):
    """Answers every request with the same bytes."""

    def __init__(self, answer: bytes):
        super().__init__()
        self.answer = answer

    async def script(self, request, writer):
        writer.write(self.answer)
        await writer.drain()


async def ask(upstream, data: bytes, method: str = "GET", name: str = "apart"):
    """Send bytes through two hops; return what the caller got."""
    async with mesh.pair(mesh.make_preset(), upstream) as running:
        async with mesh.Caller(running.nodes[name].caller_url) as caller:
            caller.send(data)
            return await caller.reply(method)


def head(*lines: str) -> bytes:
    return "\r\n".join([*lines, "", ""]).encode()


class TestTarget:
    @pytest.mark.parametrize(
        "target",
        [
            "@127.0.0.1:9/workshop/a",
            "*",
            "/workshop/../registry",
            "/workshop/%2e%2e/registry",
            "/workshop/./a",
            "/workshop/a#b",
            "/workshop/bague-g\u00e9ante",
        ],
    )
    async def test_refused(self, target):
        upstream = mesh.Upstream()
        got = await ask(upstream, head(f"GET {target} HTTP/1.1", "Host: x"))
        assert got.status == codes.BAD_REQUEST.status
        assert got.header(headers.CODE) == str(codes.BAD_REQUEST.number)
        assert got.header(headers.RAN) == codes.Ran.NOT_RUN
        assert not upstream.begun

    @pytest.mark.parametrize(
        "target",
        [
            "/workshop/a%2Fb%20c?x=%41&y=+&z=a/b?c",
            "/workshop//a;v=1@127.0.0.1:9/",
            "/workshop/~%7E%7e",
            "/workshop/..a/...",
        ],
    )
    @pytest.mark.parametrize("name", ["apart", "beside"])
    async def test_byte_for_byte(self, target, name):
        upstream = mesh.Upstream()
        data = head(f"GET {target} HTTP/1.1", "Host: x")
        got = await ask(upstream, data, name=name)
        assert got.status == 200
        assert [item.target for item in upstream.requests] == [target]

    async def test_absolute_form_never_names_the_upstream(self):
        upstream = mesh.Upstream()
        target = "http://127.0.0.1:9/workshop/a?b=%41"
        got = await ask(upstream, head(f"GET {target} HTTP/1.1", "Host: x"))
        assert got.status == 200
        assert [item.target for item in upstream.requests] == ["/workshop/a?b=%41"]

    async def test_encoded_slash_is_not_a_path(self):
        upstream = mesh.Upstream()
        got = await ask(upstream, head("GET /workshop%2Fa HTTP/1.1", "Host: x"))
        assert got.header(headers.CODE) == str(codes.NO_ROUTE.number)


class TestHead:
    async def test_repeated_and_own_headers(self):
        answer = head(
            "HTTP/1.1 200 OK",
            "Server: press/1",
            "Set-Cookie: a=1",
            "Set-Cookie: b=2",
            "Connection: X-Hop",
            "X-Hop: 1",
            "Rattanridge-Ran: not-run",
            "Content-Length: 2",
        )
        upstream = Scripted(answer + b"ok")
        lines = ("Host: seals", "X-A: 1", "X-A: 2", "Rattanridge-Once: 1")
        got = await ask(upstream, head("GET /workshop/a HTTP/1.1", *lines))
        assert [v for k, v in got.headers if k == "Set-Cookie"] == ["a=1", "b=2"]
        assert got.header("Server") == "press/1"
        assert got.header("X-Hop") == ""
        assert got.header(headers.RAN) == codes.Ran.RAN
        (seen,) = upstream.requests
        assert [v for k, v in seen.headers if k == "X-A"] == ["1", "2"]
        assert [v for k, v in seen.headers if k == "Host"] == ["seals"]
        assert not seen.header(headers.ONCE)
        assert not seen.header(headers.TOKEN)

    async def test_server_of_a_refusal(self):
        got = await ask(mesh.Upstream(), head("GET /no HTTP/1.1", "Host: x"))
        assert not got.header("Server")

    async def test_bytes_that_are_not_utf8(self):
        answer = b"HTTP/1.1 200 OK\r\nX-Nom: \xe9\r\nContent-Length: 0\r\n\r\n"
        upstream = Scripted(answer)
        sent = b"GET /workshop/a HTTP/1.1\r\nHost: x\r\nX-Nom: \xe9\r\n\r\n"
        got = await ask(upstream, sent)
        assert got.status == 200
        assert got.header("X-Nom") == "\u00e9"
        assert upstream.requests[0].header("X-Nom") == "\u00e9"

    @pytest.mark.parametrize(
        ("line", "code"),
        [
            ("X-Long: " + "x" * 20_000, codes.HEADERS_TOO_LARGE),
            ("Broken", codes.BAD_REQUEST),
            ("Content-Length: 1\r\nContent-Length: 2", codes.BAD_REQUEST),
            ("Content-Length: 1\r\nTransfer-Encoding: chunked", codes.BAD_REQUEST),
            ("Transfer-Encoding: gzip, nonsense", codes.BAD_REQUEST),
            ("Expect: something", codes.BAD_REQUEST),
        ],
    )
    async def test_unreadable(self, line, code):
        upstream = mesh.Upstream()
        data = head("POST /workshop/a HTTP/1.1", "Host: x", line) + b"x\r\n"
        got = await ask(upstream, data)
        assert got.header(headers.CODE) == str(code.number)
        assert got.header(headers.RAN) == codes.Ran.NOT_RUN
        assert got.status == code.status
        assert not upstream.begun


class TestBody:
    @pytest.mark.parametrize("status", ["204 No Content", "304 Not Modified"])
    async def test_status_without_body(self, status):
        got = await ask(
            Scripted(head(f"HTTP/1.1 {status}", "ETag: 1")),
            head("GET /workshop/a HTTP/1.1", "Host: x"),
        )
        assert (got.status, got.whole) == (int(status[:3]), True)
        assert got.header("ETag") == "1"

    async def test_head_keeps_the_length(self):
        got = await ask(
            Scripted(head("HTTP/1.1 200 OK", "Content-Length: 17")),
            head("HEAD /workshop/a HTTP/1.1", "Host: x"),
            "HEAD",
        )
        assert (got.status, got.header("Content-Length")) == (200, "17")

    @pytest.mark.parametrize(
        "body",
        [
            b"3\r\nabc\r\n0\r\n\r\n",
            b"1;x=y\r\na\r\n02\r\nbc\r\n0\r\nX-Trailer: 1\r\n\r\n",
        ],
    )
    async def test_chunks(self, body):
        answer = head("HTTP/1.1 200 OK", "Transfer-Encoding: chunked") + body
        upstream = Scripted(answer)
        sent = head(
            "POST /workshop/a HTTP/1.1", "Host: x", "Transfer-Encoding: chunked"
        )
        got = await ask(upstream, sent + body)
        assert (got.status, got.body) == (200, b"abc")
        assert upstream.requests[0].body == b"abc"

    async def test_expect_continue(self):
        upstream = mesh.Upstream()
        async with mesh.pair(mesh.make_preset(), upstream) as running:
            async with mesh.Caller(running.nodes["apart"].caller_url) as caller:
                lines = ("Host: x", "Content-Length: 4", "Expect: 100-continue")
                caller.send(head("POST /workshop/a HTTP/1.1", *lines))
                async with asyncio.timeout(mesh.HANG):
                    first = await caller.reader.readuntil(b"\r\n\r\n")
                assert first == bodies.CONTINUE
                caller.send(b"gold")
                assert (await caller.reply()).status == 200
        assert upstream.requests[0].body == b"gold"

    @pytest.mark.parametrize("method", ["GET", "POST"])
    async def test_length_only_by_closing(self, method):
        """Whether such an answer was cut short cannot be known."""

        class Closing(mesh.Upstream):
            async def script(self, request, writer):
                writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")
                writer.close()

        sent = head(f"{method} /workshop/a HTTP/1.1", "Host: x")
        got = await ask(Closing(), sent)
        assert got.header(headers.CODE) == str(codes.ANSWER_UNFRAMED.number)
        assert got.header(headers.RAN) == codes.Ran.UNKNOWN


class Large(mesh.Upstream):
    """Sends large bodies, and cuts them if told to."""

    size = 3_000_000
    cut = False
    chunked = False

    async def script(self, request, writer):
        if self.chunked:
            writer.write(head("HTTP/1.1 200 OK", "Transfer-Encoding: chunked"))
        else:
            writer.write(head("HTTP/1.1 200 OK", f"Content-Length: {self.size}"))
        part = b"x" * 50_000
        for _ in range(self.size // len(part) // (2 if self.cut else 1)):
            data = b"%x\r\n%b\r\n" % (len(part), part) if self.chunked else part
            writer.write(data)
            await writer.drain()
        if self.cut:
            writer.close()
        elif self.chunked:
            writer.write(b"0\r\n\r\n")


class TestLargeAnswer:
    @pytest.mark.parametrize("chunked", [False, True])
    @pytest.mark.parametrize("cut", [False, True])
    @pytest.mark.parametrize("name", ["apart", "beside"])
    async def test_whole_or_visibly_cut(self, chunked, cut, name):
        upstream = Large()
        upstream.cut, upstream.chunked = cut, chunked
        async with mesh.pair(mesh.make_preset(), upstream) as running:
            async with mesh.Caller(running.nodes[name].caller_url) as caller:
                caller.request("GET", "/workshop/a")
                got = await caller.reply()
            assert got.whole is not cut
            assert cut or len(got.body) == upstream.size
            gate = running.nodes["beside"].exit.admission
            assert await mesh.settled(lambda: gate.running == 0)
            assert all(node.held.used == 0 for node in running.nodes.values())

    async def test_memory_stays_bounded(self):
        """A caller that does not read stops the upstream from sending."""
        upstream = Large()
        upstream.size = 60_000_000
        async with mesh.pair(mesh.make_preset(), upstream) as running:
            async with mesh.Caller(running.nodes["apart"].caller_url) as caller:
                caller.request("GET", "/workshop/a")
                gate = running.nodes["beside"].exit.admission
                assert await mesh.settled(lambda: gate.running == 1)
                (writer,) = upstream.writers
                paused = writer.transport.get_write_buffer_size
                assert await mesh.settled(lambda: paused() > 0)
            assert await mesh.settled(lambda: gate.running == 0)

    async def test_over_the_limit_is_refused(self):
        upstream = Large()
        limits = {"answer_bytes": 1_000_000}
        async with mesh.pair(mesh.make_preset(), upstream, **limits) as running:
            async with mesh.Caller(running.nodes["apart"].caller_url) as caller:
                caller.request("POST", "/workshop/a")
                got = await caller.reply()
        assert got.header(headers.CODE) == str(codes.ANSWER_TOO_LARGE.number)
        assert got.header(headers.RAN) == codes.Ran.RAN


class TestHeldBytes:
    async def test_too_many_at_once(self):
        upstream = mesh.Upstream()
        async with mesh.pair(
            mesh.make_preset(), upstream, held_bytes=150_000
        ) as running:
            url = running.nodes["apart"].caller_url
            async with mesh.Caller(url) as first, mesh.Caller(url) as second:
                line = "Content-Length: 120000"
                first.send(head("POST /workshop/a HTTP/1.1", "Host: x", line))
                first.send(b"x" * 119_999)
                held = running.nodes["apart"].held
                assert await mesh.settled(lambda: held.used == 119_999)
                second.request("POST", "/workshop/b", b"x" * 100_000)
                got = await second.reply()
                assert got.header(headers.CODE) == str(codes.MEMORY_FULL.number)
                first.send(b"x")
                assert (await first.reply()).status == 200
            assert await mesh.settled(lambda: held.used == 0)
        assert [item.target for item in upstream.requests] == ["/workshop/a"]


class TestConnections:
    async def test_closed_between_requests(self):
        """A connection that the upstream closed while idle is not used again."""

        class Closing(mesh.Upstream):
            async def script(self, request, writer):
                await super().script(request, writer)
                writer.close()

        upstream = Closing()
        async with mesh.pair(mesh.make_preset(), upstream) as running:
            async with mesh.Caller(running.nodes["apart"].caller_url) as caller:
                for number in range(20):
                    caller.request("POST", f"/workshop/{number}")
                    got = await caller.reply()
                    assert (got.status, got.header(headers.RAN)) == (200, "ran")
        assert len(upstream.requests) == 20

    @pytest.mark.parametrize("late", [False, True])
    async def test_surplus_answer(self, late):
        """An answer that belongs to no request is never given to the next one."""

        class Doubling(mesh.Upstream):
            async def script(self, request, writer):
                writer.write(mesh.make_answer(request) * (1 if late else 2))

        upstream = Doubling()
        async with mesh.pair(mesh.make_preset(), upstream) as running:
            async with mesh.Caller(running.nodes["apart"].caller_url) as caller:
                for number in range(10):
                    caller.request("GET", f"/workshop/{number}")
                    got = await caller.reply()
                    assert got.body == f"done /workshop/{number}".encode()
                    for writer in upstream.writers if late else ():
                        writer.write(mesh.make_answer(upstream.requests[-1]))

    async def test_limit_of_the_upstream(self):
        """However many slots an upstream claims, its connections are not overrun."""
        release = asyncio.Event()

        class Holding(mesh.Upstream):
            async def script(self, request, writer):
                await release.wait()
                await super().script(request, writer)

        async def get(url):
            async with mesh.Caller(url) as caller:
                caller.request("GET", "/workshop/a")
                return await caller.reply()

        upstream = Holding()
        async with mesh.pair(mesh.make_preset(), upstream) as running:
            beside = running.nodes["beside"]
            await running.attach(beside, upstream, slots=9, connections=2)
            tasks = [asyncio.create_task(get(beside.caller_url)) for _ in range(6)]
            assert await mesh.settled(lambda: beside.exit.admission.running == 6)
            assert await mesh.settled(lambda: upstream.begun == 2)
            release.set()
            for got in await asyncio.gather(*tasks):
                assert got.status == 200
        assert upstream.connections == 2

    async def test_refused_at_once(self):
        """An upstream that closes each new connection gets nothing, and it shows."""

        class Slamming(mesh.Upstream):
            async def on_connect(self, writer):
                writer.close()
                raise ConnectionError

        upstream = Slamming()
        async with mesh.pair(mesh.make_preset(), upstream) as running:
            async with mesh.Caller(running.nodes["apart"].caller_url) as caller:
                caller.request("POST", "/workshop/a")
                got = await caller.reply()
        assert got.status >= 500
        assert not upstream.begun
        assert upstream.connections == 1

    async def test_all_stale_at_once(self):
        """After an upstream closed all its idle connections, a call that must not
        repeat goes over a new one."""
        upstream = mesh.Upstream()
        async with mesh.pair(mesh.make_preset(), upstream) as running:
            url = running.nodes["beside"].caller_url
            callers = [mesh.Caller(url) for _ in range(4)]
            for caller in callers:
                await caller.__aenter__()
                caller.request("GET", "/workshop/a")
            for caller in callers:
                assert (await caller.reply()).status == 200
            for writer in upstream.writers:
                writer.close()
            callers[0].request("POST", "/workshop/b")
            assert (await callers[0].reply()).status == 200
            for caller in callers:
                await caller.__aexit__()
