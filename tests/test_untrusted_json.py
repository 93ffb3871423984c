"""Documents in every form in which JSON lets their writers put a number."""

import json
import re

import msgspec
import pytest

from rattanridge.kernel import codes, routes, settings, untrusted_json
from rattanridge.mesh import claim, versions
from rattanridge.mesh.discovery import records
from rattanridge.platform import config_wire, configs, heartbeats, orders, store_objects
from rattanridge.policies import keys
from tests import mesh_world

WHOLE_NUMBER = re.compile(r"(?<=[:\[,])-?\d+(?=[,}\]])")
FORMS = [r"\g<0>.0", r"\g<0>e0", r"\g<0>.000E+0"]

REPORT = (
    b'{"Service":"s","Address":"10.0.0.1:1","Zone":"z","Version":"v1","Slots":6,'
    b'"State":"ready","ColdRemainingMs":5,"Sequence":4,"born":1700000000123}'
)
RECORD = (
    b'{"hop":"10.0.0.1:2","zone":"z","service":"s","endpoint":"i-1","incarnation":7,'
    b'"version":"v1","slots":6,"state":"ready","suspects":[["k",3,1700000000]]}'
)
STATUS = (
    b'{"State":"running","TargetVersion":"v2","Share":1,"Step":2,"ElapsedS":3,'
    b'"BeganS":-1,"Turn":9,"NewRequests":12,"OldRequests":13,"ExcusedAnswers":0}'
)
OBJECT = b'{"Metadata":{"Name":"main","Revision":6},"Spec":{"a":1.5},"Status":null}'
PAGE = b'{"rollouts":[["s",7,{"a":1.5},null]]}'
CONFIGURATION = mesh_world.configuration(
    3,
    config_wire.WireRoute(
        "r",
        "/p/",
        "safe",
        2,
        1200,
        300,
        4,
        split=[
            config_wire.WireShare("registry", 9),
            config_wire.WireShare("workshop", 1),
        ],
    ),
    accounts=[config_wire.WireAccount("a", ["k"], 3, 5, 8)],
)
ANSWER = claim.RecordedAnswer(201, [("a", "b")], b"done")
CLAIM = claim.encode(claim.Claim("d", "s", 3, claim.State.RUNNING, ANSWER))

# What reads a document, and the document with whole numbers.
DOCUMENTS = {
    "configuration": (configs.decode, CONFIGURATION),
    "report": (lambda data: heartbeats.decode("i-1", data), REPORT),
    "farewell": (heartbeats.decode_leave, b'{"born":1700000000123}'),
    "record": (records.decode, RECORD),
    "order": (
        orders.decode_order,
        b'{"Service":"s","TargetVersion":"v2","DurationS":30}',
    ),
    "status": (orders.decode_status, STATUS),
    "object": (store_objects.decode_object, OBJECT),
    "list": (
        lambda data: store_objects.decode(data, store_objects.WireListing),
        b'{"items":[{"a":1.5}],"HasMore":true,"CurrentRev":530}',
    ),
    "changes": (
        lambda data: store_objects.decode(data, store_objects.WireChanges),
        b'{"events":[{"Object":{"a":1.5},"IsDeleted":true}],"CurrentRev":530}',
    ),
    "rollouts of a node": (
        lambda data: untrusted_json.decode(data, versions.Page),
        PAGE,
    ),
    "claim": (claim.decode, CLAIM),
    "idempotency key": (
        lambda data: keys.JsonField("id").read({}, data),
        b'{"id":17}',
    ),
}


class TestNumbers:
    # Guards against a document refused whole because a number in it is written with a
    # fraction or an exponent: JSON has one kind of number.
    @pytest.mark.parametrize("form", FORMS)
    @pytest.mark.parametrize("name", DOCUMENTS)
    def test_form_of_a_number_makes_no_difference(self, name, form):
        read, plain = DOCUMENTS[name]
        other, count = WHOLE_NUMBER.subn(form, plain.decode())
        assert count
        assert json.loads(other) == json.loads(plain)
        found = read(other.encode())
        assert found == read(plain)
        assert found

    @pytest.mark.parametrize("field", ["Slots", "Sequence", "born"])
    @pytest.mark.parametrize("value", ["6.5", "null", '"6"', "1e400", "true"])
    def test_other_values_of_a_report_are_still_refused(self, field, value):
        text = re.sub(rf'"{field}":\d+', f'"{field}":{value}', REPORT.decode())
        with pytest.raises(codes.Failure, match=field) as caught:
            heartbeats.decode("i-1", text.encode())
        assert caught.value.code is codes.BAD_FIELD


class TestDecode:
    @pytest.mark.parametrize(
        ("data", "target_type"),
        [
            (b"6.5", int),
            (b'"6"', int),
            (b"[1.0]", tuple[int, int]),
            (b'{"a":"x"}', dict[str, int]),
            (b'"x"', int | None),
            (b"{}", records.Record),
            (b"0.0", settings.Count),
            (b'{"a b":1.0}', dict[settings.Name, int]),
            (b'{"source":"header","odd":1.0}', routes.KeySource),
            (b"[" * 10_000, int),
            (b'"\xff"', str),
        ],
    )
    def test_what_does_not_match_gives_none(self, data, target_type):
        assert untrusted_json.decode_or_none(data, target_type) is None

    @pytest.mark.parametrize(
        ("data", "target_type", "value"),
        [
            (b"7.0", settings.Count, 7),
            (b'{"a":7.0}', dict[settings.Name, settings.Count], {"a": 7}),
            (b"[7.0,8e0]", tuple[int, ...], (7, 8)),
            (b"null", int | None, None),
        ],
    )
    def test_parts_of_all_types(self, data, target_type, value):
        assert untrusted_json.decode(data, target_type) == value

    def test_error_names_the_place(self):
        with pytest.raises(msgspec.ValidationError, match=r"\$\.Metadata\.Name"):
            untrusted_json.decode(b'{"Metadata":{"Name":5}}', store_objects.WireObject)

    def test_whole_numbers_stay_exact(self):
        exact = 2**60 + 1
        data = f'{{"Metadata":{{"Name":"n","Revision":{exact}}}}}'.encode()
        assert store_objects.decode_object(data).revision == exact
