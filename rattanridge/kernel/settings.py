"""Field types and checks shared by settings, presets and operators' requests."""

import re
import typing

import msgspec

from rattanridge.kernel import codes

HOST_PORT = re.compile(r"[0-9a-fA-F.:\[\]]+:\d{1,5}")

Seconds = typing.Annotated[float, msgspec.Meta(gt=0, le=86400)]
Milliseconds = typing.Annotated[float, msgspec.Meta(gt=0, le=86_400_000)]
Rate = typing.Annotated[float, msgspec.Meta(gt=0, le=1e9)]  # per second
Count = typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Bytes = typing.Annotated[int, msgspec.Meta(ge=1024, le=100_000_000)]
Name = typing.Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Secret = typing.Annotated[str, msgspec.Meta(min_length=8)]


class Struct(msgspec.Struct, forbid_unknown_fields=True):
    """Base class of settings; unknown keys are errors."""


class Token(Struct, kw_only=True):
    """A bearer token of the administration API."""

    name: Name
    secret: Secret
    role: typing.Literal["viewer", "operator"] = "viewer"


def check_word(text: str, path: str, where: str) -> None:
    """Raise if a name has a space or a character that breaks a log line."""
    if not text.isprintable() or " " in text:
        raise_bad_field(
            where, path, f"{text!r} contains a space or a non-printable character"
        )


def check_address(address: str, path: str, where: str) -> None:
    """Raise unless an address is empty or an IP address with a port."""
    if address and not HOST_PORT.fullmatch(address):
        raise_bad_field(where, path, f"{address!r} is not an IP address with a port")


def check_tokens(tokens: list[Token], where: str) -> None:
    """Raise if two tokens have the same name or the same secret."""
    names: set[str] = set()
    secrets: set[str] = set()
    for index, token in enumerate(tokens):
        if token.name in names or token.secret in secrets:
            raise_bad_field(
                where, f"tokens[{index}]", "another token has the same name or secret"
            )
        names.add(token.name)
        secrets.add(token.secret)


def raise_bad_field(where: str, path: str, detail: str) -> typing.NoReturn:
    """Raise ``bad-field`` for the field at ``path``."""
    raise codes.Failure(codes.BAD_FIELD, detail, where=f"{where}: {path}")
