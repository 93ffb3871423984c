"""Log lines: bounded in rate and size, and never blocking."""

import os

import logbook
import pytest

from rattanridge.kernel import sink as sinks


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def record(text):
    made = logbook.LogRecord("test", logbook.INFO, text)
    made.heavy_init()
    return made


class TestGate:
    def test_lets_the_rate_pass_and_counts_the_rest(self):
        gate = sinks.RateLimiter(20)
        passed = sum(gate.allow("event", 1.0) for _ in range(500))
        assert passed == 20
        assert gate.suppressed["event"] == 480

    def test_kinds_do_not_share(self):
        gate = sinks.RateLimiter(1)
        assert gate.allow("one", 1.0)
        assert gate.allow("two", 1.0)

    def test_heaviest_second_is_bounded(self):
        gate = sinks.RateLimiter(20)
        passed = sum(gate.allow("event", step / 1000) for step in range(10_000))
        assert passed <= 20 + 10 * 20


class TestSink:
    def test_writes_lines_together(self, pipe):
        reader, writer = pipe
        sink = sinks.Sink(writer)
        for number in range(3):
            sink.emit(record(f"event=e number={number}"))
        sink.flush()
        lines = os.read(reader, 65536).decode().splitlines()
        assert [line.split()[-1] for line in lines] == [f"number={n}" for n in range(3)]

    def test_never_blocks_and_drops_the_oldest(self, pipe):
        _, writer = pipe
        sink = sinks.Sink(writer)
        for number in range(20_000):
            sink.emit(record(f"event=e number={number} {'x' * 100}"))
            if not number % 1000:
                sink.flush()
        assert sink.dropped
        assert sink.size <= sinks.KEPT_BYTES

    # Guards against: the rest of a line that was written in part is dropped, and the
    # next line goes on in its place.
    def test_lines_stay_whole_if_the_reader_is_slow(self, pipe):
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

    def test_a_reader_that_is_gone_is_no_failure(self):
        reader, writer = os.pipe()
        os.close(reader)
        sink = sinks.Sink(writer)
        sink.emit(record("event=e"))
        sink.flush()
        assert sink.dropped == 1
        os.close(writer)
