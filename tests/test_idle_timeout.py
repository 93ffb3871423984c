"""How long kept connections may rest, at upstreams that forget them."""

import asyncio

import pytest

from rattanridge.mesh import connections
from rattanridge.policies import idle_timeout
from rattanridge.web import memory

QUICK = 0.002  # seconds


class TestForgetfulUpstream:
    """Connections that rested for 320 ms or more are lost with what is sent next."""

    def play(self, rests, careful_share=0.3, limit=0.32):
        """Use connections after the rests given; return the requests lost."""
        known = idle_timeout.IdleTimeout()
        lost = []
        for number, rest in enumerate(rests):
            now = number * 0.1
            careful = number % 10 < careful_share * 10
            if rest > known.max_idle(careful, now):
                continue
            if rest >= limit:
                lost.append(careful)
                known.record_break(rest, QUICK, now)
        return lost

    def test_one_loss_teaches(self):
        assert len(self.play([0.05, 0.5, 0.05, 0.4, 0.9, 0.33] * 40)) <= 3

    def test_it_is_forgotten_again(self):
        known = idle_timeout.IdleTimeout()
        known.record_break(0.4, QUICK, 0.0)
        assert known.max_idle(False, 1.0) < 0.4
        assert known.max_idle(False, idle_timeout.MEMORY + 1.0) == float("inf")

    def test_work_that_must_not_repeat_is_more_careful(self):
        known = idle_timeout.IdleTimeout()
        known.record_break(0.4, QUICK, 0.0)
        assert known.max_idle(True, 1.0) < known.max_idle(False, 1.0)


class TestOtherBreaks:
    """An upstream that dies, or resets requests, forgets nothing."""

    @pytest.mark.parametrize(
        ("rested", "lasted"), [(0.0, QUICK), (0.05, QUICK), (0.4, 0.2), (3.0, 1.0)]
    )
    def test_teach_nothing(self, rested, lasted):
        known = idle_timeout.IdleTimeout()
        assert not known.record_break(rested, lasted, 0.0)
        assert known.max_idle(True, 0.1) == float("inf")


class TestPool:
    async def test_one_that_rested_too_long_is_left(self):
        async def serve(reader, writer):
            await reader.read()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pool = connections.Pool(memory.MemoryBudget(80_000_000))
        first = await pool.acquire(address, 1.0)
        pool.add_idle(address, first)
        await asyncio.sleep(0.05)
        fresh = await pool.acquire(address, 1.0, 0.01)
        assert fresh is not first
        pool.add_idle(address, fresh)
        assert (await pool.acquire(address, 1.0)) is fresh
        again = await pool.acquire(address, 1.0)
        assert again is first
        assert again.idle_seconds >= 0.05
        pool.close()
        for item in (first, fresh):
            item.abort("test")
        server.close()
