"""What a port of the HTTP server uses of the node."""

import asyncio
import typing

import aiohttp
import aiohttp.abc
import aiohttp.http
import aiohttp.web_protocol
import aiohttp.web_request
import aiohttp.web_response

from rattanridge.kernel import codes
from rattanridge.web import memory, pipelining


class Limits(typing.Protocol):
    """Limits of one port."""

    @property
    def header_bytes(self) -> int: ...

    @property
    def connections(self) -> int: ...

    @property
    def held_bytes(self) -> int: ...


class Config(typing.Protocol):
    """The settings that a port uses."""

    name: str

    @property
    def limits(self) -> Limits: ...


class Counters(typing.Protocol):
    """Counters of events by name."""

    def add(self, name: str) -> None: ...


class Log(typing.Protocol):
    """Event log; ``note`` limits the rate of frequent events."""

    def note(self, event: str, **fields: object) -> None: ...

    def error(self, event: str, **fields: object) -> None: ...


class Port(typing.Protocol):
    """What a connection uses of the server of its port."""

    limits: Limits
    counters: Counters
    log: Log
    pipeline: pipelining.Pipeline | None
    memory_budget: memory.MemoryBudget

    def admit(self) -> bool: ...

    def make_request(
        self,
        message: aiohttp.http.RawRequestMessage,
        payload: aiohttp.StreamReader,
        protocol: aiohttp.web_protocol.RequestHandler,
        writer: aiohttp.abc.AbstractStreamWriter,
        task: asyncio.Task,
    ) -> aiohttp.web_request.BaseRequest: ...

    async def run(
        self, request: aiohttp.web_request.BaseRequest
    ) -> aiohttp.web_response.StreamResponse: ...

    def record_failure(
        self,
        request: aiohttp.web_request.BaseRequest,
        status: int,
        error: BaseException | None,
    ) -> codes.Failure: ...
