"""Reuse of idle connections to upstreams that drop them silently."""

import asyncio

import pytest

from rattanridge.mesh import connections
from rattanridge.policies import idle_timeout
from rattanridge.web import memory

QUICK = 0.002  # seconds from the request until the connection breaks


class TestSilentIdleTimeout:
    """An upstream that silently drops connections idle for 320 ms or more."""

    def simulate(self, idle_times, non_idempotent_share=0.3, limit=0.32):
        """Send requests on connections with the given idle times.

        Return the lost requests: for each, whether it was not idempotent.
        """
        estimate = idle_timeout.IdleTimeout()
        lost = []
        for number, idle in enumerate(idle_times):
            now = number * 0.1
            non_idempotent = number % 10 < non_idempotent_share * 10
            if idle > estimate.max_idle(non_idempotent, now):
                continue
            if idle >= limit:
                lost.append(non_idempotent)
                estimate.record_break(idle, QUICK, now)
        return lost

    def test_few_requests_are_lost(self):
        assert len(self.simulate([0.05, 0.5, 0.05, 0.4, 0.9, 0.33] * 40)) <= 3

    def test_estimate_expires(self):
        estimate = idle_timeout.IdleTimeout()
        estimate.record_break(0.4, QUICK, 0.0)
        assert estimate.max_idle(False, 1.0) < 0.4
        assert estimate.max_idle(False, idle_timeout.LOSS_TTL + 1.0) == float("inf")

    def test_non_idempotent_requests_have_a_shorter_limit(self):
        estimate = idle_timeout.IdleTimeout()
        estimate.record_break(0.4, QUICK, 0.0)
        assert estimate.max_idle(True, 1.0) < estimate.max_idle(False, 1.0)


class TestOtherBreaks:
    """Connections that break for another reason: crashes and resets."""

    @pytest.mark.parametrize(
        ("idle", "lasted"), [(0.0, QUICK), (0.05, QUICK), (0.4, 0.2), (3.0, 1.0)]
    )
    def test_set_no_limit(self, idle, lasted):
        estimate = idle_timeout.IdleTimeout()
        assert not estimate.record_break(idle, lasted, 0.0)
        assert estimate.max_idle(True, 0.1) == float("inf")


class TestPool:
    async def test_connection_idle_for_too_long_is_not_reused(self, listen):
        async def serve(reader, writer):
            await reader.read()

        address = await listen(serve)
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
