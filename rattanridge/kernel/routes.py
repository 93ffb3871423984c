"""The configuration in force: routes, services and limits, whole and immutable."""

import dataclasses

import msgspec

from rattanridge.kernel import registry

# Filled by the plug-ins of ``policies``; each reads a request's idempotency key.
KEY_SOURCES: registry.Registry[type] = registry.Registry("key source")
ANY_HOST = "*"


class KeySource(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where a request's idempotency key comes from.

    :param source: name of a registered key source.
    :param name: header or JSON field that the source reads.
    """

    source: str
    name: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Share:
    """One service of a route with the weight of its part of the requests."""

    service: str
    weight: int


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Where the requests of one host and path prefix go.

    :param name: the operator's name of the route.
    :param host: lower-case host without a port, or ``*`` for any.
    :param prefix: begins and ends with a slash.
    :param idempotent: whether its requests may run more than once.
    :param timeout: seconds that a request is kept waiting at most.
    :param target_latency: seconds within which an answer is timely.
    :param priority: rank of its requests; 0 comes first.
    :param attempts: endpoints that one request may be sent to.
    :param shares: services and their weights; one or more.
    :param methods: HTTP methods that it takes; empty for any.
    :param bare: whether it takes the prefix without its last slash, too.
    :param key: what makes two sendings the same request, if that is to be known.
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

    def matches(self, path: str, method: str) -> bool:
        """Whether a request is the route's."""
        if self.methods and method not in self.methods:
            return False
        if path.startswith(self.prefix):
            return True
        return self.bare and path == self.prefix[:-1]


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A service that routes lead to.

    :param health_path: path of its health check.
    :param connections: connections that one endpoint takes.
    """

    name: str
    health_path: str = "/healthz"
    connections: int = 100


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Bounds on callers: sizes in bytes, times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclasses.dataclass(slots=True, frozen=True)
class Configuration:
    """One version of the configuration.

    :param version: grows with each version, not always by one.
    :param routes: routes by host, the longest prefix first.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    limits: Limits = Limits()

    def match(self, host: str, path: str, method: str) -> Route | None:
        """Return the route with the longest prefix that begins the path; one for
        the very host comes before one for any."""
        for name in (host, ANY_HOST):
            for route in self.routes.get(name, ()):
                if route.matches(path, method):
                    return route
        return None


def group_by_host(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Group routes by host and order each group by falling prefix length."""
    groups: dict[str, list[Route]] = {}
    for route in routes:
        groups.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(group, key=lambda route: -len(route.prefix)))
        for host, group in groups.items()
    }
