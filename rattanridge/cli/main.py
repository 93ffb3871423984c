"""Entry point of the command ``rattanridge``."""

import importlib
import sys

import click

from rattanridge import cli as package
from rattanridge.kernel import codes, registry

COMMANDS: registry.Registry[click.Command] = registry.Registry("command")


class Main(click.Group):
    """The command group; its commands register themselves on first use."""

    def list_commands(self, context: click.Context) -> list[str]:
        registry.load_plugins(package)
        return COMMANDS.names()

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        # A node must not pay for the modules of the other commands.
        try:
            importlib.import_module(f"{package.__name__}.{name}")
        except ModuleNotFoundError:
            registry.load_plugins(package)
        return COMMANDS.items.get(name)

    def invoke(self, context: click.Context) -> object:
        try:
            return super().invoke(context)
        except codes.Failure as failure:
            click.echo(failure.format(), err=True)
            sys.exit(failure.exit_code)


@click.command(cls=Main)
@click.version_option(package_name="rattanridge")
def main() -> None:
    """Distributes configuration of a service mesh and carries its calls."""
