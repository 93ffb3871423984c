"""What one node knows: the snapshot in force and the table of records."""

import asyncio
import collections.abc

from rattanridge.control import messages, tables
from rattanridge.kernel import codes, log, metrics, settings, snapshot


class Replica:
    """One node's configuration and records.

    The snapshot changes by one assignment, after the new one was decoded,
    checked and hashed. Its generation never falls.

    :param config: the node's settings.
    :param counters: counts applied and rejected configurations.
    """

    def __init__(self, config: settings.NodeSettings, counters: metrics.Counters):
        self.config = config
        self.counters = counters
        self.log = log.Log("replica", config.name)
        self.table = tables.Table()
        self.snapshot: snapshot.Snapshot | None = None
        self.rejection: messages.Rejection | None = None
        self.listeners: list[collections.abc.Callable[[], None]] = []
        self.applied = asyncio.Event()

    @property
    def generation(self) -> int:
        return self.snapshot.generation if self.snapshot is not None else 0

    @property
    def digest(self) -> str:
        return self.snapshot.digest if self.snapshot is not None else ""

    def apply(self, delta: snapshot.Delta) -> bool:
        """Apply a delta whole; a failure leaves the old snapshot in force.

        Returns whether the snapshot changed. A hash mismatch is raised, for
        the caller can ask for a full snapshot.
        """
        try:
            new = snapshot.apply(self.snapshot, delta)
        except codes.Failure as failure:
            if failure.code is codes.OLD_GENERATION:
                return False
            self.counters.add(f"config.rejected.{failure.code.name}")
            if failure.code is codes.HASH_MISMATCH:
                raise
            self.reject(delta.generation, failure)
            return False
        return self.swap(new)

    def swap(self, new: snapshot.Snapshot) -> bool:
        """Put a checked snapshot in force if its generation is higher."""
        if new.generation <= self.generation:
            return False
        self.snapshot = new
        self.rejection = None
        self.counters.add("config.applied")
        self.log.info(
            "config-applied",
            generation=new.generation,
            preset=new.head.preset,
            revision=new.head.revision,
            digest=new.digest,
        )
        self.applied.set()
        self.notify()
        return True

    def reject(self, generation: int, failure: codes.Failure) -> None:
        """Remember why a configuration was not applied, to report it."""
        rejection = messages.Rejection(
            generation, failure.code.number, failure.format()
        )
        if rejection != self.rejection:
            self.rejection = rejection
            self.log.warn(
                "config-rejected",
                generation=generation,
                code=failure.code.number,
                why=failure.format(),
            )
            self.notify()

    def notify(self) -> None:
        for listener in list(self.listeners):
            listener()

    def report(self) -> messages.Report:
        return messages.Report(self.generation, self.digest, self.rejection)

    def full(self) -> messages.Config:
        """Return the whole configuration; only when there is one."""
        return messages.Config(snapshot.diff(None, self.snapshot))
