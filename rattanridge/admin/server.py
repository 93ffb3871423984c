"""HTTP server of the administration API on each node."""

import hmac
import re
import typing

import aiohttp.web
import msgspec

from rattanridge import admin
from rattanridge.admin import presets as preset_store, status
from rattanridge.kernel import codes, registry, settings
from rattanridge.mesh import node as nodes
from rattanridge.web import bodies

BODY_BYTES = 1_000_000
ACTIVE_MOST = 32  # requests at once, so that none pile up on a slow platform
NAME = r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}"
NUMBER = re.compile(r"[0-9]{1,9}")
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

    def number(self, name: str) -> int | None:
        """Return a whole number of the query; ``None`` if it is not there."""
        text = self.query.get(name, "")
        if not text:
            return None
        if not NUMBER.fullmatch(text):
            raise codes.Failure(codes.ADMIN_BAD_REQUEST, f"{name} is not a number")
        return int(text)


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
    pattern = re.compile(re.sub(r"<(\w+)>", rf"(?P<\1>{NAME})", path))

    def decorator(handler: typing.Any) -> typing.Any:
        item = Operation(method, pattern, role, handler)
        OPERATIONS.register(f"{method} {path}")(item)
        return handler

    return decorator


class Server:
    """Serves operators.

    :param node: the node beside which it runs.
    """

    def __init__(self, node: nodes.Node):
        registry.load_plugins(admin)
        self.node = node
        self.config = node.config
        self.counters = node.meters
        self.presets = preset_store.Presets(node.store)
        self.status = status.Status(node)
        self.log = node.log
        self.active = 0

    async def serve(self, request: aiohttp.web.BaseRequest) -> aiohttp.web.Response:
        """Answer one request with JSON."""
        self.active += 1
        try:
            result = await self.dispatch(request)
        except codes.Failure as failure:
            return self.refuse(request, failure)
        finally:
            self.active -= 1
        return respond(result)

    def refuse(
        self, request: aiohttp.web.BaseRequest, failure: codes.Failure
    ) -> aiohttp.web.Response:
        """Count and log a refusal; return the answer that tells it."""
        code = failure.code
        self.counters.add(f"admin.refused.{code.name}")
        self.log.note(
            "admin-refused", code=code.number, method=request.method, path=request.path
        )
        body = Error(code.number, code.name, failure.detail, failure.where)
        return respond(body, code.status)

    async def dispatch(self, request: aiohttp.web.BaseRequest) -> object:
        """Check token, path and role, then run the operation."""
        token = self.authenticate(request)
        found, arguments = self.find(request.method, request.path)
        if ROLES.index(token.role) < ROLES.index(found.role):
            raise codes.Failure(codes.WRONG_ROLE, f"{token.name} is {token.role}")
        if self.active > ACTIVE_MOST:
            raise codes.Failure(codes.ADMIN_BUSY)
        body = await bodies.read_body(request, BODY_BYTES)
        asked = Request(token.name, arguments, dict(request.query), body)
        result = await found.handler(self, asked)
        self.counters.add("admin.done")
        if found.method != "GET":
            self.log.info(
                "admin-done",
                operator=token.name,
                method=request.method,
                path=request.path,
            )
        return result

    def authenticate(self, request: aiohttp.web.BaseRequest) -> settings.Token:
        """Return the token that was sent; every token is compared in full."""
        kind, _, secret = request.headers.get("Authorization", "").partition(" ")
        sent = secret.encode(errors="surrogateescape")
        found = None
        for token in self.config.tokens:
            if hmac.compare_digest(token.secret.encode(), sent):
                found = token
        if found is None or kind.lower() != "bearer":
            raise codes.Failure(codes.NO_TOKEN)
        return found

    def find(self, method: str, path: str) -> tuple[Operation, dict[str, str]]:
        """Return the operation of a path, and the parts that its pattern names."""
        fitting = [
            (item, match.groupdict())
            for item in OPERATIONS.items.values()
            if (match := item.pattern.fullmatch(path))
        ]
        if not fitting:
            raise codes.Failure(codes.NO_OPERATION, path)
        for item, arguments in fitting:
            if item.method == method:
                return item, arguments
        raise codes.Failure(codes.WRONG_METHOD, f"{method} {path}")


def respond(body: object, status: int = 200) -> aiohttp.web.Response:
    """Return a response with a JSON body."""
    return aiohttp.web.Response(
        body=msgspec.json.encode(body), status=status, content_type="application/json"
    )


@operation("PUT", "/presets/<name>", "operator")
async def put_preset(server: Server, request: Request) -> object:
    """Store a preset as the next revision."""
    text = decode_text(request.body)
    name = request.arguments["name"]
    return await server.presets.put(name, text, request.operator)


@operation("GET", "/presets", "viewer")
async def list_presets(server: Server, request: Request) -> object:
    """Return the newest revision of each preset."""
    return await server.presets.newest()


@operation("GET", "/presets/<name>", "viewer")
async def show_preset(server: Server, request: Request) -> object:
    """Return one revision with its content."""
    revision = request.number("revision") or 0
    return await server.presets.show(request.arguments["name"], revision)


@operation("POST", "/presets/<name>/use", "operator")
async def use_preset(server: Server, request: Request) -> object:
    """Put a revision in force."""
    return await server.presets.use(
        request.arguments["name"],
        request.operator,
        request.number("generation"),
        request.number("revision") or 0,
    )


@operation("GET", "/history", "viewer")
async def show_history(server: Server, request: Request) -> object:
    """Return the choices, the oldest first."""
    return await server.presets.history()


@operation("GET", "/status", "viewer")
async def show_status(server: Server, request: Request) -> object:
    """Return the system's state."""
    return await server.status.collect()


@operation("GET", "/counters", "viewer")
async def show_counters(server: Server, request: Request) -> object:
    """Return this node's counters by name and labels."""
    return server.counters.values()


def decode_text(body: bytes) -> str:
    """Return a body as text; raise a coded failure if it is not UTF-8."""
    try:
        return body.decode()
    except UnicodeDecodeError as error:
        raise codes.Failure(codes.BAD_YAML, str(error))
