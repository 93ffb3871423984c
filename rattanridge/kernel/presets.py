"""Presets: named sets of routes and services that operators put in force."""

import typing

import msgspec

from rattanridge.kernel import accounts, codes, documents, routes, settings

Prefix = typing.Annotated[str, msgspec.Meta(pattern=r"^/", max_length=512)]
Host = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r"^(\*|[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?|\[[0-9a-f:.]+\])$"
    ),
]
Method = typing.Annotated[str, msgspec.Meta(pattern=r"^([A-Z]{1,16}|\*)$")]
Attempts = typing.Annotated[int, msgspec.Meta(ge=1, le=10)]
AccountPriority = typing.Annotated[int, msgspec.Meta(ge=0, le=1000)]

PRIORITIES = ("high", "normal", "low")  # highest first; the index is the rank
ANY_METHOD = "*"
HIDDEN_KEY = "***"
# Target latency of a route that sets none, as a fraction of its timeout.
DEFAULT_TARGET_RATIO = 0.5


class Service(settings.Struct):
    """A service that routes send requests to.

    :param health_path: path of its health check.
    :param connections: maximum number of connections to one endpoint.
    """

    health_path: Prefix = "/healthz"
    connections: settings.Count = 100


class Route(settings.Struct, kw_only=True):
    """A rule that sends matching requests to a service.

    :param host: exact host name in lower case, or ``*``.
    :param prefix: path prefix; matches whole path segments: ``/a`` matches ``/a/b``,
        but not ``/ab``.
    :param methods: HTTP methods, or ``["*"]`` for all.
    :param service: the service that gets the requests.
    :param idempotent: whether a request may safely run more than once.
    :param priority: ``high``, ``normal`` or ``low``.
    :param timeout: longest time in seconds until a caller is answered.
    :param target: seconds within which an answer counts as timely; 0 for
        ``DEFAULT_TARGET_RATIO`` times the timeout.
    :param attempts: maximum number of endpoints that one request is sent to.
    :param key: source of the idempotency key, for work that must run at most once
        even if the caller sends the request again.
    :param large: whether its answers are large; needs ``idempotent``.
    :param public: whether requests need no key even if there are accounts.
    """

    host: Host = routes.ANY_HOST
    prefix: Prefix = "/"
    methods: typing.Annotated[list[Method], msgspec.Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: [ANY_METHOD]
    )
    service: settings.Name
    idempotent: bool = False
    priority: typing.Literal["high", "normal", "low"] = "normal"
    timeout: settings.Seconds = 5.0
    target: typing.Annotated[float, msgspec.Meta(ge=0, le=86400)] = 0.0
    attempts: Attempts = 3
    key: routes.KeySource | None = None
    large: bool = False
    public: bool = False


class Account(settings.Struct, kw_only=True):
    """A client account.

    :param name: name that the endpoints receive.
    :param keys: keys that identify its requests.
    :param priority: ``high``, ``normal``, ``low``, or a whole number of which 0 is the
        highest; None for ``normal``.
    :param rate: requests per second over all nodes; 0 for no limit.
    :param burst: requests that may exceed the rate at once.
    """

    name: str
    keys: list[str] = msgspec.field(default_factory=list)
    priority: typing.Literal["high", "normal", "low"] | AccountPriority | None = None
    rate: float = 0.0
    burst: float = 0.0


class Preset(settings.Struct, kw_only=True):
    """Content of one revision of a preset; a revision never changes."""

    name: settings.Name
    services: typing.Annotated[dict[settings.Name, Service], msgspec.Meta(min_length=1)]
    routes: typing.Annotated[list[Route], msgspec.Meta(min_length=1, max_length=10_000)]
    accounts: list[Account] = msgspec.field(default_factory=list)


def load(path: str) -> Preset:
    """Read and validate a preset file."""
    return parse(documents.read(path), path)


def parse(text: str, where: str = "preset") -> Preset:
    """Decode and validate the YAML text of a preset."""
    preset = documents.decode(text, Preset, where)
    try:
        validate(preset, where)
    except codes.Failure as failure:
        raise documents.add_line_number(failure, text, where)
    return preset


def validate(preset: Preset, where: str = "preset") -> None:
    """Raise on errors that field types do not catch.

    These are invalid accounts, routes to undefined services, invalid key sources,
    large answers of routes that are not idempotent, and two routes that match the same
    requests.
    """
    accounts.by_name(map(make_account, preset.accounts), where)
    check_hidden_keys(preset, where)
    seen: set[tuple[str, str, str]] = set()
    for index, route in enumerate(preset.routes):
        location = f"{where}: routes[{index}]"
        if route.service not in preset.services:
            raise codes.Failure(codes.MISSING_SERVICE, route.service, where=location)
        check_key(route.key, location)
        if route.large and not route.idempotent:
            detail = "large: true needs idempotent: true"
            raise codes.Failure(codes.BAD_FIELD, detail, where=location)
        for method in route.methods:
            match = (route.host, route.prefix.rstrip("/"), method)
            if match in seen:
                detail = f"{method} {route.host}{route.prefix}"
                raise codes.Failure(codes.DUPLICATE_ROUTE, detail, where=location)
            seen.add(match)


def check_hidden_keys(preset: Preset, where: str) -> None:
    """Raise ``bad-account`` if a preset was copied from one whose keys are hidden."""
    for index, item in enumerate(preset.accounts):
        if HIDDEN_KEY in item.keys:
            detail = f"the keys of account {item.name!r} are hidden"
            location = f"{where}: accounts[{index}]"
            raise codes.Failure(codes.BAD_ACCOUNT, detail, where=location)


def check_key(key: routes.KeySource | None, location: str) -> None:
    """Raise ``bad-field`` if a key source is not registered or has no name."""
    if key is None:
        return
    try:
        routes.KEY_SOURCES.get(key.source)
    except KeyError as error:
        raise codes.Failure(codes.BAD_FIELD, str(error.args[0]), where=location)
    if not key.name:
        detail = f"key source {key.source!r} needs a name"
        raise codes.Failure(codes.BAD_FIELD, detail, where=location)


def make_configuration(preset: Preset, version: int) -> routes.Configuration:
    """Return a preset as a configuration with the given version."""
    services = {
        name: routes.Service(name, item.health_path, item.connections)
        for name, item in preset.services.items()
    }
    converted = [
        make_route(f"r{index:05}", item) for index, item in enumerate(preset.routes)
    ]
    return routes.Configuration(
        version,
        routes.group_by_host(converted),
        services,
        accounts=accounts.by_name(map(make_account, preset.accounts), preset.name),
    )


def make_account(item: Account) -> accounts.Account:
    """Return a preset's account as an account of a configuration."""
    priority = item.priority
    if isinstance(priority, str):
        priority = PRIORITIES.index(priority)
    return accounts.Account(
        item.name, tuple(item.keys), priority, item.rate, item.burst
    )


def hide_keys(preset: Preset) -> Preset:
    """Return a preset with ``HIDDEN_KEY`` in place of each key of its accounts."""
    hidden = [
        msgspec.structs.replace(item, keys=[HIDDEN_KEY] * len(item.keys))
        for item in preset.accounts
    ]
    return msgspec.structs.replace(preset, accounts=hidden)


def make_route(name: str, item: Route) -> routes.Route:
    """Return a preset's route as a route of a configuration."""
    methods = frozenset() if ANY_METHOD in item.methods else frozenset(item.methods)
    return routes.Route(
        name=name,
        host=item.host,
        prefix=item.prefix.rstrip("/") + "/",
        idempotent=item.idempotent,
        timeout=item.timeout,
        target_latency=item.target or DEFAULT_TARGET_RATIO * item.timeout,
        priority=PRIORITIES.index(item.priority),
        attempts=item.attempts,
        shares=(routes.Share(item.service, 1),),
        methods=methods,
        bare=True,
        key=item.key,
        large=item.large,
        public=item.public,
    )
