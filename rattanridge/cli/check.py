"""Commands that check files and print the table of codes."""

import typing

import click

from rattanridge import policies
from rattanridge.cli import main
from rattanridge.kernel import codes, documents, presets, registry
from rattanridge.mesh import settings


@main.COMMANDS.register("check")
@click.command()
@click.argument("file")
def check(file: str) -> None:
    """Check a settings or preset FILE; exit 2 with code and line on an error."""
    registry.load_plugins(policies)
    text = documents.read(file)
    if "routes" in top_keys(text, file):
        preset = presets.parse(text, file)
        click.echo(f"{file}: preset {preset.name}: {len(preset.routes)} routes")
    else:
        node = settings.parse(text, file)
        click.echo(f"{file}: settings of node {node.name}")


def top_keys(text: str, file: str) -> set[str]:
    """Return the document's top keys, to tell presets from settings."""
    value = documents.decode(text, dict[str, typing.Any], file)
    return set(map(str, value))


@main.COMMANDS.register("codes")
@click.command("codes")
def show_codes() -> None:
    """Print the table of result codes as Markdown."""
    click.echo(format_table(), nl=False)


def format_table() -> str:
    """Return the table of codes for the docs."""
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
