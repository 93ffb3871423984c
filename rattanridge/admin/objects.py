"""Objects that operators keep in the store, in addition to the platform's own."""

import msgspec

from rattanridge.kernel import codes, presets

PRESETS = "presets"  # kind: one object for each revision, never changed
CHOICES = "choices"  # kind: one object for each choice of a preset
# Bytes of one encoded object; the store accepts about one megabyte.
MAX_OBJECT_BYTES = 1_000_000


class Revision(msgspec.Struct):
    """One revision of a preset.

    :param operator: name of the operator who stored it.
    :param content: the preset; None where only the revision is listed.
    """

    name: str
    revision: int
    operator: str = ""
    content: presets.Preset | None = None


class Choice(msgspec.Struct):
    """An operator's choice of the preset in force.

    :param generation: version of the configuration that the choice produced.
    :param at: seconds since the epoch.
    :param sending: random ID of the write, by which the writer identifies its own
        choice when it reads the object back.
    """

    generation: int
    preset: str
    revision: int
    operator: str
    at: float
    sending: str = ""


def revision_key(name: str, revision: int) -> str:
    """Return the name of the object that holds a revision."""
    return f"{name}.{revision:08}"


def choice_key(generation: int) -> str:
    """Return the name of the object that holds a choice.

    The names sort by generation, and so in order of time.
    """
    return f"{generation:010}"


def encode(value: object) -> bytes:
    """Return an object as JSON for the store.

    Raise ``too-large`` if it has more than ``MAX_OBJECT_BYTES`` bytes.
    """
    data = msgspec.json.encode(value)
    if len(data) > MAX_OBJECT_BYTES:
        raise codes.Failure(
            codes.TOO_LARGE,
            f"the object has {len(data)} bytes; at most {MAX_OBJECT_BYTES} are allowed",
        )
    return data
