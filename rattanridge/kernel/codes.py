"""Numbered result codes and the exception that carries them.

A code never changes its number or meaning, and the number of a removed code is
never reused. ``rattanridge codes`` prints the table of ``docs/CODES.md``.
"""

import dataclasses
import enum


class Execution(enum.StrEnum):
    """What is known about whether the requested work was executed.

    ``NOT_RUN`` is used only where it is proved.
    """

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True, frozen=True)
class Code:
    """One result code.

    :param number: the number that operators search for; the thousands digit is the
        group.
    :param name: short name, also used in names of counters.
    :param status: HTTP status of an answer with this code.
    :param exit_code: exit status of a command that fails with this code.
    :param meaning: one-line description for the documentation.
    """

    number: int
    name: str
    status: int
    exit_code: int
    meaning: str


TABLE: dict[int, Code] = {}


def define(
    number: int, name: str, status: int, meaning: str, *, exit_code: int = 1
) -> Code:
    """Add a code to the table; raise ``ValueError`` if its number or name is taken."""
    if number in TABLE or any(code.name == name for code in TABLE.values()):
        raise ValueError(f"code {number} {name} is defined twice")
    code = Code(number, name, status, exit_code, meaning)
    TABLE[number] = code
    return code


class Failure(Exception):
    """An error with a numbered code.

    :param detail: human-readable description of what was wrong.
    :param ran: for calls, whether the requested work was executed.
    :param where: file and line, or the path inside a document.
    :param retry_after: seconds after which a retry may succeed; 0 for no hint.
    """

    def __init__(
        self,
        code: Code,
        detail: str = "",
        *,
        ran: Execution = Execution.NOT_RUN,
        where: str = "",
        retry_after: float = 0.0,
    ):
        super().__init__(code.number, detail)
        self.code = code
        self.detail = detail
        self.ran = ran
        self.where = where
        self.retry_after = retry_after

    @property
    def exit_code(self) -> int:
        return self.code.exit_code

    def format(self) -> str:
        """Return one line for a terminal: location, number, name and detail."""
        prefix = f"{self.where}: " if self.where else ""
        suffix = f": {self.detail}" if self.detail else ""
        return f"{prefix}error {self.code.number} {self.code.name}{suffix}"

    def __str__(self) -> str:
        return self.format()


# 1xxx: settings, presets and other documents written by people.
BAD_YAML = define(1001, "bad-yaml", 400, "The document is not YAML", exit_code=2)
DUPLICATE_KEY = define(
    1002, "duplicate-key", 400, "A mapping holds one key twice", exit_code=2
)
BAD_FIELD = define(
    1003,
    "bad-field",
    400,
    "A field is unknown, missing, of the wrong type or out of range",
    exit_code=2,
)
MISSING_SERVICE = define(
    1004,
    "missing-service",
    400,
    "A route names a service that the preset lacks",
    exit_code=2,
)
TOO_LARGE = define(
    1005, "too-large", 413, "A document or value is over its size limit", exit_code=2
)
NO_FILE = define(1006, "no-file", 400, "The file cannot be read", exit_code=2)
DUPLICATE_ROUTE = define(
    1007,
    "duplicate-route",
    400,
    "Two routes match exactly the same requests",
    exit_code=2,
)
CANNOT_LISTEN = define(
    1008, "cannot-listen", 500, "The node cannot listen on a port of its settings"
)
BAD_ACCOUNT = define(
    1009,
    "bad-account",
    400,
    "An account's name, keys, rate or burst is invalid, or used by another account",
    exit_code=2,
)

# 2xxx: the platform's object API.
PLATFORM_DOWN = define(
    2001,
    "platform-down",
    503,
    "The platform did not answer; the outcome of the call is unknown",
)
PLATFORM_CONFLICT = define(
    2002, "platform-conflict", 409, "The object's version is not the expected one"
)
PLATFORM_MISSING = define(2003, "platform-missing", 404, "There is no such object")
PLATFORM_BUSY = define(2004, "platform-busy", 503, "The platform limits the call rate")
PLATFORM_REFUSED = define(
    2005, "platform-refused", 502, "The platform refused the call"
)
WATCH_LOST = define(
    2006,
    "watch-lost",
    410,
    "The watch fell too far behind; all objects must be listed again",
)
WATCH_UNANSWERED = define(
    2007,
    "watch-unanswered",
    503,
    "The platform did not answer a watch in time; it may never have taken it",
)

# 3xxx: calls between nodes.
NODE_LOST = define(
    3008, "node-lost", 503, "The node does not answer, so its state is unknown"
)

# 4xxx: invalid requests of callers, refused before any work.
NO_ROUTE = define(4001, "no-route", 404, "No route of the preset matches the request")
BAD_REQUEST = define(4002, "bad-request", 400, "The request cannot be read")
HEADERS_TOO_LARGE = define(
    4003, "headers-too-large", 431, "The request's headers are over the limit"
)
BODY_TOO_LARGE = define(
    4004, "body-too-large", 413, "The request's body is over the limit"
)
BODY_CUT = define(4005, "body-cut", 400, "The request's body ended too early")
HOP_REFUSED = define(
    4006, "hop-refused", 403, "A node-to-node call has no valid proof of the shared key"
)
NO_ACCOUNT = define(4007, "no-account", 401, "The route requires the key of an account")

# 5xxx: calls to services.
NOT_READY = define(5001, "not-ready", 503, "The node has no configuration yet")
NO_ENDPOINT = define(5002, "no-endpoint", 503, "No endpoint of the service is usable")
QUEUE_FULL = define(5003, "queue-full", 503, "The endpoint's queue is full")
DEADLINE = define(5005, "deadline", 504, "The deadline passed while the work ran")
CONNECT_FAILED = define(
    5006, "connect-failed", 503, "The upstream accepted no connection"
)
UPSTREAM_FAILED = define(
    5007, "upstream-failed", 502, "The upstream aborted the call before it answered"
)
ANSWER_CUT = define(5008, "answer-cut", 502, "The upstream's answer ended too early")
DRAINING = define(5009, "draining", 503, "The endpoint is leaving")
SHEDDING = define(5010, "shedding", 503, "The upstream is shedding load")
STOPPING = define(5011, "stopping", 503, "The node is stopping")
PEER_FAILED = define(
    5012, "peer-failed", 502, "The upstream's local node aborted the call"
)
QUARANTINED = define(
    5013, "quarantined", 503, "The request crashed upstreams before and is quarantined"
)
RETRY_BUDGET = define(
    5014, "retry-budget", 503, "The service's retry budget is used up"
)
WRONG_ENDPOINT = define(
    5015, "wrong-endpoint", 503, "The endpoint is not, or no longer, local to this node"
)
ALREADY_ACCEPTED = define(
    5017,
    "already-accepted",
    409,
    "The same request was already accepted; its outcome is unknown",
)
KEY_CONFLICT = define(
    5020, "key-conflict", 409, "The idempotency key was used for another request"
)
CLAIM_UNCHECKED = define(
    5021,
    "claim-unchecked",
    503,
    "Claims cannot be read: this attempt did not run, an earlier one may have",
)

PEER_UNREACHABLE = define(
    5030,
    "peer-unreachable",
    503,
    "The upstream's local node accepted no connection; nothing was sent",
)
MEMORY_FULL = define(
    5031, "memory-full", 503, "The node's memory limit for bodies is reached"
)
CALLS_OVERLOADED = define(
    5036,
    "calls-overloaded",
    503,
    "A service that the request would call refuses more urgent requests",
)
CONFIGURATION_BEHIND = define(
    5037,
    "configuration-behind",
    503,
    "No route or account matches, but other nodes have a newer configuration",
)
RATE_LIMITED = define(
    5038,
    "rate-limited",
    503,
    "The endpoint gets as many requests a second as it takes",
)
ON_TRIAL = define(
    5039,
    "on-trial",
    503,
    "The endpoint's version is on trial and may get no more requests now",
)
PARENT_UNKNOWN = define(
    5040,
    "parent-unknown",
    503,
    "A call without a key names a request that is not in progress at this node",
)
QUOTA_EXCEEDED = define(
    5041,
    "quota-exceeded",
    429,
    "The account's requests are beyond its rate and burst",
)
QUOTA_UNAVAILABLE = define(
    5042,
    "quota-unavailable",
    503,
    "The node has no share of the account's quota and cannot get one now",
)
NO_SERVICE = define(
    5043,
    "no-service",
    503,
    "The configuration names no service for the route that can be used",
)
ENDPOINT_COLD = define(
    5050,
    "endpoint-cold",
    503,
    "The endpoint is cold, and gets as many requests a second as it takes then",
)
ZONE_EVACUATED = define(
    5051,
    "zone-evacuated",
    503,
    "The endpoint's availability zone is evacuated",
)
INTERNAL = define(5034, "internal", 500, "The node itself failed; see its log")

# 6xxx: rollouts.
ROLLOUT_RUNNING = define(
    6001, "rollout-running", 409, "Another rollout of the service is running"
)
ROLLOUT_DEADLINE = define(
    6002, "rollout-deadline", 400, "The deadline cannot be met", exit_code=2
)
ROLLOUT_VERSIONS = define(
    6003, "rollout-versions", 400, "The versions named cannot be used", exit_code=2
)
ROLLOUT_MISSING = define(6004, "rollout-missing", 404, "There is no such rollout")
ROLLOUT_ENDED = define(6005, "rollout-ended", 409, "The rollout has already ended")

# 7xxx: administration.
NO_TOKEN = define(7001, "no-token", 401, "No valid token was sent")
WRONG_ROLE = define(7002, "wrong-role", 403, "The token's role does not allow this")
CONFLICT = define(7003, "conflict", 409, "Another operator changed this first")
NO_PRESET = define(7004, "no-preset", 404, "There is no such preset")
ADMIN_BAD_REQUEST = define(
    7005, "admin-bad-request", 400, "The administration request cannot be read"
)
NOT_IN_FORCE = define(
    7006, "not-in-force", 504, "The preset is not in force everywhere yet"
)
ADMIN_UNREACHABLE = define(
    7007, "admin-unreachable", 503, "The administration API cannot be reached"
)
PRESET_IN_FORCE = define(
    7008, "preset-in-force", 409, "The preset is already the one in force"
)
NO_OPERATION = define(
    7009, "no-operation", 404, "The administration API has no such path"
)
WRONG_METHOD = define(
    7010, "wrong-method", 405, "The administration path does not allow this method"
)
ADMIN_BUSY = define(
    7011, "admin-busy", 503, "Too many administration requests are running on this node"
)

# 8xxx: availability zones.
ZONE_UNKNOWN = define(8001, "zone-unknown", 404, "No node is in this zone")
ZONE_ALREADY_EVACUATED = define(
    8002, "zone-already-evacuated", 409, "The zone is evacuated already"
)
ZONE_NOT_EVACUATED = define(8003, "zone-not-evacuated", 409, "The zone is in use")
ZONE_LAST = define(8004, "zone-last", 409, "No other zone with a node is in use")
ZONES_NOT_FOLLOWED = define(
    8005,
    "zones-not-followed",
    409,
    "The settings of the node do not ask to follow evacuations",
)
