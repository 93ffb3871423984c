"""Command that shows the system's state."""

import json
import typing

import click

from rattanridge.cli import main, remote


@main.COMMANDS.register("status")
@click.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@remote.options
def status(as_json: bool, remote: remote.Remote) -> None:
    """Show the configuration in force, nodes, roles and rollouts."""
    report = remote.call("GET", "/status")
    if as_json:
        click.echo(json.dumps(report))
        return
    for line in format_report(report):
        click.echo(line)


def format_report(report: dict[str, typing.Any]) -> list[str]:
    """Return a status report as lines for people."""
    lines = [
        f"platform   {report['platform']}",
        (
            f"in force   generation {report['node_generation']} "
            f"preset {report['preset'] or '-'} revision {report['revision']} "
            f"(at node {report['node']})"
        ),
    ]
    pointer = report["in_force"]
    if pointer:
        lines.append(
            f"chosen     generation {pointer['generation']} by {pointer['operator']}"
        )
    total = sum(report["applied"].values())
    for generation, count in sorted(report["applied"].items()):
        lines.append(f"nodes      {count} of {total} apply generation {generation}")
    for node, why in sorted(report["rejected"].items()):
        lines.append(f"rejected   {node}: {why['reason']}")
    for role, holder in sorted(report["roles"].items()):
        lines.append(f"role       {role}: {holder or '-'}")
    for endpoint, count in sorted(report["endpoints"].items()):
        lines.append(f"endpoints  {count} {endpoint}")
    for stage in report["rollouts"]:
        lines.append(
            f"rollout    {stage['service']} {stage['old']} -> {stage['new']} "
            f"{stage['state']} share {stage['share']:.0%}"
            + (f": {stage['reason']}" if stage["reason"] else "")
        )
    return lines
