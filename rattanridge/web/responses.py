"""HTTP responses that report coded failures of the system."""

import aiohttp.web_response

from rattanridge.kernel import codes
from rattanridge.web import headers


def from_failure(failure: codes.Failure) -> aiohttp.web_response.Response:
    """Return the response for a failure, with its code in headers and text."""
    fields = {
        headers.CODE: str(failure.code.number),
        headers.RAN: failure.ran.value,
    }
    if failure.retry_after:
        fields["Retry-After"] = f"{failure.retry_after:.2f}"
    return aiohttp.web_response.Response(
        status=failure.code.status,
        headers=fields,
        text=f"{failure.format()} ({failure.ran.value})\n",
    )
