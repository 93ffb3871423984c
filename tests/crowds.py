"""Clients that break the limits, or use them up, and hold their connections open.

They send from the process of the test, over sockets that do not block, and read nothing
unless a test asks for it.
"""

import contextlib
import selectors
import socket
import time

SEND_SECONDS = 6.0  # after which a client that is not read any more counts as stuck
PAUSE = 0.005  # seconds between two rounds in which no client could send
PIECE_BYTES = 65_536


class Client:
    """One connection that sends a part of a request.

    :param address: host and port.
    :param first: bytes that are sent once.
    :param rest: bytes that are sent again and again after them; empty for none.
    :param most: bytes after which the client stops and stays connected.
    """

    def __init__(self, address, first, rest, most):
        self.first = first
        self.rest = rest * max(PIECE_BYTES // len(rest), 1) if rest else b""
        self.most = most
        self.sent = 0
        self.closed = False
        self.socket = socket.create_connection(address)
        self.socket.setblocking(False)

    def next_bytes(self):
        """Return the bytes that come next; empty once all have been sent."""
        if self.sent < len(self.first):
            return self.first[self.sent :]
        if not self.rest or self.sent >= self.most:
            return b""
        offset = (self.sent - len(self.first)) % len(self.rest)
        return self.rest[offset:][: self.most - self.sent]

    def send(self):
        """Send what the connection takes; return whether anything was sent."""
        data = b"" if self.closed else self.next_bytes()
        if not data:
            return False
        try:
            count = self.socket.send(data)
        except BlockingIOError:
            return False
        except OSError:
            self.closed = True
            return True
        self.sent += count
        return True

    def done(self):
        """Return whether the client has sent all that it wants to, or was closed."""
        return self.closed or not self.next_bytes()


class Crowd:
    """Several clients that send at the same time and stay connected.

    :param address: host and port.
    """

    def __init__(self, address):
        self.address = address
        self.clients = []

    def __enter__(self):
        return self

    def __exit__(self, *error):
        for client in self.clients:
            client.socket.close()

    def add(self, count, first, rest=b"", most=0):
        """Connect a number of clients that send the same; see ``Client``."""
        for _ in range(count):
            with contextlib.suppress(OSError):
                self.clients.append(Client(self.address, first, rest, most))

    def send_all(self):
        """Send until all clients are done, or none has been read for a while."""
        progress_at = time.monotonic()
        while not all(client.done() for client in self.clients):
            if sum(client.send() for client in self.clients):
                progress_at = time.monotonic()
            elif time.monotonic() - progress_at > SEND_SECONDS:
                return
            else:
                time.sleep(PAUSE)

    def wait_for_answers(self, seconds):
        """Wait until each open client could read something, or time is over."""
        end = time.monotonic() + seconds
        waiting = selectors.DefaultSelector()
        for client in self.clients:
            waiting.register(client.socket, selectors.EVENT_READ)
        while waiting.get_map() and time.monotonic() < end:
            for key, _ in waiting.select(PAUSE):
                waiting.unregister(key.fileobj)
        waiting.close()
