"""Commands that run the stand-ins as plain processes."""

import asyncio
import collections.abc

import click

from rattanridge.cli import main
from rattanridge.kernel import log
from rattanridge.standin import platform as platforms, upstream as upstreams


@main.COMMANDS.register("standin")
@click.group()
def standin() -> None:
    """Run a stand-in for the platform or for an upstream."""


@standin.command()
@click.option("--address", default="127.0.0.1", show_default=True)
@click.option("--port", default=7400, show_default=True)
def platform(address: str, port: int) -> None:
    """Run a platform stand-in; PUT /faults sets its faults."""
    log.configure()
    served = platforms.Platform()
    run_until_stopped(served.start(address, port), f"platform on {address}:{port}")


@standin.command()
@click.option("--service", required=True)
@click.option("--version", "version", default="v1", show_default=True)
@click.option("--node", required=True, help="Local URL of the node beside it.")
@click.option("--port", default=0, help="Port; 0 takes a free one.")
@click.option("--slots", default=12, show_default=True)
@click.option("--connections", default=110, show_default=True)
@click.option("--work", default=0.005, show_default=True, help="Seconds a request.")
def upstream(
    service: str,
    version: str,
    node: str,
    port: int,
    slots: int,
    connections: int,
    work: float,
) -> None:
    """Run an upstream stand-in that announces itself to the node beside it."""
    log.configure()
    shape = upstreams.Shape(service, version, slots, connections, work)
    served = upstreams.Upstream(shape, node)
    run_until_stopped(served.start(port=port), f"upstream {service} {version}")


def run_until_stopped(
    start: collections.abc.Coroutine[object, object, object], what: str
) -> None:
    """Start a server, say so, and run until interrupted."""

    async def run() -> None:
        await start
        click.echo(what)
        await asyncio.Event().wait()

    try:
        asyncio.run(run())
    except KeyboardInterrupt:
        pass
