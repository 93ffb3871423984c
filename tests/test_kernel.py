"""Kernel: documents, codes, snapshots, logs and registries."""

import itertools
import pathlib

import hypothesis
import pytest
from hypothesis import strategies

from rattanridge.cli import check
from rattanridge.kernel import codes, log, presets, registry, settings, snapshot
from rattanridge.measure import fleet

ROOT = pathlib.Path(__file__).parent.parent
PRESET = """
name: day
services: {payments: {}}
routes:
  - {prefix: /pay, service: payments}
"""


class TestCodes:
    def test_table_in_docs(self):
        assert check.format_table() in (ROOT / "docs/CODES.md").read_text()

    def test_number_twice(self):
        with pytest.raises(ValueError):
            codes.define(1001, "again", 500, "")


class TestDocuments:
    @pytest.mark.parametrize(
        ("change", "code", "line"),
        [
            (("name: day", "name: day\nname: day"), codes.DUPLICATE_KEY, 3),
            (("name: day", "name: [day"), codes.BAD_YAML, 3),
            (("name: day", "nam: day"), codes.BAD_FIELD, 2),
            (("{prefix: /pay", "{prefix: pay"), codes.BAD_FIELD, 5),
            (("{prefix: /pay", "{timeout: 0, prefix: /pay"), codes.BAD_FIELD, 5),
            (("{prefix: /pay", "{timeout: x, prefix: /pay"), codes.BAD_FIELD, 5),
            (("service: payments}", "service: other}"), codes.MISSING_SERVICE, None),
        ],
    )
    def test_bad_preset(self, change, code, line):
        with pytest.raises(codes.Failure) as caught:
            presets.parse(PRESET.replace(*change), "file")
        assert caught.value.code is code
        assert caught.value.exit_code == 2
        if line is not None:
            assert caught.value.where == f"file:{line}"

    def test_too_large(self):
        with pytest.raises(codes.Failure) as caught:
            presets.parse(PRESET + "#" * 2_000_000)
        assert caught.value.code is codes.TOO_LARGE

    def test_same_route_twice(self):
        text = PRESET + "  - {prefix: /pay/, service: payments}\n"
        with pytest.raises(codes.Failure) as caught:
            presets.parse(text)
        assert caught.value.code is codes.DUPLICATE_ROUTE

    @pytest.mark.parametrize("name", ["node.yaml", "ordinary.yaml"])
    def test_examples(self, name):
        load = settings.load if name == "node.yaml" else presets.load
        assert load(str(ROOT / "examples" / name)).name

    @hypothesis.given(strategies.text(max_size=200))
    def test_any_text_is_refused_with_a_code(self, text):
        with pytest.raises(codes.Failure):
            settings.parse(text)


def make(generation: int, services: list[str]) -> snapshot.Snapshot:
    preset = fleet.make_preset("day", services)
    return snapshot.build(generation, snapshot.split(preset, generation))


class TestSnapshot:
    def test_longest_prefix_at_a_slash(self):
        built = make(1, ["pay", "paying"])
        assert built.match("any", "/paying/x", "GET").service == "paying"
        assert built.match("any", "/pay", "POST").service == "pay"
        assert built.match("any", "/payx", "GET") is None
        assert built.match("any", "/pay", "PATCH") is None

    names = strategies.lists(
        strategies.sampled_from(["a", "b", "c", "d"]), min_size=1, unique=True
    )

    @hypothesis.given(
        strategies.lists(names, min_size=1, max_size=5),
        strategies.lists(strategies.integers(0, 9), max_size=20),
    )
    def test_any_order_ends_highest_and_never_falls(self, contents, order):
        made = [make(n + 1, services) for n, services in enumerate(contents)]
        deltas = [snapshot.diff(None, item) for item in made]
        deltas += [snapshot.diff(a, b) for a, b in itertools.pairwise(made)]
        current = None
        for index in [*order, len(made) - 1]:
            before = current
            try:
                current = snapshot.apply(current, deltas[index % len(deltas)])
            except codes.Failure as failure:
                assert failure.code in (codes.HASH_MISMATCH, codes.OLD_GENERATION)
            if before is not None:
                assert current.generation >= before.generation
            if current is not None:
                assert current.resources == made[current.generation - 1].resources
        assert current.generation == len(made)

    def test_part_of_a_delta_is_refused(self):
        delta = snapshot.diff(None, make(1, ["a", "b"]))
        delta.changed.pop("service/b")
        with pytest.raises(codes.Failure) as caught:
            snapshot.apply(None, delta)
        assert caught.value.code is codes.HASH_MISMATCH


class TestLog:
    def test_one_line_of_pairs(self):
        line = log.pairs("refused", {"why": "two words\nlines", "code": 7})
        assert line == 'event=refused why="two words\\nlines" code=7'


class TestRegistry:
    def test_name_twice_and_unknown(self):
        items = registry.Registry("thing")
        items.register("one")(1)
        with pytest.raises(ValueError):
            items.register("one")(2)
        with pytest.raises(KeyError, match="known: one"):
            items.get("two")
