"""HTTP server of the administration API on each node."""

import hmac
import re
import typing

import aiohttp.web
import msgspec

from rattanridge.admin import presets as preset_store, status
from rattanridge.control import replica
from rattanridge.kernel import codes, log, metrics, registry, settings
from rattanridge.platform import client

BODY_BYTES = 1_000_000
ROLES = ("viewer", "operator")


class Error(msgspec.Struct):
    """Body of a refused administration request."""

    code: int
    name: str
    detail: str
    where: str = ""


class Request(msgspec.Struct):
    """One administration request after token and role were checked.

    :param operator: name of the token.
    :param arguments: parts of the path that the handler's pattern names.
    """

    operator: str
    arguments: dict[str, str]
    query: dict[str, str]
    body: bytes


class Operation(msgspec.Struct):
    """A handler with its method, path pattern and the role that it needs."""

    method: str
    pattern: re.Pattern
    role: str
    handler: typing.Any


OPERATIONS: registry.Registry[Operation] = registry.Registry("operation")


def operation(method: str, path: str, role: str) -> typing.Any:
    """Register a handler ``async (server, request) -> object``.

    :param path: pattern in which ``<name>`` stands for one part of the path.
    """
    pattern = re.compile(re.sub(r"<(\w+)>", r"(?P<\1>[A-Za-z0-9._-]{1,64})", path))

    def decorator(handler: typing.Any) -> typing.Any:
        item = Operation(method, pattern, role, handler)
        OPERATIONS.register(f"{method} {path}")(item)
        return handler

    return decorator


class Server:
    """Serves operators.

    :param config: the node's settings, with the tokens.
    :param platform: the platform's client.
    :param state: the node's replica.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        platform: client.Client,
        state: replica.Replica,
        counters: metrics.Counters,
    ):
        self.config = config
        self.platform = platform
        self.state = state
        self.counters = counters
        self.presets = preset_store.Presets(platform)
        self.status = status.Status(config, platform, state)
        self.log = log.Log("admin", config.name)

    async def serve(self, request: aiohttp.web.BaseRequest) -> aiohttp.web.Response:
        """Answer one request with JSON."""
        try:
            result = await self.dispatch(request)
        except codes.Failure as failure:
            self.counters.add(f"admin.refused.{failure.code.name}")
            self.log.info(
                "admin-refused",
                code=failure.code.number,
                method=request.method,
                path=request.path,
            )
            code = failure.code
            body = Error(code.number, code.name, failure.detail, failure.where)
            return respond(body, code.status)
        return respond(result)

    async def dispatch(self, request: aiohttp.web.BaseRequest) -> object:
        token = self.authenticate(request)
        found, arguments = self.find(request.method, request.path)
        if ROLES.index(token.role) < ROLES.index(found.role):
            raise codes.Failure(codes.WRONG_ROLE, f"{token.name} is {token.role}")
        body = await self.read_body(request)
        asked = Request(token.name, arguments, dict(request.query), body)
        return await found.handler(self, asked)

    def authenticate(self, request: aiohttp.web.BaseRequest) -> settings.Token:
        """Return the token that was sent; every token is compared in full."""
        kind, _, secret = request.headers.get("Authorization", "").partition(" ")
        found = None
        for token in self.config.tokens:
            if hmac.compare_digest(token.secret.encode(), secret.encode()):
                found = token
        if found is None or kind.lower() != "bearer":
            raise codes.Failure(codes.NO_TOKEN)
        return found

    def find(self, method: str, path: str) -> tuple[Operation, dict[str, str]]:
        for item in OPERATIONS.items.values():
            match = item.pattern.fullmatch(path)
            if match and item.method == method:
                return item, match.groupdict()
        raise codes.Failure(codes.ADMIN_BAD_REQUEST, f"{method} {path}")

    async def read_body(self, request: aiohttp.web.BaseRequest) -> bytes:
        """Read the body within its bound."""
        body = b""
        async for chunk in request.content.iter_any():
            body += chunk
            if len(body) > BODY_BYTES:
                raise codes.Failure(codes.TOO_LARGE, f"over {BODY_BYTES} bytes")
        return body


def respond(body: object, status: int = 200) -> aiohttp.web.Response:
    return aiohttp.web.Response(
        body=msgspec.json.encode(body), status=status, content_type="application/json"
    )


@operation("PUT", "/presets/<name>", "operator")
async def put_preset(server: Server, request: Request) -> object:
    text = decode_text(request.body)
    name = request.arguments["name"]
    return await server.presets.put(name, text, request.operator)


@operation("GET", "/presets", "viewer")
async def list_presets(server: Server, request: Request) -> object:
    return await server.presets.newest()


@operation("GET", "/presets/<name>", "viewer")
async def show_preset(server: Server, request: Request) -> object:
    revision = request.query.get("revision", "0")
    if not revision.isdigit():
        raise codes.Failure(codes.ADMIN_BAD_REQUEST, "revision")
    return await server.presets.show(request.arguments["name"], int(revision))


@operation("POST", "/presets/<name>/use", "operator")
async def use_preset(server: Server, request: Request) -> object:
    expected = request.query.get("generation", "")
    if expected and not expected.isdigit():
        raise codes.Failure(codes.ADMIN_BAD_REQUEST, "generation")
    return await server.presets.use(
        request.arguments["name"],
        request.operator,
        int(expected) if expected else None,
    )


@operation("GET", "/history", "viewer")
async def show_history(server: Server, request: Request) -> object:
    return await server.presets.history()


@operation("GET", "/status", "viewer")
async def show_status(server: Server, request: Request) -> object:
    return await server.status.collect()


@operation("GET", "/counters", "viewer")
async def show_counters(server: Server, request: Request) -> object:
    return dict(sorted(server.counters.values.items()))


def decode_text(body: bytes) -> str:
    try:
        return body.decode()
    except UnicodeDecodeError as error:
        raise codes.Failure(codes.BAD_YAML, str(error))
