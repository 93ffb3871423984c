"""Objects of the platform that hold what nobody of the system wrote."""

import msgspec
import pytest

from rattanridge.admin import presets as store
from rattanridge.calls import headers
from rattanridge.control import source
from rattanridge.kernel import codes
from rattanridge.measure import fleet
from rattanridge.objectapi import objects
from tests import bench as benches

VALUES = (
    b"null",
    b"[]",
    b"{}",
    b'"text"',
    b'{"generation": "x"}',
    b'{"generation": 99, "preset": "none", "revision": 1}',
    b'{"generation": 99, "preset": "../day", "revision": -1}',
    b'{"generation": 1e999}',
    b"[" * 200 + b"]" * 200,
)
KEYS = (
    "in-force",
    "history",
    "presets/day/00000002",
    "presets/day/x",
    "presets/bare",
    "leases/relay-zone-a-1",
    "roster/zone-a",
    "roster/zone-b",
    "status/zone-a/0",
    "status/zone-b",
    "rollouts/workshop",
    "rollouts/other",
    "unknown/key",
)
PATHS = (
    "/status",
    "/presets",
    "/presets/day",
    "/history",
    "/rollouts",
    "/rollouts/workshop",
)
ASK = (
    "GET {} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
    f"Authorization: Bearer {fleet.TOKENS[0].secret}\r\n\r\n"
)
CALL = b"GET /workshop/a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


@pytest.fixture(scope="module")
def bench():
    with benches.running() as made:
        yield made


def overwrite(bench, key, value):
    """Write a raw value over an object, whatever its version."""
    kept = bench.fleet.platform.store
    current = kept.objects.get(key)
    version = current.version if current else 0
    kept.put(key, objects.Write(msgspec.Raw(value), version, ""))


@pytest.mark.parametrize("key", KEYS)
class TestForeignValues:
    def test_coded_or_passed_over_and_it_goes_on(self, bench, key):
        node = bench.host.node
        generation = node.state.generation
        for value in VALUES:
            overwrite(bench, key, value)
            if key.startswith(source.PREFIXES):
                self.wait_seen(bench)
            for path in PATHS:
                asked = ASK.format(path).encode()
                answer = bench.run(benches.exchange(node.admin_url, asked))
                status = benches.status_of(answer)
                assert status in (200, 400, 404, 502, 503), (path, value)
                assert benches.header_of(answer, headers.CODE) == ""
        answer = bench.run(benches.exchange(node.caller_url, CALL))
        assert benches.status_of(answer) == 200
        assert node.state.generation == generation
        assert not node.member.tasks[0].done()
        self.put_back(bench, key)

    def wait_seen(self, bench):
        """Wait until the relay took what the platform has."""
        newest = bench.fleet.platform.store.revision
        seen = bench.host.node.member.source
        bench.run(bench.fleet.wait(lambda: seen.revision >= newest))

    def put_back(self, bench, key):
        kept = bench.fleet.platform.store
        if key != store.POINTER:
            kept.delete(key, kept.get(key).version)
            return
        value = objects.InForce(bench.host.node.state.generation, "day", 1)
        overwrite(bench, key, msgspec.json.encode(value))


class TestAfterwards:
    def test_next_choice_is_in_force(self, bench):
        preset = fleet.make_preset("peak", ["workshop"])
        generation = bench.run(bench.fleet.put_preset(preset))
        bench.run(bench.fleet.wait_applied(generation))
        assert bench.host.node.state.snapshot.head.preset == "peak"
        assert bench.host.node.counters.get(f"http.refused.{codes.INTERNAL.name}") == 0
