"""Command ``soak``, which runs the system under random faults."""

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
@click.option("--seed", default=1, show_default=True, help="Seed of the first run.")
@click.option(
    "--seeds",
    default=1,
    show_default=True,
    help="Number of runs, one after another, each with the next seed.",
)
@click.option(
    "--minutes", default=0.25, show_default=True, help="Minutes of faults in each run."
)
@click.option(
    "--keep", default="", help="Directory to which the logs of failed runs are moved."
)
@click.option(
    "--stops", is_flag=True, help="Stop all nodes in turn beside long requests."
)
@click.option(
    "--accounts", is_flag=True, help="Use presets with client accounts and keys."
)
def soak(
    seed: int, seeds: int, minutes: float, keep: str, stops: bool, accounts: bool
) -> None:
    """Run real processes under random faults and check the documented promises.

    Exit with status 1 if a promise was broken in any run; the logs of such a run
    are kept.
    """
    log.configure("error")
    failed_runs = 0
    for number in range(seed, seed + seeds):
        directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{number}-"))
        run = soaks.Soak(number, minutes * 60, directory, stops, accounts)
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
        failed_runs += 1
        for text in outcome.broken:
            click.echo(f"  BROKEN: {text}")
        click.echo(f"  logs: {keep_logs(directory, keep)}")
    sys.exit(1 if failed_runs else 0)


def keep_logs(directory: pathlib.Path, keep: str) -> pathlib.Path:
    """Move the logs of a failed run to ``keep``; return where they are.

    :param keep: directory, created if missing; empty to leave the logs in place.
    """
    if not keep:
        return directory
    pathlib.Path(keep).mkdir(parents=True, exist_ok=True)
    return pathlib.Path(shutil.move(directory, keep))
