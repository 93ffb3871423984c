"""Commands on rollouts."""

import re
import sys
import time
import typing

import click
import msgspec

from rattanridge.cli import main, remote
from rattanridge.kernel import codes

POLL = 0.5  # seconds
DONE = "completed"
UNITS = {"s": 1.0, "m": 60.0, "h": 3600.0}  # seconds
TAKEN_BACK_EXIT = 3


class Duration(click.ParamType):
    """Seconds, or a number with the unit s, m or h."""

    name = "duration"

    def convert(self, value: typing.Any, param: object, context: object) -> float:
        if isinstance(value, float):
            return value
        match = re.fullmatch(r"(\d+(?:\.\d+)?)([smh]?)", value)
        if match is None:
            self.fail(f"{value!r} is not a duration like 90, 90s, 45m or 2h")
        return float(match[1]) * UNITS[match[2] or "s"]


@main.COMMANDS.register("rollout")
@click.group()
def rollout() -> None:
    """Move traffic to a new version of a service."""


@rollout.command()
@click.argument("service")
@click.option("--from", "old", default="", help="Refuse if no endpoint has it.")
@click.option("--to", "new", required=True, help="Version that traffic goes to.")
@click.option(
    "--deadline", type=Duration(), required=True, help="Time to be done in, as 45m."
)
@remote.options
def start(
    service: str,
    old: str,
    new: str,
    deadline: float,
    remote: remote.Remote,
) -> None:
    """Start a rollout of SERVICE."""
    body = {"old": old, "new": new, "deadline": deadline}
    answer = remote.call(
        "PUT", f"/rollouts/{remote.quote(service)}", msgspec.json.encode(body)
    )
    click.echo(format_rollout(answer))


@rollout.command("list")
@remote.options
def list_rollouts(remote: remote.Remote) -> None:
    """List the newest rollout of each service."""
    for item in remote.call("GET", "/rollouts"):
        click.echo(format_rollout(item))


@rollout.command()
@click.argument("service")
@remote.options
def show(service: str, remote: remote.Remote) -> None:
    """Show the newest rollout of SERVICE and its steps."""
    answer = remote.call("GET", f"/rollouts/{remote.quote(service)}")
    click.echo(format_rollout(answer))
    for index, step in enumerate(answer["plan"]):
        mark = ">" if answer["state"] == "running" and index == answer["step"] else " "
        share = "the load of one endpoint"
        if not step["one_endpoint"]:
            share = f"{step['share']:.0%} of the requests"
        click.echo(f"{mark} {share}")


@rollout.command()
@click.argument("service")
@remote.options
def cancel(service: str, remote: remote.Remote) -> None:
    """Take the running rollout of SERVICE back."""
    click.echo(
        format_rollout(remote.call("POST", f"/rollouts/{remote.quote(service)}/cancel"))
    )


@rollout.command()
@click.argument("service")
@click.option("--timeout", type=Duration(), default="24h", help="Time to wait.")
@remote.options
def watch(service: str, timeout: float, remote: remote.Remote) -> None:
    """Print each change of SERVICE's rollout until it ends.

    Exit 0 when it is done, 3 when it was taken back.
    """
    end = time.monotonic() + timeout
    shown = ""
    while time.monotonic() < end:
        answer = read_patiently(remote, service)
        if answer is not None:
            line = format_rollout(answer)
            if line != shown:
                click.echo(line)
                shown = line
            if answer["state"] != "running":
                sys.exit(0 if answer["state"] == DONE else TAKEN_BACK_EXIT)
        time.sleep(POLL)
    raise codes.Failure(codes.ROLLOUT_DEADLINE, "it still runs")


def read_patiently(remote: remote.Remote, service: str) -> dict | None:
    """Return the rollout, or ``None`` while the platform does not answer."""
    try:
        return remote.call("GET", f"/rollouts/{remote.quote(service)}")
    except codes.Failure as failure:
        if failure.code in (codes.PLATFORM_DOWN, codes.PLATFORM_BUSY):
            return None
        raise


def format_rollout(item: dict[str, typing.Any]) -> str:
    """Return one line on a rollout."""
    line = f"rollout of {item['service']} to {item['new']}: {item['state']}"
    if item["state"] == "running":
        line += f" step {item['step'] + 1} of {len(item['plan'])}"
        line += f" share {item['share']:.0%}"
        line += f" led by {item['holder']}" if item["holder"] else ""
    return f"{line}: {item['reason']}" if item["reason"] else line
