"""Requests that an upstream runs, and the calls that it makes for them."""

import dataclasses

from rattanridge.kernel import clock
from rattanridge.mesh import calls
from rattanridge.platform import headers

LATE = 1.0  # seconds past a request's deadline for which its calls are expected
# Seconds from the start of the process for which requests of the process before it may
# still run.
EARLIER = 30.0


@dataclasses.dataclass(slots=True, frozen=True)
class Parent:
    """What is known of the request that a call was made for.

    :param waits: whether it is in progress, and somebody waits for its answer.
    :param repeated: whether it is, or may be, a repeat; its calls are repeats then.
    """

    waits: bool
    repeated: bool


class Parents:
    """The requests at the upstream beside the node, by id.

    An upstream may go on with a request after its connection was closed, and after the
    node beside it was started again.
    """

    def __init__(self) -> None:
        self.started_at = clock.seconds_since_boot()
        # Whether each request in progress is a repeat.
        self.running: dict[str, bool] = {}
        # Until when repeats that have ended may make calls.
        self.ended: dict[str, float] = {}

    def begin(self, call: calls.Call) -> None:
        """A call is sent to the upstream."""
        self.running[call.attempt] = call.repeated

    def end(self, call: calls.Call, left: float) -> None:
        """A call was answered, or given up, ``left`` seconds before its deadline."""
        self.running.pop(call.attempt, None)
        if call.repeated:
            self.ended[call.attempt] = (
                clock.seconds_since_boot() + max(left, 0.0) + LATE
            )

    def of(self, attempt: str) -> Parent | None:
        """Return the parent of a request; None if a caller sent it."""
        parent = headers.parent_of(attempt)
        if not parent:
            return None
        repeated = self.running.get(parent)
        if repeated is not None:
            return Parent(True, repeated)
        now = clock.seconds_since_boot()
        ended = self.ended.get(parent, 0.0) > now
        return Parent(False, ended or now - self.started_at < EARLIER)

    def expire(self) -> None:
        """Forget requests whose calls can't come any more."""
        now = clock.seconds_since_boot()
        for attempt in [item for item, until in self.ended.items() if until <= now]:
            del self.ended[attempt]
