"""Directory of the endpoints of each service, from the records of all nodes."""

import msgspec

from rattanridge.kernel import codes, untrusted_json
from rattanridge.mesh import events, suspects as suspecting, upstream as upstreams
from rattanridge.mesh.discovery import announcements, records
from rattanridge.platform import store_objects
from rattanridge.policies import placement

PATH = "/records"
# Seconds after an answer in which an exit is told what its endpoint announced: longer
# than a restart of its node takes.
ANNOUNCEMENT_TTL = 10.0
MAX_LEAVING = 4096  # incarnations that are remembered as leaving


class Page(msgspec.Struct):
    """The records of all nodes, as one node sends them to another.

    :param records: record and its revision, by the node's name.
    """

    records: dict[str, tuple[records.Record, int]]


class Directory:
    """Candidates by service, updated from the store's records.

    :param suspects: receives the evidence that the records carry.
    """

    def __init__(self, suspects: suspecting.Suspects, log: events.Events):
        self.suspects = suspects
        self.log = log
        self.records: dict[str, records.Record] = {}
        self.revisions: dict[str, int] = {}
        # Nodes by the address at which they accept calls, to find those that share one.
        self.names_by_hop: dict[str, set[str]] = {}
        self.candidates: dict[str, placement.Candidate] = {}
        self.by_service: dict[str, list[placement.Candidate]] = {}
        # By node: what its endpoint announced last, and the monotonic seconds then.
        self.announcements: dict[str, announcements.Announcement] = {}
        self.announced_at: dict[str, float] = {}
        # Zones whose endpoints get no requests.
        self.evacuated: frozenset[str] = frozenset()
        # Incarnations that have announced that they leave, in the order in which that
        # became known. Records may be older than that, also later ones.
        self.leaving: dict[upstreams.Identity, None] = {}

    def apply_all(self, items: list[store_objects.StoredObject]) -> None:
        """Apply a complete list; a node that is not in it is removed."""
        names = {item.name for item in items}
        for name in [name for name in self.records if name not in names]:
            self.remove(name)
        for item in items:
            self.apply(item)

    def encode_records(self) -> bytes:
        """Return all records as JSON, for another node."""
        known = {
            name: (record, self.revisions[name])
            for name, record in self.records.items()
        }
        return msgspec.json.encode(Page(known))

    def apply_page(self, data: bytes) -> bool:
        """Apply the records that another node sent; return False if unreadable."""
        try:
            page = untrusted_json.decode(data, Page)
        except untrusted_json.ERRORS as error:
            self.log.note("record-unreadable", name="page", why=str(error))
            return False
        for name, (record, revision) in page.records.items():
            self.apply(
                store_objects.StoredObject(name, revision, records.encode(record))
            )
        return True

    def apply(self, item: store_objects.StoredObject) -> None:
        """Apply one record; ignore an older revision than the known one.

        An unreadable record removes the node.
        """
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
        self.forget_record(item.name)
        self.records[item.name] = record
        self.names_by_hop.setdefault(record.hop, set()).add(item.name)
        self.suspects.apply(item.name, record.suspects)
        self.log.note(
            "record-changed",
            name=item.name,
            revision=item.revision,
            endpoint=record.endpoint,
            state=record.state,
        )
        self.update_candidate(item.name, record)

    def update_candidate(self, name: str, record: records.Record) -> None:
        """Add, update or remove the candidate of a record.

        Only an endpoint that accepts requests is a candidate.
        """
        known = self.candidates.get(name)
        if self.is_superseded(name, record):
            self.remove_candidate(name)
            return
        identity = upstreams.Identity(record.endpoint, record.incarnation)
        if identity in self.leaving:
            self.remove_candidate(name)
            return
        if record.state != records.READY or not record.endpoint:
            self.remove_candidate(name)
            return
        if known is not None and is_same_endpoint(known, record):
            known.version = record.version
            known.slots = record.slots
            return
        self.remove_candidate(name)
        candidate = placement.Candidate(
            name,
            record.hop,
            record.zone,
            record.service,
            record.endpoint,
            record.version,
            record.slots,
        )
        candidate.limit = self.known_limit(name, identity)
        self.candidates[name] = candidate
        # A new list, as callers may still iterate over the old one.
        self.by_service[record.service] = [
            *self.by_service.get(record.service, ()),
            candidate,
        ]

    def known_limit(self, name: str, identity: upstreams.Identity) -> float | None:
        """Return the limit that the endpoint of a node announced; None if unlimited."""
        known = self.announcements.get(name)
        return known.limit if known is not None and known.identity == identity else None

    def announcement_of(
        self, name: str, now: float
    ) -> announcements.Announcement | None:
        """Return what the endpoint of a node announced lately; None if nothing.

        :param now: monotonic seconds.
        """
        if now - self.announced_at.get(name, float("-inf")) > ANNOUNCEMENT_TTL:
            return None
        return self.announcements.get(name)

    def record_announcement(
        self, name: str, announcement: announcements.Announcement | None, now: float
    ) -> None:
        """Record what the endpoint of a node announced, as its exit says.

        :param announcement: None if there is none in force.
        :param now: monotonic seconds.
        """
        if announcement is None:
            self.forget_announcement(name)
        else:
            self.announcements[name] = announcement
            self.announced_at[name] = now
        candidate = self.candidates.get(name)
        if candidate is not None:
            candidate.limit = announcement.limit if announcement is not None else None
        if announcement is not None and announcement.leaving:
            self.record_leaving(name, announcement.identity)

    def forget_announcement(self, name: str) -> None:
        """Forget what the endpoint of a node announced, but not that it leaves."""
        self.announcements.pop(name, None)
        self.announced_at.pop(name, None)

    def record_leaving(self, name: str, identity: upstreams.Identity) -> None:
        """Record that an incarnation leaves, and remove its candidate."""
        if identity in self.leaving:
            return
        self.leaving[identity] = None
        while len(self.leaving) > MAX_LEAVING:
            del self.leaving[next(iter(self.leaving))]
        self.log.note("endpoint-leaving", name=name, endpoint=identity.endpoint)
        record = self.records.get(name)
        if record is not None:
            self.update_candidate(name, record)

    def is_superseded(self, name: str, record: records.Record) -> bool:
        """Return whether a newer record has the same address.

        Removes the candidates of older records with that address. An address belongs
        to one node, but a host that is gone for good leaves its record behind, and its
        address may be assigned to another host.
        """
        superseded = False
        for other in self.names_by_hop.get(record.hop, ()):
            if other == name:
                continue
            if self.revisions[other] > self.revisions[name]:
                superseded = True
            else:
                self.remove_candidate(other)
        return superseded

    def remove_candidate(self, name: str) -> None:
        """Remove the candidate of a node, if it has one."""
        known = self.candidates.pop(name, None)
        if known is not None:
            rest = [
                item for item in self.by_service[known.service] if item is not known
            ]
            self.by_service[known.service] = rest

    def remove(self, name: str) -> None:
        """Remove a node's record and candidate; what is known of crashes is kept."""
        if self.forget_record(name):
            self.suspects.apply(name, ())
            self.forget_announcement(name)
            self.log.note("record-removed", name=name)
        self.remove_candidate(name)

    def forget_record(self, name: str) -> bool:
        """Drop a node's record and its address; return False if it had none."""
        record = self.records.pop(name, None)
        if record is None:
            return False
        names = self.names_by_hop[record.hop]
        names.discard(name)
        if not names:
            del self.names_by_hop[record.hop]
        return True

    def running_nodes(self) -> list[str]:
        """Return the names of the nodes whose upstream accepts requests."""
        return [
            name
            for name, record in self.records.items()
            if record.state == records.READY
        ]

    def candidates_of(self, service: str) -> list[placement.Candidate]:
        """Return the candidates of a service, but none in an evacuated zone."""
        found = self.by_service.get(service, [])
        if self.evacuated:
            return [item for item in found if item.zone not in self.evacuated]
        return found

    def is_candidate(self, candidate: placement.Candidate) -> bool:
        """Return whether a candidate is still one, whether or not it is evacuated."""
        return self.candidates.get(candidate.node) is candidate


def is_same_endpoint(candidate: placement.Candidate, record: records.Record) -> bool:
    """Return whether a candidate is the endpoint of a record, at the same address."""
    known = (candidate.endpoint, candidate.hop, candidate.service)
    return known == (record.endpoint, record.hop, record.service)
