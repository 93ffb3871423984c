"""Command ``explain``, which prints the log lines of one request from several nodes."""

import re
import typing

import click

from rattanridge.cli import main
from rattanridge.kernel import codes

TIMESTAMP = re.compile(r"\btime=(\S+)")
CODE = re.compile(r"\bcode=(\d{4})\b")


def matches_request(line: str, request: str) -> bool:
    """Return whether a line has the ID of a request, or of a call made for it."""
    for word in line.split():
        name, _, value = word.partition("=")
        if name == "id" and (value == request or value.startswith(f"{request}.")):
            return True
    return False


def timestamp(line: str) -> str:
    """Return the timestamp of a line; empty, which sorts first, if it has none."""
    match = TIMESTAMP.search(line)
    return match[1] if match else ""


def code_meaning(line: str) -> str:
    """Return the meaning of the result code in a line; empty if it has none."""
    match = CODE.search(line)
    code = codes.TABLE.get(int(match[1])) if match else None
    return f"    {code.number} {code.name}: {code.meaning}" if code else ""


@main.COMMANDS.register("explain")
@click.command("explain")
@click.argument("request")
@click.argument("files", nargs=-1, required=True, type=click.File(errors="replace"))
def explain(request: str, files: tuple[typing.TextIO, ...]) -> None:
    """Print the log lines of REQUEST in FILES, sorted by time.

    REQUEST is the request's ID. Exit with status 1 if no line has it.
    """
    lines = [line.rstrip("\n") for file in files for line in file]
    matching = sorted(
        (line for line in lines if matches_request(line, request)), key=timestamp
    )
    if not matching:
        click.echo(f"No line in the given files has the request ID {request}", err=True)
        raise SystemExit(1)
    for line in matching:
        click.echo(line)
        if text := code_meaning(line):
            click.echo(text)
