"""Non-blocking output of log lines, and the rate limit for events."""

import collections
import collections.abc
import os

import logbook

from rattanridge.kernel import log

FLUSH_INTERVAL = 0.2  # seconds between writes
BUFFER_BYTES = 262_144  # of unwritten lines; the oldest are dropped first
REPORT_INTERVAL = 5.0  # seconds between reports of suppressed lines


class RateLimiter:
    """Limits the lines per second for each event name, with a token bucket.

    :param rate: lines per second, and the size of a burst.
    """

    def __init__(self, rate: float):
        self.rate = rate
        self.tokens: dict[str, tuple[float, float]] = {}
        self.suppressed: collections.Counter[str] = collections.Counter()

    def allow(self, event: str, now: float) -> bool:
        """Return whether one more line of an event may be written at ``now``."""
        tokens, updated_at = self.tokens.get(event, (self.rate, now))
        tokens = min(tokens + (now - updated_at) * self.rate, self.rate)
        if tokens < 1.0:
            self.tokens[event] = (tokens, now)
            self.suppressed[event] += 1
            return False
        self.tokens[event] = (tokens - 1.0, now)
        return True


class Sink(logbook.Handler):
    """Log handler that buffers lines and writes them without blocking.

    :param descriptor: file descriptor to write to.
    """

    def __init__(self, descriptor: int, level: int = logbook.INFO):
        super().__init__(level=level)
        self.formatter = log.LineFormatter()
        self.descriptor = descriptor
        self.lines: collections.deque[bytes] = collections.deque()
        self.size = 0
        # Whether part of the oldest line was already written.
        self.partly_written = False
        self.dropped = 0
        # Called for each line that is buffered.
        self.on_line: collections.abc.Callable[[], object] = lambda: None
        os.set_blocking(descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Buffer one line; drop the oldest lines if the buffer is full."""
        line = self.format(record).encode("utf-8", "replace") + b"\n"
        self.lines.append(line)
        self.on_line()
        self.size += len(line)
        # Keep a partly written line: its rest must follow.
        oldest = int(self.partly_written)
        while self.size > BUFFER_BYTES and len(self.lines) > oldest:
            self.size -= len(self.lines[oldest])
            del self.lines[oldest]
            self.dropped += 1

    def flush(self) -> None:
        """Write as many of the buffered lines as the descriptor accepts."""
        if not self.lines:
            return
        try:
            written = os.write(self.descriptor, b"".join(self.lines))
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe for good: drop all lines.
            written = self.size
            self.dropped += len(self.lines)
        self.remove_written(written)

    def remove_written(self, written: int) -> None:
        """Remove the first ``written`` bytes, which may end within a line."""
        self.size -= written
        while self.lines and written >= len(self.lines[0]):
            written -= len(self.lines.popleft())
            self.partly_written = False
        if written:
            self.lines[0] = self.lines[0][written:]
            self.partly_written = True


def configure(level: str = "info") -> Sink:
    """Send all events of at least ``level`` to standard output."""
    logbook.set_datetime_format("utc")
    sink = Sink(1, logbook.lookup_level(level.upper()))
    logbook.NullHandler().push_application()
    sink.push_application()
    return sink
