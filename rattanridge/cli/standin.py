"""Commands ``standin``, which run stand-ins of the platform and of upstreams."""

import asyncio
import collections.abc
import signal
import sys
import typing

import click
import msgspec

from rattanridge.cli import main
from rattanridge.kernel import codes, log
from rattanridge.standin import metadata, upstream as upstreams, upstream_faults

CRASH_EXIT = 70  # exit status of an upstream stand-in that a request crashed

T = typing.TypeVar("T")

AsyncCallback = collections.abc.Callable[[], collections.abc.Awaitable[object]]

fault_option = click.option(
    "--fault",
    "faults",
    multiple=True,
    metavar="NAME=VALUE",
    help="Fault that is active from the start; may be given more than once.",
)


@main.COMMANDS.register("standin")
@click.group()
def standin() -> None:
    """Run a stand-in of the platform or of an upstream."""


@standin.command()
@click.option("--address", default="127.0.0.1:7400", show_default=True)
@fault_option
def platform(address: str, faults: tuple[str, ...]) -> None:
    """Run a stand-in of the platform's store.

    PUT /faults replaces its faults.
    """
    log.configure()
    store = metadata.MetadataStore()
    store.faults = parse_faults(faults, metadata.Faults)

    async def start() -> None:
        await store.start(address)
        click.echo(f"platform on {store.address}")

    asyncio.run(run_until_signal(start, store.stop))


@standin.command()
@click.option("--service", required=True)
@click.option("--version", "version", default="v1", show_default=True)
@click.option("--node", default="", help="HOST:PORT of its node's heartbeat port.")
@click.option(
    "--address", default="127.0.0.1:0", help="HOST:PORT; port 0 means any free port."
)
@click.option("--slots", default=12, show_default=True)
@click.option(
    "--work", default=0.005, show_default=True, help="Mean seconds per request."
)
@click.option(
    "--cold-start",
    default=0.0,
    help="Seconds after the start in which the mean time per request is doubled.",
)
@click.option("--seed", default=0, show_default=True)
@click.option("--tell", default="", help="HOST:PORT to report instead of --address.")
@click.option(
    "--journal",
    default="",
    help="File to which runs and the acknowledged drain are written.",
)
@fault_option
def upstream(
    service: str,
    version: str,
    node: str,
    address: str,
    slots: int,
    work: float,
    cold_start: float,
    seed: int,
    tell: str,
    journal: str,
    faults: tuple[str, ...],
) -> None:
    """Run a stand-in of an upstream that sends heartbeats to its node.

    SIGTERM drains and stops it. PUT /-/faults replaces its faults. A request that
    crashes it ends the process with status 70.
    """
    log.configure()
    shape = upstreams.Shape(service, version, slots, work, cold_start)
    instance = upstreams.Upstream(shape, node, seed, journal)
    instance.reported_address = tell
    instance.faults = parse_faults(faults, upstream_faults.Faults)

    async def start() -> None:
        await instance.start(address)
        click.echo(f"upstream {service} {version} on {instance.address}")

    asyncio.run(run_until_signal(start, instance.drain_and_stop, instance.crashed))
    sys.exit(CRASH_EXIT if instance.crashed.is_set() else 0)


def parse_faults(texts: collections.abc.Iterable[str], kind: type[T]) -> T:
    """Parse faults given as ``name=value``; raise ``bad-field`` for an invalid one."""
    values = dict(text.partition("=")[::2] for text in texts)
    try:
        return msgspec.convert(values, kind, strict=False)
    except msgspec.ValidationError as error:
        raise codes.Failure(codes.BAD_FIELD, str(error), where="--fault")


async def run_until_signal(
    start: AsyncCallback, stop: AsyncCallback, crashed: asyncio.Event | None = None
) -> None:
    """Run a server until SIGTERM or SIGINT, then stop it gracefully.

    Raise ``cannot-listen`` if ``start`` fails to listen.

    :param crashed: set when the server has crashed; it is then not stopped.
    """
    ended = crashed or asyncio.Event()
    signalled = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signalled.set)
    try:
        await start()
    except OSError as error:
        raise codes.Failure(codes.CANNOT_LISTEN, error.strerror or "")
    waits = [asyncio.create_task(event.wait()) for event in (ended, signalled)]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()
    if not ended.is_set():
        await stop()
