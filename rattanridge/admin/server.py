"""HTTP server of the administration API on each node."""

import hmac
import re
import typing

import aiohttp.web
import msgspec

from rattanridge import admin
from rattanridge.admin import presets as preset_store, status
from rattanridge.kernel import codes, presets, registry, settings
from rattanridge.mesh import node as nodes
from rattanridge.web import bodies

MAX_BODY_BYTES = 1_000_000
# Requests served at once; further ones are refused, so that they do not queue up
# while the platform is slow.
MAX_ACTIVE_REQUESTS = 32
NAME = r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}"
NUMBER = re.compile(r"[0-9]{1,9}")
ROLES = ("viewer", "operator")  # each includes the rights of those before it


class Error(msgspec.Struct):
    """Body of the response to a refused administration request."""

    code: int
    name: str
    detail: str
    where: str = ""


class Request(msgspec.Struct):
    """One administration request whose token and role have been checked.

    :param operator: name of the token.
    :param role: role of the token.
    :param arguments: path parts by the names in the operation's pattern.
    """

    operator: str
    role: str
    arguments: dict[str, str]
    query: dict[str, str]
    body: bytes

    def query_int(self, name: str) -> int | None:
        """Return an integer query parameter; None if it is absent or empty.

        Raise ``admin-bad-request`` unless it has one to nine decimal digits.
        """
        text = self.query.get(name, "")
        if not text:
            return None
        if not NUMBER.fullmatch(text):
            raise codes.Failure(codes.ADMIN_BAD_REQUEST, f"{name} is not a number")
        return int(text)


class Operation(msgspec.Struct):
    """A handler with its HTTP method, path pattern and required role."""

    method: str
    pattern: re.Pattern
    role: str
    handler: typing.Any


OPERATIONS: registry.Registry[Operation] = registry.Registry("operation")


def operation(method: str, path: str, role: str) -> typing.Any:
    """Register a handler ``async (server, request) -> object``.

    :param path: pattern in which ``<name>`` matches one part of the path.
    :param role: least role that may run the operation; see ``ROLES``.
    """
    pattern = re.compile(re.sub(r"<(\w+)>", rf"(?P<\1>{NAME})", path))

    def decorator(handler: typing.Any) -> typing.Any:
        item = Operation(method, pattern, role, handler)
        OPERATIONS.register(f"{method} {path}")(item)
        return handler

    return decorator


class Server:
    """Serves the administration API to operators.

    :param node: the node in whose process the server runs.
    """

    def __init__(self, node: nodes.Node):
        registry.load_plugins(admin)
        self.node = node
        self.config = node.config
        self.counters = node.meters
        self.presets = preset_store.Presets(
            node.store, node.configs.highest_known_version
        )
        self.status = status.StatusCollector(node)
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
        """Count and log a refusal; return the response for it."""
        code = failure.code
        self.counters.add(f"admin.refused.{code.name}")
        self.log.note(
            "admin-refused", code=code.number, method=request.method, path=request.path
        )
        body = Error(code.number, code.name, failure.detail, failure.where)
        return respond(body, code.status)

    async def dispatch(self, request: aiohttp.web.BaseRequest) -> object:
        """Check token, path and role, then run the operation and return its result."""
        token = self.authenticate(request)
        matched, arguments = self.find_operation(request.method, request.path)
        if ROLES.index(token.role) < ROLES.index(matched.role):
            raise codes.Failure(
                codes.WRONG_ROLE,
                f"token {token.name} has role {token.role}; "
                f"the operation requires role {matched.role}",
            )
        if self.active > MAX_ACTIVE_REQUESTS:
            raise codes.Failure(codes.ADMIN_BUSY)
        body = await bodies.read_body(request, MAX_BODY_BYTES)
        query = dict(request.query)
        checked = Request(token.name, token.role, arguments, query, body)
        result = await matched.handler(self, checked)
        self.counters.add("admin.done")
        if matched.method != "GET":
            self.log.info(
                "admin-done",
                operator=token.name,
                method=request.method,
                path=request.path,
            )
        return result

    def authenticate(self, request: aiohttp.web.BaseRequest) -> settings.Token:
        """Return the settings of the bearer token that was sent.

        All tokens are compared, each in full, so that the response time does not show
        how much of a secret was right. Raise ``no-token`` if none matches.
        """
        scheme, _, secret = request.headers.get("Authorization", "").partition(" ")
        sent = secret.encode(errors="surrogateescape")
        matched = None
        for token in self.config.tokens:
            if hmac.compare_digest(token.secret.encode(), sent):
                matched = token
        if matched is None or scheme.lower() != "bearer":
            raise codes.Failure(codes.NO_TOKEN)
        return matched

    def find_operation(
        self, method: str, path: str
    ) -> tuple[Operation, dict[str, str]]:
        """Return the operation for a request, and the named parts of its path.

        Raise ``no-operation`` for an unknown path and ``wrong-method`` for a known
        path with another method.
        """
        matching = [
            (item, match.groupdict())
            for item in OPERATIONS.items.values()
            if (match := item.pattern.fullmatch(path))
        ]
        if not matching:
            raise codes.Failure(codes.NO_OPERATION, f"no operation has the path {path}")
        for item, arguments in matching:
            if item.method == method:
                return item, arguments
        raise codes.Failure(
            codes.WRONG_METHOD, f"{path} does not accept the method {method}"
        )


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
    return await server.presets.list_newest()


@operation("GET", "/presets/<name>", "viewer")
async def show_preset(server: Server, request: Request) -> object:
    """Return one revision of a preset with its content.

    Only operators receive the keys of its accounts, so that they can put it again.
    """
    revision = request.query_int("revision") or 0
    found = await server.presets.show(request.arguments["name"], revision)
    if request.role != "operator" and found.content is not None:
        found.content = presets.hide_keys(found.content)
    return found


@operation("POST", "/presets/<name>/use", "operator")
async def use_preset(server: Server, request: Request) -> object:
    """Put a revision of a preset in force."""
    return await server.presets.use(
        request.arguments["name"],
        request.operator,
        request.query_int("generation"),
        request.query_int("revision") or 0,
    )


@operation("GET", "/history", "viewer")
async def show_history(server: Server, request: Request) -> object:
    """Return the choices of presets, the oldest first."""
    return await server.presets.history()


@operation("GET", "/status", "viewer")
async def show_status(server: Server, request: Request) -> object:
    """Return the state of the system."""
    return await server.status.collect()


@operation("GET", "/counters", "viewer")
async def show_counters(server: Server, request: Request) -> object:
    """Return the counters of this node by name and labels."""
    return server.counters.values()


def decode_text(body: bytes) -> str:
    """Return a body as text; raise ``bad-yaml`` if it is not UTF-8."""
    try:
        return body.decode()
    except UnicodeDecodeError as error:
        raise codes.Failure(codes.BAD_YAML, str(error))
