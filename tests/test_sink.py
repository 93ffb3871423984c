"""Output of log lines: limited rate, bounded buffer, no blocking."""

import datetime
import os

import logbook
import pytest

from rattanridge.kernel import log, sink as sinks


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def record(text):
    created = logbook.LogRecord("test", logbook.INFO, text)
    created.heavy_init()
    return created


class TestLineFormatter:
    # Guards against: times of another width or zone, which tools that sort lines and
    # ``explain`` do not read.
    def test_time_is_utc_with_microseconds(self):
        line = record("event=x")
        line.time = datetime.datetime(2026, 1, 2, 3, 4, 5)
        assert log.LineFormatter()(line, None) == (
            "time=2026-01-02T03:04:05.000000Z level=INFO event=x"
        )


class TestRateLimiter:
    def test_allows_the_rate_and_counts_suppressed_lines(self):
        limiter = sinks.RateLimiter(20)
        allowed = sum(limiter.allow("event", 1.0) for _ in range(500))
        assert allowed == 20
        assert limiter.suppressed["event"] == 480

    def test_events_have_separate_limits(self):
        limiter = sinks.RateLimiter(1)
        assert limiter.allow("one", 1.0)
        assert limiter.allow("two", 1.0)

    def test_average_rate_is_bounded(self):
        limiter = sinks.RateLimiter(20)
        allowed = sum(limiter.allow("event", step / 1000) for step in range(10_000))
        assert allowed <= 20 + 10 * 20


class TestSink:
    def test_writes_lines_together(self, pipe):
        reader, writer = pipe
        sink = sinks.Sink(writer)
        for number in range(3):
            sink.emit(record(f"event=e number={number}"))
        sink.flush()
        lines = os.read(reader, 65536).decode().splitlines()
        assert [line.split()[-1] for line in lines] == [f"number={n}" for n in range(3)]

    def test_full_buffer_drops_the_oldest_lines(self, pipe):
        _, writer = pipe
        sink = sinks.Sink(writer)
        for number in range(20_000):
            sink.emit(record(f"event=e number={number} {'x' * 100}"))
            if not number % 1000:
                sink.flush()
        assert sink.dropped
        assert sink.size <= sinks.BUFFER_BYTES

    # Guards against: the rest of a partly written line is dropped, so that the next
    # line continues it.
    def test_lines_are_complete_with_a_slow_reader(self, pipe):
        reader, writer = pipe
        sink = sinks.Sink(writer)
        read = b""
        for number in range(20_000):
            sink.emit(record(f"event=e number={number} {'x' * 100} end"))
            if not number % 100:
                sink.flush()
            if not number % 500:
                read += os.read(reader, 30_000)
        while sink.lines:
            sink.flush()
            read += os.read(reader, 65_536)
        lines = read.decode().splitlines()
        assert sink.dropped == 20_000 - len(lines)
        for line in lines:
            assert line.count("event=e") == 1
            assert line.endswith(" end")

    def test_closed_reader_is_not_an_error(self):
        reader, writer = os.pipe()
        os.close(reader)
        sink = sinks.Sink(writer)
        sink.emit(record("event=e"))
        sink.flush()
        assert sink.dropped == 1
        os.close(writer)
