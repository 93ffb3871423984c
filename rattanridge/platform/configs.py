"""Conversion of configurations between the wire format and the kernel's types.

Counts are used without their fraction, so that nothing gets more than its operator has
written.
"""

import functools
import math

import msgspec

from rattanridge.kernel import accounts, codes, routes, untrusted_json
from rattanridge.platform import config_wire

KIND = "config"
NAME = "main"
IDEMPOTENT_KIND = "safe"
LARGE_KIND = "download"  # idempotent, with large answers
NON_IDEMPOTENT_KIND = "unsafe"
KINDS = (IDEMPOTENT_KIND, LARGE_KIND, NON_IDEMPOTENT_KIND)
VERSION_BASE = 16
MAX_EXACT = 2**53  # whole numbers up to this one are the same as a float


def version_of(data: bytes) -> int:
    """Return the version of a configuration; 0 if it cannot be read."""
    wire = untrusted_json.decode_or_none(data, config_wire.WireVersion)
    try:
        return int(wire.version, VERSION_BASE) if wire is not None else 0
    except ValueError:
        return 0


def decode(data: bytes) -> routes.Configuration:
    """Decode and validate a configuration.

    A later version of the platform may define further kinds of routes. A route of an
    unknown kind is used as one that is not idempotent. What may be left out counts as
    left out if its value is null or cannot be used; ``unused`` of the configuration
    then says so, unless it is null. Raise ``bad-field``,
    ``bad-account``, or ``missing-service`` for a route to an undefined service.
    """
    try:
        wire, unused = untrusted_json.decode_with_gaps(
            data, config_wire.WireConfiguration
        )
        version = int(wire.version, VERSION_BASE)
    except (*untrusted_json.ERRORS, ValueError) as error:
        raise codes.Failure(codes.BAD_FIELD, str(error), where="configuration")
    services = {item.name: decode_service(item) for item in wire.services}
    decoded = [
        decode_route(group.host, item, services)
        for group in wire.hosts
        for item in group.paths
    ]
    limits = routes.Limits(
        math.floor(wire.limits.header_bytes),
        math.floor(wire.limits.body_bytes),
        wire.limits.header_ms / 1000,
        wire.limits.idle_ms / 1000,
    )
    unknown_kinds = {item.kind for group in wire.hosts for item in group.paths}
    return routes.Configuration(
        version,
        routes.group_by_host(decoded),
        services,
        limits,
        frozenset(unknown_kinds.difference(KINDS)),
        accounts.by_name(map(decode_account, wire.accounts or ()), "configuration"),
        tuple(unused),
    )


def decode_account(item: config_wire.WireAccount) -> accounts.Account:
    """Return an account of the wire format, which is not checked yet."""
    keys = tuple(item.keys)
    priority = math.floor(item.priority) if item.priority is not None else None
    return accounts.Account(item.name, keys, priority, item.rate, item.burst)


def encode_account(item: accounts.Account) -> config_wire.WireAccount:
    """Return an account in wire format."""
    return config_wire.WireAccount(
        item.name, list(item.keys), item.priority, item.rate, item.burst
    )


def decode_service(item: config_wire.WireService) -> routes.Service:
    """Decode one service."""
    return routes.Service(
        item.name,
        item.health_path,
        math.floor(item.connections),
        item.cold_start or 0.0,
        item.cold_rate or 0.0,
    )


def decode_route(
    host: str, item: config_wire.WireRoute, services: dict[str, routes.Service]
) -> routes.Route:
    """Decode one route.

    Raise ``bad-field`` for an invalid field, or ``missing-service`` if ``services``
    lacks one of its services.
    """
    shares = decode_shares(item)
    check_route(item, shares, services)
    extras = item.extras or config_wire.NO_EXTRAS
    timeout_ms = item.timeout_ms or config_wire.DEFAULT_TIMEOUT_MS
    return routes.Route(
        name=item.name or item.prefix,
        host=host.lower(),
        prefix=item.prefix,
        idempotent=item.kind in (IDEMPOTENT_KIND, LARGE_KIND),
        large=item.kind == LARGE_KIND,
        timeout=timeout_ms / 1000,
        target_latency=(item.target_ms or timeout_ms) / 1000,
        priority=math.floor(item.priority),
        attempts=max(math.floor(item.attempts), 1),
        shares=shares,
        methods=frozenset(extras.methods),
        bare=extras.bare,
        key=extras.key,
        public=bool(item.public),
    )


def decode_shares(item: config_wire.WireRoute) -> tuple[routes.Share, ...]:
    """Return the weighted services of a route: its split, or its only service.

    Empty if the route has neither.
    """
    if item.split:
        return tuple(routes.Share(part.service, part.weight) for part in item.split)
    return single_share(item.service) if item.service else ()


@functools.lru_cache(maxsize=1024)
def single_share(service: str) -> tuple[routes.Share, ...]:
    """Return the only share of a service, one object for all routes to it."""
    return (routes.Share(service, 1),)


def check_route(
    item: config_wire.WireRoute,
    shares: tuple[routes.Share, ...],
    services: dict[str, routes.Service],
) -> None:
    """Raise ``bad-field`` for an invalid field of a route.

    Raise ``missing-service`` if the route names a service that is not defined.
    """
    where = f"route {item.name}"
    if not (item.prefix.startswith("/") and item.prefix.endswith("/")):
        raise codes.Failure(codes.BAD_FIELD, f"prefix {item.prefix!r}", where=where)
    key = item.extras.key if item.extras else None
    if key is not None and key.source not in routes.KEY_SOURCES.items:
        raise codes.Failure(codes.BAD_FIELD, f"key source {key.source!r}", where=where)
    for share in shares:
        if share.weight > 0 and share.service not in services:
            raise codes.Failure(codes.MISSING_SERVICE, share.service, where=where)


def encode(configuration: routes.Configuration) -> bytes:
    """Return a configuration in the platform's wire format."""
    limits = configuration.limits
    wire = config_wire.WireConfiguration(
        f"{configuration.version:08x}",
        [
            config_wire.WireHost(host, [encode_route(route) for route in group])
            for host, group in configuration.routes.items()
        ],
        [
            config_wire.WireService(
                item.name,
                item.health_path,
                item.connections,
                item.cold_start or msgspec.UNSET,
                item.cold_rate or msgspec.UNSET,
            )
            for item in configuration.services.values()
        ],
        config_wire.WireLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout * 1000,
            limits.idle_timeout * 1000,
        ),
    )
    if configuration.accounts:
        wire.accounts = list(map(encode_account, configuration.accounts.values()))
    return msgspec.json.encode(wire)


def encode_route(route: routes.Route) -> config_wire.WireRoute:
    """Return a route in wire format; fields that the platform lacks go into extras."""
    wire = config_wire.WireRoute(
        route.name,
        route.prefix,
        kind_of(route),
        route.priority,
        route.timeout * 1000,
        route.target_latency * 1000,
        route.attempts,
    )
    if len(route.shares) == 1:
        wire.service = route.shares[0].service
    else:
        wire.split = [encode_share(item) for item in route.shares]
    if route.methods or route.bare or route.key:
        wire.extras = config_wire.WireExtras(
            sorted(route.methods), route.bare, route.key
        )
    if route.public:
        wire.public = True
    return wire


def encode_share(share: routes.Share) -> config_wire.WireShare:
    """Return a share in wire format.

    A whole weight is written without a fraction: nodes of earlier versions of this
    program refuse ``75.0``.
    """
    weight = share.weight
    if weight == int(weight) and weight <= MAX_EXACT:
        weight = int(weight)
    return config_wire.WireShare(share.service, weight)


def kind_of(route: routes.Route) -> str:
    """Return the platform's kind of a route."""
    if not route.idempotent:
        return NON_IDEMPOTENT_KIND
    return LARGE_KIND if route.large else IDEMPOTENT_KIND
