"""Runs one node as a process: ``python -m rattanridge.daemon``."""

import asyncio
import collections.abc
import os
import signal
import sys

if __name__ == "__main__":
    # A reload may be asked for while the modules below load, and would end the
    # process. The settings are read after that anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from rattanridge.kernel import codes, sink as sinks
from rattanridge.mesh import node as nodes, settings

SETTINGS_VARIABLE = "RATTANRIDGE_BOOT"
KILLED_EXIT = 1  # exit status after a second signal to stop


class Signals:
    """Counts signals: the first one asks to stop, the second ends at once.

    :param end: ends the process with an exit status.
    """

    def __init__(self, end: collections.abc.Callable[[int], object] = os._exit):
        self.stopping = asyncio.Event()
        self.end = end

    def take(self) -> None:
        """Take one signal."""
        if self.stopping.is_set():
            self.end(KILLED_EXIT)
        self.stopping.set()


async def serve(path: str) -> None:
    """Run a node until SIGTERM; SIGHUP reads the settings again.

    :param path: the settings file.
    """
    file = settings.SettingsFile(path)
    config = settings.load(path)
    node = nodes.Node(config, file, sinks.configure())
    signals = Signals()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, signals.take)
    loop.add_signal_handler(signal.SIGINT, signals.take)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    try:
        await start(node)
    except codes.Failure:
        await node.close()
        raise
    await signals.stopping.wait()
    await node.stop()


async def start(node: nodes.Node) -> None:
    """Start a node, with the administration API if the settings ask for it."""
    await node.start()
    if not node.config.listen.admin:
        return
    # A node without it must not pay for its modules.
    from rattanridge.admin import server

    served = server.Server(node)
    await node.listen(served.serve, node.config.listen.admin)


def main() -> None:
    """Run the program."""
    try:
        asyncio.run(serve(os.environ.get(SETTINGS_VARIABLE, "")))
    except codes.Failure as failure:
        print(failure.format(), file=sys.stderr, flush=True)
        sys.exit(failure.exit_code)


if __name__ == "__main__":
    main()
