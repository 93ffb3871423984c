"""Learns how long the requests of each route take. Needs no network.

Handles endpoints that differ in speed, and one whose routes differ in work by a factor
of ten.
"""

MEAN_WEIGHT = 0.1  # of one request in a route's mean processing time
DEFAULT_PROCESSING_TIME = 0.05  # seconds, until a route's own mean is known
# Multiple of a route's mean processing time; nearly all its requests take less.
SHUTDOWN_FACTOR = 8.0
SHUTDOWN_RESERVE = 1.0  # seconds


def may_outlast(processing_time: float, remaining: float) -> bool:
    """Return whether a request may still run when its process stops.

    :param processing_time: mean seconds of its route.
    :param remaining: seconds until the process has to stop.
    """
    return remaining < SHUTDOWN_RESERVE + SHUTDOWN_FACTOR * processing_time


class ProcessingTimes:
    """The mean processing time of each route's requests at one endpoint."""

    def __init__(self) -> None:
        self.means: dict[str, float] = {}
        self.overall = 0.0

    def record(self, route: str, seconds: float) -> None:
        """Record the processing time of a completed request."""
        previous = self.means.get(route, seconds)
        self.means[route] = previous + MEAN_WEIGHT * (seconds - previous)
        self.overall = (self.overall or seconds) * (1 - MEAN_WEIGHT)
        self.overall += MEAN_WEIGHT * seconds

    def mean(self) -> float:
        """Return the mean seconds of requests of all routes."""
        return self.overall or DEFAULT_PROCESSING_TIME

    def mean_of(self, route: str) -> float:
        """Return the mean seconds that a request of a route takes.

        An unknown route gets the mean of all requests.
        """
        return self.means.get(route) or self.mean()
