"""Commands ``preset``, which store, show and choose presets."""

import datetime
import time
import urllib.parse

import click

from rattanridge import policies
from rattanridge.cli import main, remote
from rattanridge.kernel import codes, documents, presets, registry

POLL_INTERVAL = 0.1  # seconds
MAX_NODES_SHOWN = 5  # nodes that an error message names


@main.COMMANDS.register("preset")
@click.group()
def preset() -> None:
    """Store, show and choose presets."""


@preset.command()
@click.argument("file")
@remote.options
def put(file: str, client: remote.AdminClient) -> None:
    """Check the preset in FILE and store it as the next revision."""
    registry.load_plugins(policies)
    text = documents.read(file)
    name = presets.parse(text, file).name
    answer = client.call("PUT", f"/presets/{name}", text.encode())
    click.echo(f"preset {answer['name']} revision {answer['revision']}")


@preset.command("list")
@remote.options
def list_presets(client: remote.AdminClient) -> None:
    """List the presets with their newest revisions."""
    for item in client.call("GET", "/presets"):
        author = f" by {item['operator']}" if item["operator"] else ""
        click.echo(f"{item['name']} revision {item['revision']}{author}")


@preset.command()
@click.argument("name")
@click.option("--revision", default=0, help="Revision to show; 0 means the newest.")
@remote.options
def show(name: str, revision: int, client: remote.AdminClient) -> None:
    """Show the routes and accounts of the preset NAME, but no keys."""
    query = urllib.parse.urlencode({"revision": revision})
    answer = client.call("GET", f"/presets/{client.quote(name)}?{query}")
    click.echo(f"preset {name} revision {answer['revision']}")
    for route in answer["content"]["routes"]:
        kind = "idempotent" if route["idempotent"] else "once"
        methods = ",".join(route["methods"])
        click.echo(
            f"  {methods} {route['host']}{route['prefix']} -> {route['service']}"
            f" {kind} {route['priority']} {route['timeout']}s"
            f"{' public' if route.get('public') else ''}"
        )
    for account in answer["content"].get("accounts", ()):
        priority = "normal" if account["priority"] is None else account["priority"]
        click.echo(
            f"  account {account['name']}: {len(account['keys'])} keys, priority"
            f" {priority}, rate {account['rate']}/s, burst {account['burst']}"
        )


@preset.command()
@click.argument("name")
@click.option(
    "--generation",
    default=-1,
    help="Generation expected to be in force; refuse if another one is.",
)
@click.option("--revision", default=0, help="Revision to use; 0 means the newest.")
@click.option("--wait", is_flag=True, help="Wait until all nodes apply the preset.")
@click.option(
    "--timeout", default=30.0, show_default=True, help="Seconds to wait with --wait."
)
@remote.options
def use(
    name: str,
    generation: int,
    revision: int,
    wait: bool,
    timeout: float,
    client: remote.AdminClient,
) -> None:
    """Put a revision of the preset NAME in force."""
    started = time.monotonic()
    query = {"revision": str(revision)}
    if generation >= 0:
        query["generation"] = str(generation)
    answer = client.call(
        "POST", f"/presets/{client.quote(name)}/use?{urllib.parse.urlencode(query)}"
    )
    new_generation = answer["generation"]
    click.echo(
        f"generation {new_generation}: preset {name} revision {answer['revision']}"
    )
    if wait:
        nodes = wait_until_applied(client, new_generation, started + timeout)
        click.echo(
            f"in force at {nodes} nodes after {time.monotonic() - started:.2f} s"
        )


def wait_until_applied(client: remote.AdminClient, generation: int, end: float) -> int:
    """Wait until all known nodes apply a generation; return their number.

    A node that does not answer counts as one that does not apply it, because its
    state is unknown. Raise ``not-in-force`` as soon as a node refuses a
    configuration, or at ``end``.

    :param end: time limit, in seconds of the monotonic clock.
    """
    while True:
        report = client.call("GET", "/status")
        applied = sum(
            count for key, count in report["applied"].items() if int(key) >= generation
        )
        if applied and applied == report["nodes"]:
            return report["nodes"]
        if report["refused"] or time.monotonic() >= end:
            raise codes.Failure(codes.NOT_IN_FORCE, describe(report, generation))
        time.sleep(POLL_INTERVAL)


def describe(report: dict, generation: int) -> str:
    """Return how many nodes do not apply a generation, with reasons for the first."""
    behind = report["behind"]
    reasons = [
        f"{item['node']} ({item['code'] or '-'} {item['reason']})"
        for item in behind[:MAX_NODES_SHOWN]
    ]
    return (
        f"generation {generation} is not applied by {len(behind)} of "
        f"{report['nodes']} nodes: {', '.join(reasons)}"
    )


@preset.command()
@remote.options
def history(client: remote.AdminClient) -> None:
    """List the choices of presets, the oldest first."""
    for item in client.call("GET", "/history"):
        at = datetime.datetime.fromtimestamp(item["at"], datetime.UTC)
        click.echo(
            f"{at:%Y-%m-%d %H:%M:%S}Z generation {item['generation']} "
            f"preset {item['preset']} revision {item['revision']} by {item['operator']}"
        )
