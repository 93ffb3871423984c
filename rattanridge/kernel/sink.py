"""Where log lines go: standard output, bounded in rate and never blocking."""

import collections
import os

import logbook

from rattanridge.kernel import log

FLUSH_INTERVAL = 0.2  # seconds between two writes
KEPT_BYTES = 262_144  # of lines that wait for a reader; the oldest go first
REPORT_INTERVAL = 5.0  # seconds between two lines on what was held back


class RateLimiter:
    """Lets a number of lines of each kind of event pass in a second.

    :param rate: lines a second, and the most at once.
    """

    def __init__(self, rate: float):
        self.rate = rate
        self.tokens: dict[str, tuple[float, float]] = {}
        self.suppressed: collections.Counter[str] = collections.Counter()

    def allow(self, event: str, now: float) -> bool:
        """Whether one more line of an event may be written."""
        left, at = self.tokens.get(event, (self.rate, now))
        left = min(left + (now - at) * self.rate, self.rate)
        if left < 1.0:
            self.tokens[event] = (left, now)
            self.suppressed[event] += 1
            return False
        self.tokens[event] = (left - 1.0, now)
        return True


class Sink(logbook.Handler):
    """Collects lines and writes them together.

    :param descriptor: file descriptor to write to.
    """

    def __init__(self, descriptor: int, level: int = logbook.INFO):
        super().__init__(level=level)
        self.formatter = logbook.StringFormatter(log.FORMAT)
        self.descriptor = descriptor
        self.lines: collections.deque[bytes] = collections.deque()
        self.size = 0
        # Whether the oldest line was written in part.
        self.begun = False
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Take one line; drop the oldest ones if nobody reads them."""
        line = self.format(record).encode("utf-8", "replace") + b"\n"
        self.lines.append(line)
        self.size += len(line)
        oldest = int(self.begun)
        while self.size > KEPT_BYTES and len(self.lines) > oldest:
            self.size -= len(self.lines[oldest])
            del self.lines[oldest]
            self.dropped += 1

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        if not self.lines:
            return
        try:
            written = os.write(self.descriptor, b"".join(self.lines))
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone for good; the lines have nowhere to go.
            written = self.size
            self.dropped += len(self.lines)
        self.forget(written)

    def forget(self, written: int) -> None:
        """Remove what was written; the last line of it perhaps only in part."""
        self.size -= written
        while self.lines and written >= len(self.lines[0]):
            written -= len(self.lines.popleft())
            self.begun = False
        if written:
            self.lines[0] = self.lines[0][written:]
            self.begun = True


def configure(level: str = "info") -> Sink:
    """Send all events of at least ``level`` to standard output."""
    logbook.set_datetime_format("utc")
    sink = Sink(1, logbook.lookup_level(level.upper()))
    logbook.NullHandler().push_application()
    sink.push_application()
    return sink
