"""Whatever reaches the control, hop and local ports: refused, and it goes on."""

import asyncio
import contextlib
import zlib

import grpc
import grpc.aio
import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from rattanridge.calls import headers
from rattanridge.control import messages, transport
from rattanridge.kernel import codes
from rattanridge.measure import fleet
from tests import bench as benches

PEER = "peer"
LIMIT = 10.0  # seconds after which a call counts as hanging


@pytest.fixture(scope="module")
def bench():
    with benches.running() as made:
        yield made


def metadata(key=fleet.KEY, name=PEER):
    return (("node", name), ("token", transport.sign(key, "control", name)))


async def call(address, method, data, sent):
    """Send raw bytes to a unary method; return its status code."""
    async with grpc.aio.insecure_channel(address) as channel:
        rpc = channel.unary_unary(f"/{transport.SERVICE}/{method}")
        try:
            await rpc(data, timeout=LIMIT, metadata=sent)
        except grpc.aio.AioRpcError as error:
            return error.code()
        return grpc.StatusCode.OK


async def stream(address, items, sent):
    """Send raw bytes on a subscription; return its status code."""
    async with grpc.aio.insecure_channel(address) as channel:
        rpc = channel.stream_stream(f"/{transport.SERVICE}/Subscribe")
        opened = rpc(timeout=LIMIT, metadata=sent)
        with contextlib.suppress(grpc.aio.AioRpcError, asyncio.InvalidStateError):
            for data in items:
                await opened.write(data)
            await opened.done_writing()
            await opened.read()
        opened.cancel()
        return await opened.code()


def hello(**more):
    fields = {
        "node": PEER,
        "zone": "zone-a",
        "incarnation": 1,
        "generation": 0,
        "digest": "",
        "table": "",
    }
    return messages.encode(messages.Hello(**(fields | more)))


def assert_goes_on(bench):
    address = bench.host.node.control.address
    ask = messages.encode(messages.Ask())
    assert bench.run(call(address, "Ask", ask, metadata())) is grpc.StatusCode.OK
    assert bench.host.node.state.generation == 1
    assert not bench.host.node.member.tasks[0].done()


class TestStrangers:
    @pytest.mark.parametrize(
        "sent",
        [
            (),
            (("node", PEER),),
            (("node", PEER), ("token", "x" * 64)),
            metadata(key="another-shared-key"),
            (("node", "other"), metadata()[1]),
        ],
    )
    @pytest.mark.parametrize("method", ["Ask", "Subscribe"])
    def test_without_the_key(self, bench, method, sent):
        address = bench.host.node.control.address
        if method == "Ask":
            status = bench.run(call(address, method, hello(), sent))
        else:
            status = bench.run(stream(address, [], sent))
        assert status is grpc.StatusCode.UNAUTHENTICATED
        # A message on the way meets the refusal; grpc may tell that otherwise.
        status = bench.run(stream(address, [hello()], sent))
        assert status is not grpc.StatusCode.OK
        assert PEER not in bench.host.node.member.relay.members
        assert_goes_on(bench)

    def test_unknown_method(self, bench):
        address = bench.host.node.control.address
        status = bench.run(call(address, "Nothing", b"", metadata()))
        assert status is grpc.StatusCode.UNIMPLEMENTED

    @pytest.mark.parametrize("data", [b"\0" * 100, b"GET / HTTP/1.1\r\n\r\n", b"PRI"])
    def test_other_protocols(self, bench, data):
        url = f"http://{bench.host.node.control.address}"
        bench.run(benches.exchange(url, data, end=True))
        assert_goes_on(bench)

    @pytest.mark.parametrize(
        "lines",
        [
            "",
            "Rattanridge-Node: one\r\n",
            "Rattanridge-Node: one\r\nRattanridge-Token: x\r\n",
            "Rattanridge-Node: \xff\r\nRattanridge-Token: \xff\r\n",
            "Rattanridge-Token: \r\n",
        ],
    )
    def test_hop_without_the_key(self, bench, lines):
        node = bench.host.node
        runs = len(bench.host.upstream.runs)
        head = "POST /workshop HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        data = f"{head}{lines}\r\n".encode("latin-1")
        answer = bench.run(benches.exchange(f"http://{node.local.hop}", data))
        wanted = str(codes.HOP_REFUSED.number)
        assert benches.header_of(answer, headers.CODE) == wanted
        assert len(bench.host.upstream.runs) == runs


class TestPeersThatSendGarbage:
    tags = strategies.sampled_from(
        ["hello", "records", "config", "report", "beat", "want", "candidate", "ask"]
    )
    plain = strategies.recursive(
        strategies.none()
        | strategies.booleans()
        | strategies.integers(-(2**63), 2**64 - 1)
        | strategies.floats()
        | strategies.binary(max_size=9)
        | strategies.text(max_size=9),
        lambda part: (
            strategies.lists(part, max_size=3)
            | strategies.dictionaries(strategies.text(max_size=9), part, max_size=3)
        ),
        max_leaves=9,
    )
    fields = strategies.sampled_from(
        ["node", "zone", "generation", "digest", "items", "delta", "role", "table"]
    )
    formed = strategies.builds(
        lambda tag, rest: msgspec.msgpack.encode({"t": tag} | rest),
        tags,
        strategies.dictionaries(fields, plain, max_size=6),
    )
    garbage = strategies.binary(max_size=60) | formed

    @hypothesis.given(garbage)
    def test_decode(self, data):
        try:
            messages.decode(data)
        except codes.Failure as failure:
            assert failure.code is codes.BAD_MESSAGE

    @pytest.mark.parametrize(
        "data",
        [
            b"\x91" * 500_000,
            b"\xdd\xff\xff\xff\xff",
            b"\xc6\xff\xff\xff\xff",
            messages.encoder.encode(messages.Packed(b"not compressed")),
            messages.encoder.encode(messages.Packed(zlib.compress(bytes(50_000_000)))),
        ],
        ids=["nested", "array", "extension", "packed", "bomb"],
    )
    def test_decode_hostile(self, data):
        with pytest.raises(codes.Failure) as caught:
            messages.decode(data)
        assert caught.value.code is codes.BAD_MESSAGE

    @hypothesis.given(garbage)
    @hypothesis.settings(max_examples=30)
    def test_call(self, bench, data):
        address = bench.host.node.control.address
        bench.run(call(address, "Ask", data, metadata()))

    @hypothesis.given(strategies.booleans(), strategies.lists(garbage, max_size=4))
    @hypothesis.settings(max_examples=30)
    def test_subscription(self, bench, greets, items):
        address = bench.host.node.control.address
        items = [hello(), *items] if greets else items
        bench.run(stream(address, items, metadata()))

    @pytest.mark.parametrize(
        "more",
        [
            {"node": "other"},
            {"generation": 2**62},
            {"generation": -1},
            {"incarnation": 2**62},
            {"digest": "x" * 100_000},
            {"protocol": 99},
            {"zone": "nowhere"},
        ],
    )
    def test_odd_greeting(self, bench, more):
        address = bench.host.node.control.address
        bench.run(stream(address, [hello(**more)], metadata()))
        assert_goes_on(bench)

    def test_snapshot_that_does_not_fit_its_hash(self, bench):
        delta = {"generation": 9, "base": "", "digest": "x", "changed": {}}
        config = msgspec.msgpack.encode(
            {"t": "config", "delta": delta | {"removed": []}}
        )
        address = bench.host.node.control.address
        bench.run(stream(address, [hello(), config], metadata()))
        assert_goes_on(bench)

    def test_goes_on_after_all_that(self, bench):
        assert_goes_on(bench)


class TestAnnouncements:
    GOOD = {
        "service": "workshop",
        "version": "v1",
        "address": "127.0.0.1:9",
        "slots": 12,
        "connections": 110,
    }

    def announce(self, bench, body):
        """Send an announcement; return its status and code."""
        head = (
            "PUT /announce HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        url = bench.host.node.local_url
        answer = bench.run(benches.exchange(url, head.encode() + body))
        code = benches.header_of(answer, headers.CODE)
        return benches.status_of(answer), int(code or 0)

    @pytest.mark.parametrize(
        "change",
        [
            {"service": ""},
            {"service": "a b"},
            {"service": 3},
            {"slots": 0},
            {"slots": 1e9},
            {"slots": True},
            {"connections": -1},
            {"address": "localhost:80"},
            {"address": "127.0.0.1"},
            {"address": "127.0.0.1:80/x"},
            {"address": "127.0.0.1:99999"},
            {"address": "::::::1:80"},
            {"state": "gone away"},
            {"more": 1},
        ],
    )
    def test_refused(self, bench, change):
        before = bench.host.node.exit.upstream
        body = msgspec.json.encode(self.GOOD | change)
        code = codes.BAD_FIELD
        assert self.announce(bench, body) == (code.status, code.number)
        assert bench.host.node.exit.upstream.address == before.address

    @pytest.mark.parametrize(
        ("body", "code"),
        [
            (b"", codes.BAD_FIELD),
            (b"[" * 4000, codes.BAD_FIELD),
            (b"\xff", codes.BAD_FIELD),
            (b" " * 5000, codes.BODY_TOO_LARGE),
        ],
    )
    def test_bodies(self, bench, body, code):
        assert self.announce(bench, body) == (code.status, code.number)

    def test_chunked_body_over_the_limit(self, bench):
        head = (
            b"PUT /announce HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        data = head + b"2000\r\n" + b" " * 0x2000 + b"\r\n0\r\n\r\n"
        answer = bench.run(benches.exchange(bench.host.node.local_url, data))
        wanted = str(codes.BODY_TOO_LARGE.number)
        assert benches.header_of(answer, headers.CODE) == wanted

    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from([*GOOD, "state"]),
            strategies.none()
            | strategies.integers()
            | strategies.floats()
            | strategies.text(max_size=5),
            min_size=1,
            max_size=2,
        )
    )
    def test_any_change(self, bench, change):
        # None of these may take over the endpoint that others are sent to.
        change = {"service": "other\0"} | change
        status, _ = self.announce(bench, msgspec.json.encode(self.GOOD | change))
        assert status == codes.BAD_FIELD.status
