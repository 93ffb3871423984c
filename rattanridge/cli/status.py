"""Command ``status``, which shows the state of the system."""

import collections
import json
import typing

import click

from rattanridge.cli import main, remote, zone_lines

MAX_NODES_SHOWN = 10  # lagging nodes that are listed by name


@main.COMMANDS.register("status")
@click.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@remote.options
def status(as_json: bool, client: remote.AdminClient) -> None:
    """Show the configuration in force, nodes, endpoints and rollouts."""
    report = client.call("GET", "/status")
    if as_json:
        click.echo(json.dumps(report))
        return
    for line in format_report(report):
        click.echo(line)


def format_refused(refused: dict[str, str]) -> list[str]:
    """Return a line for each reason, with the number of nodes that report it."""
    counts = collections.Counter(refused.values())
    return [
        f"refused    by {count} nodes: {reason}"
        for reason, count in sorted(counts.items())
    ]


def format_report(report: dict[str, typing.Any]) -> list[str]:
    """Return a status report as lines of text."""
    lines = [
        f"platform   {report['platform']}",
        (
            f"in force   generation {report['node_generation']} "
            f"preset {report['preset'] or '-'} revision {report['revision']} "
            f"(at node {report['node']})"
        ),
    ]
    if report["operator"]:
        lines.append(f"chosen     by {report['operator']}")
    total = report["nodes"]
    applied = sorted(report["applied"].items(), key=lambda item: -int(item[0]))
    for generation, count in applied:
        lines.append(f"nodes      {count} of {total} apply generation {generation}")
    lines += format_refused(report["refused"])
    for item in report["behind"][:MAX_NODES_SHOWN]:
        lines.append(
            f"behind     {item['node']} at generation {item['generation']}: "
            f"{item['code'] or '-'} {item['reason']}"
        )
    if len(report["behind"]) > MAX_NODES_SHOWN:
        lines.append(
            f"behind     and {len(report['behind']) - MAX_NODES_SHOWN} more nodes"
        )
    for endpoint, count in sorted(report["endpoints"].items()):
        lines.append(f"endpoints  {count} {endpoint}")
    for item in report["rollouts"]:
        lines.append(
            f"rollout    {item['service']} to {item['new']} "
            f"{item['state']} share {item['share']:.0%}"
        )
    lines += [zone_lines.format_zone(item) for item in report["zones"]]
    return lines
