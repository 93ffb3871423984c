"""What nodes tell each other in headers beside a forwarded call."""

import asyncio

from rattanridge.kernel import codes
from rattanridge.mesh import calls
from rattanridge.platform import headers
from rattanridge.policies import placement
from rattanridge.web import headers as own_headers

CALL_FIELDS = 9
ANSWER_FIELDS = 10
SECONDS_MOST = 3600.0


def write_call(call: calls.Call) -> str:
    """Return the mark of a call that is forwarded now."""
    now = asyncio.get_running_loop().time()
    fields = (
        call.service,
        call.route,
        int(call.idempotent),
        call.rank,
        int(call.nested),
        int(call.repeated),
        int((call.timely_until - now) * 1000),
        call.version,
        call.entry,
    )
    return ",".join(map(str, fields))


def read_call(
    attempt: str, method: str, path: str, marks: dict[str, str], body: bytes
) -> calls.Call:
    """Build a call from what another node forwarded; raise if it is unreadable."""
    parts = marks.get(own_headers.CALL, "").split(",")
    left = headers.parse_deadline(marks.get(headers.DEADLINE))
    if len(parts) != CALL_FIELDS or left is None:
        raise codes.Failure(codes.BAD_REQUEST, "mark of a forwarded call")
    try:
        rank, nested, repeated, timely, version = map(int, parts[3:8])
    except ValueError:
        raise codes.Failure(codes.BAD_REQUEST, "mark of a forwarded call")
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
        deadline=now + min(left, SECONDS_MOST),
        caller=marks.get(headers.CALLER, ""),
        version=version,
        entry=parts[8],
        repeated=bool(repeated),
    )


def write_answer(answer: calls.Answer) -> str:
    """Return the mark of an answer to another node."""
    load = answer.load or placement.Load(0, 0, 0.0)
    fields = (
        answer.ran.value,
        answer.code.number if answer.code is not None else 0,
        int(answer.arrived),
        load.running,
        load.waiting,
        int(load.wait * 1000),
        int(answer.spent * 1e6),
        int(answer.queued * 1e6),
        int(answer.retry_after * 1000),
        answer.version,
    )
    return ",".join(map(str, fields))


def read_answer(answer: calls.Answer, text: str) -> bool:
    """Fill in what the mark tells; return False if it is unreadable."""
    parts = text.split(",")
    if len(parts) != ANSWER_FIELDS:
        return False
    try:
        answer.ran = codes.Execution(parts[0])
        numbers = [int(part) for part in parts[1:]]
    except ValueError:
        return False
    answer.code = codes.TABLE.get(numbers[0])
    answer.arrived = bool(numbers[1])
    answer.load = placement.Load(numbers[2], numbers[3], numbers[4] / 1000)
    answer.spent = numbers[5] / 1e6
    answer.queued = numbers[6] / 1e6
    answer.retry_after = numbers[7] / 1000
    answer.version = numbers[8]
    return True
