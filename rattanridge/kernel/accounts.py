"""Client accounts: who may send requests, at which rate, and how urgent they are."""

import collections.abc
import dataclasses
import math

from rattanridge.kernel import codes

DEFAULT_PRIORITY = 1  # of an account that sets none, and of requests without one
ROUTE_PRIORITIES = (
    16  # ranks of one account priority; higher route priorities share one
)


@dataclasses.dataclass(slots=True, frozen=True)
class Account:
    """A client account.

    :param name: name that the endpoints receive.
    :param keys: keys that identify its requests. They are kept out of ``repr``, which
        may be logged.
    :param priority: 0 is the highest; None for ``DEFAULT_PRIORITY``.
    :param rate: requests per second over all nodes; 0 for no limit.
    :param burst: requests that may exceed the rate at once.
    """

    name: str
    keys: tuple[str, ...] = dataclasses.field(repr=False)
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0


def rank(account: Account | None, route_priority: int) -> int:
    """Return the rank of a request; the account's priority goes before the route's."""
    priority = account.priority if account is not None else None
    if priority is None:
        priority = DEFAULT_PRIORITY
    return priority * ROUTE_PRIORITIES + min(
        max(route_priority, 0), ROUTE_PRIORITIES - 1
    )


def by_name(items: collections.abc.Iterable[Account], where: str) -> dict[str, Account]:
    """Return accounts by name; raise ``bad-account`` if one of them is invalid.

    The failure names accounts but never a key, since it is logged.

    :param where: document that contains the accounts, for error messages.
    """
    found: dict[str, Account] = {}
    owners: dict[str, str] = {}
    for index, item in enumerate(items):
        detail = find_fault(item, found, owners)
        if detail:
            location = f"{where}: accounts[{index}]"
            raise codes.Failure(codes.BAD_ACCOUNT, detail, where=location)
        found[item.name] = item
        owners.update(dict.fromkeys(item.keys, item.name))
    return found


def find_fault(
    item: Account, earlier: dict[str, Account], owners: dict[str, str]
) -> str:
    """Return what is wrong with an account; empty if it is valid.

    :param earlier: the accounts before it, by name.
    :param owners: names of the accounts before it, by key.
    """
    if not item.name.strip():
        return "the account has no name"
    if not item.name.isprintable():
        # The name is sent in a header, which a line break would end.
        return f"the name {item.name!r} has characters that cannot be printed"
    if item.name in earlier:
        return f"the name {item.name!r} occurs twice"
    if not all(item.keys):
        return f"account {item.name!r} has an empty key"
    owner = next((owners[key] for key in item.keys if key in owners), None)
    if owner is not None:
        return f"accounts {owner!r} and {item.name!r} have the same key"
    if not all(
        math.isfinite(value) and value >= 0 for value in (item.rate, item.burst)
    ):
        return f"account {item.name!r} has a rate or burst that is negative or infinite"
    return ""
