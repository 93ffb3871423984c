"""Registries of interchangeable implementations, filled by decorators."""

import collections.abc
import importlib
import pkgutil
import types
import typing

T = typing.TypeVar("T")
Item = typing.TypeVar("Item", bound=typing.Any)


class Registry(typing.Generic[T]):
    """Named plug-ins of one kind.

    :param kind: what the plug-ins are, for error messages.
    """

    def __init__(self, kind: str):
        self.kind = kind
        self.items: dict[str, T] = {}

    def register(self, name: str) -> collections.abc.Callable[[Item], Item]:
        """Return a decorator that registers its argument under ``name``.

        The argument keeps its own type, which may be narrower than that of the kind.
        """

        def decorator(item: Item) -> Item:
            if name in self.items:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self.items[name] = item
            return item

        return decorator

    def get(self, name: str) -> T:
        """Return a plug-in; raise ``KeyError`` listing the known names if unknown."""
        if name not in self.items:
            choices = ", ".join(sorted(self.items))
            raise KeyError(f"unknown {self.kind} {name!r}; known: {choices}")
        return self.items[name]

    def names(self) -> list[str]:
        return sorted(self.items)


def load_plugins(package: types.ModuleType) -> None:
    """Import all modules of a package, so that their plug-ins are registered."""
    for module in pkgutil.iter_modules(package.__path__):
        importlib.import_module(f"{package.__name__}.{module.name}")
