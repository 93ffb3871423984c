"""Malformed requests of callers: a coded refusal, and the node keeps serving."""

import hypothesis
import multidict
import pytest
from hypothesis import strategies

from rattanridge.kernel import codes
from rattanridge.mesh import calls
from rattanridge.web import headers
from tests import bench as benches

HEAD = b"GET /workshop/a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
POST = b"POST /workshop/a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
MALFORMED_PARTS = [
    b"\r\n",
    b"\r\n\r\n",
    b"\0",
    b" ",
    b"Content-Length: 5\r\n",
    b"Content-Length: -1\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: identity, chunked\r\n",
    b"5\r\nhello\r\n0\r\n\r\n",
    b"FFFFFFFFFFFFFFFFF\r\n",
    b"Expect: 100-continue\r\n",
    b"Connection: Upgrade\r\nUpgrade: websocket\r\n",
    b"GET /workshop/a HTTP/1.1\r\nHost: a\r\n",
    b"POST /workshop HTTP/1.0\r\n",
    b"CONNECT a:1 HTTP/1.1\r\n",
    b"/../%2e%2e/%00\\",
    b"\xff\xfe",
]


@pytest.fixture(scope="module")
def bench():
    with benches.running() as made:
        yield made


def send(bench, data, end=False):
    return bench.run(benches.exchange(bench.host.node.config.listen.callers, data, end))


def assert_still_serving(bench):
    answer = send(bench, HEAD + b"\r\n")
    assert benches.status_of(answer) == 200
    assert benches.header_of(answer, headers.RAN) == codes.Execution.RAN


class TestRefusals:
    """Requests with a single error, and the code that each must get."""

    @pytest.mark.parametrize(
        ("data", "code"),
        [
            (b"nonsense\r\n\r\n", codes.BAD_REQUEST),
            (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", codes.BAD_REQUEST),
            (b"GET /workshop HTTP/1.1\r\n\r\n", codes.BAD_REQUEST),
            (b"G@T /workshop HTTP/1.1\r\nHost: a\r\n\r\n", codes.BAD_REQUEST),
            (b"GET /work\0shop HTTP/1.1\r\nHost: a\r\n\r\n", codes.BAD_REQUEST),
            (b"GET /workshop/%00 HTTP/1.1\r\nHost: a\r\n\r\n", codes.BAD_REQUEST),
            (b"GET /workshop\\a HTTP/1.1\r\nHost: a\r\n\r\n", codes.BAD_REQUEST),
            (b"GET /workshop/../a HTTP/1.1\r\nHost: a\r\n\r\n", codes.BAD_REQUEST),
            (b"GET /workshop/%2e%2E/a HTTP/1.1\r\nHost: a\r\n\r\n", codes.BAD_REQUEST),
            (b"GET @b/workshop HTTP/1.1\r\nHost: a\r\n\r\n", codes.BAD_REQUEST),
            (b"CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n", codes.BAD_REQUEST),
            (b"OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", codes.BAD_REQUEST),
            (HEAD + b"A: " + b"x" * 40_000 + b"\r\n\r\n", codes.HEADERS_TOO_LARGE),
            (HEAD + b"A: x\r\n" * 200 + b"\r\n", codes.HEADERS_TOO_LARGE),
            (HEAD.replace(b"/a", b"/" + b"a" * 40_000), codes.HEADERS_TOO_LARGE),
            (POST + b"Content-Length: 99999999\r\n\r\n", codes.BODY_TOO_LARGE),
            (POST + b"Content-Length: -1\r\n\r\n", codes.BAD_REQUEST),
            (POST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", None),
            (
                POST + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"0\r\n\r\n",
                codes.BAD_REQUEST,
            ),
            (
                POST + b"Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
                codes.BAD_REQUEST,
            ),
            (POST + b"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n", None),
            (POST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n", codes.BAD_REQUEST),
            (HEAD.replace(b"workshop", b"elsewhere") + b"\r\n", codes.NO_ROUTE),
            (HEAD.replace(b"GET", b"PATCH") + b"\r\n", codes.NO_ROUTE),
        ],
    )
    def test_code(self, bench, data, code):
        runs = len(bench.host.upstream.runs)
        answer = send(bench, data)
        wanted = code or codes.BAD_REQUEST
        assert benches.header_of(answer, headers.CODE) == str(wanted.number)
        assert benches.header_of(answer, headers.RAN) == codes.Execution.NOT_RUN
        assert benches.status_of(answer) == wanted.status
        assert not benches.header_of(answer, "Server")
        assert len(bench.host.upstream.runs) == runs
        assert_still_serving(bench)

    @pytest.mark.parametrize(
        "rest",
        [
            b"Content-Length: 100\r\n\r\nhalf",
            b"Transfer-Encoding: chunked\r\n\r\n64\r\nhalf",
            b"Content-Le",
        ],
    )
    def test_cut_request_never_runs(self, bench, rest):
        runs = len(bench.host.upstream.runs)
        send(bench, POST + rest, end=True)
        assert len(bench.host.upstream.runs) == runs
        assert_still_serving(bench)

    def test_fault_of_a_handler_is_coded_with_unknown_outcome(self, bench, monkeypatch):
        def fail(*args):
            raise RuntimeError("broken")

        monkeypatch.setattr(bench.host.node.entry, "read_call", fail)
        answer = send(bench, HEAD + b"\r\n")
        assert benches.header_of(answer, headers.CODE) == str(codes.INTERNAL.number)
        assert benches.header_of(answer, headers.RAN) == codes.Execution.UNKNOWN
        assert b"broken" not in answer

    def test_connections_over_the_limit_are_dropped(self, bench, monkeypatch):
        meters = bench.host.node.meters
        monkeypatch.setattr(bench.host.node.config.limits, "connections", 0)
        assert send(bench, HEAD + b"\r\n") == b""
        assert meters.values()["rattanridge_events{http.dropped.connections}"] == 1
        monkeypatch.undo()
        assert_still_serving(bench)


class TestTargets:
    @pytest.mark.parametrize(
        "target",
        [
            b"/workshop/a%2Fb?x=%20+%41&y=%2e",
            b"/workshop//a///b",
            b"/workshop/%E2%82%AC%ff;x",
        ],
    )
    def test_travels_unchanged(self, bench, target):
        answer = send(bench, HEAD.replace(b"/workshop/a", target) + b"\r\n")
        assert benches.status_of(answer) == 200
        assert bench.host.upstream.runs[-1].path == target.decode()

    def test_absolute_form_is_a_path_with_a_host(self, bench):
        head = HEAD.replace(b"/workshop/a", b"http://crest.example/workshop/b?c=1")
        answer = send(bench, head + b"\r\n")
        assert benches.status_of(answer) == 200
        assert bench.host.upstream.runs[-1].path == "/workshop/b?c=1"


class TestPipelining:
    def test_each_request_gets_its_own_answer_in_order(self, bench):
        head = b"GET /workshop/%d HTTP/1.1\r\nHost: a\r\n%s\r\n"
        data = b"".join(head % (number, b"") for number in range(9))
        answer = send(bench, data + head % (9, b"Connection: close\r\n"))
        places = [answer.find(b" /workshop/%d " % number) for number in range(10)]
        assert -1 not in places
        assert places == sorted(places)

    def test_unreadable_request_behind_good_ones(self, bench):
        runs = len(bench.host.upstream.runs)
        good = b"GET /workshop/a HTTP/1.1\r\nHost: a\r\n\r\n"
        answer = send(bench, good + good + b"nonsense\r\n\r\n" + good)
        # aiohttp drops everything that it read in one piece; none of it runs then.
        assert answer.count(b"HTTP/1.1 200") == len(bench.host.upstream.runs) - runs
        assert answer.count(b"Rattanridge-Code: 4002") == 1


class TestHeaders:
    def test_hop_by_hop_and_mesh_headers_are_dropped(self):
        came = multidict.CIMultiDict(
            [
                ("Connection", "close, X-First"),
                ("X-First", "1"),
                ("connection", "x-second"),
                ("X-Second", "2"),
                ("Keep-Alive", "5"),
                ("TE", "trailers"),
                ("rattanridge-retry", "1"),
                ("RATTANRIDGE-ANY", "1"),
                ("X-Kept", "a"),
                ("X-Kept", "b"),
            ]
        )
        kept = calls.forwardable(multidict.CIMultiDictProxy(came))
        assert kept == [("X-Kept", "a"), ("X-Kept", "b")]


class TestHost:
    @pytest.mark.parametrize(
        ("value", "host"),
        [
            ("crest.example", "crest.example"),
            ("Crest.Example.:8080", "crest.example"),
            ("127.0.0.1:80", "127.0.0.1"),
            ("[::1]:80", "[::1]"),
            ("[FE80::1]", "[fe80::1]"),
            ("", ""),
            (":80", ""),
            ("[", "[]"),
        ],
    )
    def test_name(self, value, host):
        assert headers.host_of(value) == host

    def test_two_are_refused(self, bench):
        answer = send(bench, HEAD + b"Host: b\r\n\r\n")
        assert benches.header_of(answer, headers.CODE) == str(codes.BAD_REQUEST.number)


class TestFuzz:
    part = strategies.one_of(
        strategies.sampled_from(MALFORMED_PARTS), strategies.binary(max_size=30)
    )

    @hypothesis.given(
        strategies.sampled_from([b"", HEAD, POST]),
        strategies.lists(part, max_size=8).map(b"".join),
    )
    def test_any_bytes(self, bench, start, rest):
        upstream = bench.host.upstream
        answer = send(bench, start + rest, end=True)
        if answer:
            assert benches.header_of(answer, headers.RAN) in list(codes.Execution)
            assert benches.header_of(answer, headers.CODE) != str(codes.INTERNAL.number)
        assert all(run.path.startswith("/workshop") for run in upstream.runs)

    def test_node_still_serves_afterwards(self, bench):
        assert_still_serving(bench)
        assert bench.host.node.entry.active == 0
        assert bench.host.node.exit.queue.running == 0
