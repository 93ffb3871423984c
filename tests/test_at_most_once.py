"""Requests with an idempotency key run at most once in the whole fleet."""

import asyncio

import aiohttp
import pytest

from rattanridge.kernel import codes, presets
from rattanridge.mesh import claim, claims
from rattanridge.standin import fleet, upstream as upstreams
from rattanridge.web import headers


@pytest.fixture
async def running():
    """Three hosts; the first serves the press. Route ``/print`` has no key source."""
    async with fleet.Fleet() as made:
        await made.add("one", "zone-a", upstreams.Shape("press", work=0.0))
        await made.add("two", "zone-a", upstreams.Shape("other"))
        await made.add("three", "zone-b", upstreams.Shape("other"))
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


async def post(
    session,
    running,
    name,
    path="/press/run",
    key="k",
    body=b"ring",
    deadline=3000,
    **more,
):
    address = running.hosts[name].node.config.listen.callers
    sent = {upstreams.IDEMPOTENCY_KEY: key} if key else {}
    sent |= {"Deadline-Ms": str(deadline)}
    url = f"http://{address}{path}"
    async with session.post(url, data=body, headers=sent, **more) as response:
        await response.read()
        return response


def stored_claims(running):
    return [
        claim.decode(bytes(item.spec))
        for (kind, _), item in running.store.objects.items()
        if kind == claims.KIND
    ]


class TestKeys:
    async def test_repeated_through_every_node(self, running, session):
        for name in ("one", "two", "three"):
            response = await post(session, running, name)
            assert response.status == 200
            assert response.headers[headers.RAN] == codes.Execution.RAN
        assert response.headers[headers.RECORDED] == "1"
        assert len(running.hosts["one"].upstream.runs) == 1

    async def test_concurrent_through_every_node(self, running, session):
        running.hosts["one"].upstream.shape.work = 0.1
        answers = await asyncio.gather(
            *(post(session, running, name) for name in ("one", "two", "three"))
        )
        assert [response.status for response in answers] == [200] * 3
        assert len(running.hosts["one"].upstream.runs) == 1

    async def test_another_request_with_the_same_key(self, running, session):
        await post(session, running, "two")
        response = await post(session, running, "three", body=b"another ring")
        assert response.headers[headers.CODE] == str(codes.KEY_CONFLICT.number)
        assert len(running.hosts["one"].upstream.runs) == 1

    async def test_different_keys_are_independent(self, running, session):
        for number in range(3):
            response = await post(session, running, "two", key=f"k{number}")
            assert headers.RECORDED not in response.headers
        assert len(running.hosts["one"].upstream.runs) == 3

    async def test_without_key_or_key_source_no_claim_is_stored(self, running, session):
        for path in ("/press/run", "/print/run"):
            for _ in range(2):
                assert (await post(session, running, "two", path, "")).status == 200
        assert len(running.hosts["one"].upstream.runs) == 4
        assert not stored_claims(running)


class TestOutcomes:
    async def test_request_that_did_not_run_may_run_later(self, running, session):
        upstream = running.hosts["one"].upstream
        upstream.faults.shed = True
        response = await post(session, running, "two")
        assert response.headers[headers.RAN] == codes.Execution.NOT_RUN
        upstream.faults.shed = False
        await running.wait(lambda: not stored_claims(running))
        assert (await post(session, running, "three")).status == 200
        assert len(upstream.runs) == 1

    async def test_request_with_unknown_outcome_never_runs_again(
        self, running, session
    ):
        upstream = running.hosts["one"].upstream
        upstream.faults.lose = True
        response = await post(session, running, "two")
        assert response.headers[headers.RAN] == codes.Execution.UNKNOWN
        upstream.faults.lose = False
        await running.wait(
            lambda: stored_claims(running)[0].state is claim.State.UNKNOWN
        )
        response = await post(session, running, "three")
        assert response.headers[headers.CODE] == str(codes.ALREADY_ACCEPTED.number)
        assert response.headers[headers.RAN] == codes.Execution.UNKNOWN
        assert len(upstream.runs) == 1

    async def test_caller_disconnects_and_repeats_elsewhere(self, running, session):
        upstream = running.hosts["one"].upstream
        upstream.shape.work = 0.4
        limit = aiohttp.ClientTimeout(total=0.1)
        with pytest.raises(TimeoutError):
            await post(session, running, "two", timeout=limit)
        response = await post(session, running, "three")
        assert response.status == 200
        assert response.headers[headers.RECORDED] == "1"
        assert [run.finished for run in upstream.runs] == [True]

    async def test_node_that_holds_the_claim_is_killed(self, running, session):
        upstream = running.hosts["one"].upstream
        upstream.shape.work = 0.6
        first = asyncio.create_task(post(session, running, "two"))
        await running.wait(lambda: upstream.running)
        await running.remove("two")
        await asyncio.gather(first, return_exceptions=True)
        response = await post(session, running, "three")
        assert response.headers[headers.RAN] != codes.Execution.NOT_RUN
        assert len(upstream.runs) == 1


class TestStore:
    async def test_down(self, running, session):
        running.store.faults.down = True
        response = await post(session, running, "two")
        assert response.headers[headers.CODE] == str(codes.CLAIM_UNCHECKED.number)
        assert response.headers[headers.RAN] == codes.Execution.UNKNOWN
        assert not running.hosts["one"].upstream.runs
        running.store.faults.down = False
        assert (await post(session, running, "two")).status == 200

    # Guards against a request with a key that waits for a silent store beyond its
    # deadline. Found in the soak with seed 5: no answer within 4 s.
    async def test_silent_store_does_not_delay_an_answer(self, running, session):
        running.store.faults.silent = True
        loop = asyncio.get_running_loop()
        began = loop.time()
        response = await post(session, running, "two", deadline=1000)
        assert loop.time() - began < 1.5
        assert response.status == 502
        assert response.headers[headers.RAN] == codes.Execution.UNKNOWN
        running.store.faults.silent = False

    # Guards against work that starts after its caller got the answer that the deadline
    # has passed.
    @pytest.mark.parametrize("name", ["one", "two"])
    async def test_request_whose_claim_is_granted_too_late_does_not_run(
        self, running, session, name
    ):
        running.store.faults.delay = 1.5
        response = await post(session, running, name, deadline=1000)
        assert response.status == 502
        running.store.faults.delay = 0.0
        await asyncio.sleep(2.5)
        assert not running.hosts["one"].upstream.runs
        assert not stored_claims(running)

    async def test_lost_answers(self, running, session):
        running.store.faults.lost = True
        assert (await post(session, running, "two")).status == 200
        running.store.faults.lost = False
        assert (await post(session, running, "three")).status == 200
        assert len(running.hosts["one"].upstream.runs) == 1

    async def test_claim_of_a_refused_request_is_withdrawn(
        self, running, session, monkeypatch
    ):
        """The claim's write took effect, but it got no answer and the claim could not
        be read either."""
        monkeypatch.setattr(claims, "FIRST_RETRY_DELAY", 0.05)
        node = running.hosts["two"].node
        create = node.store.create
        read_claim = node.claims.read_claim
        reads = []

        async def fail_first(name):
            reads.append(name)
            if len(reads) == 1:
                raise codes.Failure(codes.PLATFORM_DOWN)
            return await read_claim(name)

        monkeypatch.setattr(node.claims, "read_claim", fail_first)

        async def lose_answer(kind, name, spec):
            if kind == claims.KIND:
                await create(kind, name, spec)
                raise codes.Failure(codes.PLATFORM_DOWN)
            return await create(kind, name, spec)

        monkeypatch.setattr(node.store, "create", lose_answer)
        monkeypatch.setattr(node.claims, "has_time", lambda call: False)
        response = await post(session, running, "two")
        assert response.headers[headers.CODE] == str(codes.CLAIM_UNCHECKED.number)
        await running.wait(lambda: not stored_claims(running))
        assert (await post(session, running, "three")).status == 200

    async def test_old_claims_are_removed(self, running, session, monkeypatch):
        await post(session, running, "two")
        node = running.hosts["two"].node
        await running.wait(lambda: stored_claims(running)[0].answer is not None)
        monkeypatch.setattr(claims, "SWEEP_INTERVAL", 0.01)
        monkeypatch.setattr(claims.time, "time", lambda: 1e12)
        monkeypatch.setattr(node.claims, "is_sweeper", lambda: True)
        sweep = asyncio.create_task(node.claims.sweep())
        await running.wait(lambda: not stored_claims(running))
        sweep.cancel()
