"""Command ``measure``, which runs experiments and reports their results.

Exit status: 0 if every target was met, 1 if one was missed, 2 for invalid
arguments, 3 if an experiment ended with an error.
"""

import gc
import inspect
import pathlib
import sys
import time

import click
import msgspec

from rattanridge import measure as package
from rattanridge.cli import main
from rattanridge.kernel import codes, registry
from rattanridge.measure import base, results

MISSED_EXIT = 1
FAILED_EXIT = 3


@main.COMMANDS.register("measure")
@click.command()
@click.argument("name")
@click.option("--json", "as_json", is_flag=True, help="Print only the JSON line.")
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--size",
    default=0,
    type=click.IntRange(min=0),
    help="Size of the experiment; 0 means its default.",
)
@click.option(
    "--seconds",
    default=0.0,
    type=click.FloatRange(min=0.0),
    help="Duration in seconds; 0 means the experiment's default.",
)
@click.option(
    "--out", default="", help="Directory to write results to, if NAME is 'all'."
)
def measure(
    name: str, as_json: bool, seed: int, size: int, seconds: float, out: str
) -> None:
    """Run the experiment NAME, or 'all' of them; 'list' prints their names.

    The last line is the result as JSON. Exit status: 0 if every target was
    met, 1 if one was missed, 3 if an experiment ended with an error.
    """
    registry.load_plugins(package)
    parameters = base.Parameters(seed, size, seconds)
    if name == "list":
        list_experiments()
        return
    if name == "all":
        sys.exit(run_all(parameters, as_json, out))
    record = run_one(name, parameters)
    show(record, as_json)
    sys.exit(exit_status(record))


def list_experiments() -> None:
    """Print the name and a one-line description of each experiment."""
    names = base.EXPERIMENTS.names()
    width = max(map(len, names), default=0)
    for name in names:
        click.echo(f"{name:<{width}}  {describe(base.EXPERIMENTS.get(name))}")


def describe(experiment: base.Experiment) -> str:
    """Return the first paragraph of an experiment's docstring as one line."""
    paragraph = (inspect.getdoc(experiment) or "").partition("\n\n")[0]
    return " ".join(paragraph.split())


def run_all(parameters: base.Parameters, as_json: bool, out: str) -> int:
    """Run every experiment in turn; return the highest exit status.

    :param out: directory in which results and a table are saved after each
        experiment; empty to save nothing.
    """
    directory = pathlib.Path(out) if out else None
    if directory is not None:
        directory.mkdir(parents=True, exist_ok=True)
    records = []
    for name in base.EXPERIMENTS.names():
        base.print_progress(f"measure: {name}")
        record = run_one(name, parameters)
        records.append(record)
        show(record, as_json)
        if directory is not None:
            results.save(record, directory)
            page = results.format_page(records)
            (directory / results.TABLE_FILE).write_text(page)
        gc.collect()
    return max(map(exit_status, records), default=0)


def run_one(name: str, parameters: base.Parameters) -> results.Record:
    """Run one experiment; record an exception that it raises."""
    experiment = find_experiment(name)
    record = results.Record(
        name, results.command_of(name, parameters), results.this_machine(), 0.0
    )
    started = time.monotonic()
    try:
        record.result = experiment(parameters)
    except Exception as error:
        record.error = f"{type(error).__name__}: {error}"
    record.seconds = round(time.monotonic() - started, 1)
    return record


def show(record: results.Record, as_json: bool) -> None:
    """Print the result as a table, unless only JSON is wanted, then as a JSON line."""
    if record.result is None:
        click.echo(f"{record.name}: {record.outcome}", err=True)
        return
    if not as_json:
        for line in results.format_table(record.result):
            click.echo(line)
    click.echo(msgspec.json.encode(record.result).decode())


def exit_status(record: results.Record) -> int:
    """Return the exit status for a record."""
    if record.result is None:
        return FAILED_EXIT
    return 0 if record.result.ok else MISSED_EXIT


def find_experiment(name: str) -> base.Experiment:
    """Return an experiment by name; raise ``bad-field`` if there is none."""
    try:
        return base.EXPERIMENTS.get(name)
    except KeyError as error:
        raise codes.Failure(codes.BAD_FIELD, str(error.args[0]), where="measure")
