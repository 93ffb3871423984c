"""Presets: routes and services that operators put in force together."""

import typing

import msgspec

from rattanridge.kernel import codes, documents, routes, settings

Prefix = typing.Annotated[str, msgspec.Meta(pattern=r"^/", max_length=512)]
Host = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r"^(\*|[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?|\[[0-9a-f:.]+\])$"
    ),
]
Method = typing.Annotated[str, msgspec.Meta(pattern=r"^([A-Z]{1,16}|\*)$")]
Attempts = typing.Annotated[int, msgspec.Meta(ge=1, le=10)]

PRIORITIES = ("high", "normal", "low")  # by rank
ANY_METHOD = "*"
TARGET_SHARE = 0.5  # of the timeout: the target latency of a route without one


class Service(settings.Struct):
    """A service that routes lead to.

    :param health_path: path of its health check.
    :param connections: connections that one endpoint takes.
    """

    health_path: Prefix = "/healthz"
    connections: settings.Count = 100


class Route(settings.Struct, kw_only=True):
    """Which requests go to which service, and how.

    :param host: exact host name in lower case, or ``*``.
    :param prefix: path prefix; it ends at a slash or at the path's end.
    :param methods: HTTP methods, or ``["*"]``.
    :param service: the service that answers.
    :param idempotent: whether the work may run more than once.
    :param priority: ``high``, ``normal`` or ``low``.
    :param timeout: seconds within which a caller is answered.
    :param target: seconds within which an answer is timely; 0 takes a part of
        the timeout.
    :param attempts: endpoints that one request may be sent to.
    :param key: idempotency-key source, for work that must run at most once
        however often its caller sends it.
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


class Preset(settings.Struct, kw_only=True):
    """One preset's content; revisions of it never change."""

    name: settings.Name
    services: typing.Annotated[dict[settings.Name, Service], msgspec.Meta(min_length=1)]
    routes: typing.Annotated[list[Route], msgspec.Meta(min_length=1, max_length=10_000)]


def load(path: str) -> Preset:
    """Read and check a preset file."""
    return parse(documents.read(path), path)


def parse(text: str, where: str = "preset") -> Preset:
    """Decode and check a preset given as YAML text."""
    preset = documents.decode(text, Preset, where)
    try:
        check(preset, where)
    except codes.Failure as failure:
        raise documents.add_line_number(failure, text, where)
    return preset


def check(preset: Preset, where: str = "preset") -> None:
    """Refuse what types can't say: routes to missing services, unknown key
    sources, and two routes that match the same requests."""
    seen: set[tuple[str, str, str]] = set()
    for index, route in enumerate(preset.routes):
        place = f"{where}: routes[{index}]"
        if route.service not in preset.services:
            raise codes.Failure(codes.MISSING_SERVICE, route.service, where=place)
        check_key(route.key, place)
        for method in route.methods:
            match = (route.host, route.prefix.rstrip("/"), method)
            if match in seen:
                detail = f"{method} {route.host}{route.prefix}"
                raise codes.Failure(codes.DUPLICATE_ROUTE, detail, where=place)
            seen.add(match)


def check_key(key: routes.KeySource | None, place: str) -> None:
    """Refuse a key source that is not registered or lacks the name it reads."""
    if key is None:
        return
    try:
        routes.KEY_SOURCES.get(key.source)
    except KeyError as error:
        raise codes.Failure(codes.BAD_FIELD, str(error.args[0]), where=place)
    if not key.name:
        detail = f"key source {key.source!r} needs a name"
        raise codes.Failure(codes.BAD_FIELD, detail, where=place)


def make_configuration(preset: Preset, version: int) -> routes.Configuration:
    """Return the configuration that puts a preset in force."""
    services = {
        name: routes.Service(name, item.health_path, item.connections)
        for name, item in preset.services.items()
    }
    found = [
        make_route(f"r{index:05}", item) for index, item in enumerate(preset.routes)
    ]
    return routes.Configuration(version, routes.group_by_host(found), services)


def make_route(name: str, item: Route) -> routes.Route:
    """Return a preset's route as nodes know it."""
    methods = frozenset() if ANY_METHOD in item.methods else frozenset(item.methods)
    return routes.Route(
        name=name,
        host=item.host,
        prefix=item.prefix.rstrip("/") + "/",
        idempotent=item.idempotent,
        timeout=item.timeout,
        target_latency=item.target or TARGET_SHARE * item.timeout,
        priority=PRIORITIES.index(item.priority),
        attempts=item.attempts,
        shares=(routes.Share(item.service, 1),),
        methods=methods,
        bare=True,
        key=item.key,
    )
