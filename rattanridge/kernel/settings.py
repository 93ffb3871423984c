"""Types of fields that settings, presets and requests of operators share."""

import re
import typing

import msgspec

from rattanridge.kernel import codes

HOST_PORT = re.compile(r"[0-9a-fA-F.:\[\]]+:\d{1,5}")

Seconds = typing.Annotated[float, msgspec.Meta(gt=0, le=86400)]
Count = typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Bytes = typing.Annotated[int, msgspec.Meta(ge=1024, le=100_000_000)]
Name = typing.Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Secret = typing.Annotated[str, msgspec.Meta(min_length=8)]


class Struct(msgspec.Struct, forbid_unknown_fields=True):
    """Base of settings classes: slots, and no unknown keys."""


class Token(Struct, kw_only=True):
    """A bearer token of the administration API."""

    name: Name
    secret: Secret
    role: typing.Literal["viewer", "operator"] = "viewer"


def check_word(text: str, path: str, where: str) -> None:
    """Refuse a name that could not stand as one word in a log line."""
    if not text.isprintable() or " " in text:
        raise_bad_field(where, path, f"{text!r} is not one word")


def check_address(address: str, path: str, where: str) -> None:
    """Refuse what is not an IP number with a port; an empty one is left out."""
    if address and not HOST_PORT.fullmatch(address):
        raise_bad_field(where, path, f"{address!r} is not an IP number with a port")


def check_tokens(tokens: list[Token], where: str) -> None:
    """Refuse tokens with one name or one secret."""
    names: set[str] = set()
    secrets: set[str] = set()
    for index, token in enumerate(tokens):
        if token.name in names or token.secret in secrets:
            raise_bad_field(where, f"tokens[{index}]", "a name or secret stands twice")
        names.add(token.name)
        secrets.add(token.secret)


def raise_bad_field(where: str, path: str, detail: str) -> typing.NoReturn:
    """Raise the failure of one field."""
    raise codes.Failure(codes.BAD_FIELD, detail, where=f"{where}: {path}")
