"""Runs one node with the settings that the environment names."""

import asyncio
import os
import signal
import sys

from rattanridge.kernel import codes, sink as sinks
from rattanridge.mesh import node as nodes, settings

SETTINGS_VARIABLE = "RATTANRIDGE_BOOT"


async def serve(path: str) -> None:
    """Run a node until SIGTERM; SIGHUP reads the settings again."""
    file = settings.File(path)
    config = settings.load(path)
    node = nodes.Node(config, file, sinks.configure())
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGINT, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    await node.start()
    await stopping.wait()
    await node.stop()


def main() -> None:
    """Run the program."""
    try:
        asyncio.run(serve(os.environ.get(SETTINGS_VARIABLE, "")))
    except codes.Failure as failure:
        print(failure.format(), file=sys.stderr, flush=True)
        sys.exit(failure.exit_code)


if __name__ == "__main__":
    main()
