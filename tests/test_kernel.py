"""Kernel: documents, codes, routes, logs and registries."""

import pathlib

import hypothesis
import pytest
from hypothesis import strategies

from rattanridge.cli import check
from rattanridge.kernel import codes, log, presets, registry, routes
from rattanridge.mesh import settings
from rattanridge.standin import fleet

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

    def test_duplicate_number(self):
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

    def test_duplicate_route(self):
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


class TestRoutes:
    def match(self, services, path, method="GET", host="any"):
        configuration = presets.make_configuration(
            fleet.make_preset("day", services), 1
        )
        route = configuration.match(host, path, method)
        return route.shares[0].service if route is not None else None

    def test_longest_prefix_that_ends_at_a_slash(self):
        assert self.match(["pay", "paying"], "/paying/x") == "paying"
        assert self.match(["pay", "paying"], "/pay", "POST") == "pay"
        assert self.match(["pay", "paying"], "/payx") is None
        assert self.match(["pay", "paying"], "/pay", "PATCH") is None

    # Guards against: the index finds another route than a scan by prefix length.
    @hypothesis.given(
        prefixes=strategies.lists(strategies.text("ab/", max_size=6), max_size=8),
        path=strategies.text("ab/", max_size=9),
        bare=strategies.booleans(),
    )
    def test_index_finds_the_longest_prefix(self, prefixes, path, bare):
        found = [
            routes.Route(
                str(number), "h", f"/{text}/", True, 1.0, 1.0, 0, 1, (), bare=bare
            )
            for number, text in enumerate(prefixes)
        ]
        configuration = routes.Configuration(1, routes.group_by_host(found), {})
        scanned = next(
            (
                route
                for route in configuration.routes.get("h", ())
                if route.matches("/" + path, "GET")
            ),
            None,
        )
        assert configuration.match("h", "/" + path, "GET") is scanned

    def test_exact_host_takes_precedence(self):
        text = PRESET.replace(
            "services: {payments: {}}", "services: {payments: {}, crest: {}}"
        )
        text += "  - {host: crest.example, prefix: /, service: crest}\n"
        configuration = presets.make_configuration(presets.parse(text), 1)
        found = [
            configuration.match(host, "/pay/1", "GET")
            for host in ("crest.example", "b")
        ]
        assert [route.shares[0].service for route in found] == ["crest", "payments"]


class TestLog:
    def test_event_is_one_line_of_pairs(self):
        line = log.pairs("refused", {"why": "two words\nlines", "code": 7})
        assert line == 'event=refused why="two words\\nlines" code=7'


class TestRegistry:
    def test_duplicate_and_unknown_names(self):
        plugins = registry.Registry("thing")
        plugins.register("one")(1)
        with pytest.raises(ValueError):
            plugins.register("one")(2)
        with pytest.raises(KeyError, match="known: one"):
            plugins.get("two")
