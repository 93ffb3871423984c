"""A budget of writes a second, shared by the slices of one owner."""

from rattanridge.kernel import clock

BURST_SECONDS = 0.5  # of unused budget that may be spent at once


class Budget:
    """Spaces writes out once the unused budget is spent.

    Slices that wait gather claims meanwhile, so that each write carries more.

    :param time: the clock to wait by.
    """

    def __init__(self, time: clock.Clock):
        self.time = time
        self.next = float("-inf")

    async def take(self, rate: float) -> None:
        """Wait until one more write fits a rate in writes a second."""
        now = self.time.monotonic()
        self.next = max(self.next, now - BURST_SECONDS) + 1 / rate
        if self.next > now:
            await self.time.sleep(self.next - now)
