"""Command that runs measurements."""

import sys

import click
import msgspec

from rattanridge import measure as package
from rattanridge.cli import main
from rattanridge.kernel import codes, registry
from rattanridge.measure import base


@main.COMMANDS.register("measure")
@click.command()
@click.argument("name")
@click.option("--json", "as_json", is_flag=True, help="Print only the JSON line.")
@click.option("--seed", default=1, show_default=True)
@click.option("--size", default=0, help="Size; 0 takes the experiment's default.")
@click.option("--seconds", default=0.0, help="Seconds; 0 takes the default.")
def measure(name: str, as_json: bool, seed: int, size: int, seconds: float) -> None:
    """Run the experiment NAME, or ``list`` the experiments."""
    registry.load_plugins(package)
    if name == "list":
        for item in base.EXPERIMENTS.names():
            click.echo(item)
        return
    result = find(name)(base.Parameters(seed, size, seconds))
    if not as_json:
        for line in format_table(result):
            click.echo(line)
    click.echo(msgspec.json.encode(result).decode())
    sys.exit(0 if result.ok else 1)


def find(name: str) -> base.Experiment:
    try:
        return base.EXPERIMENTS.get(name)
    except KeyError as error:
        raise codes.Failure(codes.BAD_FIELD, str(error.args[0]), where="measure")


def format_table(result: base.Result) -> list[str]:
    """Return figures and targets as a plain table."""
    width = max(map(len, result.figures), default=0)
    lines = [f"{result.name} seed {result.seed} runs {result.runs}"]
    for name, value in result.figures.items():
        target = result.target.get(name)
        shown = f"  (target {target})" if target is not None else ""
        lines.append(f"{name:<{width}}  {value}{shown}")
    lines.append("ok" if result.ok else "target missed")
    return lines
