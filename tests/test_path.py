"""The whole path on real sockets, in one process."""

import aiohttp
import pytest

from rattanridge.calls import headers
from rattanridge.kernel import codes
from rattanridge.measure import fleet
from rattanridge.standin import upstream as upstreams


@pytest.fixture
async def running():
    """Two hosts in two zones; only the first has an upstream."""
    async with fleet.Fleet() as made:
        await made.add("one", "zone-a", upstreams.Shape("workshop", work=0.0))
        await made.add("two", "zone-b")
        generation = await made.put_preset(fleet.make_preset("day", ["workshop"]))
        await made.wait_applied(generation)
        await made.wait_endpoints()
        yield made


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as made:
        yield made


class TestCalls:
    @pytest.mark.parametrize("name", ["one", "two"])
    async def test_answer_over_one_hop_and_two(self, running, session, name):
        url = running.hosts[name].node.caller_url
        async with session.post(f"{url}/workshop/ring?x=1", data=b"gold") as response:
            assert response.status == 200
            assert response.headers[headers.RAN] == codes.Ran.RAN
            assert "/workshop/ring?x=1" in await response.text()
        (run,) = running.hosts["one"].upstream.runs
        assert (run.method, run.body) == ("POST", b"gold")

    async def test_unknown_route(self, running, session):
        url = running.hosts["two"].node.caller_url
        async with session.get(f"{url}/nowhere") as response:
            assert response.status == 404
            assert response.headers[headers.CODE] == str(codes.NO_ROUTE.number)
            assert response.headers[headers.RAN] == codes.Ran.NOT_RUN

    async def test_crash_is_unknown_and_not_repeated(self, running, session):
        upstream = running.hosts["one"].upstream
        upstream.faults.crash_on = "cracked"
        url = running.hosts["two"].node.caller_url
        async with session.post(f"{url}/workshop/cracked") as response:
            assert response.headers[headers.RAN] == codes.Ran.UNKNOWN
        assert len(upstream.runs) == 1

    async def test_forged_marks_do_not_travel(self, running, session):
        url = running.hosts["two"].node.caller_url
        forged = {headers.DEADLINE: "1", headers.RETRY: "1", headers.TOKEN: "x"}
        async with session.get(f"{url}/workshop/a", headers=forged) as response:
            assert response.status == 200

    async def test_stranger_on_the_hop_port(self, running, session):
        hop = running.hosts["one"].node.local.hop
        async with session.get(f"http://{hop}/workshop/a") as response:
            assert response.headers[headers.CODE] == str(codes.HOP_REFUSED.number)
        assert not running.hosts["one"].upstream.runs


class TestAdmin:
    @pytest.mark.parametrize(
        ("token", "status"),
        [("", 401), ("wrong", 401), (fleet.TOKENS[1].secret, 403)],
    )
    async def test_no_entry(self, running, session, token, status):
        url = running.hosts["one"].node.admin_url
        sent = {"Authorization": f"Bearer {token}"}
        async with session.post(f"{url}/presets/day/use", headers=sent) as response:
            assert response.status == status
