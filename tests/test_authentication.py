"""Authentication of callers by key, and of calls of upstreams by their parent."""

import asyncio
import json
import logging

import aiohttp
import msgspec
import pytest

from rattanridge.admin import server
from rattanridge.kernel import accounts, codes, log, routes
from rattanridge.mesh import parents
from rattanridge.mesh.accounts import authentication
from rattanridge.platform import config_wire, configs, headers
from rattanridge.standin import fleet
from tests import mesh_world, test_admin

KEY = "kR7-secret-of-large"
OTHER_KEY = "qZ3-secret-of-small"
LARGE = config_wire.WireAccount("large", [KEY], 0, 5.0, 2.0)
SMALL = config_wire.WireAccount("small", [OTHER_KEY])
PATHS = (
    mesh_world.route("lookup", "/lookup/", "registry", priority=3),
    mesh_world.route("open", "/open/", "registry", priority=3, public=True),
)
CALLERS = [
    # path, key, ID, and the sender's account, rank and running parent
    ("lookup", KEY, "1", ("large", 3, False)),
    ("lookup", OTHER_KEY, "1", ("small", 19, False)),
    ("lookup", KEY, "running.1", ("large", 3, False)),
    ("lookup", "", "running.1", ("parent", 2, True)),
    ("lookup", "", "1", codes.NO_ACCOUNT),
    ("lookup", "wrong", "1", codes.NO_ACCOUNT),
    ("lookup", "wrong", "running.1", codes.NO_ACCOUNT),
    ("lookup", "", "gone.1", codes.PARENT_UNKNOWN),
    ("open", KEY, "1", ("large", 3, False)),
    ("open", "", "1", ("", 19, False)),
    ("open", "wrong", "1", ("", 19, False)),
    ("open", "", "gone.1", ("", 19, False)),
    ("open", "wrong", "running.1", ("", 19, True)),
    ("open", "", "running.1", ("parent", 2, True)),
]


def find_parent(attempt):
    """Return the parent of a request; the request ``running`` is in progress."""
    name = headers.parent_of(attempt)
    if name == "running":
        return parents.Parent(True, False, 2, "r", "parent")
    return parents.Parent(False, True) if name else None


def token(key):
    return {headers.AUTHORIZATION: f"Token {key}"}


async def get(world, path, attempt, key=""):
    """Send a request with an ID; return its status and failure code."""
    sent = {"Host": mesh_world.HOST, headers.ATTEMPT: attempt}
    url = f"http://{world.nodes[0].config.listen.callers}{path}"
    async with world.session.get(url, headers=sent | token(key)) as answer:
        return answer.status, answer.headers.get("Rattanridge-Code")


class TestIdentify:
    @pytest.mark.parametrize(("path", "key", "attempt", "expected"), CALLERS)
    def test_with_accounts(self, path, key, attempt, expected):
        content = mesh_world.configuration(1, *PATHS, accounts=[LARGE, SMALL])
        found = configs.decode(content)
        route = found.match(mesh_world.HOST, f"/{path}/1", "GET")
        fields = token(key) | {headers.ATTEMPT: attempt}
        try:
            sender = authentication.identify(found, route, fields, find_parent)
        except codes.Failure as failure:
            assert failure.code is expected
            assert not key or key not in str(failure)
            return
        nested = sender.running_parent is not None
        assert (sender.account, sender.rank, nested) == expected

    @pytest.mark.parametrize(
        ("attempt", "rank"), [("1", 3), ("gone.1", 3), ("running.1", 2)]
    )
    def test_without_accounts(self, attempt, rank):
        found = configs.decode(mesh_world.configuration(1, *PATHS))
        route = found.match(mesh_world.HOST, "/lookup/1", "GET")
        fields = token("any") | {headers.ATTEMPT: attempt}
        sender = authentication.identify(found, route, fields, find_parent)
        assert (sender.account, sender.rank) == ("", rank)
        assert sender.parent == find_parent(attempt)

    @pytest.mark.parametrize(
        ("text", "key"),
        [
            (f"Token {KEY}", KEY),
            (f"token  {KEY} ", KEY),
            (f"Bearer {KEY}", ""),
            (KEY, ""),
            ("Token", ""),
            ("", ""),
            (None, ""),
        ],
    )
    def test_key_in_the_header(self, text, key):
        assert headers.parse_key(text) == key

    @pytest.mark.parametrize(("first", "second"), [(0, 0), (0, 1), (1, 0), (1, 1)])
    def test_a_new_version_is_asked_again_only_if_one_has_accounts(self, first, second):
        account = {"a": accounts.Account("a", (KEY,))}
        before, now = (
            routes.Configuration(1, {}, {}, accounts=account if used else {})
            for used in (first, second)
        )
        assert not authentication.needs_recheck(before, before)
        assert authentication.needs_recheck(before, now) is bool(first or second)


class TestNodes:
    async def test_headers_at_the_endpoint_over_two_hops(self, world):
        await world.start("workshop", "registry")
        await world.apply(2, *PATHS, accounts=[LARGE, SMALL])
        forged = {headers.ACCOUNT: "small"}
        runs = world.upstreams[1].runs
        for path, key, account in (
            ("/lookup/1", KEY, "large"),
            ("/open/1", KEY, "large"),
            ("/open/1", "wrong", None),
        ):
            status, _, _ = await world.call(path, **token(key), **forged)
            assert status == 200
            received = runs[-1].headers
            assert received.getall(headers.ACCOUNT, [None]) == [account]
            assert headers.AUTHORIZATION not in received
        count = len(runs)
        for sent in ({}, token("wrong")):
            status, received, _ = await world.call("/lookup/1", **sent, **forged)
            assert (status, received["Rattanridge-Ran"]) == (401, "not-run")
            assert received["Rattanridge-Code"] == str(codes.NO_ACCOUNT.number)
            assert received["WWW-Authenticate"] == "Token"
        assert len(runs) == count

    async def test_without_accounts_headers_are_forwarded(self, world):
        await world.start("registry")
        sent = token("any") | {headers.ACCOUNT: "anyone"}
        assert (await world.call("/lookup/1", **sent))[0] == 200
        received = world.upstreams[0].runs[-1].headers
        assert sent.items() <= dict(received).items()

    async def test_calls_of_a_running_request_need_no_key(self, world):
        await world.start("registry")
        await world.apply(2, *PATHS, accounts=[LARGE])
        node = world.nodes[0]
        parent = mesh_world.make_call(world, "77")
        parent.rank, parent.account = 5, "large"
        node.exit.parents.record_start(parent)
        seen = []
        run = node.dispatcher.run

        async def record(call, route):
            seen.append((call.nested, call.rank, call.account))
            return await run(call, route)

        node.dispatcher.run = record
        assert await get(world, "/lookup/1", "77.1") == (200, None)
        assert headers.ACCOUNT not in world.upstreams[0].runs[-1].headers
        assert await get(world, "/lookup/1", "78.1") == (503, "5040")
        assert await get(world, "/lookup/1", "79") == (401, "4007")
        assert seen == [(True, 5, "large")]

    async def test_a_key_that_is_removed_while_a_request_is_read(self, world):
        """Guards against a request that runs with a key that is no longer valid."""
        await world.start("registry")
        await world.apply(2, *PATHS, accounts=[LARGE, SMALL])
        node = world.nodes[0]
        proceed = asyncio.Event()

        async def body():
            yield b"." * 100_000
            await proceed.wait()
            yield b"."

        url = f"http://{node.config.listen.callers}/lookup/1"
        sent = {"Host": mesh_world.HOST, **token(KEY)}
        request = asyncio.create_task(
            world.session.post(url, headers=sent, data=body())
        )
        await world.wait(lambda: node.memory_budget.used)
        await world.apply(3, *PATHS, accounts=[SMALL])
        proceed.set()
        assert (await request).status == 401
        assert node.memory_budget.used == 0
        assert not world.upstreams[0].runs

    async def test_keys_change_on_an_open_connection(self, world):
        await world.start("registry")
        found = []
        for version, items in ((2, [LARGE]), (3, [SMALL]), (4, [LARGE]), (5, [])):
            await world.apply(version, *PATHS, accounts=items)
            found.append((await get(world, "/lookup/1", f"{version}", KEY))[0])
        assert found == [200, 401, 200, 200]

    async def test_an_unknown_key_at_a_node_that_is_behind(self, world):
        """Guards against a 401 for a key that a newer version has added."""
        await world.start("registry", "registry")
        await world.apply(2, *PATHS, accounts=[LARGE])
        node = world.nodes[0]
        node.configs.record_peer_version(3)
        found = await get(world, "/lookup/1", "1", OTHER_KEY)
        assert found == (503, str(codes.CONFIGURATION_BEHIND.number))
        content = mesh_world.configuration(3, *PATHS, accounts=[LARGE, SMALL])
        world.nodes[1].configs.apply_content(content, "test")
        node.configs.record_peer_version(3, world.nodes[1].config.listen.hops)
        assert await get(world, "/lookup/1", "2", OTHER_KEY) == (200, None)


class TestKeysAreSecret:
    async def test_no_key_in_logs_metrics_status_and_what_viewers_see(
        self, world, monkeypatch, tmp_path, caplog
    ):
        caplog.set_level(logging.DEBUG)
        lines = tmp_path / "log"
        with lines.open("w") as target:
            copy = test_admin.copy_lines(target, log.pairs)
            monkeypatch.setattr(log, "pairs", copy)
            await world.start("registry")
            listen = world.nodes[0].config.listen
            handler = server.Server(world.nodes[0])
            await world.nodes[0].ports.listen(handler.serve, listen.admin)
            await world.apply(2, *PATHS, accounts=[LARGE, SMALL])
            long = "x" * world.nodes[0].config.limits.header_bytes
            for sent in (token(KEY), token(KEY + "-wrong"), token(KEY + long)):
                await world.call("/lookup/1", **sent)
            reader, writer = await world.connect()
            writer.write(f"GET / HTTP/1.1\r\nAuthorization: {KEY}\x01\r\n\r\n".encode())
            pages = [(await reader.read(10_000)).decode()]
            twice = config_wire.WireAccount("twice", [KEY])
            await world.configure(3, *PATHS, accounts=[LARGE, twice])
            await world.wait(lambda: world.nodes[0].configs.refusal.why)
            preset = fleet.make_preset("day", ["registry"])
            account = {"name": "large", "keys": [KEY], "priority": "high"}
            document = msgspec.to_builtins(preset) | {"accounts": [account]}
            pages += [
                await self.send(listen, "PUT", "presets/day", json.dumps(document)),
                await self.send(listen, "GET", "status"),
                await self.send(listen, "GET", "counters"),
                await self.send(listen, "GET", "presets"),
                await self.send(listen, "GET", "presets/day", token=fleet.TOKENS[1]),
            ]
            shown = await self.send(listen, "GET", "presets/day")
            url = f"http://{listen.metrics}/metrics"
            async with world.session.get(url) as answer:
                pages.append(await answer.text())
        text = lines.read_text() + caplog.text
        assert "event=configuration-refused" in text
        assert "event=request-no-account" in text
        assert text.count("event=http-refused") == 2
        assert "account=large" in text
        assert 'account_requests_total{account="large"' in pages[-1]
        assert KEY in shown
        assert "***" in pages[-2]
        for page in (text, *pages):
            assert KEY not in page

    async def send(self, listen, method, path, data=None, token=fleet.TOKENS[0]):
        """Send an administration request; return the text of its answer."""
        sent = {"Authorization": f"Bearer {token.secret}"}
        url = f"http://{listen.admin}/{path}"
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, url, headers=sent, data=data) as answer,
        ):
            return await answer.text()
