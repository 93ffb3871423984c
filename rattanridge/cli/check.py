"""Commands ``check``, which validates a file, and ``codes``, which lists the codes."""

import typing

import click

from rattanridge import policies
from rattanridge.cli import main
from rattanridge.kernel import codes, documents, files, presets, registry
from rattanridge.mesh import settings


@main.COMMANDS.register("check")
@click.command()
@click.argument("file")
def check(file: str) -> None:
    """Check the settings or preset in FILE.

    If it is invalid, print the error with its code and line, and exit with status 2.
    """
    registry.load_plugins(policies)
    text = files.read(file)
    if "routes" in top_level_keys(text, file):
        preset = presets.parse(text, file)
        click.echo(f"{file}: preset {preset.name}: {len(preset.routes)} routes")
    else:
        node = settings.parse(text, file)
        click.echo(f"{file}: settings of node {node.name}")


def top_level_keys(text: str, file: str) -> set[str]:
    """Return the top-level keys of a document, which tell presets from settings."""
    document = documents.decode(text, dict[str, typing.Any], file)
    return set(map(str, document))


@main.COMMANDS.register("codes")
@click.command("codes")
def show_codes() -> None:
    """Print the table of result codes as Markdown."""
    click.echo(format_table(), nl=False)


def format_table() -> str:
    """Return the table of result codes as Markdown, for the documentation."""
    lines = [
        "| code | name | HTTP status | exit | meaning |",
        "| --- | --- | --- | --- | --- |",
    ]
    for number in sorted(codes.TABLE):
        code = codes.TABLE[number]
        lines.append(
            f"| {number} | {code.name} | {code.status} | {code.exit_code} "
            f"| {code.meaning} |"
        )
    return "\n".join(lines) + "\n"
