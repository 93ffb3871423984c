"""Commands ``zone``, which evacuate, restore and list availability zones."""

import click

from rattanridge.cli import main, remote, zone_lines


@main.COMMANDS.register("zone")
@click.group()
def zone() -> None:
    """Send nothing to the endpoints of an availability zone."""


@zone.command()
@click.argument("name", metavar="ZONE")
@remote.options
def evacuate(name: str, client: remote.AdminClient) -> None:
    """Evacuate ZONE: its endpoints get no more requests."""
    change("PUT", name, client)


@zone.command()
@click.argument("name", metavar="ZONE")
@remote.options
def restore(name: str, client: remote.AdminClient) -> None:
    """End the evacuation of ZONE."""
    change("DELETE", name, client)


@zone.command("list")
@remote.options
def list_zones(client: remote.AdminClient) -> None:
    """List the zones, what still runs there, and which nodes know of it."""
    for item in client.call("GET", "/zones"):
        click.echo(zone_lines.format_zone(item))


def change(method: str, name: str, client: remote.AdminClient) -> None:
    """Order a change of one zone and print its state."""
    answer = client.call(method, f"/zones/{client.quote(name)}/evacuation")
    click.echo(zone_lines.format_zone(answer))
    click.echo(f"binds all nodes within {answer['bound']:g} s")
