"""Source rules that the formatter and the linter do not check."""

import ast
import importlib
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parent.parent
SOURCES = sorted((ROOT / "rattanridge").rglob("*.py"))
TESTS = sorted((ROOT / "tests").rglob("*.py"))
MAX_LINES = 400
DEFINITIONS = (ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)


def file_id(path):
    return str(path.relative_to(ROOT))


class TestFiles:
    @pytest.mark.parametrize("path", SOURCES + TESTS, ids=file_id)
    def test_length(self, path):
        assert len(path.read_text().splitlines()) <= MAX_LINES

    @pytest.mark.parametrize("path", SOURCES + TESTS, ids=file_id)
    def test_modules_are_imported_not_names(self, path):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.ImportFrom):
                continue
            assert node.module and not node.level, "relative import"
            for item in node.names:
                importlib.import_module(f"{node.module}.{item.name}")


class TestLibraryImports:
    # Guards against: a module that uses ``aiohttp.web`` without importing it. A node
    # does not load that part of the library, but the stand-ins in tests do, so only
    # the node's own process would fail.
    @pytest.mark.parametrize("path", SOURCES, ids=file_id)
    def test_web_part_of_the_library_is_imported_where_it_is_used(self, path):
        text = path.read_text()
        assert "aiohttp.web." not in text or "import aiohttp.web\n" in text


class TestDocstrings:
    @pytest.mark.parametrize("path", SOURCES + TESTS, ids=file_id)
    def test_module(self, path):
        if path.stat().st_size:
            assert ast.get_docstring(ast.parse(path.read_text()))

    @pytest.mark.parametrize("path", SOURCES, ids=file_id)
    def test_public_definitions(self, path):
        undocumented = [
            node.name
            for node in ast.parse(path.read_text()).body
            if isinstance(node, DEFINITIONS)
            and not node.name.startswith("_")
            and not ast.get_docstring(node)
        ]
        assert not undocumented
