"""Jittered exponential backoff between tries to hold a stream."""

import random

from rattanridge.kernel import clock, settings


class Backoff:
    """Pauses between tries; a try that lasted starts the pauses anew.

    :param times: the first and longest pause, and how long a try must last.
    """

    def __init__(self, times: settings.ControlSettings, time: clock.Clock):
        self.times = times
        self.time = time
        self.pause = times.backoff_first
        self.began = 0.0

    def begin(self) -> None:
        """Note the start of a try."""
        self.began = self.time.monotonic()

    async def wait(self, seconds: float = 0.0) -> None:
        """Wait after a try: the given seconds, or else the pause with jitter."""
        if self.time.monotonic() - self.began > self.times.stream_timeout:
            self.pause = self.times.backoff_first
        await self.time.sleep(seconds or random.uniform(self.pause / 2, self.pause))
        self.pause = min(self.pause * 2, self.times.backoff_limit)
