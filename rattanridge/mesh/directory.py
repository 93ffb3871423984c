"""The endpoints of each service, from the records of all nodes."""

import msgspec

from rattanridge.kernel import codes
from rattanridge.mesh import events, records, suspects as suspecting
from rattanridge.platform import store as stores
from rattanridge.policies import placement

PATH = "/records"


class Page(msgspec.Struct):
    """The records of all nodes as one node tells them to another.

    :param records: record and revision by the node's name.
    """

    records: dict[str, tuple[records.Record, int]]


class Directory:
    """Candidates by service, kept in step with the store's records.

    :param suspects: gets the evidence that the records carry.
    """

    def __init__(self, suspects: suspecting.Suspects, log: events.Events):
        self.suspects = suspects
        self.log = log
        self.records: dict[str, records.Record] = {}
        self.revisions: dict[str, int] = {}
        self.candidates: dict[str, placement.Candidate] = {}
        self.services: dict[str, list[placement.Candidate]] = {}

    def take_all(self, items: list[stores.StoredObject]) -> None:
        """Take over a whole list; what is not in it is gone."""
        names = {item.name for item in items}
        for name in [name for name in self.records if name not in names]:
            self.remove(name)
        for item in items:
            self.take(item)

    def encode_records(self) -> bytes:
        """Return all records for another node."""
        known = {
            name: (record, self.revisions[name])
            for name, record in self.records.items()
        }
        return msgspec.json.encode(Page(known))

    def take_page(self, data: bytes) -> bool:
        """Take over another node's records; return whether they can be read."""
        try:
            page = msgspec.json.decode(data, type=Page)
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
            self.log.note("record-unreadable", name="page", why=str(error))
            return False
        for name, (record, revision) in page.records.items():
            self.take(stores.StoredObject(name, revision, records.encode(record)))
        return True

    def take(self, item: stores.StoredObject) -> None:
        """Take one record; an older one than the known one is ignored."""
        if item.revision < self.revisions.get(item.name, 0):
            return
        self.revisions[item.name] = item.revision
        if item.deleted:
            self.remove(item.name)
            return
        try:
            record = records.decode(item.spec)
        except codes.Failure as failure:
            self.log.note(
                "record-unreadable",
                name=item.name,
                code=failure.code.number,
                why=failure.detail,
            )
            self.remove(item.name)
            return
        if self.records.get(item.name) == record:
            return
        self.records[item.name] = record
        self.suspects.take(item.name, record.suspects)
        self.log.note(
            "record-changed",
            name=item.name,
            revision=item.revision,
            endpoint=record.endpoint,
            state=record.state,
        )
        self.place(item.name, record)

    def place(self, name: str, record: records.Record) -> None:
        """Make a candidate of a record, if its endpoint takes requests."""
        known = self.candidates.get(name)
        if self.is_superseded(name, record):
            self.drop(name)
            return
        if record.state != records.READY or not record.endpoint:
            self.drop(name)
            return
        same = known is not None and (
            (known.endpoint, known.hop, known.service)
            == (record.endpoint, record.hop, record.service)
        )
        if same:
            known.version = record.version
            known.slots = record.slots
            return
        self.drop(name)
        made = placement.Candidate(
            name,
            record.hop,
            record.zone,
            record.service,
            record.endpoint,
            record.version,
            record.slots,
        )
        self.candidates[name] = made
        # A new list each time: whoever holds the old one goes on with it.
        self.services[record.service] = [*self.candidates_of(record.service), made]

    def is_superseded(self, name: str, record: records.Record) -> bool:
        """Whether a newer record names the same address; drop those it replaces.

        An address belongs to one node. A host that is gone for good leaves its
        record behind, and its address may be given to another one.
        """
        superseded = False
        for other, known in list(self.records.items()):
            if other == name or known.hop != record.hop:
                continue
            if self.revisions[other] > self.revisions[name]:
                superseded = True
            else:
                self.drop(other)
        return superseded

    def drop(self, name: str) -> None:
        """Forget a candidate."""
        known = self.candidates.pop(name, None)
        if known is not None:
            rest = [
                item for item in self.candidates_of(known.service) if item is not known
            ]
            self.services[known.service] = rest

    def remove(self, name: str) -> None:
        """Forget a node."""
        if self.records.pop(name, None) is not None:
            self.suspects.take(name, ())
            self.log.note("record-removed", name=name)
        self.drop(name)

    def running(self) -> list[str]:
        """Return the names of the nodes whose upstream takes requests there."""
        return [
            name
            for name, record in self.records.items()
            if record.state == records.READY
        ]

    def candidates_of(self, service: str) -> list[placement.Candidate]:
        """Return the candidates of a service."""
        return self.services.get(service, [])
