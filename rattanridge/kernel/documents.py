"""Decoding of YAML documents into typed classes, with coded errors and line numbers."""

import re
import typing

import msgspec
import yaml

from rattanridge.kernel import codes, files

T = typing.TypeVar("T")

# The libyaml loader is ten times as fast; parsing must not block a node for long.
Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)

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


def decode(text: str, target_type: type[T], where: str = "document") -> T:
    """Decode YAML text; raise a ``codes.Failure`` with the line if it is invalid.

    :param target_type: usually a ``msgspec.Struct`` that forbids unknown fields.
    :param where: name of the document for error messages.
    """
    if len(text) > files.MAX_DOCUMENT_BYTES:
        raise codes.Failure(
            codes.TOO_LARGE,
            f"{len(text)} characters; the limit is {files.MAX_DOCUMENT_BYTES}",
            where=where,
        )
    try:
        loader = Loader(text)
        root = loader.get_single_node()
        check_nodes(root, where)
        value = loader.construct_document(root) if root is not None else None
    except CONSTRUCTION_ERRORS as error:
        mark = getattr(error, "problem_mark", None)
        location = f"{where}:{mark.line + 1}" if mark else where
        detail = getattr(error, "problem", None) or str(error) or "nested too deeply"
        raise codes.Failure(codes.BAD_YAML, detail, where=location)
    return convert(value, target_type, where, root)


def convert(
    value: object, target_type: type[T], where: str = "document", root: object = None
) -> T:
    """Convert plain data to a type; raise ``bad-field`` with the path and line.

    :param root: YAML node of the value, which gives the line; None for no line.
    """
    try:
        return msgspec.convert(value, target_type)
    except msgspec.ValidationError as error:
        detail, _, path = str(error).partition(" - at `")
        path = path.rstrip("`")
        unknown = UNKNOWN_FIELD.match(detail)
        line = find_line(root, f"{path or '$'}.{unknown[1]}" if unknown else path)
        location = f"{where}:{line}" if line else where
        message = f"{detail} at {path}" if path else detail
        raise codes.Failure(codes.BAD_FIELD, message, where=location)


def check_nodes(root: object, where: str) -> None:
    """Raise on duplicate keys, on deep nesting, and on aliases.

    A few nested aliases can expand to more values than fit into memory.
    """
    seen: set[int] = set()
    pending = [(root, 0)]
    while pending:
        node, depth = pending.pop()
        if not isinstance(node, yaml.Node):
            continue
        location = f"{where}:{node.start_mark.line + 1}"
        if id(node) in seen:
            raise codes.Failure(codes.BAD_YAML, "aliases are refused", where=location)
        seen.add(id(node))
        if depth > MAX_DEPTH:
            raise codes.Failure(codes.BAD_YAML, "nested too deeply", where=location)
        if isinstance(node, yaml.MappingNode):
            check_keys(node, where)
            children = [child for pair in node.value for child in pair]
        else:
            children = node.value if isinstance(node, yaml.SequenceNode) else []
        pending.extend((child, depth + 1) for child in children)


def check_keys(node: yaml.MappingNode, where: str) -> None:
    """Raise ``duplicate-key`` if a mapping contains the same key twice."""
    seen: set[str] = set()
    for key, _ in node.value:
        name = str(key.value)
        if name in seen:
            location = f"{where}:{key.start_mark.line + 1}"
            raise codes.Failure(codes.DUPLICATE_KEY, name, where=location)
        seen.add(name)


def add_line_number(failure: codes.Failure, text: str, where: str) -> codes.Failure:
    """Add the line number to a failure whose location is ``where: path``."""
    path = failure.where.removeprefix(f"{where}: ")
    if path != failure.where:
        line = find_line(Loader(text).get_single_node(), f"$.{path}")
        failure.where = f"{where}:{line}: {path}"
    return failure


def find_line(root: object, path: str) -> int:
    """Return the line of the deepest existing node on a path; 0 if there is none.

    :param path: like ``$.routes[0].timeout``.
    """
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
