"""Clocks: what time it is and how to wait, replaceable in tests."""

import asyncio
import time


class Clock:
    """The machine's clock."""

    def monotonic(self) -> float:
        """Return seconds that never go back, from an arbitrary start."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


class ManualClock(Clock):
    """A clock that moves only when told to; sleepers wake in order of time."""

    def __init__(self, start: float = 1000.0):
        self.now = start
        self.sleepers: list[tuple[float, asyncio.Future]] = []

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        future = asyncio.get_running_loop().create_future()
        self.sleepers.append((self.now + seconds, future))
        await future

    async def advance(self, seconds: float) -> None:
        """Move time forward and let every sleeper that is due run."""
        end = self.now + seconds
        await settle()
        while due := [item for item in self.sleepers if item[0] <= end]:
            first = min(due, key=lambda item: item[0])
            self.sleepers.remove(first)
            self.now = max(self.now, first[0])
            if not first[1].done():
                first[1].set_result(None)
            await settle()
        self.now = end


async def wait_event(time: Clock, event: asyncio.Event, seconds: float) -> bool:
    """Wait until an event is set or the time is over; return whether it is set."""
    waits = asyncio.create_task(event.wait())
    sleeps = asyncio.create_task(time.sleep(seconds))
    try:
        await asyncio.wait({waits, sleeps}, return_when=asyncio.FIRST_COMPLETED)
    finally:
        waits.cancel()
        sleeps.cancel()
    return event.is_set()


async def settle(rounds: int = 10) -> None:
    """Give tasks that are ready a number of turns of the event loop."""
    for _ in range(rounds):
        await asyncio.sleep(0)
