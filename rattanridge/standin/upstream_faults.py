"""Faults of the upstream stand-in that change how it answers."""

import aiohttp.web
import msgspec

from rattanridge.platform import headers
from rattanridge.standin import faults


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults in force; all off by default.

    :param error_rate: fraction of requests answered 500.
    :param slow: seconds added to the processing time of each request.
    :param crash_on: crash on a request whose body or path contains this text.
    :param only_prefix: the faults affect only paths with this prefix.
    :param after: seconds after the start from which the faults take effect.
    :param above: the faults affect only requests that arrive while at least this many
        others are in progress.
    :param shed: answer 503 with the header that says that the request did not run.
    :param lose: run the request and close the connection without an answer.
    :param cut: end the answer before its body is complete.
    :param unproved: leave the signature out of the answer.
    :param stray: send the answer to another request before the right one.
    :param invalid_status: answer with status 000, which HTTP does not define.
    :param silent: start the request and never finish it.
    :param limit: value of the header that limits the rate of requests, in all answers;
        empty for none.
    :param leaving: say in all answers that the upstream is leaving; one that drains
        says so in any case.
    :param health: answer to health checks: ``well``, ``ill`` or ``full``, whatever is
        true; empty for the truth.
    :param deaf: work on after the caller has disconnected or the deadline passed.
    """

    error_rate: float = 0.0
    slow: float = 0.0
    crash_on: str = ""
    only_prefix: str = ""
    after: float = 0.0
    above: int = 0
    shed: bool = False
    lose: bool = False
    cut: bool = False
    unproved: bool = False
    stray: bool = False
    invalid_status: bool = False
    silent: bool = False
    limit: str = ""
    leaving: bool = False
    health: str = ""
    deaf: bool = False


def encode_answer(
    fields: dict[str, str], body: bytes, length: int, status: str = "200 OK"
) -> bytes:
    """Return an answer in bytes; ``length`` need not be the length of the body."""
    head = f"HTTP/1.1 {status}\r\nContent-Length: {length}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{head}\r\n".encode() + body


def apply_to_answer(
    found: Faults, request: aiohttp.web.BaseRequest, fields: dict[str, str]
) -> None:
    """Apply the faults that change or lose an answer.

    :param fields: headers of the answer, which may change.
    """
    if found.lose:
        faults.transport_of(request).abort()
    if found.unproved:
        fields.pop(headers.SIGNATURE)
    if found.cut:
        transport = faults.transport_of(request)
        transport.write(encode_answer(fields, b"half", 100))
        transport.close()
    if found.invalid_status:
        transport = faults.transport_of(request)
        transport.write(encode_answer(fields, b"", 0, "000 Oops"))
        transport.close()
    if found.stray:
        other = {headers.ATTEMPT: "another", headers.SIGNATURE: "other"}
        wrong = encode_answer(other, b"wrong", 5)
        faults.transport_of(request).write(wrong)
