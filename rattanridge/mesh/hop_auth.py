"""The shared key by which nodes know each other on the port for forwarded calls."""

import hashlib
import hmac

import aiohttp.web

from rattanridge.kernel import codes
from rattanridge.mesh import settings
from rattanridge.web import headers

Marks = list[tuple[str, str]]


class HopAuth:
    """Marks what this node sends, and checks what others send.

    Without a key in the settings nothing is marked or checked.

    :param config: the node's settings.
    """

    def __init__(self, config: settings.Settings):
        self.key = config.key
        self.known: dict[str, bytes] = {}
        self.marks: Marks = []
        if self.key:
            self.marks = [
                (headers.NODE, config.name),
                (headers.TOKEN, sign(self.key, config.name)),
            ]

    def check(self, request: aiohttp.web.BaseRequest) -> None:
        """Refuse a node that does not prove the shared key."""
        if not self.key:
            return
        node = request.headers.get(headers.NODE, "")
        token = request.headers.get(headers.TOKEN, "")
        wanted = self.known.get(node) or sign(self.key, node).encode()
        if not hmac.compare_digest(token.encode(errors="surrogateescape"), wanted):
            raise codes.Failure(codes.HOP_REFUSED)
        self.known[node] = wanted


def sign(key: str, node: str) -> str:
    """Return the token by which a node proves the key."""
    data = f"hop/{node}".encode(errors="surrogateescape")
    return hmac.new(key.encode(), data, hashlib.sha256).hexdigest()
