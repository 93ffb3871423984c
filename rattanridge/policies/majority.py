"""Selects the version that most endpoints of a service run."""

import collections
import typing


class Versioned(typing.Protocol):
    """An endpoint with a version."""

    version: str


T = typing.TypeVar("T", bound=Versioned)


def keep_majority_version(endpoints: list[T]) -> list[T]:
    """Return the endpoints of the version that most endpoints run.

    Other versions get no requests until their rollout starts. Of versions with
    equally many endpoints, the first in string order is chosen.
    """
    if not endpoints or all(item.version == endpoints[0].version for item in endpoints):
        return endpoints
    counts = collections.Counter(item.version for item in endpoints)
    majority = min(counts, key=lambda version: (-counts[version], version))
    return [item for item in endpoints if item.version == majority]
