"""Answers on their way to the caller: marked, whole or visibly cut."""

import aiohttp.web

from rattanridge.calls import headers, types
from rattanridge.kernel import codes


def mark(answer: types.Answer) -> None:
    """Set the headers that tell the code and the outcome."""
    answer.headers[headers.RAN] = answer.ran.value
    if answer.code is not None:
        answer.headers[headers.CODE] = str(answer.code.number)


async def respond(
    request: aiohttp.web.BaseRequest, answer: types.Answer
) -> aiohttp.web.StreamResponse:
    """Return the response; a large answer is passed on in parts here.

    A large answer that is cut on its way breaks the caller's connection, so that
    it never looks whole; the coded failure is raised after that.
    """
    mark(answer)
    if answer.rest is None:
        return aiohttp.web.Response(
            status=answer.status, headers=answer.headers, body=answer.body
        )
    try:
        return await stream(request, answer)
    except codes.Failure:
        if request.transport is not None:
            request.transport.abort()
        raise
    finally:
        answer.close()


async def stream(
    request: aiohttp.web.BaseRequest, answer: types.Answer
) -> aiohttp.web.StreamResponse:
    """Pass an answer on in parts, as fast as the caller reads it."""
    response = aiohttp.web.StreamResponse(status=answer.status, headers=answer.headers)
    await response.prepare(request)
    part = answer.body
    while part:
        await response.write(part)
        part = await answer.rest.read()
    await response.write_eof()
    return response
