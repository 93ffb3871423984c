"""Queue orders: which waiting request gets the next free slot."""

import abc

from rattanridge.kernel import presets, registry

QUEUES: registry.Registry[type["Order"]] = registry.Registry("queue order")
presets.PLUGINS.register("order")(QUEUES)


class Order(abc.ABC):
    """Gives each waiting request its place; the smallest goes first."""

    @abc.abstractmethod
    def place(self, rank: int, deadline: float, arrived: float) -> tuple[float, float]:
        """Return the place.

        :param rank: the priority's rank, 0 for the highest.
        :param deadline: monotonic seconds.
        :param arrived: monotonic seconds.
        """


@QUEUES.register("deadline")
class Deadline(Order):
    """By priority, then by deadline."""

    def place(self, rank, deadline, arrived):
        return (rank, deadline)


@QUEUES.register("arrival")
class Arrival(Order):
    """By priority, then by arrival."""

    def place(self, rank, deadline, arrived):
        return (rank, arrived)
