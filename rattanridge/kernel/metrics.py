"""Counters for each refusal and retry reason, sent by statsd."""

import collections

import statsd


class Counters:
    """Counts in memory, and over statsd where an address is set.

    :param prefix: first part of every name sent.
    :param host: statsd address; empty keeps the counts in memory only.
    :param port: statsd UDP port.
    """

    def __init__(self, prefix: str = "rattanridge", host: str = "", port: int = 8125):
        self.values: collections.Counter[str] = collections.Counter()
        self.client = statsd.StatsClient(host, port, prefix=prefix) if host else None

    def add(self, name: str, amount: int = 1) -> None:
        self.values[name] += amount
        if self.client is not None:
            self.client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a value that goes up and down."""
        self.values[name] = value
        if self.client is not None:
            self.client.gauge(name, value)

    def get(self, name: str) -> int:
        return self.values[name]
