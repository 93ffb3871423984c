"""The platform adapter: decoding and encoding of its formats.

Also checks that no other package contains names of the platform's wire format.
"""

import itertools
import json
import pathlib
import re

import msgspec
import pytest
from click import testing

from rattanridge.cli import main
from rattanridge.kernel import codes, files, routes
from rattanridge.mesh import settings
from rattanridge.platform import (
    config_wire,
    configs,
    headers,
    heartbeats,
    orders,
    store as stores,
    store_objects,
)
from rattanridge.policies import keys  # noqa: F401 (registers the key sources)

ROOT = pathlib.Path(__file__).parent.parent
PACKAGE = ROOT / "rattanridge"
FILES_OUTSIDE_ADAPTER = [
    path for path in PACKAGE.rglob("*.py") if path.parent != PACKAGE / "platform"
]
WIRE_NAMES = re.compile(
    r"HeartbeatUrl|PathPrefix|TrafficSplit|VirtualHosts|ColdRemainingMs|Attempt-Id"
    r"|Response-Signature|Target-Instance|Caller-Service|MarkedForDeletion"
    r"|Not-Executed|Deadline-Ms|CurrentRev|DurationS|TargetVersion|Tenant"
    r"|ApiKeys|RatePerS|ColdPerS|ColdStartS"
)
HEARTBEAT = {
    "Service": "s",
    "Address": "10.0.0.1:80",
    "Zone": "z",
    "Version": "v1",
    "Slots": 6,
    "State": "ready",
    "ColdRemainingMs": 1500,
    "Sequence": 4,
    "born": 99,
}
SETTINGS = """\
name: n
zone: z
store: 10.0.0.1:1
listen: {callers: "a:1", hops: "a:2", ready: "a:3", heartbeats: "a:4"}
"""


class TestIsolation:
    @pytest.mark.parametrize("path", FILES_OUTSIDE_ADAPTER, ids=lambda path: path.name)
    def test_wire_names_are_only_in_the_adapter(self, path):
        assert not WIRE_NAMES.search(path.read_text())


class TestHeartbeats:
    def test_decode(self):
        found = heartbeats.decode("i-1", msgspec.json.encode(HEARTBEAT))
        assert (found.endpoint, found.incarnation, found.sequence) == ("i-1", 99, 4)
        assert (found.slots, found.draining, found.cold_remaining) == (6, False, 1.5)

    @pytest.mark.parametrize(
        "change",
        [
            {"State": "odd"},
            {"Slots": 0},
            {"Slots": "6"},
            {"Service": ""},
            {"Sequence": None},
            {"born": 1.5},
        ],
    )
    def test_invalid_heartbeats_are_refused(self, change):
        with pytest.raises(codes.Failure) as caught:
            heartbeats.decode("i-1", msgspec.json.encode(HEARTBEAT | change))
        assert caught.value.code is codes.BAD_FIELD

    @pytest.mark.parametrize("data", [b"", b"\xff", b"[", b'{"born":7}', b"{}"])
    def test_decode_leave(self, data):
        assert heartbeats.decode_leave(data) == (7 if b"7" in data else 0)


class TestOrders:
    def test_status_round_trip(self):
        status = orders.Status("running", "v2", 0.25, True, 2, 3.5, 1.0, "n", 7)
        assert orders.decode_status(orders.encode_status(status)) == status

    @pytest.mark.parametrize("data", [b"null", b"{}", b"[]", b"\xff"])
    def test_unreadable(self, data):
        assert orders.decode_status(data) is None
        with pytest.raises(codes.Failure):
            orders.decode_order(data)


class TestHeaders:
    @pytest.mark.parametrize(
        ("text", "seconds"),
        [
            ("1500", 1.5),
            (None, None),
            ("", None),
            ("-5", None),
            ("9" * 12, None),
            ("999999999", 999_999.999),
            ("1e400", None),
            ("1e9", None),
            ("inf", None),
            ("nan", None),
            ("1_500", None),
            ("15OO", None),
            ("1.", None),
            ("0" * 40, None),
        ],
    )
    def test_deadline(self, text, seconds):
        assert headers.parse_deadline(text) == seconds

    # Guards against a deadline that is taken for none, whose endpoint works for the
    # route's whole time.
    @pytest.mark.parametrize(
        ("text", "seconds"),
        [("1500.0", 1.5), ("1500.5", 1.5005), ("1.5e3", 1.5), ("0.5", 0.0005)],
    )
    def test_deadline_with_a_fraction(self, text, seconds):
        assert headers.parse_deadline(text) == pytest.approx(seconds)

    def test_parent(self):
        assert headers.parent_of("a1.b2.c3") == "a1.b2"
        assert headers.parent_of("a1") == ""


class TestObjects:
    def test_unreadable_objects_give_none(self):
        assert store_objects.decode_object(b"5") is None
        assert store_objects.decode_object(b'{"Metadata":{}}') is None

    def test_object_marked_for_deletion_is_deleted(self):
        data = b'{"Metadata":{"Name":"n","Revision":5,"MarkedForDeletion":true}}'
        assert store_objects.decode_object(data).deleted

    # Guards against an object that is not seen, without a trace, as its mark is null.
    def test_null_is_the_same_as_left_out(self):
        data = b'{"Metadata":{"Name":"n","Revision":null,"MarkedForDeletion":null}}'
        assert store_objects.decode_object(data) == store_objects.StoredObject("n", 0)


class Answers(stores.Store):
    """A client of the store that is given the bodies of its answers."""

    def __init__(self, *bodies):
        self.observed = []
        super().__init__("", lambda *outcome: self.observed.append(outcome))
        self.bodies = list(bodies)

    async def call(self, *arguments, **more):
        return stores.Answer(json.dumps(self.bodies.pop(0)).encode(), 0)


class TestStoreAnswers:
    NAMED = {"Metadata": {"Name": "n", "Revision": 5}}
    UNREADABLE = {"Metadata": {"Name": "m", "Revision": "?"}}

    async def test_objects_that_cannot_be_read_are_counted(self):
        items = [self.NAMED, self.UNREADABLE]
        store = Answers({"items": items, "CurrentRev": 9})
        assert [item.name for item in (await store.list("k")).items] == ["n"]
        assert store.observed == [("decode", "unreadable-object")]

    async def test_null_is_the_same_as_left_out(self):
        store = Answers(
            {"items": [self.NAMED], "HasMore": None, "CurrentRev": 9},
            {"items": None, "CurrentRev": 9},
            {"events": [{"Object": self.NAMED, "IsDeleted": None}], "CurrentRev": 9},
            {"events": None, "CurrentRev": 9},
        )
        assert len((await store.list("k")).items) == 1
        assert not (await store.list("k")).items
        found = (await store.watch("k", 5, 1.0, 1.0)).items
        assert [item.deleted for item in found] == [False]
        assert not (await store.watch("k", 5, 1.0, 1.0)).items

    # Guards against a list that asks for the same page for ever.
    async def test_page_that_names_no_object_ends_the_list(self):
        page = {"items": [self.UNREADABLE], "HasMore": True, "CurrentRev": 9}
        store = Answers({"items": [self.NAMED], "HasMore": True, "CurrentRev": 9}, page)
        with pytest.raises(codes.Failure) as caught:
            await store.list("k")
        assert caught.value.code is codes.PLATFORM_REFUSED


class TestConfiguration:
    def test_split_and_priorities(self):
        parts = [config_wire.WireShare("a", 90), config_wire.WireShare("b", 10)]
        wire = config_wire.WireConfiguration(
            "0000000c",
            [
                config_wire.WireHost(
                    "H.example",
                    [config_wire.WireRoute("r", "/p/", "unsafe", 2, 1200, split=parts)],
                )
            ],
            [config_wire.WireService("a"), config_wire.WireService("b")],
        )
        found = configs.decode(msgspec.json.encode(wire))
        route = found.match("h.example", "/p/1", "POST")
        assert found.version == 12
        assert (route.idempotent, route.priority, route.timeout) == (False, 2, 1.2)
        assert [share.weight for share in route.shares] == [90, 10]

    # Guards against one route of a kind that is new on the platform: the whole
    # configuration was refused, and no node served any request.
    @pytest.mark.parametrize(
        ("kind", "idempotent", "large", "unknown"),
        [
            ("safe", True, False, []),
            ("download", True, True, []),
            ("unsafe", False, False, []),
            ("odd", False, False, ["odd"]),
        ],
    )
    def test_kinds_of_routes(self, kind, idempotent, large, unknown):
        wire = config_wire.WireConfiguration(
            "1",
            [
                config_wire.WireHost(
                    "h", [config_wire.WireRoute("r", "/p/", kind, service="a")]
                )
            ],
            [config_wire.WireService("a")],
        )
        found = configs.decode(msgspec.json.encode(wire))
        route = found.match("h", "/p/1", "GET")
        assert (route.idempotent, route.large) == (idempotent, large)
        assert sorted(found.unknown_kinds) == unknown
        if not unknown:
            assert configs.encode_route(route).kind == kind

    def test_configuration_round_trip(self):
        key = routes.KeySource("header", "Idempotency-Key")
        route = routes.Route(
            name="r",
            host="*",
            prefix="/pay/",
            idempotent=False,
            timeout=2.5,
            target_latency=1.0,
            priority=1,
            attempts=3,
            shares=(routes.Share("s", 1),),
            methods=frozenset(["POST"]),
            bare=True,
            key=key,
        )
        configuration = routes.Configuration(
            7,
            routes.group_by_host([route]),
            {
                "s": routes.Service("s"),
                "c": routes.Service("c", cold_start=9.5, cold_rate=4.0),
            },
        )
        assert configs.decode(configs.encode(configuration)) == configuration

    @pytest.mark.parametrize("value", [None, 0, -1])
    def test_service_without_a_cold_rate(self, value):
        service = {"Name": "s", "ColdPerS": value}
        data = {"Version": "1", "VirtualHosts": [], "Services": [service]}
        found = configs.decode(msgspec.json.encode(data))
        assert found.services["s"] == routes.Service("s")
        assert len(found.unused) == (value == -1)

    def test_unknown_key_source_is_refused(self):
        extras = config_wire.WireExtras(key=routes.KeySource("none-such", "x"))
        wire = config_wire.WireConfiguration(
            "1",
            [
                config_wire.WireHost(
                    "h",
                    [
                        config_wire.WireRoute(
                            "r", "/p/", "unsafe", service="a", extras=extras
                        )
                    ],
                )
            ],
            [config_wire.WireService("a")],
        )
        with pytest.raises(codes.Failure) as caught:
            configs.decode(msgspec.json.encode(wire))
        assert caught.value.code is codes.BAD_FIELD

    def test_plain_route_has_only_the_platform_fields(self):
        wire = config_wire.WireRoute("r", "/p/", "safe", service="s")
        assert set(msgspec.json.decode(msgspec.json.encode(wire))) == {
            "Name", "PathPrefix", "Kind", "Priority", "TimeoutMs", "TargetLatencyMs",
            "MaxAttempts", "Service",
        }  # fmt: skip


class TestSettings:
    def test_defaults(self):
        found = settings.parse(SETTINGS)
        assert found.drain.grace == 6.0
        assert found.policies.placement == "expected-time"

    @pytest.mark.parametrize(
        "line",
        [
            "store: 5",
            "odd: 1",
            "drain: {grace: 0}",
            "limits: {log_lines: -1}",
            "policies: {placement: nowhere}",
            "key: short",
            "upstream: here",
        ],
    )
    def test_invalid_settings_are_refused(self, line, tmp_path):
        path = tmp_path / "node.yaml"
        path.write_text(SETTINGS.replace("store: 10.0.0.1:1\n", "") + line + "\n")
        with pytest.raises(codes.Failure):
            settings.load(str(path))

    # Guards against a node that does not start because a bound of the platform, whose
    # figures may be fractions, is read as a whole number.
    @pytest.mark.parametrize("value", ["1500.0", "1500.5", "1.5e3"])
    def test_bounds_that_are_fractions(self, value):
        names = "apply_ms", "contact_ms", "heartbeat_ms", "evacuation_ms"
        plain = msgspec.yaml.decode(SETTINGS)
        # The template writes JSON, in which numbers have other forms than in YAML.
        numbers = "".join(
            f'"{name}":{value},' for name in (*names, "store_reads_per_s")
        )
        found = settings.parse("{" + numbers + json.dumps(plain)[1:])
        assert found.bounds().contact == pytest.approx(float(value) / 1000)
        assert {getattr(found, name) for name in names} == {float(value)}

    def test_check_command(self, tmp_path):
        path = tmp_path / "node.yaml"
        path.write_text(SETTINGS)
        result = testing.CliRunner().invoke(main.main, ["check", str(path)])
        assert result.exit_code == 0
        path.write_text(SETTINGS + "odd: 1\n")
        result = testing.CliRunner().invoke(main.main, ["check", str(path)])
        assert result.exit_code == 2

    # A section is left out where the deployment has no value of its name.
    @pytest.mark.parametrize("bounds", [True, False])
    def test_template_gives_valid_settings(self, bounds):
        text = (ROOT / "deploy/node.yaml.tmpl").read_text()
        section = r"(?s)\{\{#([\w.]+)\}\}\n(.*?)\{\{/\1\}\}\n"
        text = re.sub(section, r"\2" if bounds else "", text)
        numbers = r"\{\{(Bounds|HeartbeatMs|Platform\.ReadsPerS)[^}]*\}\}"
        filled = re.sub(numbers, "2", text)
        numbers = itertools.count(1)
        filled = re.sub(
            r"\{\{[^}]*\|json\}\}", lambda match: f'"10.0.0.1:{next(numbers)}"', filled
        )
        filled = re.sub(r"\{\{[^}]*\}\}", "10.0.0.1", filled)
        found = settings.parse(filled)
        assert found.repeats.least == 2.0
        assert (found.cold is not None) == (found.evacuation_ms is not None) == bounds
        # Guards against: a template that is no longer JSON, whose nodes take longer
        # to start.
        assert files.decode_json(filled, settings.Settings) == found
