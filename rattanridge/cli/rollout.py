"""Commands ``rollout``, which start, show, cancel and watch rollouts."""

import re
import sys
import time
import typing

import click
import msgspec

from rattanridge.cli import main, remote
from rattanridge.kernel import codes

POLL_INTERVAL = 0.5  # seconds
COMPLETED = "completed"
UNITS = {"s": 1.0, "m": 60.0, "h": 3600.0}  # seconds
ROLLED_BACK_EXIT = 3


class Duration(click.ParamType):
    """Duration as a number of seconds, or as a number with the unit s, m or h."""

    name = "duration"

    def convert(self, value: typing.Any, param: object, context: object) -> float:
        if isinstance(value, float):
            return value
        match = re.fullmatch(r"(\d+(?:\.\d+)?)([smh]?)", value)
        if match is None:
            self.fail(f"{value!r} is not a duration such as 90, 90s, 45m or 2h")
        return float(match[1]) * UNITS[match[2] or "s"]


@main.COMMANDS.register("rollout")
@click.group()
def rollout() -> None:
    """Move traffic to a new version of a service."""


@rollout.command()
@click.argument("service")
@click.option(
    "--from",
    "old",
    default="",
    help="Version that traffic leaves; refuse if no endpoint has it.",
)
@click.option("--to", "new", required=True, help="Version that traffic goes to.")
@click.option(
    "--deadline",
    type=Duration(),
    required=True,
    help="Time within which the rollout must complete, such as 45m.",
)
@remote.options
def start(
    service: str,
    old: str,
    new: str,
    deadline: float,
    client: remote.AdminClient,
) -> None:
    """Start a rollout of SERVICE."""
    body = {"old": old, "new": new, "deadline": deadline}
    answer = client.call(
        "PUT", f"/rollouts/{client.quote(service)}", msgspec.json.encode(body)
    )
    click.echo(format_rollout(answer))


@rollout.command("list")
@remote.options
def list_rollouts(client: remote.AdminClient) -> None:
    """List the newest rollout of each service."""
    for item in client.call("GET", "/rollouts"):
        click.echo(format_rollout(item))


@rollout.command()
@click.argument("service")
@remote.options
def show(service: str, client: remote.AdminClient) -> None:
    """Show the newest rollout of SERVICE and its steps."""
    answer = client.call("GET", f"/rollouts/{client.quote(service)}")
    click.echo(format_rollout(answer))
    for index, step in enumerate(answer["plan"]):
        # The step in force is marked.
        mark = ">" if answer["state"] == "running" and index == answer["step"] else " "
        share = "the load of one endpoint"
        if not step["one_endpoint"]:
            share = f"{step['share']:.0%} of the requests"
        click.echo(f"{mark} {share}")


@rollout.command()
@click.argument("service")
@remote.options
def cancel(service: str, client: remote.AdminClient) -> None:
    """Cancel the running rollout of SERVICE and roll it back."""
    click.echo(
        format_rollout(client.call("POST", f"/rollouts/{client.quote(service)}/cancel"))
    )


@rollout.command()
@click.argument("service")
@click.option("--timeout", type=Duration(), default="24h", help="Time to watch.")
@remote.options
def watch(service: str, timeout: float, client: remote.AdminClient) -> None:
    """Print each change of the rollout of SERVICE until it ends.

    Exit with status 0 if it completed, 3 if it was rolled back.
    """
    end = time.monotonic() + timeout
    last_line = ""
    while time.monotonic() < end:
        answer = fetch_if_available(client, service)
        if answer is not None:
            line = format_rollout(answer)
            if line != last_line:
                click.echo(line)
                last_line = line
            if answer["state"] != "running":
                sys.exit(0 if answer["state"] == COMPLETED else ROLLED_BACK_EXIT)
        time.sleep(POLL_INTERVAL)
    raise codes.Failure(
        codes.ROLLOUT_DEADLINE,
        f"the rollout of {service} did not end within {timeout:g} s",
    )


def fetch_if_available(client: remote.AdminClient, service: str) -> dict | None:
    """Return the rollout of a service; None while the platform does not answer."""
    try:
        return client.call("GET", f"/rollouts/{client.quote(service)}")
    except codes.Failure as failure:
        if failure.code in (codes.PLATFORM_DOWN, codes.PLATFORM_BUSY):
            return None
        raise


def format_rollout(item: dict[str, typing.Any]) -> str:
    """Return one line that describes a rollout."""
    line = f"rollout of {item['service']} to {item['new']}: {item['state']}"
    if item["state"] == "running":
        line += f" step {item['step'] + 1} of {len(item['plan'])}"
        line += f" share {item['share']:.0%}"
        line += f" led by {item['holder']}" if item["holder"] else ""
    return f"{line}: {item['reason']}" if item["reason"] else line
