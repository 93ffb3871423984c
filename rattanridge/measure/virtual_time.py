"""An event loop with a virtual clock, which advances only when the loop is idle."""

import asyncio
import collections.abc
import selectors
import typing

T = typing.TypeVar("T")


class Selector(selectors.DefaultSelector):
    """Advances the clock instead of sleeping; ``now`` is its time in seconds."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        found = super().select(0)
        if not found and timeout:
            self.now += timeout
        return found


class Loop(asyncio.SelectorEventLoop):
    """An event loop for code without network: waiting takes no time and is exact."""

    def __init__(self) -> None:
        self.clock = Selector()
        super().__init__(self.clock)

    def time(self) -> float:
        return self.clock.now


def run(coroutine: collections.abc.Coroutine[typing.Any, typing.Any, T]) -> T:
    """Run a coroutine to completion in virtual time; return its result."""
    with asyncio.Runner(loop_factory=Loop) as runner:
        return runner.run(coroutine)
