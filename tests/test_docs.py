"""The docs agree with the code: commands, links, counters, codes, log lines."""

import ast
import pathlib
import re

import click
import pytest

from rattanridge import admin
from rattanridge.admin import server
from rattanridge.cli import main
from rattanridge.kernel import codes, registry
from rattanridge.mesh import configs, monitoring, trial, versions
from rattanridge.mesh.discovery import directory
from rattanridge.mesh.quota import messages
from rattanridge.web import headers

registry.load_plugins(admin)

ROOT = pathlib.Path(__file__).parent.parent
PAGES = [ROOT / "README.md", ROOT / "DEVELOPERS.md", *(ROOT / "docs").rglob("*.md")]
OPERATIONS = sorted((ROOT / "docs/operations").glob("*.md"))
SOURCES = sorted((ROOT / "rattanridge").rglob("*.py"))
LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
COMMAND = re.compile(r"(?:^ {4,}|`|\$ )rattanridge ([a-z][^`#|\n]*)", re.MULTILINE)
PLACEHOLDER = "CODE"
PAGES_OF_NODES = [
    configs.PATH,
    configs.STATE_PATH,
    directory.PATH,
    messages.ANNOUNCEMENT_PATH,
    messages.REPORT_PATH,
    monitoring.REPORT_PATH,
    trial.BRAKE_PATH,
    versions.PATH,
]


def page_id(path):
    return str(path.relative_to(ROOT))


def anchors(text):
    """Return the anchors of a page's headings."""
    titles = re.findall(r"^#+ (.*)$", text, re.MULTILINE)
    return {re.sub(r"[^\w -]", "", title.lower()).replace(" ", "-") for title in titles}


class TestLinks:
    @pytest.mark.parametrize("page", PAGES, ids=page_id)
    def test_resolve(self, page):
        for link in LINK.findall(page.read_text()):
            if "://" in link:
                continue
            path, _, anchor = link.partition("#")
            target = (page.parent / path).resolve() if path else page
            assert target.exists(), link
            if anchor:
                assert anchor in anchors(target.read_text()), link


class TestCommands:
    @pytest.mark.parametrize("page", PAGES, ids=page_id)
    def test_exist(self, page):
        for text in COMMAND.findall(page.read_text()):
            self.check(text.split())

    def check(self, words):
        command = main.main
        context = click.Context(command)
        while words and isinstance(command, click.Group):
            name = words.pop(0)
            if not re.fullmatch(r"[a-z-]+", name):
                return
            command = command.get_command(context, name)
            assert command is not None, f"no command {name}"
        known = {option for item in command.params for option in item.opts}
        for word in words:
            if word.startswith("-"):
                assert word.partition("=")[0] in {*known, "--help"}, word


def written(node):
    """Return the texts that an expression may be, placeholders as ``CODE``."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return [node.value]
    if isinstance(node, ast.JoinedStr):
        parts = [
            part.value if isinstance(part, ast.Constant) else PLACEHOLDER
            for part in node.values
        ]
        return ["".join(parts)]
    return []


def first_arguments(names, owners):
    """Return the first argument of each call ``<...owner>.<name>(...)``."""
    found = set()
    for path in SOURCES:
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            called = node.func
            if isinstance(called, ast.Attribute) and called.attr in names:
                owner = ast.unparse(called.value).rpartition(".")[2]
                if owner in owners:
                    found.update(written(node.args[0]))
    return sorted(found)


class TestOperations:
    """What operators see is explained on some page for them."""

    text = "\n".join(page.read_text() for page in OPERATIONS)
    # Every word in capitals stands for a part that varies.
    told = re.sub(r"\b[A-Z]{4,}\b", PLACEHOLDER, text)

    @pytest.mark.parametrize("name", first_arguments({"add"}, {"counters", "meters"}))
    def test_counter(self, name):
        group = name.rpartition(".")[0]
        told = f"`{name}`" in self.told or f"`{group}.{PLACEHOLDER}`" in self.told
        assert told, f"no page under docs/operations explains {name}"

    @pytest.mark.parametrize(
        "event", first_arguments({"info", "note", "warn", "error", "debug"}, {"log"})
    )
    def test_log_line(self, event):
        told = f"`{event}`" in self.told
        assert told, f"no page under docs/operations explains {event}"


class TestProtocols:
    text = (ROOT / "docs/PROTOCOLS.md").read_text()

    @pytest.mark.parametrize("page", PAGES_OF_NODES)
    def test_page_between_nodes(self, page):
        assert f"{page}`" in self.text or f"{page}/" in self.text

    @pytest.mark.parametrize("item", sorted(server.OPERATIONS.items))
    def test_operation(self, item):
        written = re.sub(r"<(\w+)>", lambda match: match[1].upper(), item)
        assert re.search(rf"`{re.escape(written)}[`?,]", self.text)

    @pytest.mark.parametrize(
        "header",
        [value for value in vars(headers).values() if str(value).startswith("Rattan")],
    )
    def test_header(self, header):
        assert f"`{header}`" in self.text


class TestMap:
    def test_files_to_open_exist(self):
        text = (ROOT / "DEVELOPERS.md").read_text()
        named = re.findall(r"`((?:[a-z]+/)+[a-z_]+\.(?:py|md))`", text)
        assert named
        for path in named:
            places = (ROOT / path, ROOT / "rattanridge" / path)
            assert any(place.exists() for place in places), path


class TestCodes:
    @pytest.mark.parametrize("number", sorted(codes.TABLE))
    def test_well_formed(self, number):
        code = codes.TABLE[number]
        assert re.fullmatch(r"[a-z]+(-[a-z]+)*", code.name)
        assert 400 <= code.status < 600
        assert code.exit_code in (1, 2)
        assert code.meaning

    def test_numbers_named_in_docs_exist(self):
        for page in PAGES:
            # A list such as "4002 to 4005" or "7003 `conflict`".
            for number, name in re.findall(
                r"\b(\d{4}) `?([a-z-]+)`?", page.read_text()
            ):
                if int(number) in codes.TABLE and "-" in name:
                    assert codes.TABLE[int(number)].name == name, f"{page}: {number}"
