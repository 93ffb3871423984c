"""Stand-ins at the interfaces of the control path, without sockets."""

import asyncio
import urllib.parse

import msgspec

from rattanridge.control import messages, replica, transport
from rattanridge.kernel import clock, codes, metrics, settings, snapshot
from rattanridge.measure import fleet
from rattanridge.objectapi import client, objects
from rattanridge.standin import store as stores


def make_settings(name: str = "one", zone: str = "a", **more) -> settings.NodeSettings:
    return settings.NodeSettings(
        name=name, zone=zone, platform=["http://127.0.0.1:1"], key="test-key", **more
    )


def make_replica(name: str = "one", **more) -> replica.Replica:
    return replica.Replica(make_settings(name, **more), metrics.Counters())


class Platform(client.Client):
    """The real client over an object store in memory.

    ``plan`` holds what happens to the next calls: ``ok``, ``down`` (no effect),
    ``lost`` (effect, but no answer), ``late`` (no answer, and the effect comes
    with ``deliver``), ``slow`` (the clock moves on before effect and answer).
    """

    def __init__(self, store: stores.Store, time: clock.ManualClock):
        super().__init__(["memory"])
        self.store = store
        self.time = time
        self.plan: list[str] = []
        self.late: list[tuple[str, bytes]] = []
        self.slowness = 1.0

    async def call(self, method, path, body=b"", timeout=0.0):
        self.counters.add(f"platform.{method.lower()}")
        fault = self.plan.pop(0) if self.plan else "ok"
        if fault == "down":
            raise codes.Failure(codes.PLATFORM_DOWN)
        if fault == "late" and method == "PUT":
            self.late.append((path, body))
            raise codes.Failure(codes.PLATFORM_DOWN)
        if fault == "slow":
            self.time.now += self.slowness
        answer = self.answer(method, path, body)
        if fault == "slow":
            self.time.now += self.slowness
        if fault in ("lost", "late"):
            raise codes.Failure(codes.PLATFORM_DOWN)
        return answer

    def answer(self, method: str, path: str, body: bytes) -> bytes:
        url = urllib.parse.urlsplit(path)
        query = urllib.parse.parse_qs(url.query)
        if url.path == "/v1/objects":
            return msgspec.json.encode(self.store.list(query["prefix"]))
        key = url.path.removeprefix("/v1/objects/")
        if method == "PUT":
            write = msgspec.json.decode(body, type=objects.Write)
            return msgspec.json.encode(self.store.put(key, write))
        return msgspec.json.encode(self.store.get(key))

    def deliver(self) -> None:
        """Let writes that were under way take effect, if they still can."""
        waiting, self.late = self.late, []
        for path, body in waiting:
            try:
                self.answer("PUT", path, body)
            except codes.Failure as failure:
                assert failure.code is codes.PLATFORM_CONFLICT


class Server(transport.Server):
    """A control server that only has an address."""

    def __init__(self, config: settings.NodeSettings):
        super().__init__(config)
        self.address = f"{config.name}:1"


def endpoint(name="one", state="up", incarnation=1, sequence=1, zone="a"):
    return messages.Endpoint(
        name, zone, "pay", "v1", "h:1", 6, 110, state, incarnation, sequence
    )


def make_snapshot(generation: int, services=("pay",)) -> snapshot.Snapshot:
    preset = fleet.make_preset("day", list(services))
    return snapshot.build(generation, snapshot.split(preset, generation))


def hello(node="two", generation=0, digest="", table="", relay=False):
    return messages.Hello(node, "a", 1, generation, digest, table, relay)


class Context:
    """A stream as the relay sees it."""

    def __init__(self, *said):
        self.said = asyncio.Queue()
        for message in said:
            self.said.put_nowait(message)
        self.got = []
        self.stuck = False

    async def read(self):
        return await self.said.get()

    async def write(self, data):
        if self.stuck:
            await asyncio.Event().wait()
        self.got.append(messages.decode(messages.encode(data)))

    def kinds(self):
        return [type(message) for message in self.got]


class Channels:
    """Answers questions to other nodes from a table."""

    def __init__(self, answers):
        self.answers = answers

    async def call(self, address, method, message, timeout):
        if address not in self.answers:
            raise codes.Failure(codes.NO_RELAY)
        return self.answers[address]
