"""Authentication of nodes to each other on the port for forwarded calls."""

import hashlib
import hmac

import aiohttp.web_request

from rattanridge.kernel import codes
from rattanridge.mesh import settings
from rattanridge.web import headers

Headers = list[tuple[str, str]]


class HopAuth:
    """Signs requests to other nodes and checks requests of other nodes.

    Without a shared key in the settings nothing is signed or checked.

    :param config: the node's settings.
    """

    def __init__(self, config: settings.Settings):
        self.key = config.key
        # Tokens that were accepted, by node name, so that each is computed once.
        self.accepted: dict[str, bytes] = {}
        self.signature_headers: Headers = []
        if self.key:
            self.signature_headers = [
                (headers.NODE, config.name),
                (headers.TOKEN, sign(self.key, config.name)),
            ]

    def check(self, request: aiohttp.web_request.BaseRequest) -> None:
        """Raise ``hop-refused`` if a request does not prove the shared key."""
        if not self.key:
            return
        node = request.headers.get(headers.NODE, "")
        token = request.headers.get(headers.TOKEN, "")
        expected = self.accepted.get(node) or sign(self.key, node).encode()
        if not hmac.compare_digest(token.encode(errors="surrogateescape"), expected):
            raise codes.Failure(codes.HOP_REFUSED)
        self.accepted[node] = expected


def sign(key: str, node: str) -> str:
    """Return the token by which a node proves the shared key."""
    data = f"hop/{node}".encode(errors="surrogateescape")
    return hmac.new(key.encode(), data, hashlib.sha256).hexdigest()
