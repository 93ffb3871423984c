"""How long what a watch has told may be relied on. Needs no network.

A watch that waits proves nothing: perhaps nothing has changed, perhaps the store never
took the call, or its answer was lost in a disturbance that nobody has noticed. Two
facts help. If nothing newer existed at a moment, what is known is good enough until
changes of that moment have to be in force. And machines count as in touch only some
time after a disturbance, so a call that has begun within that time either reached the
store, or fell into a disturbance that is not over for long enough.
"""

import dataclasses

# Shares of the time that a fact lasts; the rest is for a call and its answer.
CONTACT_SHARE = 0.9
APPLY_SHARE = 0.8


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """Durations that the platform promises or asks for.

    :param contact: seconds after a disturbance in which machines are in touch again.
    :param apply: seconds after its acknowledgement from which a change must be in
        force.
    """

    contact: float = 3.0
    apply: float = 2.0


class Freshness:
    """When the data of one kind were last known to be the newest.

    ``known_at`` is in monotonic seconds of this process.
    """

    def __init__(self) -> None:
        self.known_at = float("-inf")

    def record(self, at: float) -> None:
        """Record that nothing newer than what is held now existed at a moment."""
        self.known_at = max(self.known_at, at)

    def age(self, now: float) -> float:
        """Return the seconds since the data were known to be the newest."""
        return max(now - self.known_at, 0.0)

    def renew_at(self, began_at: float, bounds: Bounds) -> float:
        """Return when a call that waits since ``began_at`` must begin again."""
        return max(
            began_at + CONTACT_SHARE * bounds.contact,
            self.known_at + APPLY_SHARE * bounds.apply,
        )
