"""Command that runs one node."""

import asyncio
import os
import signal

import click

from rattanridge import node as nodes
from rattanridge.cli import main
from rattanridge.kernel import log, settings


@main.COMMANDS.register("node")
@click.command("node")
@click.option("-c", "--config", "path", required=True, help="Settings file.")
def run_node(path: str) -> None:
    """Run one node until SIGTERM; a second signal ends it at once."""
    config = settings.load(path)
    log.configure(config.log_level)
    asyncio.run(serve(config))


async def serve(config: settings.NodeSettings) -> None:
    """Run a node; the first signal stops it gracefully."""
    stopping = asyncio.Event()

    def on_signal() -> None:
        if stopping.is_set():
            os._exit(1)
        stopping.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    node = nodes.Node(config)
    await node.start()
    nodes.settle_memory()
    await stopping.wait()
    await node.stop()
