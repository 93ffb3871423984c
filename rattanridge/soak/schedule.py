"""Schedule of the faults of a soak, which depends on the seed alone."""

import collections.abc
import dataclasses
import random
import typing

T = typing.TypeVar("T")

GAP = (0.1, 1.2)  # seconds between the starts of two faults
DURATION = (0.3, 3.0)  # seconds of one fault
RECOVERY = 1.5  # seconds that a target needs after a fault
MAX_CONCURRENT = 3  # faults, with their recovery
STORE = "store-faults"  # the only fault whose target is the store, not a host
LIMIT = "upstream-limit"  # may overlap with any other fault of its host
LIMIT_GAP = (0.5, 3.0)  # seconds between the starts of two limits
LIMIT_DURATION = (4.0, 9.0)  # seconds
STOP = "node-stop"
STOP_GAP = 1.3  # seconds between two planned stops in a series
RETURN = "store-return"  # may overlap with any other fault
RETURN_GAP = (3.0, 8.0)  # seconds between two returns of the store
RETURN_AGE = (0.3, 3.0)  # seconds; age of the copy from which it returns


@dataclasses.dataclass(slots=True, frozen=True)
class PlannedFault:
    """One fault of a schedule.

    :param at: seconds from the start of the schedule.
    :param name: name under which the fault is registered.
    :param host: index of the host that it affects; ignored by ``store-faults``.
    :param duration: seconds.
    :param variant: from 0 to 1; selects one of the variants of the fault.
    """

    at: float
    name: str
    host: int
    duration: float
    variant: float

    def target(self) -> str:
        """Return what the fault affects; no two faults affect one target at once."""
        if self.name == LIMIT:
            return f"limit-{self.host}"
        if self.name == RETURN:
            return RETURN
        return "store" if self.name == STORE else f"host-{self.host}"

    def recovered_at(self) -> float:
        """Return when the target is expected to work again, on the clock of ``at``."""
        return self.at + self.duration + RECOVERY

    def choose(self, items: collections.abc.Sequence[T]) -> T:
        """Return the item that the variant selects."""
        return items[int(self.variant * len(items))]


def plan(seed: int, seconds: float, hosts: int, names: list[str]) -> list[PlannedFault]:
    """Return the faults of a soak, in order of time.

    The same arguments always give the same faults. A fault is left out if its target
    is still affected by another one, or if too many faults overlap.

    :param seconds: within which the faults start.
    :param hosts: number of hosts.
    :param names: names of the faults to choose from; their order matters. Limits are
        left to ``plan_limits``, returns of the store to ``plan_returns``.
    """
    names = [name for name in names if name not in (LIMIT, RETURN)]
    rng = random.Random(seed)
    planned: list[PlannedFault] = []
    now = 0.0
    while (now := now + rng.uniform(*GAP)) < seconds:
        fault = PlannedFault(
            now,
            rng.choice(names),
            rng.randrange(hosts),
            rng.uniform(*DURATION),
            rng.random(),
        )
        busy = {item.target() for item in planned if item.recovered_at() > now}
        if len(busy) < MAX_CONCURRENT and fault.target() not in busy:
            planned.append(fault)
    return planned


def plan_limits(seed: int, seconds: float, hosts: int) -> list[PlannedFault]:
    """Return the limits that upstreams name during a soak, in order of time.

    They are drawn apart from the other faults, so that a seed keeps those.
    """
    rng = random.Random(f"{seed} limits")
    planned: list[PlannedFault] = []
    now = 0.0
    while (now := now + rng.uniform(*LIMIT_GAP)) < seconds:
        host = rng.randrange(hosts)
        duration = rng.uniform(*LIMIT_DURATION)
        planned.append(PlannedFault(now, LIMIT, host, duration, rng.random()))
    return planned


def plan_stops(seconds: float, hosts: int) -> list[PlannedFault]:
    """Return planned stops of all nodes in turn, again and again; they overlap."""
    return [
        PlannedFault(number * STOP_GAP, STOP, number % hosts, 0.0, 0.0)
        for number in range(int(seconds / STOP_GAP))
    ]


def plan_returns(seed: int, seconds: float) -> list[PlannedFault]:
    """Return when the store returns from an older copy, in order of time.

    The duration of each is the age of the copy. Drawn apart from the other faults.
    """
    rng = random.Random(f"{seed} returns")
    planned: list[PlannedFault] = []
    now = 0.0
    while (now := now + rng.uniform(*RETURN_GAP)) < seconds:
        planned.append(PlannedFault(now, RETURN, 0, rng.uniform(*RETURN_AGE), 0.0))
    return planned
