"""Runs one node as a process: ``python -m rattanridge.daemon``."""

import asyncio
import collections.abc
import gc
import os
import signal
import sys

if __name__ == "__main__":
    # What a start creates stays, so that searching it for garbage, again and again,
    # takes a sixth of the CPU time of the start and finds next to nothing.
    gc.disable()
    # By default SIGHUP ends a process, and a reload may be requested while the
    # modules below are still loading. Ignoring it loses nothing, because the
    # settings are read afterwards.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from rattanridge.kernel import codes, sink as sinks
from rattanridge.mesh import node as nodes, settings

SETTINGS_VARIABLE = "RATTANRIDGE_BOOT"
FORCED_EXIT = 1  # exit status after a second stop signal


class StopSignals:
    """Handles stop signals: the first requests a stop, the second exits at once.

    :param end: function that exits the process with the given status.
    """

    def __init__(self, end: collections.abc.Callable[[int], object] = os._exit):
        self.stopping = asyncio.Event()
        self.end = end

    def handle(self) -> None:
        """Handle one stop signal."""
        if self.stopping.is_set():
            self.end(FORCED_EXIT)
        self.stopping.set()


async def serve(path: str) -> None:
    """Run a node until SIGTERM or SIGINT; SIGHUP reloads the settings.

    :param path: path of the settings file.
    """
    file = settings.SettingsFile(path)
    config = settings.load(path)
    node = nodes.Node(config, file, sinks.configure())
    signals = StopSignals()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, signals.handle)
    loop.add_signal_handler(signal.SIGINT, signals.handle)
    loop.add_signal_handler(signal.SIGHUP, node.reload, file)
    try:
        await start(node)
    except codes.Failure:
        await node.close()
        raise
    await signals.stopping.wait()
    await node.stop()


async def start(node: nodes.Node) -> None:
    """Start a node, and its administration API if the settings give an address."""
    await node.start()
    if node.config.listen.admin:
        # Imported here, so that a node without the API does not load its modules.
        from rattanridge.admin import server

        admin_server = server.Server(node)
        await node.ports.listen(admin_server.serve, node.config.listen.admin)
    # Modules and all parts of the node are never garbage.
    gc.freeze()
    gc.enable()


def main() -> None:
    """Run a node with the settings file that ``RATTANRIDGE_BOOT`` names.

    A coded failure is printed to standard error and sets the exit status.
    """
    try:
        asyncio.run(serve(os.environ.get(SETTINGS_VARIABLE, "")))
    except codes.Failure as failure:
        print(failure.format(), file=sys.stderr, flush=True)
        sys.exit(failure.exit_code)


if __name__ == "__main__":
    main()
