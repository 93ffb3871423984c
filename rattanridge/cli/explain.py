"""Command that prints the life of one request from the log files of nodes."""

import re
import typing

import click

from rattanridge.cli import main
from rattanridge.kernel import codes

TIME = re.compile(r"\btime=(\S+)")
CODE = re.compile(r"\bcode=(\d{4})\b")


def belongs(line: str, request: str) -> bool:
    """Whether a line is on a request, or on a call that was made for it."""
    for word in line.split():
        name, _, value = word.partition("=")
        if name == "id" and (value == request or value.startswith(f"{request}.")):
            return True
    return False


def time_of(line: str) -> str:
    """Return a line's time; lines without one come first."""
    found = TIME.search(line)
    return found[1] if found else ""


def meaning(line: str) -> str:
    """Return what the line's code means, if it has one."""
    found = CODE.search(line)
    code = codes.TABLE.get(int(found[1])) if found else None
    return f"    {code.number} {code.name}: {code.meaning}" if code else ""


@main.COMMANDS.register("explain")
@click.command("explain")
@click.argument("request")
@click.argument("files", nargs=-1, required=True, type=click.File(errors="replace"))
def explain(request: str, files: tuple[typing.TextIO, ...]) -> None:
    """Print the lines on REQUEST in FILES, in order of time."""
    lines = [line.rstrip("\n") for file in files for line in file]
    found = sorted((line for line in lines if belongs(line, request)), key=time_of)
    if not found:
        click.echo(f"no line on {request}", err=True)
        raise SystemExit(1)
    for line in found:
        click.echo(line)
        if text := meaning(line):
            click.echo(text)
