"""YAML documents from people, decoded into typed classes with coded errors."""

import pathlib
import re
import typing

import msgspec
import yaml

from rattanridge.kernel import codes

T = typing.TypeVar("T")

MAX_DOCUMENT_BYTES = 1_000_000
PATH_STEP = re.compile(r"\.([^.\[]+)|\[(\d+|\.\.\.)\]")


def read(path: str) -> str:
    """Return a file's text; raise a coded failure if it can't be read."""
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise codes.Failure(codes.NO_FILE, error.strerror or "", where=path)
    if len(data) > MAX_DOCUMENT_BYTES:
        raise codes.Failure(codes.TOO_LARGE, f"{len(data)} bytes", where=path)
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        raise codes.Failure(codes.BAD_YAML, str(error), where=path)


def decode(text: str, kind: type[T], where: str = "document") -> T:
    """Decode YAML text into a class.

    :param text: the document.
    :param kind: a ``msgspec.Struct`` class that forbids unknown fields.
    :param where: the document's name for error messages.
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        raise codes.Failure(codes.TOO_LARGE, f"{len(text)} characters", where=where)
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        check_keys(root, where)
        value = yaml.safe_load(text)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        mark = getattr(error, "problem_mark", None)
        place = f"{where}:{mark.line + 1}" if mark else where
        detail = getattr(error, "problem", None) or str(error) or "nested too deeply"
        raise codes.Failure(codes.BAD_YAML, detail, where=place)
    return convert(value, kind, where, root)


def convert(
    value: object, kind: type[T], where: str = "document", root: object = None
) -> T:
    """Convert plain data into a class; errors name the path and line."""
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        detail, _, path = str(error).partition(" - at `")
        path = path.rstrip("`")
        line = find_line(root, path)
        place = f"{where}:{line}" if line else where
        shown = f"{detail} at {path}" if path else detail
        raise codes.Failure(codes.BAD_FIELD, shown, where=place)


def check_keys(node: object, where: str, depth: int = 0) -> None:
    """Refuse a mapping that holds one key twice, at any depth."""
    if depth > 50:
        raise codes.Failure(codes.BAD_YAML, "nested too deeply", where=where)
    if isinstance(node, yaml.MappingNode):
        seen: set[str] = set()
        for key, value in node.value:
            name = str(key.value)
            if name in seen:
                place = f"{where}:{key.start_mark.line + 1}"
                raise codes.Failure(codes.DUPLICATE_KEY, name, where=place)
            seen.add(name)
            check_keys(value, where, depth + 1)
    elif isinstance(node, yaml.SequenceNode):
        for item in node.value:
            check_keys(item, where, depth + 1)


def find_line(root: object, path: str) -> int:
    """Return the line of the deepest node on a path like ``$.routes[0].timeout``."""
    node = root
    for name, index in PATH_STEP.findall(path):
        child = None
        if isinstance(node, yaml.MappingNode) and name:
            child = next((v for k, v in node.value if k.value == name), None)
        elif isinstance(node, yaml.SequenceNode) and index.isdigit():
            child = node.value[int(index)] if int(index) < len(node.value) else None
        if child is None:
            break
        node = child
    return node.start_mark.line + 1 if isinstance(node, yaml.Node) else 0
