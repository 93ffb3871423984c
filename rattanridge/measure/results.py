"""Records of measurements, and their output as JSON, Markdown and text tables."""

import collections.abc
import os
import pathlib
import platform

import msgspec

from rattanridge.measure import base

TABLE_FILE = "MEASURED.md"
MEBIBYTE = 1 << 20


class Machine(msgspec.Struct):
    """Description of the machine that a measurement ran on.

    :param cores: CPU cores that this process may use.
    :param memory_mib: physical memory in MiB.
    :param system: name of the operating system.
    :param python: version of Python.
    :param load: load average of the minute before the measurement.
    """

    cores: int
    memory_mib: int
    system: str
    python: str
    load: float = 0.0

    def __str__(self) -> str:
        return (
            f"{self.cores} cores, {self.memory_mib} MiB of memory, "
            f"{self.system}, Python {self.python}, load {self.load:.1f} before"
        )


class Record(msgspec.Struct):
    """A finished measurement, as stored in a JSON file.

    :param name: name of the experiment.
    :param command: command that repeats the measurement.
    :param seconds: wall-clock duration in seconds.
    :param result: result of the experiment; None if it raised an error.
    :param error: type and message of that error; empty if there is a result.
    """

    name: str
    command: str
    machine: Machine
    seconds: float
    result: base.Result | None = None
    error: str = ""

    @property
    def outcome(self) -> str:
        """Return whether the targets were met, or why there is no result."""
        if self.result is None:
            return f"failed: {self.error}"
        return "ok" if self.result.ok else "target missed"


def this_machine() -> Machine:
    """Return the description of the current machine."""
    memory_bytes = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return Machine(
        len(os.sched_getaffinity(0)),
        memory_bytes // MEBIBYTE,
        platform.system(),
        platform.python_version(),
        round(os.getloadavg()[0], 1),
    )


def command_of(name: str, parameters: base.Parameters) -> str:
    """Return the command line that repeats a measurement."""
    parts = ["rattanridge", "measure", name, "--seed", str(parameters.seed)]
    if parameters.size:
        parts += ["--size", str(parameters.size)]
    if parameters.seconds:
        parts += ["--seconds", f"{parameters.seconds:g}"]
    return " ".join(parts)


def save(record: Record, directory: pathlib.Path) -> None:
    """Write a record to the file ``NAME.json`` in a directory."""
    text = msgspec.json.format(msgspec.json.encode(record))
    (directory / f"{record.name}.json").write_bytes(text + b"\n")


def format_page(records: collections.abc.Sequence[Record]) -> str:
    """Return the text of the Markdown page ``docs/MEASURED.md``."""
    lines = [
        "# Measured",
        "",
        "Written by `rattanridge measure all --out DIR`. Targets come from",
        "the requirements, never from a measured figure. A figure without a target is",
        "given for information, or as the baseline of the same run.",
    ]
    for record in records:
        lines += ["", *format_record(record)]
    return "\n".join(lines) + "\n"


def format_record(record: Record) -> list[str]:
    """Return the lines of a measurement's section of the Markdown page."""
    lines = [
        f"## {record.name}: {record.outcome}",
        "",
        f"    {record.command}",
        "",
        f"{record.machine}; {record.seconds:.0f} s.",
    ]
    if record.result is None:
        return lines
    lines += ["", "| figure | value | target |", "| --- | --- | --- |"]
    for name, value in record.result.figures.items():
        target = record.result.target.get(name, "")
        lines.append(f"| {name} | {value} | {target} |")
    return lines


def format_table(result: base.Result) -> list[str]:
    """Return the lines of a text table of figures and targets, for a terminal."""
    width = max(map(len, result.figures), default=0)
    lines = [f"{result.name} seed {result.seed} runs {result.runs}"]
    for name, value in result.figures.items():
        target = result.target.get(name)
        suffix = f"  (target {target})" if target is not None else ""
        lines.append(f"{name:<{width}}  {value}{suffix}")
    lines.append("ok" if result.ok else "target missed")
    return lines
