"""Headers by which nodes describe a forwarded call and its answer to each other."""

import asyncio
import collections.abc
import math
import urllib.parse

from rattanridge.kernel import codes
from rattanridge.mesh import calls, upstream as upstreams
from rattanridge.mesh.discovery import announcements
from rattanridge.platform import headers
from rattanridge.policies import cold_rate, load_shedding, placement
from rattanridge.web import headers as own_headers

CALL_FIELDS = 9  # and the account's name if the call belongs to one
ANSWER_FIELDS = 10
ANNOUNCEMENT_FIELDS = 4
MAX_DEADLINE_SECONDS = 3600.0
MAX_REVISION_DIGITS = 30
MAX_KNOWN_AGE = 5.0  # seconds
MAX_AGE_DIGITS = 9


def encode_call(call: calls.Call) -> str:
    """Return the value of the header that describes a call to be forwarded now."""
    now = asyncio.get_running_loop().time()
    fields = [
        call.service,
        call.route,
        int(call.idempotent),
        call.rank,
        int(call.nested),
        int(call.is_retry),
        int((call.timely_until - now) * 1000),
        call.version,
        call.entry,
    ]
    if call.account:
        fields.append(urllib.parse.quote(call.account, safe=""))
    return ",".join(map(str, fields))


def decode_call(
    attempt: str,
    method: str,
    path: str,
    received: collections.abc.Mapping[str, str],
    body: bytes | bytearray,
) -> calls.Call:
    """Return a call that another node forwarded.

    Raise ``bad-request`` if its headers are missing or unreadable.
    """
    parts = received.get(own_headers.CALL, "").split(",")
    time_left = headers.parse_deadline(received.get(headers.DEADLINE))
    if len(parts) not in (CALL_FIELDS, CALL_FIELDS + 1) or time_left is None:
        raise codes.Failure(
            codes.BAD_REQUEST,
            f"a forwarded call needs {headers.DEADLINE} and {CALL_FIELDS} fields, or "
            f"one more for an account, in "
            f"{own_headers.CALL}; got {len(parts)} fields, deadline: {time_left}",
        )
    try:
        rank, nested, is_retry, timely, version = map(int, parts[3:8])
    except ValueError:
        raise codes.Failure(
            codes.BAD_REQUEST,
            f"fields 4 to 8 of {own_headers.CALL} are not all whole numbers",
        )
    now = asyncio.get_running_loop().time()
    return calls.Call(
        attempt=attempt,
        method=method,
        path=path,
        headers=[],
        body=body,
        service=parts[0],
        route=parts[1],
        idempotent=parts[2] == "1",
        rank=rank,
        nested=bool(nested),
        timely_until=now + timely / 1000,
        deadline=now + min(time_left, MAX_DEADLINE_SECONDS),
        caller=received.get(headers.CALLER, ""),
        version=version,
        entry=parts[8],
        is_retry=bool(is_retry),
        announcement=decode_announcement(received.get(own_headers.ANNOUNCED, "")),
        account=urllib.parse.unquote(parts[CALL_FIELDS]) if parts[CALL_FIELDS:] else "",
        zones=decode_revision(received.get(own_headers.ZONES, "")),
    )


def encode_answer(answer: calls.Answer) -> str:
    """Return the value of the header that describes an answer to another node."""
    load = answer.load or placement.Load(0, 0, 0.0)
    fields = (
        answer.ran.value,
        answer.code.number if answer.code is not None else 0,
        int(answer.reached_upstream),
        load.running,
        load.waiting,
        int(load.wait * 1000),
        int(answer.upstream_time * 1e6),
        int(answer.queued * 1e6),
        int(answer.retry_after * 1000),
        answer.version,
    )
    return ",".join(map(str, fields))


def decode_answer(answer: calls.Answer, text: str) -> bool:
    """Set an answer's fields from the header; return False if it is unreadable."""
    parts = text.split(",")
    if len(parts) != ANSWER_FIELDS:
        return False
    try:
        answer.ran = codes.Execution(parts[0])
        numbers = [int(part) for part in parts[1:]]
    except ValueError:
        return False
    answer.code = codes.TABLE.get(numbers[0])
    answer.reached_upstream = bool(numbers[1])
    answer.load = placement.Load(numbers[2], numbers[3], numbers[4] / 1000)
    answer.upstream_time = numbers[5] / 1e6
    answer.queued = numbers[6] / 1e6
    answer.retry_after = numbers[7] / 1000
    answer.version = numbers[8]
    return True


def encode_known(age: float) -> str:
    """Return an age in seconds as a header, in milliseconds; empty if too old."""
    return str(math.ceil(age * 1000)) if age <= MAX_KNOWN_AGE else ""


def decode_known(text: str) -> float:
    """Return the age in a header, in seconds; infinity if absent or unreadable."""
    readable = text.isascii() and text.isdigit() and len(text) <= MAX_AGE_DIGITS
    return int(text) / 1000 if readable else float("inf")


def encode_shares(shares: load_shedding.Shares) -> str:
    """Return refused shares as percentages, such as ``0=12,2=40``."""
    return ",".join(f"{rank}={share * 100:.0f}" for rank, share in shares.items())


def decode_shares(text: str) -> load_shedding.Shares:
    """Return the refused shares in a header; none if it is unreadable."""
    found: load_shedding.Shares = {}
    for part in text.split(",") if text else ():
        rank, _, percentage = part.partition("=")
        try:
            found[int(rank)] = min(int(percentage), 100) / 100
        except ValueError:
            return {}
    return found


def encode_room(room: cold_rate.Room) -> str:
    """Return the room of a cold endpoint as a header, such as ``5,230``.

    That is the requests that it may get now, and milliseconds until it may get more.
    """
    return f"{room.left},{math.ceil(room.wait * 1000)}"


def decode_room(text: str) -> cold_rate.Room | None:
    """Return the room in a header; None if it is absent or unreadable."""
    left, _, wait = text.partition(",")
    if not (left.isdecimal() and wait.isdecimal()):
        return None
    return cold_rate.Room(int(left), min(int(wait) / 1000, cold_rate.WINDOW))


def decode_revision(text: str) -> int:
    """Return the revision in a header; 0 if it is absent or unreadable."""
    return int(text) if text.isdecimal() and len(text) <= MAX_REVISION_DIGITS else 0


def encode_announcement(announcement: announcements.Announcement) -> str:
    """Return an announcement as a header, such as ``i-7f,1700000000000,12.5,0``.

    The third field is empty if there is no limit.
    """
    limit = "" if announcement.limit is None else repr(announcement.limit)
    identity = announcement.identity
    fields = (
        identity.endpoint,
        identity.incarnation,
        limit,
        int(announcement.leaving),
    )
    return ",".join(map(str, fields))


def decode_announcement(text: str) -> announcements.Announcement | None:
    """Return the announcement in a header; None if it is absent or unreadable."""
    parts = text.rsplit(",", ANNOUNCEMENT_FIELDS - 1)
    if len(parts) != ANNOUNCEMENT_FIELDS:
        return None
    endpoint, incarnation, limit, leaving = parts
    if not incarnation.isdecimal():
        return None
    return announcements.Announcement(
        upstreams.Identity(endpoint, int(incarnation)),
        headers.parse_limit([limit]) if limit else None,
        leaving == "1",
    )
