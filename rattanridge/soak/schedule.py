"""What goes wrong when and where in a soak; follows from the seed alone."""

import dataclasses
import random

GAP = (0.1, 1.2)  # seconds between the begins of two faults
LASTS = (0.3, 3.0)  # seconds
REPAIR = 1.5  # seconds that what was hit needs afterwards
MOST = 3  # faults at once
STORE = "store-faults"  # hits the store, and no host


@dataclasses.dataclass(slots=True, frozen=True)
class Planned:
    """One fault.

    :param at: seconds from the start of the trouble.
    :param name: of the fault.
    :param host: number of the host that it hits.
    :param lasts: seconds.
    :param variant: from 0 to 1; picks among the fault's forms.
    """

    at: float
    name: str
    host: int
    lasts: float
    variant: float

    def key(self) -> str:
        """Return what it hits; two faults never hit the same at once."""
        return "store" if self.name == STORE else f"host-{self.host}"

    def until(self) -> float:
        """Return when what it hits is expected to be whole again."""
        return self.at + self.lasts + REPAIR

    def choose(self, items: list) -> object:
        """Return one of some items."""
        return items[int(self.variant * len(items))]


def plan(seed: int, seconds: float, hosts: int, names: list[str]) -> list[Planned]:
    """Return the faults of a soak, in order of time.

    :param names: of the faults to choose from.
    """
    rng = random.Random(seed)
    found: list[Planned] = []
    now = 0.0
    while (now := now + rng.uniform(*GAP)) < seconds:
        fault = Planned(
            now,
            rng.choice(names),
            rng.randrange(hosts),
            rng.uniform(*LASTS),
            rng.random(),
        )
        busy = {item.key() for item in found if item.until() > now}
        if len(busy) < MOST and fault.key() not in busy:
            found.append(fault)
    return found
