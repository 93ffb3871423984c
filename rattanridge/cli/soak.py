"""Command that runs the fault soak."""

import asyncio
import pathlib
import shutil
import sys
import tempfile

import click

from rattanridge.cli import main
from rattanridge.kernel import log
from rattanridge.soak import soak as soaks


@main.COMMANDS.register("soak")
@click.command()
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--seeds", default=1, show_default=True, help="Seeds, one after another.")
@click.option("--minutes", default=0.25, show_default=True, help="Of trouble, a seed.")
@click.option("--keep", default="", help="Directory for the logs of broken seeds.")
def soak(seed: int, seeds: int, minutes: float, keep: str) -> None:
    """Run real processes under random faults and check the promises.

    Exit status 1 if a promise was broken; the logs of that seed are kept.
    """
    log.configure("error")
    broken = 0
    for number in range(seed, seed + seeds):
        directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{number}-"))
        run = soaks.Soak(number, minutes * 60, directory)
        outcome = asyncio.run(run.run())
        click.echo(
            f"seed {number}: {outcome.answered} of {outcome.calls} calls answered, "
            f"{len(outcome.faults)} faults: {', '.join(outcome.faults)}"
        )
        if outcome.skipped:
            click.echo(f"  skipped: {', '.join(outcome.skipped)}")
        if not outcome.broken:
            shutil.rmtree(directory)
            continue
        broken += 1
        for text in outcome.broken:
            click.echo(f"  BROKEN: {text}")
        click.echo(f"  logs: {keep_logs(directory, keep)}")
    sys.exit(1 if broken else 0)


def keep_logs(directory: pathlib.Path, keep: str) -> pathlib.Path:
    """Move a broken seed's logs to where they are kept."""
    if not keep:
        return directory
    pathlib.Path(keep).mkdir(parents=True, exist_ok=True)
    return pathlib.Path(shutil.move(directory, keep))
