"""The configuration of the mesh as immutable data: routes, services and limits."""

import collections.abc
import dataclasses

import msgspec

from rattanridge.kernel import accounts as client_accounts, registry

# Plug-ins of ``policies`` that extract a request's idempotency key.
KEY_SOURCES: registry.Registry[type] = registry.Registry("key source")
ANY_HOST = "*"


class KeySource(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where a request's idempotency key comes from.

    :param source: name of a registered key source.
    :param name: header or JSON field that contains the key.
    """

    source: str
    name: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Share:
    """One service of a route, with its weight in the traffic split.

    :param weight: any number from 0 on; only the proportions of the weights count.
    """

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Rules for the requests to one host and path prefix.

    :param name: the operator's name of the route.
    :param host: host name in lower case without a port, or ``*`` for any host.
    :param prefix: path prefix that begins and ends with a slash.
    :param idempotent: whether a request may safely run more than once.
    :param timeout: longest time in seconds until a request is answered.
    :param target_latency: seconds within which an answer counts as timely.
    :param priority: priority of its requests; 0 is the highest.
    :param attempts: maximum number of endpoints that one request is sent to.
    :param shares: services and their weights; its requests are refused if none has a
        weight above zero.
    :param methods: HTTP methods that match; empty for all.
    :param bare: whether the prefix without its trailing slash matches, too.
    :param key: source of the idempotency key that identifies repeated requests;
        None if the route uses no keys.
    :param large: whether its answers are large; only if it is idempotent.
    :param public: whether requests need no key even if there are accounts.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout: float
    target_latency: float
    priority: int
    attempts: int
    shares: tuple[Share, ...]
    methods: frozenset[str] = frozenset()
    bare: bool = False
    key: KeySource | None = None
    large: bool = False
    public: bool = False

    def matches(self, path: str, method: str) -> bool:
        """Return whether a request's path and method match the route."""
        if self.methods and method not in self.methods:
            return False
        if path.startswith(self.prefix):
            return True
        return self.bare and path == self.prefix[:-1]


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A service that routes send requests to.

    :param health_path: path of its health check.
    :param connections: maximum number of connections to one endpoint.
    :param cold_start: seconds for which an endpoint is cold after its start.
    :param cold_rate: requests per second that a cold endpoint takes; 0 if there is no
        bound.
    """

    name: str
    health_path: str = "/healthz"
    connections: int = 100
    cold_start: float = 0.0
    cold_rate: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Limits on callers: sizes in bytes, times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclasses.dataclass(slots=True, frozen=True)
class Configuration:
    """One version of the configuration.

    :param version: increases with each version, not always by one.
    :param routes: routes by host, with the longest prefix first.
    :param unknown_kinds: kinds of its routes that this program does not know.
    :param accounts: client accounts by name; empty if no keys are needed.
    :param unused: place and fault of each value that is not used, as if it were left
        out.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    limits: Limits = Limits()
    unknown_kinds: frozenset[str] = frozenset()
    accounts: dict[str, client_accounts.Account] = dataclasses.field(
        default_factory=dict
    )
    unused: tuple[str, ...] = ()
    accounts_by_key: dict[str, client_accounts.Account] = dataclasses.field(
        init=False, compare=False, repr=False
    )
    # Routes by host and prefix, as a scan of hundreds of routes takes longer than all
    # else that an entry does for a request.
    index: dict[tuple[str, str], tuple[Route, ...]] = dataclasses.field(
        init=False, compare=False, repr=False
    )
    longest_prefix: int = dataclasses.field(init=False, compare=False, repr=False)

    def __post_init__(self) -> None:
        found = {key: item for item in self.accounts.values() for key in item.keys}
        object.__setattr__(self, "accounts_by_key", found)
        index: dict[tuple[str, str], tuple[Route, ...]] = {}
        for host, group in self.routes.items():
            for route in group:
                place = (host, route.prefix)
                index[place] = (*index.get(place, ()), route)
        object.__setattr__(self, "index", index)
        longest = max((len(prefix) for _, prefix in index), default=0)
        object.__setattr__(self, "longest_prefix", longest)

    def account_of(self, key: str) -> client_accounts.Account | None:
        """Return the account that holds a key; None if there is none."""
        return self.accounts_by_key.get(key)

    def match(self, host: str, path: str, method: str) -> Route | None:
        """Return the matching route with the longest prefix; None without a match.

        A route for the exact host takes precedence over one for any host.
        """
        for name in (host, ANY_HOST):
            for prefix in prefixes_of(path, self.longest_prefix):
                for route in self.index.get((name, prefix), ()):
                    if route.matches(path, method):
                        return route
        return None


def prefixes_of(path: str, longest: int) -> collections.abc.Iterator[str]:
    """Yield the prefixes of a path that end with a slash, the longest first.

    The path itself with a slash after it counts as one: a route may match the path
    without the trailing slash of its prefix.

    :param longest: characters of the longest prefix that is of interest.
    """
    if len(path) < longest:
        yield path + "/"
    end = min(len(path), longest)
    while (end := path.rfind("/", 0, end)) >= 0:
        yield path[: end + 1]


def group_by_host(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Group routes by host; sort each group by prefix length, longest first."""
    groups: dict[str, list[Route]] = {}
    for route in routes:
        groups.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(group, key=lambda route: -len(route.prefix)))
        for host, group in groups.items()
    }
