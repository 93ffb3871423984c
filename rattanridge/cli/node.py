"""Command that runs one node."""

import asyncio
import collections.abc
import os
import signal

import click

from rattanridge import node as nodes
from rattanridge.cli import main
from rattanridge.kernel import codes, log, settings

KILLED_EXIT = 1  # exit status after a second signal


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
    signals = Signals()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.take)
    node = nodes.Node(config)
    try:
        await node.start()
    except codes.Failure:
        await node.close()
        raise
    nodes.settle_memory()
    await signals.stopping.wait()
    await node.stop()


class Signals:
    """Counts signals: the first one asks to stop, the second ends at once.

    :param end: ends the process with an exit status.
    """

    def __init__(self, end: collections.abc.Callable[[int], object] = os._exit):
        self.stopping = asyncio.Event()
        self.end = end

    def take(self) -> None:
        if self.stopping.is_set():
            self.end(KILLED_EXIT)
        self.stopping.set()
