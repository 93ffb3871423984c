"""Bounds the requests that a cold endpoint gets in any second. Needs no network.

Handles an endpoint that has just started, or has become cold again, and crashes at the
rate of a warm one: when all processes start at once, when its exit is restarted within
the second, and when a whole zone returns. All requests to an endpoint pass one exit,
so the exit counts them; entries learn from its answers how many more it takes.
"""

import collections
import collections.abc
import dataclasses
import random

# Seconds. Longer than the second of the bound, as the endpoint receives some requests
# later than others after they were sent.
WINDOW = 1.1
# Requests of the bound that are kept for the health checks of a node that starts.
RESERVE = 2
# Share of the bound that has to become free before entries use their room again, so
# that they do not all return for a single request.
RETURN_SHARE = 0.25
# Random factors of the wait of an entry, so that not all return at the same time.
RETURN_JITTER = (1.0, 1.3)


def bound_of(rate: float, overage: float, slack: float) -> int:
    """Return how many requests may start at a cold endpoint in any WINDOW seconds.

    :param rate: requests per second that the endpoint takes while it is cold.
    :param overage: multiple of that rate that is allowed.
    :param slack: requests allowed on top.
    """
    allowed = int(rate * overage + slack)
    return max(allowed - RESERVE, min(allowed, 1))


@dataclasses.dataclass(slots=True, frozen=True)
class Room:
    """What a cold endpoint may still get, over all entries.

    :param left: requests that may start now.
    :param wait: seconds until clearly more may start.
    """

    left: int
    wait: float


class ColdRate:
    """Counts the requests of one exit to its endpoint, cold or not.

    It has to count while the endpoint is warm, too, as that may become cold at any
    time. What started before it counted is unknown, and may have used up the bound.
    """

    def __init__(self) -> None:
        self.bound: int | None = None
        self.starts: collections.deque[float] = collections.deque()
        # Monotonic seconds until which requests that were not counted may matter.
        self.unknown_until = 0.0

    def apply(self, bound: int | None, unknown_at: float) -> None:
        """Set the bound; None if the endpoint has none, and nothing is counted.

        :param unknown_at: monotonic seconds of the last request that was not counted.
        """
        if self.bound is None and bound is not None:
            self.unknown_until = unknown_at + WINDOW
        if bound is None:
            self.starts.clear()
        self.bound = bound

    def record_start(self, now: float) -> None:
        """Record that a request is sent to the endpoint."""
        if self.bound is not None:
            self.expire(now)
            self.starts.append(now)

    def expire(self, now: float) -> None:
        """Forget the requests that have left the window."""
        while self.starts and now - self.starts[0] >= WINDOW:
            self.starts.popleft()

    def delay(self, now: float, count: int = 1) -> float:
        """Return the seconds until some requests may start at a cold endpoint."""
        if self.bound is None:
            return 0.0
        if count > self.bound:
            return WINDOW
        self.expire(now)
        excess = len(self.starts) + count - self.bound
        free_at = self.starts[excess - 1] + WINDOW if excess > 0 else now
        return max(free_at, self.unknown_until, now) - now

    def room(self, now: float) -> Room | None:
        """Return what the endpoint may still get; None if it has no bound."""
        if self.bound is None:
            return None
        self.expire(now)
        left = max(self.bound - len(self.starts), 0)
        if now < self.unknown_until:
            left = 0
        more = max(int(self.bound * RETURN_SHARE), 1)
        return Room(left, self.delay(now, min(left + more, self.bound)))


@dataclasses.dataclass(slots=True)
class KnownRoom:
    """What an entry knows of one endpoint.

    :param left: requests that it may still get, less those sent from here since.
    :param until: monotonic seconds after which this says nothing any more.
    """

    left: int
    until: float


class KnownRooms:
    """The rooms of cold endpoints, as their exits told an entry, by node."""

    def __init__(self, rng: random.Random | None = None) -> None:
        self.random = rng or random.Random()
        self.rooms: dict[str, KnownRoom] = {}

    def record(self, node: str, room: Room | None, now: float) -> None:
        """Record the room in an answer; None if the endpoint is not cold."""
        if room is not None:
            wait = room.wait * self.random.uniform(*RETURN_JITTER)
            self.rooms[node] = KnownRoom(room.left, now + wait)
        elif self.rooms:
            self.rooms.pop(node, None)

    def record_sent(self, node: str) -> None:
        """Record that a request is sent to an endpoint."""
        known = self.rooms.get(node)
        if known is not None:
            known.left -= 1

    def delay(self, node: str, now: float) -> float:
        """Return the seconds until an endpoint may take another request."""
        known = self.rooms.get(node)
        if known is None or known.left > 0:
            return 0.0
        if known.until <= now:
            del self.rooms[node]
            return 0.0
        return known.until - now

    def least_delay(self, nodes: collections.abc.Iterable[str], now: float) -> float:
        """Return the seconds until one of some endpoints may take a request."""
        return min((self.delay(node, now) for node in nodes), default=0.0)
