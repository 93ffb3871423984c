"""YAML documents from people, decoded into typed classes with coded errors."""

import pathlib
import re
import typing

import msgspec
import yaml

from rattanridge.kernel import codes

T = typing.TypeVar("T")

# The one on libyaml is ten times as fast; a node must not stand still meanwhile.
Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)

MAX_DOCUMENT_BYTES = 1_000_000
MAX_DEPTH = 50
CONSTRUCTION_ERRORS = (
    yaml.YAMLError,
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
UNKNOWN_FIELD = re.compile(r"Object contains unknown field `(.+)`")
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
        loader = Loader(text)
        root = loader.get_single_node()
        check_nodes(root, where)
        value = loader.construct_document(root) if root is not None else None
    except CONSTRUCTION_ERRORS as error:
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
        unknown = UNKNOWN_FIELD.match(detail)
        line = find_line(root, f"{path or '$'}.{unknown[1]}" if unknown else path)
        place = f"{where}:{line}" if line else where
        shown = f"{detail} at {path}" if path else detail
        raise codes.Failure(codes.BAD_FIELD, shown, where=place)


def check_nodes(root: object, where: str) -> None:
    """Refuse a key that stands twice, deep nesting, and aliases.

    A few aliases of aliases would stand for more values than memory holds.
    """
    seen: set[int] = set()
    waiting = [(root, 0)]
    while waiting:
        node, depth = waiting.pop()
        if not isinstance(node, yaml.Node):
            continue
        place = f"{where}:{node.start_mark.line + 1}"
        if id(node) in seen:
            raise codes.Failure(codes.BAD_YAML, "aliases are refused", where=place)
        seen.add(id(node))
        if depth > MAX_DEPTH:
            raise codes.Failure(codes.BAD_YAML, "nested too deeply", where=place)
        if isinstance(node, yaml.MappingNode):
            check_keys(node, where)
            parts = [part for pair in node.value for part in pair]
        else:
            parts = node.value if isinstance(node, yaml.SequenceNode) else []
        waiting.extend((part, depth + 1) for part in parts)


def check_keys(node: yaml.MappingNode, where: str) -> None:
    """Refuse a mapping that holds one key twice."""
    seen: set[str] = set()
    for key, _ in node.value:
        name = str(key.value)
        if name in seen:
            place = f"{where}:{key.start_mark.line + 1}"
            raise codes.Failure(codes.DUPLICATE_KEY, name, where=place)
        seen.add(name)


def add_line_number(failure: codes.Failure, text: str, where: str) -> codes.Failure:
    """Add the line to a failure whose place is ``where: path``."""
    path = failure.where.removeprefix(f"{where}: ")
    if path != failure.where:
        line = find_line(Loader(text).get_single_node(), f"$.{path}")
        failure.where = f"{where}:{line}: {path}"
    return failure


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
