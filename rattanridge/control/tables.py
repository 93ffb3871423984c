"""A replicated table: records merged by a total order for each key.

Merging is commutative and idempotent, so that lost, doubled or crossed
messages end in the same table once every record arrived somehow.
"""

import collections.abc
import hashlib

from rattanridge.control import messages


class Table:
    """Records by key; the one with the highest rank wins.

    Dead records stay for a while, so that an older one that arrives late does
    not bring them back; the digest leaves them out, for each node drops them at
    its own time.

    :param listeners: called with each record that was accepted.
    """

    def __init__(self):
        self.records: dict[tuple[str, str], messages.Record] = {}
        self.listeners: list[collections.abc.Callable[[messages.Record], None]] = []
        self.sum = 0
        self.died: dict[tuple[str, str], float] = {}

    def merge(self, record: messages.Record) -> bool:
        """Accept a record if it outranks the known one; return whether it did."""
        known = self.records.get(record.key)
        if known is not None and order(record) <= order(known):
            return False
        self.drop(record.key)
        self.records[record.key] = record
        if not record.dead:
            self.sum ^= hash_record(record)
        for listener in list(self.listeners):
            listener(record)
        return True

    def drop(self, key: tuple[str, str]) -> None:
        """Forget a record, for example an expired one."""
        known = self.records.pop(key, None)
        self.died.pop(key, None)
        if known is not None and not known.dead:
            self.sum ^= hash_record(known)

    def tidy(self, now: float, wall: float, keep: float) -> int:
        """Drop what ended: records dead for ``keep`` seconds, and quarantines.

        :param now: monotonic seconds, for the age of dead records.
        :param wall: seconds since the epoch, for the end of quarantines.
        """
        ended = []
        for key, record in self.records.items():
            if isinstance(record, messages.Quarantine):
                if wall > record.until + keep:
                    ended.append(key)
            elif record.dead and now - self.died.setdefault(key, now) >= keep:
                ended.append(key)
        for key in ended:
            self.drop(key)
        return len(ended)

    def digest(self) -> str:
        """Return a hash of the whole table, independent of order."""
        return f"{self.sum:032x}"

    def all(self, kind: type | None = None) -> list[messages.Record]:
        """Return the records, or those of one kind."""
        if kind is None:
            return list(self.records.values())
        return [r for r in self.records.values() if type(r) is kind]


def order(record: messages.Record) -> tuple:
    """Rank, then content: equal ranks end in the same winner everywhere."""
    return (record.rank, messages.encode(record))


def hash_record(record: messages.Record) -> int:
    """Return a record's hash as a number."""
    data = messages.encode(record)
    return int.from_bytes(hashlib.blake2b(data, digest_size=16).digest(), "big")
