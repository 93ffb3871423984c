"""The matrix: every fault at every step of a call, over two hops.

What must hold is counted at the upstreams, never believed from the mesh.
"""

import pytest

from rattanridge.calls import headers
from rattanridge.kernel import codes
from tests import mesh, scenes


class TestMatrix:
    @pytest.mark.parametrize(("fault", "step", "method"), scenes.CELLS)
    async def test_what_must_hold(self, fault, step, method):
        scene = scenes.Scene(fault, step, method)
        await scene.start(scenes.FAULTS[fault])
        try:
            got = await scene.run()
            second = await scene.follow()
            scene.release.set()
            self.check_answer(scene, got, fault)
            self.check_second(second, fault)
            await self.check_counts(scene, got, method)
            await self.check_bounds(scene)
        finally:
            await scene.stop()

    def check_answer(self, scene, got, fault):
        """The answer is whole and the call's own, or a refusal with a code."""
        if scene.cut:
            assert not got.status
            return
        assert got.whole
        if got.status == 200:
            assert got.body == b"done /workshop/first"
            assert got.header(headers.RAN) == codes.Ran.RAN
        else:
            assert int(got.header(headers.CODE)) in codes.TABLE
            assert got.header(headers.RAN) in list(codes.Ran)
        if scenes.must_succeed(fault, scene.step, scene.method):
            assert got.status == 200

    def check_second(self, second, fault):
        """The fault never reaches into the next call."""
        assert second.whole
        if fault not in ("entry-drains",):
            assert second.body == b"done /workshop/second"

    async def check_counts(self, scene, got, method):
        """Work that must not repeat ran at most once, and 'not run' is true."""
        most = 1 if method == "POST" else 2
        assert scene.begun() <= most
        if got.header(headers.RAN) == codes.Ran.NOT_RUN:
            assert scene.begun() == 0
        if got.status == 200:
            assert scene.finished() >= 1

    async def check_bounds(self, scene):
        """Nothing is kept: neither slots nor bytes nor requests in progress."""
        for node in scene.running.nodes.values():
            assert await mesh.settled(lambda node=node: node.busy() == 0)
            assert node.held.used == 0
            assert not node.exit.admission.waiting
