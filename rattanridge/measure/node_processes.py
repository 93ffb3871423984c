"""Nodes that run as in a deployment, each a process of its own, and what they cost."""

import asyncio
import compileall
import dataclasses
import os
import pathlib
import sys

import aiohttp
import msgspec

import rattanridge
from rattanridge.measure import processes
from rattanridge.mesh import settings
from rattanridge.platform import heartbeats

MODULE = "rattanridge.daemon"
SETTINGS_VARIABLE = "RATTANRIDGE_BOOT"  # names the settings file
# Set by deploy/system.toml: the node does not use TLS.
DEPLOYED_ENVIRONMENT = {"SSL_CERT_FILE": "/dev/null"}


@dataclasses.dataclass(slots=True)
class Memory:
    """Resident memory of a process in MiB.

    :param resident: all of it, with the pages of files.
    :param anonymous: the part that is not backed by files.
    :param peak: highest value of ``resident`` so far.
    """

    resident: float
    anonymous: float
    peak: float


def compile_modules() -> None:
    """Compile the package to bytecode, as the build of a deployment does."""
    for directory in rattanridge.__path__:
        compileall.compile_dir(directory, quiet=1)


class NodeProcess:
    """A node that runs ``python -m rattanridge.daemon``.

    :param config: its settings.
    :param directory: receives its settings file and its log.
    """

    def __init__(self, config: settings.Settings, directory: pathlib.Path):
        self.config = config
        self.path = directory / f"{config.name}.yaml"
        self.log = directory / f"{config.name}.log"
        self.path.write_bytes(msgspec.json.encode(config))
        self.process: asyncio.subprocess.Process

    async def start(self) -> None:
        """Start the process; do not wait until the node is ready."""
        environment = os.environ | DEPLOYED_ENVIRONMENT
        environment[SETTINGS_VARIABLE] = str(self.path)
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", MODULE,
                stdout=log, stderr=log, env=environment,
            )  # fmt: skip

    async def wait_ready(self, session: aiohttp.ClientSession) -> None:
        """Wait until the node is ready; raise ``TimeoutError`` if that takes long."""
        url = f"http://{self.config.listen.ready}{heartbeats.READY_PATH}"
        async with asyncio.timeout(processes.START_TIMEOUT):
            while not await is_ready(session, url):
                await asyncio.sleep(processes.POLL_INTERVAL * 5)

    async def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.process.kill()
        await self.process.wait()

    def cpu_seconds(self) -> float:
        """Return the user and system CPU time of all threads in seconds.

        The scheduler counts it in nanoseconds; ``/proc/PID/stat`` has only ticks.
        """
        tasks = pathlib.Path(f"/proc/{self.process.pid}/task").glob("*/schedstat")
        return sum(int(task.read_text().split()[0]) for task in tasks) / 1e9

    def memory(self) -> Memory:
        """Return the memory that the process uses now."""
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        values = dict(line.split(":", 1) for line in text.splitlines())
        return Memory(
            *(
                int(values[name].split()[0]) / 1024
                for name in ("VmRSS", "RssAnon", "VmHWM")
            )
        )


async def is_ready(session: aiohttp.ClientSession, url: str) -> bool:
    """Return whether a node answers its readiness check with status 200."""
    try:
        async with session.get(url) as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False
