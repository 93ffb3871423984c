"""Cancellation, deadlines and outcomes of calls over two hops."""

import asyncio

import pytest

from rattanridge.calls import headers
from rattanridge.kernel import codes
from tests import mesh, scenes


class TestCancellation:
    @pytest.mark.parametrize(("method", "kept"), [("GET", False), ("POST", True)])
    async def test_caller_goes_away(self, method, kept):
        """Idempotent work is cancelled at the upstream, other work runs on."""
        went = asyncio.Event()
        release = asyncio.Event()

        class Holding(mesh.Upstream):
            async def script(self, request, writer):
                went.set()
                await release.wait()
                await super().script(request, writer)

        upstream = Holding()
        async with mesh.pair(mesh.make_preset(), upstream) as running:
            nodes = running.nodes
            async with mesh.Caller(nodes["apart"].caller_url) as caller:
                caller.request(method, "/workshop/a")
                await went.wait()
            assert await mesh.settled(lambda: nodes["apart"].entry.active == 0)
            if not kept:
                gate = nodes["beside"].exit.admission
                assert await mesh.settled(lambda: gate.running == 0)
            assert nodes["beside"].exit.admission.running == int(kept)
            assert len(nodes["apart"].entry.background.tasks) == int(kept)
            release.set()
            assert await mesh.settled(lambda: nodes["beside"].busy() == 0)
            assert await mesh.settled(lambda: nodes["apart"].busy() == 0)
        assert upstream.begun == 1

    async def test_outcome_reaches_the_guard(self):
        """The guard learns the outcome of work whose caller went away."""
        began = asyncio.Event()
        release = asyncio.Event()
        outcomes = []

        class Holding(mesh.Upstream):
            async def script(self, request, writer):
                began.set()
                await release.wait()
                await super().script(request, writer)

        async def guard(call, work):
            async def record():
                outcomes.append(await work())
                return outcomes[-1]

            return await asyncio.shield(asyncio.ensure_future(record()))

        async with mesh.pair(mesh.make_preset(), Holding()) as running:
            node = running.nodes["apart"]
            node.entry.guard = guard
            async with mesh.Caller(node.caller_url) as caller:
                caller.request("POST", "/workshop/a")
                await began.wait()
            assert await mesh.settled(lambda: node.entry.active == 0)
            release.set()
            assert await mesh.settled(lambda: outcomes)
        assert outcomes[0].ran is codes.Ran.RAN
        assert outcomes[0].body == b"done /workshop/a"

    async def test_entry_dies(self):
        """Work that must not repeat is not broken off half done by that."""
        began = asyncio.Event()
        release = asyncio.Event()

        class Holding(mesh.Upstream):
            async def script(self, request, writer):
                began.set()
                await release.wait()
                await super().script(request, writer)

        async with mesh.pair(mesh.make_preset(), Holding()) as running:
            beside = running.nodes["beside"]
            async with mesh.Caller(running.nodes["apart"].caller_url) as caller:
                caller.request("POST", "/workshop/a")
                await began.wait()
                await running.close("apart")
                assert await mesh.settled(lambda: beside.hop.active == 0)
            assert beside.exit.admission.running == 1
            release.set()
            assert await mesh.settled(lambda: beside.busy() == 0)


class TestOutcome:
    @pytest.mark.parametrize("spare", [False, True])
    async def test_retry_does_not_hide_the_first_attempt(self, spare):
        """A refusal of the second attempt never turns unknown into not run."""
        scene = scenes.Scene("reset", "wait", "GET")
        await scene.start(scenes.LONG)
        try:
            if spare:
                scene.running.nodes["spare"].exit.admission.close()
            else:
                await scene.running.attach(
                    scene.running.nodes["spare"], scene.spare, state="draining"
                )
            got = await scene.run()
        finally:
            await scene.stop()
        assert got.status >= 500
        assert got.header(headers.RAN) == codes.Ran.UNKNOWN
        assert scene.begun() == 1


class TestDeadline:
    async def test_reduced_at_each_hop(self):
        upstream = mesh.Upstream()
        async with mesh.pair(mesh.make_preset(2.0), upstream) as running:
            async with mesh.Caller(running.nodes["apart"].caller_url) as caller:
                caller.request("GET", "/workshop/a")
                await caller.reply()
        (seen,) = upstream.requests
        assert 0 < int(seen.header(headers.DEADLINE)) < 2000

    async def test_of_an_inner_call(self):
        """A call that an upstream makes keeps its cause's deadline and mark."""
        upstream = mesh.Upstream()
        async with mesh.pair(mesh.make_preset(), upstream) as running:
            async with mesh.Caller(running.nodes["beside"].local_url) as caller:
                marks = (f"{headers.DEADLINE}: 300", f"{headers.RETRY}: 1")
                caller.request("POST", "/workshop/a", b"", *marks)
                await caller.reply()
        (seen,) = upstream.requests
        assert int(seen.header(headers.DEADLINE)) < 300
        assert seen.header(headers.RETRY) == "1"
