"""Claims on real sockets, in a small fleet."""

import asyncio

import aiohttp
import pytest

from rattanridge.calls import headers
from rattanridge.kernel import codes, presets
from rattanridge.measure import fleet
from rattanridge.standin import upstream as upstreams


@pytest.fixture
async def running():
    """Three hosts; the first has an upstream. Route ``/press`` has no keys."""
    async with fleet.Fleet() as made:
        await made.add("one", "zone-a", upstreams.Shape("press", work=0.0))
        await made.add("two", "zone-a")
        await made.add("three", "zone-b")
        preset = fleet.make_preset("day", ["press"])
        preset.routes.append(presets.Route(prefix="/print", service="press"))
        generation = await made.put_preset(preset)
        await made.wait_applied(generation)
        await made.wait_endpoints()
        yield made


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as made:
        yield made


async def post(session, running, name, path="/press/run", key="k", body=b"ring"):
    url = f"{running.hosts[name].node.caller_url}{path}"
    sent = {"Idempotency-Key": key} if key else {}
    async with session.post(url, data=body, headers=sent) as response:
        await response.read()
        return response


class TestKeys:
    async def test_resent_through_every_node(self, running, session):
        for name in ("one", "two", "three"):
            response = await post(session, running, name)
            assert response.status == 200
            assert response.headers[headers.RAN] == codes.Ran.RAN
        assert response.headers[headers.RECORDED] == "1"
        assert len(running.hosts["one"].upstream.runs) == 1

    async def test_sent_at_once_through_every_node(self, running, session):
        running.hosts["one"].upstream.shape.work = 0.1
        answers = await asyncio.gather(
            *(post(session, running, name) for name in ("one", "two", "three"))
        )
        assert [response.status for response in answers] == [200] * 3
        assert len(running.hosts["one"].upstream.runs) == 1

    async def test_platform_down(self, running, session):
        running.platform.faults.down = True
        response = await post(session, running, "two")
        assert response.headers[headers.CODE] == str(codes.CLAIM_UNCHECKED.number)
        assert not running.hosts["one"].upstream.runs
        running.platform.faults.down = False
        assert (await post(session, running, "two")).status == 200

    async def test_answers_of_the_platform_lost(self, running, session):
        running.platform.faults.lose_answers = 1.0
        assert (await post(session, running, "two")).status == 200
        assert (await post(session, running, "three")).status == 200
        assert len(running.hosts["one"].upstream.runs) == 1

    async def test_owner_killed(self, running, session):
        await post(session, running, "two")
        relays = list(running.hosts["two"].node.claims.owners.learnt.values())
        for name in ("two", "three"):
            if running.hosts[name].node.control.address in relays:
                await running.remove(name)
        left = [name for name in running.hosts if name != "one"] or ["one"]
        response = await post(session, running, left[0])
        assert response.headers[headers.RAN] != codes.Ran.NOT_RUN
        assert len(running.hosts["one"].upstream.runs) == 1

    async def test_graceful_stop_of_every_claim_owner(self, running, session):
        await post(session, running, "two")
        await running.remove("two", graceful=True)
        await running.remove("three", graceful=True)
        response = await post(session, running, "one")
        assert response.headers[headers.RAN] != codes.Ran.NOT_RUN
        assert len(running.hosts["one"].upstream.runs) == 1


class TestNoKeys:
    async def test_delivered_whole_then_the_next_one_runs(self, running, session):
        for _ in range(3):
            response = await post(session, running, "two", "/print", key="")
            assert headers.RECORDED not in response.headers
        assert len(running.hosts["one"].upstream.runs) == 3

    async def test_caller_gone_then_resent_elsewhere(self, running, session):
        upstream = running.hosts["one"].upstream
        upstream.shape.work = 0.3
        limit = aiohttp.ClientTimeout(total=0.1)
        url = f"{running.hosts['two'].node.caller_url}/print"
        with pytest.raises(TimeoutError):
            await session.post(url, data=b"ring", timeout=limit)
        response = await post(session, running, "three", "/print", key="")
        assert response.status == 200
        assert [run.finished for run in upstream.runs] == [True]


class TestRefusedBeforeTheClaim:
    """A repeat that is refused before its claim was looked at may have run."""

    @pytest.mark.parametrize("fault", ["not-ready", "stopping", "no-route"])
    async def test_not_called_not_run(self, running, session, fault):
        assert (await post(session, running, "two")).status == 200
        node = running.hosts["three"].node
        match fault:
            case "not-ready":
                node.state.snapshot = None
            case "stopping":
                node.entry.stopping = True
            case "no-route":
                node.state.snapshot.routes.clear()
        response = await post(session, running, "three")
        assert response.status != 200
        assert response.headers[headers.RAN] == codes.Ran.UNKNOWN
