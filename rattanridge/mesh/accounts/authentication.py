"""Finds out who sent a request: a client account, or a running request's upstream.

Addresses requests of many client accounts, a few of them large, that share the
endpoints. The cost per request is two look-ups in dictionaries, whatever the number of
accounts and keys.
"""

import collections.abc
import dataclasses

from rattanridge.kernel import accounts, codes, routes
from rattanridge.mesh import parents
from rattanridge.platform import headers

# Seconds; a parent that a restarted node does not know may have ended by then.
PARENT_RETRY_AFTER = 1.0

FindParent = collections.abc.Callable[[str], parents.Parent | None]


@dataclasses.dataclass(slots=True)
class Sender:
    """The sender of a request.

    :param account: name of its account, or of its parent's account; empty for none.
    :param rank: rank of the request; 0 is served first.
    :param parent: state of the request for which an upstream sent it; None for a
        caller's request.
    """

    account: str
    rank: int
    parent: parents.Parent | None = None

    @property
    def running_parent(self) -> parents.Parent | None:
        """The parent if it is in progress."""
        parent = self.parent
        return parent if parent is not None and parent.in_progress else None


def identify(
    configuration: routes.Configuration,
    route: routes.Route,
    fields: collections.abc.Mapping[str, str],
    find_parent: FindParent,
) -> Sender:
    """Return the sender of a request.

    Raise ``no-account`` if the route requires a key of an account and the request has
    none, or ``parent-unknown`` if its ID names a parent that is not in progress here.

    :param configuration: the configuration in force.
    :param fields: the request's headers.
    :param find_parent: returns the parent of a request by the request's ID.
    """
    if not configuration.accounts:
        return identify_without_accounts(route, fields, find_parent)
    key = headers.parse_key(fields.get(headers.AUTHORIZATION))
    account = configuration.account_of(key) if key else None
    if account is not None:
        return Sender(account.name, accounts.rank(account, route.priority))
    if key and not route.public:
        raise codes.Failure(codes.NO_ACCOUNT, "no account has the request's key")
    attempt = fields.get(headers.ATTEMPT, "")
    parent = find_parent(attempt)
    if not key and parent is not None and parent.in_progress:
        return Sender(parent.account, parent.rank, parent)
    if route.public:
        return Sender("", accounts.rank(None, route.priority), parent)
    if headers.parent_of(attempt):
        raise codes.Failure(
            codes.PARENT_UNKNOWN,
            f"{attempt!r} has no key and no parent in progress at this node",
            retry_after=PARENT_RETRY_AFTER,
        )
    raise codes.Failure(codes.NO_ACCOUNT, "the request has no key")


def identify_without_accounts(
    route: routes.Route,
    fields: collections.abc.Mapping[str, str],
    find_parent: FindParent,
) -> Sender:
    """Return the sender of a request where no keys are needed."""
    parent = find_parent(fields.get(headers.ATTEMPT, ""))
    if parent is not None and parent.in_progress:
        return Sender("", parent.rank, parent)
    return Sender("", route.priority, parent)


def needs_recheck(before: routes.Configuration, now: routes.Configuration) -> bool:
    """Return whether a request that one version let in is checked again by another.

    :param before: version in force when the request's headers were read.
    :param now: version in force when the whole request has been read.
    """
    return now is not before and bool(now.accounts or before.accounts)
