"""The version that most endpoints of a service have."""

import collections
import typing


class Versioned(typing.Protocol):
    """An endpoint with a version."""

    version: str


T = typing.TypeVar("T", bound=Versioned)


def keep_majority_version(found: list[T]) -> list[T]:
    """Keep the version with most endpoints: another one waits for its rollout."""
    if not found or all(item.version == found[0].version for item in found):
        return found
    counts = collections.Counter(item.version for item in found)
    major = min(counts, key=lambda version: (-counts[version], version))
    return [item for item in found if item.version == major]
