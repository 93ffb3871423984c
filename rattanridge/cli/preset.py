"""Commands on presets."""

import datetime
import time
import urllib.parse

import click

from rattanridge import policies
from rattanridge.cli import main, remote
from rattanridge.kernel import codes, documents, presets, registry

POLL = 0.1  # seconds
SHOWN = 5  # nodes that are named


@main.COMMANDS.register("preset")
@click.group()
def preset() -> None:
    """Put, show and choose presets."""


@preset.command()
@click.argument("file")
@remote.options
def put(file: str, remote: remote.Remote) -> None:
    """Check a preset FILE and store it as the next revision."""
    registry.load_plugins(policies)
    text = documents.read(file)
    name = presets.parse(text, file).name
    answer = remote.call("PUT", f"/presets/{name}", text.encode())
    click.echo(f"preset {answer['name']} revision {answer['revision']}")


@preset.command("list")
@remote.options
def list_presets(remote: remote.Remote) -> None:
    """List the presets and their newest revisions."""
    for item in remote.call("GET", "/presets"):
        by = f" by {item['operator']}" if item["operator"] else ""
        click.echo(f"{item['name']} revision {item['revision']}{by}")


@preset.command()
@click.argument("name")
@click.option("--revision", default=0, help="Revision; the newest by default.")
@remote.options
def show(name: str, revision: int, remote: remote.Remote) -> None:
    """Show a preset's routes."""
    query = urllib.parse.urlencode({"revision": revision})
    answer = remote.call("GET", f"/presets/{remote.quote(name)}?{query}")
    click.echo(f"preset {name} revision {answer['revision']}")
    for route in answer["content"]["routes"]:
        once = "idempotent" if route["idempotent"] else "once"
        methods = ",".join(route["methods"])
        click.echo(
            f"  {methods} {route['host']}{route['prefix']} -> {route['service']}"
            f" {once} {route['priority']} {route['timeout']}s"
        )


@preset.command()
@click.argument("name")
@click.option("--generation", default=-1, help="Refuse if another one is in force.")
@click.option("--revision", default=0, help="Revision; the newest by default.")
@click.option("--wait", is_flag=True, help="Return when it is in force everywhere.")
@click.option("--timeout", default=30.0, show_default=True, help="Seconds to wait.")
@remote.options
def use(
    name: str,
    generation: int,
    revision: int,
    wait: bool,
    timeout: float,
    remote: remote.Remote,
) -> None:
    """Put a revision of preset NAME in force."""
    began = time.monotonic()
    query = {"revision": str(revision)}
    if generation >= 0:
        query["generation"] = str(generation)
    answer = remote.call(
        "POST", f"/presets/{remote.quote(name)}/use?{urllib.parse.urlencode(query)}"
    )
    chosen = answer["generation"]
    click.echo(f"generation {chosen}: preset {name} revision {answer['revision']}")
    if wait:
        nodes = wait_until_applied(remote, chosen, began + timeout)
        click.echo(f"in force at {nodes} nodes after {time.monotonic() - began:.2f} s")


def wait_until_applied(remote: remote.Remote, generation: int, end: float) -> int:
    """Return the number of nodes once all known ones apply a generation.

    A node that does not answer counts: nobody knows what it applies.
    """
    while True:
        report = remote.call("GET", "/status")
        applied = sum(
            count for key, count in report["applied"].items() if int(key) >= generation
        )
        if applied and applied == report["nodes"]:
            return report["nodes"]
        if report["refused"] or time.monotonic() >= end:
            raise codes.Failure(codes.NOT_IN_FORCE, describe(report, generation))
        time.sleep(POLL)


def describe(report: dict, generation: int) -> str:
    """Say how many nodes lack a generation, and why the first ones do."""
    behind = report["behind"]
    named = [
        f"{item['node']} ({item['code'] or '-'} {item['reason']})"
        for item in behind[:SHOWN]
    ]
    return (
        f"generation {generation} is not applied by {len(behind)} of "
        f"{report['nodes']} nodes: {', '.join(named)}"
    )


@preset.command()
@remote.options
def history(remote: remote.Remote) -> None:
    """List the choices of presets, the oldest first."""
    for item in remote.call("GET", "/history"):
        at = datetime.datetime.fromtimestamp(item["at"], datetime.UTC)
        click.echo(
            f"{at:%Y-%m-%d %H:%M:%S}Z generation {item['generation']} "
            f"preset {item['preset']} revision {item['revision']} by {item['operator']}"
        )
