"""Coded failures of requests that the HTTP library rejects."""

import aiohttp.http_exceptions

from rattanridge.kernel import codes


def parse_failure(error: BaseException | None) -> codes.Failure:
    """Return the coded failure of a request that the parser rejected."""
    text = str(getattr(error, "message", ""))
    too_long = isinstance(error, aiohttp.http_exceptions.LineTooLong)
    if too_long or text.startswith("Too many headers"):
        return codes.Failure(codes.HEADERS_TOO_LARGE)
    return codes.Failure(codes.BAD_REQUEST)


def describe(error: object) -> str:
    """Return an error's type and first line, the line cut to 200 characters."""
    first = str(error).partition("\n")[0][:200]
    return f"{type(error).__name__}: {first}"
