"""Command that runs one node."""

import asyncio

import click

from rattanridge import daemon
from rattanridge.cli import main


@main.COMMANDS.register("node")
@click.command("node")
@click.option("-c", "--config", "path", required=True, help="Settings file.")
def run_node(path: str) -> None:
    """Run one node until SIGTERM; a second signal ends it at once."""
    asyncio.run(daemon.serve(path))
