"""What a measurement leaves: its command, the machine's size, tables."""

import collections.abc
import os
import pathlib
import platform

import msgspec

from rattanridge.measure import base

TABLE_FILE = "MEASURED.md"
MEBIBYTE = 1 << 20


class Machine(msgspec.Struct):
    """The size of the machine that a measurement ran on.

    :param load: processes that wanted a core in the minute before.
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
    """One measurement as it is kept.

    :param seconds: wall-clock seconds that the run took.
    :param error: why there is no result; empty if there is one.
    """

    name: str
    command: str
    machine: Machine
    seconds: float
    result: base.Result | None = None
    error: str = ""

    @property
    def outcome(self) -> str:
        if self.result is None:
            return f"failed: {self.error}"
        return "ok" if self.result.ok else "target missed"


def this_machine() -> Machine:
    """Return the size of this machine."""
    pages = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return Machine(
        len(os.sched_getaffinity(0)),
        pages // MEBIBYTE,
        platform.system(),
        platform.python_version(),
        round(os.getloadavg()[0], 1),
    )


def command_of(name: str, parameters: base.Parameters) -> str:
    """Return the command that runs a measurement again."""
    parts = ["rattanridge", "measure", name, "--seed", str(parameters.seed)]
    if parameters.size:
        parts += ["--size", str(parameters.size)]
    if parameters.seconds:
        parts += ["--seconds", f"{parameters.seconds:g}"]
    return " ".join(parts)


def save(record: Record, directory: pathlib.Path) -> None:
    """Write one record as JSON."""
    text = msgspec.json.format(msgspec.json.encode(record))
    (directory / f"{record.name}.json").write_bytes(text + b"\n")


def format_page(records: collections.abc.Sequence[Record]) -> str:
    """Return the page ``docs/MEASURED.md`` for some records."""
    lines = [
        "# Measured",
        "",
        "Written by `rattanridge measure all --out DIR`. Targets are the users',",
        "never a measured figure. A figure without a target is told for its own sake",
        "or as the baseline of the same run.",
    ]
    for record in records:
        lines += ["", *format_record(record)]
    return "\n".join(lines) + "\n"


def format_record(record: Record) -> list[str]:
    """Return one measurement's section of the page."""
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
    """Return figures and targets as a plain table for a terminal."""
    width = max(map(len, result.figures), default=0)
    lines = [f"{result.name} seed {result.seed} runs {result.runs}"]
    for name, value in result.figures.items():
        target = result.target.get(name)
        shown = f"  (target {target})" if target is not None else ""
        lines.append(f"{name:<{width}}  {value}{shown}")
    lines.append("ok" if result.ok else "target missed")
    return lines
