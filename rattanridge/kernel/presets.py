"""Presets: routes and services that operators put in force together."""

import typing

import msgspec

from rattanridge.kernel import codes, documents, registry, settings

Fraction = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
Prefix = typing.Annotated[str, msgspec.Meta(pattern=r"^/", max_length=512)]
Host = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r"^(\*|[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?|\[[0-9a-f:.]+\])$"
    ),
]
Method = typing.Annotated[str, msgspec.Meta(pattern=r"^([A-Z]{1,16}|\*)$")]

PRIORITIES = ("high", "normal", "low")

# Filled by the plug-ins of ``policies``.
KEY_SOURCES: registry.Registry[type] = registry.Registry("key source")

# Registries by the field of ``Service`` that names one of their plug-ins; the
# modules of ``policies`` fill it.
PLUGINS: registry.Registry[registry.Registry] = registry.Registry("kind of plug-in")


class KeySource(settings.Struct):
    """Where a request's idempotency key comes from.

    :param source: name of a registered key source.
    :param name: header or JSON field that the source reads.
    """

    source: str = "fingerprint"
    name: str = ""


class Service(settings.Struct):
    """How calls to one service are placed and limited.

    :param balancer: name of a registered balancer.
    :param retries: name of a registered retry policy.
    :param hedging: name of a registered hedge policy.
    :param order: name of a registered queue order.
    :param queue: requests that may wait at one endpoint.
    :param warmup: seconds over which a new endpoint's share grows.
    """

    balancer: str = "two-choices"
    retries: str = "budget"
    hedging: str = "fixed"
    order: str = "deadline"
    queue: settings.Count = 24
    warmup: typing.Annotated[float, msgspec.Meta(ge=0, le=600)] = 5.0


class Route(settings.Struct, kw_only=True):
    """Which requests go to which service, and how.

    :param host: exact host name in lower case, or ``*``.
    :param prefix: path prefix; it ends at a slash or at the path's end.
    :param methods: HTTP methods, or ``["*"]``.
    :param service: the service that answers.
    :param idempotent: whether the work may run more than once.
    :param priority: ``high``, ``normal`` or ``low``.
    :param timeout: seconds within which a caller is answered.
    :param retry_budget: retries allowed, as a fraction of successes.
    :param key: idempotency-key source of non-idempotent requests.
    :param hedge: seconds after which an idempotent request is sent to a second
        endpoint as well; 0 turns hedging off.
    """

    host: Host = "*"
    prefix: Prefix = "/"
    methods: typing.Annotated[list[Method], msgspec.Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: ["*"]
    )
    service: settings.Name
    idempotent: bool = False
    priority: typing.Literal["high", "normal", "low"] = "normal"
    timeout: settings.Seconds = 5.0
    retry_budget: Fraction = 0.1
    key: KeySource = msgspec.field(default_factory=KeySource)
    hedge: typing.Annotated[float, msgspec.Meta(ge=0, le=60)] = 0.0

    def label(self) -> str:
        """Return what the route matches; the same under every preset."""
        return f"{','.join(self.methods)} {self.host}{self.prefix}"


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
        raise documents.point(failure, text, where)
    return preset


def check(preset: Preset, where: str = "preset") -> None:
    """Refuse what types can't say.

    These are unknown plug-ins, routes to missing services, and two routes that
    match the same requests.
    """
    for name, service in preset.services.items():
        check_plugins(service, f"{where}: services.{name}")
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


def check_key(key: KeySource, place: str) -> None:
    """Refuse a key source that is not registered or lacks the name it reads."""
    try:
        kind = KEY_SOURCES.get(key.source)
    except KeyError as error:
        raise codes.Failure(codes.BAD_FIELD, str(error.args[0]), where=place)
    if kind.needs_name and not key.name:
        detail = f"key source {key.source!r} needs a name"
        raise codes.Failure(codes.BAD_FIELD, detail, where=place)


def check_plugins(service: Service, place: str) -> None:
    """Refuse a service that names a plug-in which is not registered."""
    for field in PLUGINS.names():
        try:
            PLUGINS.get(field).get(getattr(service, field))
        except KeyError as error:
            raise codes.Failure(codes.BAD_FIELD, str(error.args[0]), where=place)
