"""Targets of requests: conversion and checks."""

import re

import aiohttp.http
import aiohttp.web_request
import multidict
import yarl

from rattanridge.kernel import codes

SCHEMES = ("http", "https")
PLAIN_TARGET = re.compile(r"(/[A-Za-z0-9_~-][A-Za-z0-9._~-]*)*/?(\?[!-~]*)?")
DOT_SEGMENTS = frozenset((".", ".."))


def to_origin_form(
    message: aiohttp.http.RawRequestMessage,
) -> aiohttp.http.RawRequestMessage:
    """Return a message with its absolute target split into a path and a Host header."""
    headers = message.headers.copy()
    headers["Host"] = message.url.raw_authority
    target = message.url.raw_path_qs
    return message._replace(
        path=target,
        url=yarl.URL(target, encoded=True),
        headers=multidict.CIMultiDictProxy(headers),
    )


def check_target(request: aiohttp.web_request.BaseRequest) -> None:
    """Raise ``bad-request`` for a target that programs may resolve differently.

    Dot segments, backslashes and control characters are interpreted differently by
    different programs: a request could match one route here and another path at the
    upstream.
    """
    target = request.raw_path
    if not target.startswith("/") or "#" in target:
        raise codes.Failure(codes.BAD_REQUEST, "target")
    if PLAIN_TARGET.fullmatch(target):
        return
    path = request.path
    if "\\" in path or not path.isprintable():
        raise codes.Failure(codes.BAD_REQUEST, "target")
    if not DOT_SEGMENTS.isdisjoint(path.split("/")):
        raise codes.Failure(codes.BAD_REQUEST, "dot segment in the target")
