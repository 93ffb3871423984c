"""Administration API: tokens, roles and invalid requests, on real sockets."""

import contextlib
import io
import sys

import aiohttp
import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from rattanridge.admin import server
from rattanridge.kernel import codes, log
from rattanridge.standin import fleet, upstream as upstreams
from rattanridge.web import bodies, headers
from tests import bench as benches

OLGA, VICTOR = fleet.TOKENS
PEAK = fleet.preset_text(fleet.make_preset("peak", ["workshop"]))


@pytest.fixture(scope="module")
def bench():
    with benches.running() as running:
        yield running


def send(bench, method, path, token=OLGA.secret, body=b"", address=""):
    """Send one raw request; return its HTTP status and result code, or 0 for none."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        f"Authorization: Bearer {token}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    address = address or bench.host.node.config.listen.admin
    raw = bench.run(benches.exchange(address, head.encode("latin-1") + body))
    content = raw.partition(b"\r\n\r\n")[2]
    number = 0
    with contextlib.suppress(msgspec.MsgspecError):
        number = msgspec.json.decode(content, type=server.Error).code
    if not number:
        number = int(benches.header_of(raw, headers.CODE) or 0)
    return benches.status_of(raw), number


class TestServer:
    @pytest.mark.parametrize(
        ("method", "path", "token", "code"),
        [
            ("GET", "/presets", "", codes.NO_TOKEN),
            ("GET", "/presets", "x" * 5000, codes.NO_TOKEN),
            ("GET", "/presets", "\xff\xfe", codes.NO_TOKEN),
            ("GET", "/presets", OLGA.secret + "x", codes.NO_TOKEN),
            ("GET", "/presets", OLGA.secret.upper(), codes.NO_TOKEN),
            ("PUT", "/presets/day", VICTOR.secret, codes.WRONG_ROLE),
            ("POST", "/presets/day/use", VICTOR.secret, codes.WRONG_ROLE),
            ("PUT", "/rollouts/workshop", VICTOR.secret, codes.WRONG_ROLE),
            ("POST", "/rollouts/workshop/cancel", VICTOR.secret, codes.WRONG_ROLE),
            ("GET", "/rollouts/none", OLGA.secret, codes.ROLLOUT_MISSING),
            ("GET", "/nowhere", OLGA.secret, codes.NO_OPERATION),
            ("GET", "/presets/", OLGA.secret, codes.NO_OPERATION),
            ("GET", "/presets/day/use/now", OLGA.secret, codes.NO_OPERATION),
            ("GET", "/presets/day%2Fuse%2Fnow", OLGA.secret, codes.NO_OPERATION),
            ("GET", "/presets/.day", OLGA.secret, codes.NO_OPERATION),
            ("GET", "/presets/d%20ay", OLGA.secret, codes.NO_OPERATION),
            ("GET", "/presets/" + "d" * 64, OLGA.secret, codes.NO_OPERATION),
            ("GET", "/presets/%2e%2e/status", OLGA.secret, codes.BAD_REQUEST),
            ("GET", "/presets/day%00", OLGA.secret, codes.BAD_REQUEST),
            ("GET", "/presets/day?revision=x", OLGA.secret, codes.ADMIN_BAD_REQUEST),
            ("GET", "/presets/day?revision=-1", OLGA.secret, codes.ADMIN_BAD_REQUEST),
            ("GET", "/presets/day?revision=%C2%B2", OLGA.secret, None),
            ("GET", f"/presets/day?revision={'9' * 4500}", OLGA.secret, None),
            ("GET", "/presets/day?revision=99", OLGA.secret, codes.NO_PRESET),
            ("DELETE", "/presets/day", OLGA.secret, codes.WRONG_METHOD),
            ("GET", "/presets/day/use", OLGA.secret, codes.WRONG_METHOD),
            ("PATCH", "/status", OLGA.secret, codes.WRONG_METHOD),
        ],
    )
    def test_refusals(self, bench, method, path, token, code):
        code = code or codes.ADMIN_BAD_REQUEST
        assert send(bench, method, path, token) == (code.status, code.number)

    def test_percent_encoded_name_is_decoded(self, bench):
        assert send(bench, "GET", "/presets/%64ay") == (200, 0)

    @pytest.mark.parametrize(
        ("body", "code"),
        [
            (b"x" * 1_100_000, codes.BODY_TOO_LARGE),
            (b"[" * 900_000, codes.BAD_YAML),
            (b"\xff\xfe", codes.BAD_YAML),
            (b"", codes.BAD_FIELD),
            (b"{}", codes.BAD_FIELD),
            (PEAK.encode(), codes.BAD_FIELD),
        ],
    )
    def test_invalid_bodies(self, bench, body, code):
        answer = send(bench, "PUT", "/presets/day", body=body)
        assert answer == (code.status, code.number)

    @hypothesis.given(
        strategies.sampled_from(["GET", "PUT", "POST", "DELETE"]),
        strategies.sampled_from(["/presets", "/presets/x", "/presets/x/use", "/a"]),
        strategies.text(strategies.characters(max_codepoint=255), max_size=20),
        strategies.binary(max_size=50),
    )
    def test_arbitrary_requests(self, bench, method, path, query, body):
        query = "".join(f"%{ord(char):02x}" for char in query)
        status, code = send(bench, method, f"{path}?{query}", body=body)
        assert status < 500
        assert code or (method, path) == ("GET", "/presets")

    rollout_fields = strategies.dictionaries(
        strategies.sampled_from(["old", "new", "deadline", "odd"]),
        strategies.none()
        | strategies.sampled_from(["v2", "v3", "", -1, 0.001, 60, 1e9, 1e308, True])
        | strategies.integers()
        | strategies.text(max_size=5),
    )

    @hypothesis.given(rollout_fields)
    def test_arbitrary_rollouts(self, bench, fields):
        valid = {"old": "v1", "new": "v9", "deadline": 600.0}
        for body in (fields, valid | fields):
            raw = msgspec.json.encode(body)
            status, code = send(bench, "PUT", "/rollouts/workshop", body=raw)
            assert status in (400, 409)
            assert code in codes.TABLE

    def test_limit_of_active_requests(self, bench, monkeypatch):
        monkeypatch.setattr(server, "MAX_ACTIVE_REQUESTS", 0)
        code = codes.ADMIN_BUSY
        assert send(bench, "GET", "/status") == (code.status, code.number)
        monkeypatch.undo()
        assert send(bench, "GET", "/status") == (200, 0)

    def test_body_that_stalls_is_refused(self, bench, monkeypatch):
        monkeypatch.setattr(bodies, "PART_SECONDS", 0.01)
        head = (
            "PUT /presets/day HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n"
            f"Connection: close\r\nAuthorization: Bearer {OLGA.secret}\r\n\r\n"
        )
        address = bench.host.node.config.listen.admin
        raw = bench.run(benches.exchange(address, head.encode()))
        assert benches.status_of(raw) == codes.BODY_CUT.status

    @pytest.mark.parametrize("port", ["callers", "hops", "heartbeats"])
    @pytest.mark.parametrize(
        "path", ["/presets", "/status", "/presets/day/use", "/counters", "/history"]
    )
    def test_other_ports_do_not_serve_it(self, bench, port, path):
        address = getattr(bench.host.node.config.listen, port)
        for method in ("GET", "POST"):
            assert send(bench, method, path, address=address)[0] == 404


class TestTokensInLogs:
    async def test_secrets_are_never_logged(self, monkeypatch):
        output = io.StringIO()
        monkeypatch.setattr(sys, "stderr", output)
        monkeypatch.setattr(log, "pairs", copy_lines(output, log.pairs))
        async with fleet.Fleet() as running:
            shape = upstreams.Shape("workshop")
            host = await running.add("one", "zone-a", shape, key="fleet-shared-key")
            listen = host.node.config.listen
            await host.node.ports.listen(server.Server(host.node).serve, listen.admin)
            async with aiohttp.ClientSession() as session:
                for secret in (OLGA.secret, VICTOR.secret, "stolen-secret-token"):
                    for path in ("presets/x/use", "status", f"presets?token={secret}"):
                        await self.send(session, listen.admin, path, secret)
            await running.put_preset(fleet.make_preset("day", ["workshop"]))
        text = output.getvalue()
        assert "admin-refused" in text
        for secret in (
            OLGA.secret,
            VICTOR.secret,
            "stolen-secret-token",
            "fleet-shared-key",
        ):
            assert secret not in text

    async def send(self, session, address, path, secret):
        sent_headers = {"Authorization": f"Bearer {secret}"}
        async with session.post(
            f"http://{address}/{path}", headers=sent_headers
        ) as response:
            assert secret not in await response.text()


def copy_lines(target, pairs):
    """Wrap ``log.pairs`` so that each line is also written to a target."""

    def wrapped(event, fields):
        line = pairs(event, fields)
        target.write(line + "\n")
        return line

    return wrapped
