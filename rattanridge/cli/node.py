"""Command ``node``, which runs one node."""

import asyncio

import click

from rattanridge import daemon
from rattanridge.cli import main


@main.COMMANDS.register("node")
@click.command("node")
@click.option(
    "-c", "--config", "path", required=True, help="Path of the settings file."
)
def run_node(path: str) -> None:
    """Run one node until SIGTERM or SIGINT; a second signal ends it at once.

    SIGHUP reloads the settings.
    """
    asyncio.run(daemon.serve(path))
