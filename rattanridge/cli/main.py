"""Entry point of the command line ``rattanridge``."""

import importlib
import sys

import click

from rattanridge import cli as package
from rattanridge.kernel import codes, registry

COMMANDS: registry.Registry[click.Command] = registry.Registry("command")


class LazyGroup(click.Group):
    """Command group that imports the module of a command on first use."""

    def list_commands(self, context: click.Context) -> list[str]:
        registry.load_plugins(package)
        return COMMANDS.names()

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        # Only the module of the requested command is imported, so that a node does
        # not load the modules of the others. A command whose module has another
        # name is found by importing them all.
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


@click.command(cls=LazyGroup)
@click.version_option(package_name="rattanridge")
def main() -> None:
    """Distribute the configuration of a service mesh and carry its calls."""
