"""The path of requests through nodes, with faulty upstreams."""

import asyncio
import pathlib
import re

import pytest

from rattanridge.kernel import codes
from rattanridge.platform import headers
from tests import floods, mesh_world


class TestAnswers:
    async def test_come_from_the_upstream_unchanged(self, world):
        await world.start("registry")
        status, received_headers, body = await world.call(
            "/lookup/7", "POST", body=b"crest"
        )
        assert (status, body[-5:]) == (200, b"crest")
        assert received_headers[headers.SIGNATURE] == "proof"
        assert received_headers["Rattanridge-Ran"] == "ran"

    async def test_over_two_hops(self, world):
        await world.start("workshop", "registry")
        status, _, body = await world.call("/lookup/7")
        assert (status, body) == (200, b"registry v1 /lookup/7 ")
        assert world.upstreams[1].runs

    async def test_upstream_gets_the_request_and_the_headers_of_the_mesh(self, world):
        await world.start("workshop", "registry")
        await world.call("/lookup/7?page=2&x=%2F", deadline=1500)
        request = world.upstreams[1].runs[0]
        assert request.path == "/lookup/7?page=2&x=%2F"
        assert request.headers["Host"] == mesh_world.HOST
        assert request.headers[headers.CALLER] == "workshop"
        assert request.headers[headers.ENDPOINT] == world.upstreams[1].endpoint
        assert 1000 < int(request.headers[headers.DEADLINE]) <= 1500
        assert not any(
            name.lower().startswith("rattanridge") for name in request.headers
        )

    @pytest.mark.parametrize("size", [1, 5_000, 70_000, 700_000, 3_000_000])
    async def test_of_any_size_over_two_hops(self, world, size):
        """Large answers arrive in many parts."""
        await world.start("workshop", "registry")
        status, _, body = await world.call(f"/lookup/1?size={size}")
        assert (status, body[-size:]) == (200, b"." * size)

    async def test_no_route(self, world):
        await world.start("registry")
        status, received_headers, _ = await world.call("/nowhere/1")
        assert status == 404
        assert received_headers["Rattanridge-Code"] == str(codes.NO_ROUTE.number)

    async def test_route_by_longest_prefix_and_host(self, world):
        paths = (
            mesh_world.route("short", "/a/", "registry"),
            mesh_world.route("long", "/a/b/", "workshop"),
        )
        await world.start("registry", "workshop", paths=paths)
        await world.call("/a/b/1")
        assert [len(item.runs) for item in world.upstreams] == [0, 1]
        status, _, _ = await world.call("/a/1", host="other.example")
        assert status == 404


class TestFailures:
    @pytest.mark.parametrize(
        "mode", ["lose", "cut", "unproved", "invalid_status", "fail"]
    )
    async def test_safe_request_is_retried_elsewhere(self, world, mode):
        await world.start("registry", "registry")
        world.end_startup_period()
        mesh_world.inject_fault(world.upstreams[0], mode)
        results = [await world.call("/lookup/1") for _ in range(4)]
        assert {status for status, _, _ in results} == {200}

    @pytest.mark.parametrize("mode", ["lose", "cut", "unproved", "invalid_status"])
    async def test_unsafe_request_is_not_retried(self, world, mode):
        await world.start("workshop", "workshop")
        for upstream in world.upstreams:
            mesh_world.inject_fault(upstream, mode)
        status, received_headers, _ = await world.call("/order/1", "POST")
        assert status == 502
        assert received_headers["Rattanridge-Ran"] == "unknown"
        assert sum(len(item.runs) for item in world.upstreams) == 1

    # Guards against: an upstream whose response never ends keeps callers waiting and
    # the node's memory reserved.
    @pytest.mark.parametrize("name", ["empty-lines", "chunks", "body"])
    async def test_an_upstream_that_sends_without_end(self, world, listen, name):
        await world.start("workshop", "workshop")
        flood = floods.Flood(*floods.ENDLESS[name])
        for upstream in world.upstreams:
            upstream.reported_address = await listen(flood.serve)
            await upstream.send_heartbeat()
        started_at = asyncio.get_running_loop().time()
        status, received_headers, _ = await world.call(
            "/order/1", "POST", deadline=10_000
        )
        assert (status, received_headers["Rattanridge-Ran"]) == (502, "unknown")
        assert asyncio.get_running_loop().time() - started_at < 5
        for upstream in world.upstreams:
            upstream.reported_address = ""
            await upstream.send_heartbeat()
        assert (await world.call("/order/1", "POST"))[0] == 200
        assert all(node.memory_budget.used == 0 for node in world.nodes)

    async def test_unsafe_request_moves_after_a_proof(self, world):
        await world.start("workshop", "workshop")
        mesh_world.inject_fault(world.upstreams[0], "shed")
        status, _, _ = await world.call("/order/1", "POST")
        assert status == 200 or not world.upstreams[1].runs

    async def test_own_failure_of_an_upstream_is_returned(self, world):
        await world.start("workshop")
        mesh_world.inject_fault(world.upstreams[0], "fail")
        status, received_headers, body = await world.call("/order/1", "POST")
        assert (status, body) == (500, b"fault")
        assert received_headers[headers.SIGNATURE] == "proof"

    async def test_a_late_answer_goes_to_no_other_request(self, world):
        await world.start("registry")
        mesh_world.inject_fault(world.upstreams[0], "stray")
        for _ in range(3):
            status, received_headers, body = await world.call("/lookup/1")
            assert (status, body) == (200, b"registry v1 /lookup/1 ")
            assert received_headers[headers.SIGNATURE] == "proof"

    async def test_a_stopped_upstream_is_refused_as_not_run(self, world):
        await world.start("workshop")
        await world.upstreams[0].stop()
        status, received_headers, _ = await world.call("/order/1", "POST")
        assert status == 503
        assert received_headers["Rattanridge-Ran"] == "not-run"
        assert float(received_headers["Retry-After"]) > 0
        await world.upstreams[0].listen(world.upstreams[0].address)

    async def test_another_upstream_at_the_address_runs_nothing(self, world):
        await world.start("workshop")
        world.upstreams[0].endpoint = "i-other"
        status, _, _ = await world.call("/order/1", "POST")
        assert status == 503
        assert not world.upstreams[0].runs

    async def test_an_unreachable_node_is_skipped(self, world):
        await world.start("workshop", "registry", "registry")
        for port in world.nodes[1].ports.ports:
            await port.close()
        results = [await world.call("/lookup/1") for _ in range(5)]
        assert {status for status, _, _ in results} == {200}


class TestLostNode:
    async def test_is_found_again_though_its_record_changed_meanwhile(self, world):
        """The lost node's upstream was replaced while the node was unreachable."""
        await world.start("workshop", "registry")
        entry, lost = world.nodes
        for port in lost.ports.ports[1:2]:
            await port.close()
        assert (await world.call("/lookup/1"))[0] == 503
        first = entry.directory.candidates_of("registry")[0]
        assert first.lost
        world.upstreams[1].endpoint = "i-fresh"
        world.upstreams[1].incarnation += 1
        await world.upstreams[1].send_heartbeat()
        await world.wait(
            lambda: entry.directory.candidates_of("registry") not in ([], [first])
        )
        assert (await world.call("/lookup/1"))[0] == 503
        await asyncio.sleep(1.0)
        await lost.ports.listen(lost.hop_handler.serve, lost.config.listen.hops)
        await world.wait(lambda: not entry.directory.candidates_of("registry")[0].lost)
        assert (await world.call("/lookup/1"))[0] == 200


class TestDeadlinesAndSlots:
    async def test_deadline_ends_in_time_and_stops_the_work(self, world):
        await world.start("registry")
        world.upstreams[0].shape.work = 5.0
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        status, _, _ = await world.call("/lookup/1", deadline=200)
        assert status == 504
        assert loop.time() - started_at < 0.5
        await world.wait(lambda: world.upstreams[0].running == 0)

    async def test_a_caller_that_disconnects_cancels_safe_work_only(self, world):
        await world.start("workshop", "registry", "workshop")
        world.upstreams[1].shape.work = world.upstreams[0].shape.work = 0.4
        world.upstreams[2].shape.work = 0.4
        for path, method in (("/lookup/1", "GET"), ("/order/1", "POST")):
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.1):
                    await world.call(path, method)
        await world.wait(lambda: world.upstreams[1].running == 0, 0.2)
        assert not mesh_world.finished_runs(world.upstreams[1])
        await asyncio.sleep(0.5)
        assert sum(len(mesh_world.finished_runs(item)) for item in world.upstreams) == 1

    async def test_never_more_requests_than_slots(self, world):
        await world.start("registry", slots=2)
        world.upstreams[0].shape.work = 0.02
        await asyncio.gather(*(world.call("/lookup/1") for _ in range(30)))
        assert world.upstreams[0].peak <= 2


class TestUnresponsiveUpstream:
    async def test_late_heartbeats_alone_cause_no_refusal(self, world):
        """An idle upstream with late heartbeats gets several requests at once."""
        await world.start("registry")
        world.nodes[0].upstream.heartbeat_at -= 60.0
        world.nodes[0].upstream.answered_at -= 60.0
        results = await asyncio.gather(*(world.call("/lookup/1") for _ in range(8)))
        assert {status for status, _, _ in results} == {200}

    async def test_an_unresponsive_upstream_is_refused_as_not_run(self, world):
        await world.start("registry")
        world.upstreams[0].shape.work = 30.0
        first = asyncio.create_task(world.call("/lookup/1"))
        await asyncio.sleep(0.05)
        upstream = world.nodes[0].upstream
        upstream.heartbeat_at -= 60.0
        upstream.busy_since -= 60.0
        upstream.answered_at -= 60.0
        status, received_headers, _ = await world.call("/lookup/2")
        assert (status, received_headers["Rattanridge-Ran"]) == (503, "not-run")
        first.cancel()


class TestMetrics:
    async def test_page_has_what_the_operations_page_names(self, world):
        await world.start("registry", "workshop")
        await world.call("/lookup/1")
        await world.call("/nowhere/1")
        url = f"http://{world.nodes[0].config.listen.metrics}/metrics"
        async with world.session.get(url) as answer:
            text = (await answer.read()).decode()
        assert 'rattanridge_requests_total{outcome="answered"} 1.0' in text
        assert 'rattanridge_requests_total{outcome="no-route"} 1.0' in text
        page = pathlib.Path(__file__).parent.parent / "docs/OPERATIONS.md"
        for name in re.findall(r"`(rattanridge_[a-z_]+)", page.read_text()):
            assert f"# TYPE {name.removesuffix('_total')}" in text, name


class TestNested:
    async def test_a_call_of_a_running_request_is_nested(self, world):
        await world.start("registry")
        world.end_startup_period()
        node = world.nodes[0]
        parent = mesh_world.make_call(world, "77")
        parent.rank = 3
        node.exit.parents.record_start(parent)
        seen = []
        run = node.dispatcher.run

        async def record(call, route):
            seen.append((call.nested, call.rank))
            return await run(call, route)

        node.dispatcher.run = record
        for attempt in ("77.1", "78.1", "77"):
            sent = {"Host": mesh_world.HOST, headers.ATTEMPT: attempt}
            url = f"http://{node.config.listen.callers}/lookup/1"
            async with world.session.get(url, headers=sent) as answer:
                assert answer.status == 200
        assert seen == [(True, 3), (False, 0), (False, 0)]
