"""Requests to the upstream, and which responses answer them."""

from rattanridge.kernel import codes
from rattanridge.mesh import calls, exchanges
from rattanridge.platform import headers


def encode_request(call: calls.Call, endpoint: str, time_left: float) -> bytes:
    """Return the bytes of a request to the upstream.

    :param endpoint: id of the endpoint that it is meant for.
    :param time_left: seconds until the call's deadline.
    """
    request_headers = [
        *call.headers,
        (headers.DEADLINE, headers.format_deadline(time_left)),
        (headers.ENDPOINT, endpoint),
        (headers.CALLER, call.caller),
    ]
    if call.account and not call.nested:
        request_headers.append((headers.ACCOUNT, call.account))
    return exchanges.write_request(call.method, call.path, request_headers, call.body)


def answers_call(response: exchanges.Response, call: calls.Call) -> bool:
    """Return whether a response belongs to a call.

    A response without an attempt id is accepted if its status is not a success or if
    the call has no attempt id either.
    """
    attempt = response.headers.get(headers.ATTEMPT)
    if attempt is None:
        return response.status >= 300 or not call.attempt
    return attempt == call.attempt


def check_response(response: exchanges.Response) -> None:
    """Raise ``answer-cut`` if a response may not be the upstream's own, whole one.

    Raise ``upstream-failed`` if its status would wrongly say that nothing ran.
    """
    if 200 <= response.status < 300:
        if headers.SIGNATURE not in response.headers:
            raise codes.Failure(
                codes.ANSWER_CUT,
                f"response with status {response.status} lacks {headers.SIGNATURE}",
                ran=codes.Execution.UNKNOWN,
            )
        if "Content-Encoding" in response.headers:
            raise codes.Failure(
                codes.ANSWER_CUT,
                "response has an unexpected Content-Encoding header",
                ran=codes.Execution.UNKNOWN,
            )
    if response.status in calls.NOT_RUN_STATUSES:
        # The status would say that the request did not run, which nothing proves.
        raise codes.Failure(
            codes.UPSTREAM_FAILED, str(response.status), ran=codes.Execution.UNKNOWN
        )
