"""What one node knows: the snapshot in force and the table of records."""

import collections.abc

from rattanridge.control import messages, tables
from rattanridge.kernel import codes, log, metrics, settings, snapshot


class Replica:
    """One node's configuration and records.

    The snapshot changes by one assignment, after the new one was decoded,
    checked and hashed. Its generation never falls.

    A restarted node has forgotten which generation it had. ``hold`` keeps
    configurations back until ``learn`` tells the lowest one that may be in
    force.

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
        self.floor: int | None = 0
        self.waiting: snapshot.Snapshot | None = None

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

    def hold(self) -> None:
        """Put nothing in force until ``learn`` was called."""
        self.floor = None

    def learn(self, floor: int) -> None:
        """Take the lowest generation that may be in force; it never falls."""
        if self.floor is None:
            self.log.info("generation-learnt", floor=floor)
        self.floor = max(floor, self.floor or 0)
        waiting, self.waiting = self.waiting, None
        if waiting is not None:
            self.swap(waiting)

    def swap(self, new: snapshot.Snapshot) -> bool:
        """Put a checked snapshot in force if its generation is higher."""
        if new.generation <= self.generation:
            return False
        if self.floor is None or new.generation < self.floor:
            if self.waiting is None or new.generation > self.waiting.generation:
                self.waiting = new
            self.counters.add("config.held-back")
            return False
        self.snapshot = new
        if self.rejection and self.rejection.generation <= new.generation:
            self.rejection = None
        self.counters.add("config.applied")
        self.log.info(
            "config-applied",
            generation=new.generation,
            preset=new.head.preset,
            revision=new.head.revision,
            digest=new.digest,
        )
        self.notify()
        return True

    def reject(self, generation: int, failure: codes.Failure) -> None:
        """Remember why a configuration was not applied, to report it."""
        self.note_rejection(
            messages.Rejection(generation, failure.code.number, failure.format())
        )

    def note_rejection(self, rejection: messages.Rejection) -> None:
        """Take a rejection, found here or told by a relay."""
        known = self.rejection.generation if self.rejection else self.generation
        if rejection.generation <= known:
            return
        self.rejection = rejection
        self.counters.add("config.rejections")
        if self.snapshot is None and rejection.generation <= (self.floor or 0):
            # It can never come in force: what the relay has instead may.
            self.floor = 0
            self.learn(0)
        self.log.warn(
            "config-rejected",
            generation=rejection.generation,
            code=rejection.code,
            why=rejection.reason,
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
