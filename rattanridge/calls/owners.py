"""Where an entry finds the owner of a slice.

Slices belong to relays, spread by rendezvous hashing; every node knows the
relays by their records. Who owns a slice now is learnt from a relay that does
not. All of this is a hint: a wrong address costs a question, never a grant.
"""

import asyncio
import hashlib

from rattanridge.calls import claimed, ledger
from rattanridge.control import messages, replica, transport
from rattanridge.kernel import clock, codes, settings

RPC_MARGIN = 1.0  # seconds beyond the wait asked for, then the owner is silent
SILENT = 5.0  # seconds that a silent address is tried last


class Owners:
    """Asks the owners of slices.

    :param config: the node's settings.
    :param state: the node's replica, for the relays' records.
    :param channels: connections to other nodes.
    :param own: the ledger of this node.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        state: replica.Replica,
        channels: transport.Channels,
        own: ledger.Ledger,
        time: clock.Clock | None = None,
    ):
        self.config = config
        self.channels = channels
        self.own = own
        self.time = time or clock.Clock()
        self.relays: dict[str, str] = {}
        self.learnt: dict[int, str] = {}
        self.silent: dict[str, float] = {}
        state.table.listeners.append(self.see)

    def see(self, record: messages.Record) -> None:
        """Take a relay's record."""
        if not isinstance(record, messages.Role):
            return
        if record.role.startswith("relay-"):
            self.relays[record.role] = record.address if record.holder else ""

    def pick(self, number: int, avoid: set[str]) -> str:
        """Return the address to ask for a slice; this node's own at last."""
        learnt = self.learnt.get(number, "")
        if learnt and learnt not in avoid:
            return learnt
        now = self.time.monotonic()
        found = {address for address in self.relays.values() if address} - avoid
        ranked = sorted(
            found,
            key=lambda address: (
                self.silent.get(address, 0.0) > now,
                score(number, address),
            ),
        )
        return ranked[0] if ranked else self.own.address

    def learn(self, number: int, address: str) -> None:
        self.learnt[number] = address

    def note_silent(self, number: int, address: str) -> None:
        """Remember that an address did not answer."""
        self.silent[address] = self.time.monotonic() + SILENT
        if self.learnt.get(number) == address:
            del self.learnt[number]

    async def ask(self, address: str, ask: claimed.Ask) -> claimed.Reply:
        """Ask one address; raise a coded failure if it does not answer."""
        if address == self.own.address:
            return await self.own.claim(ask)
        timeout = ask.wait + RPC_MARGIN
        answer = await self.call(address, "Claim", ask, timeout)
        return claimed.unpack(answer, claimed.Reply)

    async def tell(self, address: str, outcome: claimed.Outcome) -> claimed.Reply:
        """Tell one address what became of an attempt."""
        if address == self.own.address:
            return self.own.settle(outcome)
        answer = await self.call(address, "Outcome", outcome, RPC_MARGIN)
        return claimed.unpack(answer, claimed.Reply)

    async def call(
        self,
        address: str,
        method: str,
        message: claimed.Ask | claimed.Outcome,
        timeout: float,
    ) -> messages.Embedded:
        try:
            answer = await self.channels.call(
                address, method, claimed.pack(message), timeout
            )
        except asyncio.CancelledError:
            # Closing a connection cancels the calls on it.
            if asyncio.current_task().cancelling():
                raise
            raise codes.Failure(codes.NO_RELAY, "connection closed")
        if not isinstance(answer, messages.Embedded):
            raise codes.Failure(codes.BAD_MESSAGE, type(answer).__name__)
        return answer


def score(number: int, address: str) -> bytes:
    """Return the rendezvous hash: the lowest address owns the slice."""
    text = f"{number}/{address}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
