"""Clients that keep to no limit must not end a node or keep others from it.

Each test starts the store's stand-in, a node and an upstream as processes, lets a crowd
of clients send, and checks what does not depend on the speed of the machine: that the
node lives, that its memory and descriptors stay under a bound, and that an ordinary
request is answered while the crowd is still connected.
"""

import os
import pathlib
import re
import urllib.error
import urllib.request

import pytest

from tests import crowds, test_processes

# Memory is compared with a bound, so these tests run one at a time.
pytestmark = pytest.mark.crowd

CROWD = 120  # clients
CONNECTIONS = 300  # that a port of the node accepts
HEADER_BYTES = 8_192
BODY_BYTES = 1_000_000
HELD_BYTES = 8_000_000
# The node takes 45 MB when it is idle. It may hold the bodies that its settings allow,
# once in its own memory and once in buffers of connections, and 64 kB a connection.
MEMORY_BOUND_MB = 45 + 2 * HELD_BYTES / 1e6 + CONNECTIONS * 0.064
DESCRIPTOR_BOUND = 2 * CONNECTIONS
ANSWER_BYTES = 900_000
ANSWER_WAIT = 10.0  # seconds; ends the wait for answers that do not come

GET = b"GET /workshop/a HTTP/1.1\r\nHost: a\r\n"
POST = b"POST /workshop/a HTTP/1.1\r\nHost: a\r\n"
LARGE = b"GET /workshop/a?size=%d HTTP/1.1\r\nHost: a\r\n\r\n" % ANSWER_BYTES
LENGTH = b"Content-Length: %d\r\n\r\n" % BODY_BYTES
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
LINE = b"X-Filler: " + b"v" * (HEADER_BYTES - 100) + b"\r\n"
PIECE = b"f000\r\n" + b"x" * 0xF000 + b"\r\n"

# By name: first bytes, repeated bytes, and the number of bytes of each client.
SENT = {
    "long-header-line": (GET + b"X-Filler: ", b"v" * 4096, 2_000_000),
    "headers-without-end": (GET, b"X-Filler: v\r\n", 2_000_000),
    "long-headers-without-end": (GET, LINE, 2_000_000),
    "long-target": (b"GET /workshop/", b"a" * 4096, 2_000_000),
    "empty-lines": (b"", b"\r\n" * 2048, 2_000_000),
    "empty-lines-after-a-request": (GET + b"\r\n", b"\r\n" * 2048, 2_000_000),
    "pipelined-requests": (b"", GET + b"\r\n", 1_000_000),
    "long-answers": (LARGE, b"", 0),
    "pipelined-long-answers": (b"", LARGE, len(LARGE) * 8),
    "whole-body": (POST + LENGTH, b"x" * 65536, BODY_BYTES + 64),
    "body-short-of-its-end": (POST + LENGTH, b"x" * 65536, BODY_BYTES - 10),
    "small-body-short-of-its-end": (
        POST + b"Content-Length: 65000\r\n\r\n",
        b"x" * 64_000,
        64_500,
    ),
    "chunks": (POST + CHUNKED, PIECE, BODY_BYTES - 10),
    "tiny-chunks": (POST + CHUNKED, b"2\r\nxx\r\n", 400_000),
    "chunk-extension": (POST + CHUNKED + b"2;", b"e" * 4096, 2_000_000),
    "trailers": (POST + CHUNKED + b"0\r\n", b"T: " + b"u" * 4000 + b"\r\n", 2_000_000),
}


class System(test_processes.System):
    """The processes, with lower limits of the node."""

    def write_settings(self):
        path = super().write_settings()
        with open(path, "a", encoding="utf-8") as file:
            file.write(
                f"limits: {{header_bytes: {HEADER_BYTES}, body_bytes: {BODY_BYTES}, "
                f"held_bytes: {HELD_BYTES}, connections: {CONNECTIONS}}}\n"
            )
        return path

    @property
    def pid(self):
        """Process id of the node."""
        return self.started["node"].pid

    def peak_memory_mb(self):
        """Return the largest resident memory of the node so far."""
        text = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+)", text)[1]) * 1024 / 1e6

    def descriptors(self):
        """Return the number of open descriptors of the node."""
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    def put_preset_in_force(self):
        preset = str(test_processes.ROOT / "examples/ordinary.yaml")
        for command in (("put", preset), ("use", "ordinary", "--wait")):
            status, output = self.run("preset", *command)
            assert status == 0, output

    def is_answered(self):
        """Return whether an ordinary request gets the answer of the upstream."""
        answer = self.status(f"http://{self.address('7401')}/workshop/ring-7")
        return answer is not None and answer[0] == 200

    def check(self, name):
        """Check that the node lives within its bounds and answers a request."""
        assert self.started["node"].poll() is None, f"{name}: the node has ended"
        self.wait(f"{name}: an ordinary request", self.is_answered)
        assert self.descriptors() <= DESCRIPTOR_BOUND
        assert self.peak_memory_mb() <= MEMORY_BOUND_MB, f"{name}: memory"


@pytest.fixture
def system(tmp_path):
    running = System(tmp_path)
    try:
        running.start_all()
        running.put_preset_in_force()
        running.wait("an endpoint", running.is_answered)
        yield running
    finally:
        running.kill_all()


@pytest.fixture
def crowd(system):
    host, _, port = system.address("7401").rpartition(":")
    with crowds.Crowd((host, int(port))) as found:
        yield found


class TestCrowd:
    """Guards against: a node runs out of memory as clients keep to no limit."""

    @pytest.mark.parametrize("name", SENT)
    def test_node_lives(self, system, crowd, name):
        first, rest, most = SENT[name]
        crowd.add(CROWD, first, rest, most)
        crowd.send_all()
        if "answers" in name:
            crowd.wait_for_answers(ANSWER_WAIT)
        system.check(name)

    def test_node_lives_with_all_kinds_at_once(self, system, crowd):
        for first, rest, most in SENT.values():
            crowd.add(CROWD // len(SENT), first, rest, most)
        crowd.send_all()
        crowd.wait_for_answers(ANSWER_WAIT)
        system.check("all kinds")


class TestSingleRequest:
    def test_largest_body_is_served(self, system):
        """Guards against: a limit that refuses a single request within the limits."""
        url = f"http://{system.address('7401')}/workshop/rings"
        request = urllib.request.Request(url, b"x" * BODY_BYTES)
        with urllib.request.urlopen(request, timeout=test_processes.TIMEOUT) as found:
            assert found.status == 200
            assert found.read().endswith(b"x" * BODY_BYTES)

    def test_long_answer_is_whole(self, system):
        """Guards against: a limit that cuts a single long answer."""
        url = f"http://{system.address('7401')}/workshop/a?size={ANSWER_BYTES}"
        with urllib.request.urlopen(url, timeout=test_processes.TIMEOUT) as found:
            assert found.status == 200
            assert len(found.read()) > ANSWER_BYTES
