"""Sources of idempotency keys."""

import multidict
import pytest

from rattanridge import policies
from rattanridge.kernel import codes, presets, registry, routes

registry.load_plugins(policies)

PRESET = """
name: day
services: {pay: {}}
routes:
  - {service: pay, key: KEY}
"""


def request(body=b"", **headers):
    fields = multidict.CIMultiDict({k.replace("_", "-"): v for k, v in headers.items()})
    return fields, body


class TestSources:
    @pytest.mark.parametrize(
        ("source", "name", "received", "key"),
        [
            ("header", "Idempotency-Key", request(idempotency_key=" a1 "), "a1"),
            ("header", "Idempotency-Key", request(), ""),
            ("header", "Idempotency-Key", request(idempotency_key="x" * 257), ""),
            ("json-field", "order", request(b'{"order": 17}'), "17"),
            ("json-field", "order.id", request(b'{"order": {"id": "a"}}'), "a"),
            ("json-field", "order.id", request(b'{"order": 17}'), ""),
            ("json-field", "order", request(b'{"order": true}'), ""),
            ("json-field", "order", request(b"[" * 100_000), ""),
            ("json-field", "order", request(b"\xff"), ""),
        ],
    )
    def test_key(self, source, name, received, key):
        assert routes.KEY_SOURCES.get(source)(name).read(*received) == key


class TestPresets:
    @pytest.mark.parametrize(
        "key",
        [
            "{source: heder, name: X}",
            "{source: header}",
            "{source: json-field, name: ''}",
        ],
    )
    def test_invalid_key_source_is_refused(self, key):
        with pytest.raises(codes.Failure) as caught:
            presets.parse(PRESET.replace("KEY", key))
        assert caught.value.code is codes.BAD_FIELD
        assert "routes[0]" in caught.value.where
