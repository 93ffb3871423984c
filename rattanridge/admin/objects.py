"""What operators keep in the store beside the platform's own objects."""

import msgspec

from rattanridge.kernel import codes, presets

PRESETS = "presets"  # kind: one object for each revision, never changed
CHOICES = "choices"  # kind: one object for each choice of a preset
VALUE_MOST = 1_000_000  # bytes of one object; the store takes about a megabyte


class Revision(msgspec.Struct):
    """One revision of a preset.

    :param operator: who put it.
    """

    name: str
    revision: int
    operator: str = ""
    content: presets.Preset | None = None


class Choice(msgspec.Struct):
    """An operator's choice of the preset in force.

    :param generation: version of the configuration that it made.
    :param at: seconds since the epoch.
    :param sending: random name of the write, by which its writer knows it again.
    """

    generation: int
    preset: str
    revision: int
    operator: str
    at: float
    sending: str = ""


def revision_key(name: str, revision: int) -> str:
    """Return the name of a revision's object."""
    return f"{name}.{revision:08}"


def choice_key(generation: int) -> str:
    """Return the name of a choice's object; names stand in order of time."""
    return f"{generation:010}"


def encode(value: object) -> bytes:
    """Return an object as the store keeps it; refuse what is too large."""
    data = msgspec.json.encode(value)
    if len(data) > VALUE_MOST:
        raise codes.Failure(codes.TOO_LARGE, f"{len(data)} bytes")
    return data
