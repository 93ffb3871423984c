"""Responses to callers: coded refusals, whole answers, large ones in parts."""

import aiohttp.web

from rattanridge.calls import headers, types
from rattanridge.kernel import codes


def refuse(failure: codes.Failure) -> aiohttp.web.Response:
    """Return the response that tells a coded failure."""
    return make_response(types.refuse(failure))


def make_response(answer: types.Answer) -> aiohttp.web.Response:
    """Return a whole answer as a response, with its code and outcome."""
    mark(answer)
    return aiohttp.web.Response(
        status=answer.status, headers=answer.headers, body=answer.body
    )


def mark(answer: types.Answer) -> None:
    """Set the headers that tell the code and the outcome."""
    marked = answer.headers
    marked[headers.RAN] = answer.ran.value
    if answer.code is not None:
        marked[headers.CODE] = str(answer.code.number)


async def respond(
    request: aiohttp.web.BaseRequest, answer: types.Answer
) -> aiohttp.web.StreamResponse:
    """Return the response; a large answer is passed on in parts here.

    A large answer that is cut on its way breaks the caller's connection, so that
    it never looks whole; the coded failure is raised after that.
    """
    if answer.rest is None:
        return make_response(answer)
    mark(answer)
    try:
        response = aiohttp.web.StreamResponse(
            status=answer.status, headers=answer.headers
        )
        await response.prepare(request)
        part = answer.body
        while part:
            await response.write(part)
            part = await answer.rest.read()
        await response.write_eof()
        return response
    except codes.Failure:
        if request.transport is not None:
            request.transport.abort()
        raise
    finally:
        answer.rest.close()
