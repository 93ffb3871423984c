"""The node's own announcement of the endpoint beside it."""

import msgspec

from rattanridge.control import messages, replica
from rattanridge.kernel import log, settings


class Announcer:
    """Keeps the record of the endpoint beside this node.

    :param config: the node's settings.
    :param state: the node's replica.
    :param incarnation: the node's start, in milliseconds since the epoch.
    """

    def __init__(
        self, config: settings.NodeSettings, state: replica.Replica, incarnation: int
    ):
        self.config = config
        self.state = state
        self.incarnation = incarnation
        self.sequence = 0
        self.wanted: messages.Endpoint | None = None
        self.log = log.Log("announcer", config.name)
        state.table.listeners.append(self.refute)

    def announce(
        self,
        service: str,
        version: str,
        hop: str,
        slots: int,
        connections: int,
        state: str,
    ) -> None:
        """Publish the endpoint if anything about it changed."""
        record = messages.Endpoint(
            name=self.config.name,
            zone=self.config.zone,
            service=service,
            version=version,
            hop=hop,
            slots=slots,
            connections=connections,
            state=state,
            incarnation=self.incarnation,
            sequence=self.sequence,
        )
        if self.wanted == record:
            return
        self.publish(record)
        self.log.info(
            "endpoint-announced", service=service, version=version, state=state
        )

    def change(self, state: str) -> None:
        """Publish the endpoint's new state, if there is an endpoint."""
        if self.wanted is not None and self.wanted.state != state:
            self.publish(msgspec.structs.replace(self.wanted, state=state))

    def publish(self, record: messages.Endpoint) -> None:
        self.sequence += 1
        self.wanted = msgspec.structs.replace(
            record, sequence=self.sequence, incarnation=self.incarnation
        )
        self.state.table.merge(self.wanted)

    def refute(self, record: messages.Record) -> None:
        """Answer a claim about this endpoint that this node did not make.

        It may be that the endpoint is lost, or what an earlier start of the node
        said when the host's clock was ahead.
        """
        if record.key != ("endpoint", self.config.name) or record == self.wanted:
            return
        if record.incarnation > self.incarnation:
            self.incarnation = record.incarnation + 1
        if self.wanted is not None:
            self.sequence = max(self.sequence, record.sequence)
            self.publish(self.wanted)
