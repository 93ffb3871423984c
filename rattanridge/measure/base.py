"""Parameters, results and registry of the experiments, and helpers they share."""

import collections.abc
import dataclasses
import math
import pathlib
import sys

import msgspec

from rattanridge.kernel import registry


@dataclasses.dataclass(slots=True)
class Parameters:
    """Parameters that the command line sets for an experiment.

    :param seed: seed of all random choices.
    :param size: number of nodes, requests or runs, depending on the experiment;
        0 selects its default.
    :param seconds: duration in seconds, for experiments that measure over a fixed
        time; 0 selects the default.
    """

    seed: int = 1
    size: int = 0
    seconds: float = 0.0


class Result(msgspec.Struct):
    """Result of an experiment, printed as one line of JSON.

    :param name: name of the experiment.
    :param runs: number of simulated runs; 1 for an experiment that is not simulated.
    :param figures: measured values by name; the name ends with the unit, if any.
    :param target: required values, under the names of the figures they apply to.
    :param ok: whether every target was met.
    """

    name: str
    seed: int
    runs: int
    figures: collections.abc.Mapping[str, float | int | str]
    target: collections.abc.Mapping[str, float | int | str]
    ok: bool


Experiment = collections.abc.Callable[[Parameters], Result]
EXPERIMENTS: registry.Registry[Experiment] = registry.Registry("experiment")


def percentile(values: collections.abc.Iterable[float], fraction: float) -> float:
    """Return a percentile by the nearest-rank method; 0 if there are no values.

    :param fraction: rank of the percentile from 0 to 1, such as 0.99.
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(math.ceil(fraction * len(ordered)), len(ordered)) - 1]


def read_private_memory_mib() -> float:
    """Return the anonymous resident memory of this process in MiB."""
    for line in pathlib.Path("/proc/self/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024
    return 0.0


def print_progress(text: str) -> None:
    """Print the progress of an experiment to standard error."""
    print(text, file=sys.stderr, flush=True)
