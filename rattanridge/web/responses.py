"""Responses in which the system itself tells what became of a request."""

import aiohttp.web

from rattanridge.kernel import codes
from rattanridge.web import headers


def refuse(failure: codes.Failure) -> aiohttp.web.Response:
    """Return the response that tells a coded failure."""
    marked = {
        headers.CODE: str(failure.code.number),
        headers.RAN: failure.ran.value,
    }
    if failure.retry_after:
        marked["Retry-After"] = f"{failure.retry_after:.2f}"
    return aiohttp.web.Response(
        status=failure.code.status,
        headers=marked,
        text=f"{failure.format()} ({failure.ran.value})\n",
    )
