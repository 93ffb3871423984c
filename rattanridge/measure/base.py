"""What every experiment shares: its parameters, its result and their registry."""

import collections.abc
import dataclasses
import math
import pathlib
import sys

import msgspec

from rattanridge.kernel import registry


@dataclasses.dataclass(slots=True)
class Parameters:
    """What a person may set for each experiment.

    :param seed: seed of all random choices.
    :param size: the experiment's size; 0 takes its default.
    :param seconds: seconds that it may take; 0 takes its default.
    """

    seed: int = 1
    size: int = 0
    seconds: float = 0.0


class Result(msgspec.Struct):
    """Outcome of an experiment; printed as one line of JSON.

    :param figures: what was measured, by name with its unit.
    :param target: what the letter or the brief asks for, by the same names.
    """

    name: str
    seed: int
    runs: int
    figures: dict[str, float | int | str]
    target: dict[str, float | int | str]
    ok: bool


Experiment = collections.abc.Callable[[Parameters], Result]
EXPERIMENTS: registry.Registry[Experiment] = registry.Registry("measurement")


def percentile(values: collections.abc.Iterable[float], part: float) -> float:
    """Return the value at a rank, the nearest above; 0 for no values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(math.ceil(part * len(ordered)), len(ordered)) - 1]


def private_memory() -> float:
    """Return this process's private memory in MB."""
    for line in pathlib.Path("/proc/self/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024
    return 0.0


def progress(text: str) -> None:
    """Tell a person on standard error how far an experiment is."""
    print(text, file=sys.stderr, flush=True)
