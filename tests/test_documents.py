"""Invalid settings and presets are refused with a code, the file and the line."""

import pathlib

import click.testing
import hypothesis
import msgspec
import pytest
import yaml
from hypothesis import strategies

from rattanridge.cli import main
from rattanridge.kernel import codes, documents, files, presets
from rattanridge.mesh import settings

ROOT = pathlib.Path(__file__).parent.parent
NODE = """name: one
zone: a
store: 127.0.0.1:7400
listen:
  callers: 127.0.0.1:7401
  hops: 127.0.0.1:7402
  ready: 127.0.0.1:7403
  heartbeats: 127.0.0.1:7405
repeats:
  ratio: 0.2
  window: 10.0
key: shared-secret
tokens:
- {name: olga, secret: olga-secret}
- {name: oscar, secret: oscar-secret}
"""
PRESET = """name: day
services:
  payments: {}
routes:
- prefix: /pay
  service: payments
"""


def check(path):
    return click.testing.CliRunner().invoke(main.main, ["check", str(path)])


class TestJson:
    # Guards against: settings in JSON that are read differently from the same in YAML,
    # or whose faults are accepted, or reported without a line.

    def test_same_as_yaml(self):
        text = msgspec.json.encode(yaml.safe_load(NODE)).decode()
        assert files.decode_json(text, settings.Settings) == settings.parse(NODE)

    @pytest.mark.parametrize(
        ("line", "code"),
        [
            ('"zone": "b"', codes.DUPLICATE_KEY),
            ('"odd": 1', codes.BAD_FIELD),
            ('"key": "short"', codes.BAD_FIELD),
            ('"repeats": {"ratio": NaN}', codes.BAD_FIELD),
        ],
    )
    def test_faults_name_the_line(self, line, code):
        listen = {
            name: f"127.0.0.1:{port}"
            for port, name in enumerate(["callers", "hops", "ready", "heartbeats"], 1)
        }
        given = {"name": "n", "zone": "z", "store": "127.0.0.1:9", "listen": listen}
        text = msgspec.json.encode(given).decode().removesuffix("}")
        with pytest.raises(codes.Failure) as caught:
            settings.parse(f"{text},\n{line}}}")
        assert caught.value.code is code
        assert caught.value.where.startswith("settings:2")


class TestExamples:
    @pytest.mark.parametrize("path", sorted((ROOT / "examples").rglob("*.yaml")))
    def test_check(self, path):
        result = check(path)
        assert result.exit_code == 0, result.output

    @pytest.mark.parametrize("user", ["consortium", "cooperative"])
    def test_only_get_routes_are_idempotent(self, user):
        for name in ("ordinary", "peak", "maintenance"):
            preset = presets.load(str(ROOT / "examples" / user / f"{name}.yaml"))
            assert preset.name == name
            for route in preset.routes:
                assert route.idempotent == (route.methods == ["GET"])


class TestInvalidDocuments:
    @pytest.mark.parametrize(
        ("old", "new", "code", "line"),
        [
            ("name: one", "name: one\nname: two", codes.DUPLICATE_KEY, 2),
            ("zone: a", "zon: a", codes.BAD_FIELD, 2),
            ("zone: a", "zone: [a", codes.BAD_YAML, 3),
            ("zone: a", "zone: a b", codes.BAD_FIELD, 2),
            ("zone: a", "zone: a\nupstream: localhost", codes.BAD_FIELD, 3),
            ("127.0.0.1:7400", "http://127.0.0.1:7400", codes.BAD_FIELD, 3),
            ("127.0.0.1:7400", "olga@127.0.0.1:7400", codes.BAD_FIELD, 3),
            ("127.0.0.1:7400", "127.0.0.1", codes.BAD_FIELD, 3),
            ("key: shared-secret", "key: short", codes.BAD_FIELD, 12),
            ("7401", "x", codes.BAD_FIELD, 5),
            ("7402", "7401", codes.BAD_FIELD, 6),
            ("7405", "7405\n  admin: 127.0.0.1:7401", codes.BAD_FIELD, 9),
            ("7405", "7405\n  peers: []", codes.BAD_FIELD, 9),
            ("repeats:", "limits: {body_bytes: 5}\nrepeats:", codes.BAD_FIELD, 9),
            ("repeats:", "limits: {connections: 0}\nrepeats:", codes.BAD_FIELD, 9),
            ("repeats:", "claims: {keep: 1e9}\nrepeats:", codes.BAD_FIELD, 9),
            ("repeats:", "policies: {order: none}\nrepeats:", codes.BAD_FIELD, 9),
            ("repeats:", "policies: {odd: none}\nrepeats:", codes.BAD_FIELD, 9),
            ("window: 10.0", "window: .nan", codes.BAD_FIELD, 11),
            ("window: 10.0", "window: .inf", codes.BAD_FIELD, 11),
            ("window: 10.0", "window: -1", codes.BAD_FIELD, 11),
            ("window: 10.0", "window: 1 s", codes.BAD_FIELD, 11),
            ("name: oscar", "name: olga", codes.BAD_FIELD, 15),
            ("oscar-secret", "olga-secret", codes.BAD_FIELD, 15),
            ("oscar-secret}", "oscar-secret, role: root}", codes.BAD_FIELD, 15),
        ],
    )
    def test_settings(self, tmp_path, old, new, code, line):
        self.assert_refused(tmp_path, NODE.replace(old, new, 1), code, line)

    @pytest.mark.parametrize(
        ("old", "new", "code", "line"),
        [
            ("services:\n  payments: {}", "services: {}", codes.BAD_FIELD, 2),
            ("{}", "{connections: 0}", codes.BAD_FIELD, 3),
            ("{}", "{health_path: up}", codes.BAD_FIELD, 3),
            ("{}", "{balancer: two-choices}", codes.BAD_FIELD, 3),
            ("service: payments", "service: other", codes.MISSING_SERVICE, 5),
            ("service: payments", "service: payments\n  timeout: 0", None, 7),
            ("service: payments", "service: payments\n  methods: []", None, 7),
            ("service: payments", "service: payments\n  methods: [get]", None, 7),
            ("service: payments", "service: payments\n  priority: urgent", None, 7),
            ("service: payments", "service: payments\n  attempts: 0", None, 7),
            ("service: payments", "service: payments\n  target: -1", None, 7),
            (
                "service: payments",
                "service: payments\n  key: {source: a, name: b}",
                None,
                None,
            ),
            ("service: payments", "service: payments\n  idempotent: 1", None, 7),
            ("service: payments", "service: payments\n  kind: odd", None, 7),
            ("service: payments", "service: payments\n  large: true", None, 5),
            ("prefix: /pay", "prefix: pay", codes.BAD_FIELD, 5),
            ("prefix: /pay", "host: Crest.example\n  prefix: /pay", None, 5),
            ("prefix: /pay", "host: a.example:80\n  prefix: /pay", None, 5),
            ("prefix: /pay", "host: ''\n  prefix: /pay", None, 5),
            ("prefix: /pay", "prefix: /p\n  prefix: /q", codes.DUPLICATE_KEY, 6),
            ("- prefix: /pay", "- &a\n  prefix: /pay\n- *a", codes.BAD_YAML, None),
        ],
    )
    def test_preset(self, tmp_path, old, new, code, line):
        text = PRESET.replace(old, new, 1)
        self.assert_refused(tmp_path, text, code or codes.BAD_FIELD, line)

    def assert_refused(self, tmp_path, text, code, line):
        path = tmp_path / "file.yaml"
        path.write_text(text)
        result = check(path)
        assert result.exit_code == 2
        assert f"error {code.number} {code.name}" in result.output
        if line is not None:
            assert result.output.startswith(f"{path}:{line}:")

    def test_missing_file(self, tmp_path):
        result = check(tmp_path / "none.yaml")
        assert result.exit_code == 2
        assert str(codes.NO_FILE.number) in result.output

    def test_binary_file(self, tmp_path):
        path = tmp_path / "file.yaml"
        path.write_bytes(b"\xff\xfe\x00")
        assert check(path).exit_code == 2


class TestLimits:
    def test_nested_aliases_are_not_expanded(self):
        lines = ["a0: &a0 [x, x]"]
        lines += [f"a{n}: &a{n} [*a{n - 1}, *a{n - 1}]" for n in range(1, 60)]
        with pytest.raises(codes.Failure) as caught:
            settings.parse("\n".join(lines))
        assert caught.value.code is codes.BAD_YAML

    @pytest.mark.parametrize(
        "text",
        [
            "[" * 500_000,
            "a: " + "[" * 900 + "]" * 900,
            "- " * 300_000,
            "{" * 400_000,
            "&a [*a]",
            "a: !!timestamp x",
            "a: !!bool x",
            "a: !!int ''",
            "a: !!python/object/apply:os.getcwd []",
            "a: " + "1" * 900_000,
            "? [a]\n: b",
            "a: 2001-01-01T00:00:00+99:99",
            "<<: 3",
            "--- a\n--- b",
            "",
            "null",
            "[]",
        ],
    )
    def test_hostile_text_is_refused(self, text):
        with pytest.raises(codes.Failure):
            presets.parse(text)


class TestFuzz:
    names = strategies.sampled_from(
        [
            "name",
            "zone",
            "store",
            "listen",
            "key",
            "tokens",
            "limits",
            "services",
            "routes",
        ]
    )
    values = strategies.recursive(
        strategies.none()
        | strategies.booleans()
        | strategies.integers()
        | strategies.floats()
        | strategies.text(max_size=9),
        lambda part: (
            strategies.lists(part, max_size=3)
            | strategies.dictionaries(strategies.text(max_size=9), part, max_size=3)
        ),
        max_leaves=9,
    )

    @hypothesis.given(strategies.dictionaries(names, values))
    def test_any_mapping(self, value):
        self.assert_valid_or_refused(yaml.safe_dump(value))

    @hypothesis.given(
        strategies.text(strategies.sampled_from("ab:-[]{}&*!'\"#|>? \n\t"), max_size=60)
    )
    def test_any_text(self, text):
        self.assert_valid_or_refused(text)

    @hypothesis.given(strategies.data())
    def test_one_change_to_a_valid_document(self, data):
        text = data.draw(strategies.sampled_from([NODE, PRESET]))
        start = data.draw(strategies.integers(0, len(text)))
        end = data.draw(strategies.integers(start, min(start + 8, len(text))))
        new = data.draw(strategies.text(max_size=4))
        self.assert_valid_or_refused(text[:start] + new + text[end:])

    def assert_valid_or_refused(self, text):
        for parse in (settings.parse, presets.parse):
            try:
                assert parse(text).name
            except codes.Failure as failure:
                assert failure.exit_code == 2


class TestAddLineNumber:
    def test_adds_the_line_number(self):
        failure = codes.Failure(codes.BAD_FIELD, where="file: routes[0].service")
        assert documents.add_line_number(failure, PRESET, "file").where == (
            "file:6: routes[0].service"
        )
