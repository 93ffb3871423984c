"""Stand-ins at the interfaces of the control path, without sockets."""

import urllib.parse

import msgspec

from rattanridge.control import replica, transport
from rattanridge.kernel import clock, codes, metrics, settings
from rattanridge.platform import client, objects
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
