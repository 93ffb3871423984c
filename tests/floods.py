"""Faulty servers that send endless responses."""

import contextlib

ANSWER = b"HTTP/1.1 200 OK\r\nAttempt-Id: mine\r\n"
CHUNKED = ANSWER + b"Transfer-Encoding: chunked\r\n\r\n"
OTHER = b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: "
# By name: the first bytes of the response, and the bytes that follow endlessly.
ENDLESS = {
    "status-line": (b"HTTP/1.1 200 ", b"O" * 65536),
    "no-http": (b"", b"z" * 65536),
    "empty-lines": (b"", b"\r\n" * 32768),
    "header-name": (ANSWER, b"n" * 65536),
    "header-value": (ANSWER + b"X: ", b"v" * 65536),
    "headers": (ANSWER, b"A: b\r\n" * 10000),
    "folded-header": (ANSWER + b"A: b\r\n", b" c\r\n" * 16000),
    "interim-answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
    "other-answers": (b"", (OTHER + b"2\r\n\r\nno") * 1000),
    "large-other-answers": (b"", OTHER + b"60000\r\n\r\n" + b"x" * 60000),
    "body": (ANSWER + b"\r\n", b"b" * 65536),
    "body-of-a-length": (ANSWER + b"Content-Length: 9999999999\r\n\r\n", b"b" * 65536),
    "chunks": (CHUNKED, b"1\r\nx\r\n" * 10000),
    "chunk-size": (CHUNKED, b"0" * 65536),
    "chunk-extension": (CHUNKED + b"5;", b"e" * 65536),
    "chunk-extensions": (CHUNKED, b"1;" + b"e" * 40 + b"\r\nx\r\n"),
    "trailers": (CHUNKED + b"0\r\n", b"T: u\r\n" * 10000),
    "trailer-value": (CHUNKED + b"0\r\nT: ", b"u" * 65536),
}


class Flood:
    """Server that sends endlessly until the other side closes.

    :param first: the first bytes of each response.
    :param rest: the bytes that are repeated after them.
    """

    def __init__(self, first, rest):
        self.first = first
        self.rest = rest * max(65536 // len(rest), 1)
        self.sent = 0
        self.ended = 0

    async def serve(self, reader, writer):
        await reader.read(65536)
        writer.write(self.first)
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(self.rest)
                await writer.drain()
                self.sent += len(self.rest)
        self.ended += 1
