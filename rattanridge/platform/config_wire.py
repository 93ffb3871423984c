"""Wire format of the configuration: the types of its JSON document.

The pages name no number here that has to be whole.
"""

import typing

import msgspec

from rattanridge.kernel import json_parts, routes

DEFAULT_TIMEOUT_MS = 10_000.0  # of a route that sets none

NotNegative = typing.Annotated[float, msgspec.Meta(ge=0)]


class WireShare(json_parts.TolerantStruct):
    """One service of a traffic split and its weight."""

    service: str = msgspec.field(name="Service")
    weight: NotNegative = msgspec.field(name="Weight", default=0.0)


class WireExtras(msgspec.Struct, omit_defaults=True):
    """Fields of a preset's route for which the platform has no field of its own.

    :param bare: whether the prefix without its trailing slash matches, too.
    """

    methods: list[str] = msgspec.field(name="Methods", default_factory=list)
    bare: bool = msgspec.field(name="BarePrefix", default=False)
    key: routes.KeySource | None = msgspec.field(name="IdempotencyKey", default=None)


NO_EXTRAS = WireExtras()


class WireRoute(json_parts.TolerantStruct):
    """One path of a host.

    ``Kind`` tells whether its requests are idempotent and whether its answers are
    large. Without its prefix nobody knows which requests a route is for, and without
    its extras their work might run twice.
    """

    needed = frozenset({"prefix", "extras"})

    name: str = msgspec.field(name="Name", default="")
    prefix: str = msgspec.field(name="PathPrefix", default="")
    kind: str = msgspec.field(name="Kind", default="")
    priority: float = msgspec.field(name="Priority", default=0)
    timeout_ms: NotNegative = msgspec.field(
        name="TimeoutMs", default=DEFAULT_TIMEOUT_MS
    )
    target_ms: NotNegative = msgspec.field(name="TargetLatencyMs", default=0.0)
    attempts: NotNegative = msgspec.field(name="MaxAttempts", default=1)
    service: str | msgspec.UnsetType = msgspec.field(
        name="Service", default=msgspec.UNSET
    )
    split: list[WireShare] | msgspec.UnsetType = msgspec.field(
        name="TrafficSplit", default=msgspec.UNSET
    )
    extras: WireExtras | msgspec.UnsetType = msgspec.field(
        name="Extras", default=msgspec.UNSET
    )
    public: bool | msgspec.UnsetType = msgspec.field(
        name="Public", default=msgspec.UNSET
    )


class WireHost(msgspec.Struct):
    """One host with its routes."""

    host: str = msgspec.field(name="Host")
    paths: list[WireRoute] = msgspec.field(name="Paths")


class WireService(json_parts.TolerantStruct):
    """One service: health check, connection limit, and its endpoints when cold."""

    name: str = msgspec.field(name="Name")
    health_path: str = msgspec.field(name="HealthPath", default="/healthz")
    connections: NotNegative = msgspec.field(name="MaxConnections", default=100)
    cold_start: NotNegative | msgspec.UnsetType = msgspec.field(
        name="ColdStartS", default=msgspec.UNSET
    )
    cold_rate: NotNegative | msgspec.UnsetType = msgspec.field(
        name="ColdPerS", default=msgspec.UNSET
    )


class WireLimits(json_parts.TolerantStruct):
    """Limits on callers: sizes in bytes, times in milliseconds."""

    header_bytes: NotNegative = msgspec.field(name="MaxHeaderBytes", default=16_384)
    body_bytes: NotNegative = msgspec.field(name="MaxBodyBytes", default=67_108_864)
    header_ms: NotNegative = msgspec.field(name="HeaderTimeoutMs", default=3_000)
    idle_ms: NotNegative = msgspec.field(name="IdleTimeoutMs", default=15_000)


class WireAccount(json_parts.TolerantStruct, omit_defaults=True):
    """One client account: its keys, and its rate in requests per second.

    An account that cannot be read whole might let in somebody else, or too much.
    """

    needed = frozenset({"name", "keys", "priority", "rate", "burst"})

    name: str = msgspec.field(name="Name", default="")
    keys: list[str] = msgspec.field(name="ApiKeys", default_factory=list)
    priority: float | None = msgspec.field(name="Priority", default=None)
    rate: float = msgspec.field(name="RatePerS", default=0.0)
    burst: float = msgspec.field(name="Burst", default=0.0)


class WireConfiguration(json_parts.TolerantStruct):
    """The whole configuration; ``Version`` is a hexadecimal number.

    Without its accounts everybody would be let in.
    """

    needed = frozenset({"accounts"})

    version: str = msgspec.field(name="Version")
    hosts: list[WireHost] = msgspec.field(name="VirtualHosts")
    services: list[WireService] = msgspec.field(name="Services")
    limits: WireLimits = msgspec.field(name="Limits", default_factory=WireLimits)
    accounts: list[WireAccount] | msgspec.UnsetType = msgspec.field(
        name="Tenants", default=msgspec.UNSET
    )


class WireVersion(msgspec.Struct):
    """The version of a configuration, of which nothing else has to be readable."""

    version: str = msgspec.field(name="Version")
