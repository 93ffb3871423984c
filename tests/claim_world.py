"""Fakes around claims: virtual time, a platform, and calls between nodes."""

import asyncio
import collections
import dataclasses
import random
import selectors
import urllib.parse

import msgspec
import multidict

from rattanridge.calls import claimed, claims, ledger, owners, types
from rattanridge.control import replica
from rattanridge.kernel import clock, codes, metrics, presets, settings
from rattanridge.objectapi import client, objects
from rattanridge.standin import store as stores

EPOCH = 1_000_000.0


class VirtualSelector(selectors.SelectSelector):
    """Moves the loop's time instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("nothing is left to happen")
        self.now += max(timeout, 0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        self.virtual = VirtualSelector()
        super().__init__(self.virtual)

    def time(self):
        return self.virtual.now


def run(main):
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)


class LoopClock(clock.Clock):
    """The virtual loop's time."""

    def monotonic(self):
        return asyncio.get_running_loop().time()

    def wall(self):
        return EPOCH + self.monotonic()


class Platform(client.Client):
    """One node's client of the shared store, with the faults of the world."""

    def __init__(self, world, node):
        super().__init__(["fake"])
        self.world = world
        self.node = node

    async def call(self, method, path, body=b"", timeout=0.0):
        if method == "PUT":
            await self.world.reach("commit")
        await self.node.awake.wait()
        mode = self.world.platform_mode
        await asyncio.sleep(self.world.random.uniform(0.001, 0.01))
        if mode == "down":
            self.fail(codes.PLATFORM_DOWN, "down")
        if mode == "busy":
            self.fail(codes.PLATFORM_BUSY, "busy")
        if mode == "slow":
            await asyncio.sleep(self.world.random.uniform(0.2, 1.5))
        if method == "PUT" and mode == "late":
            asyncio.get_running_loop().call_later(
                self.world.random.uniform(0.1, 3.0), self.late, path, body
            )
            self.fail(codes.PLATFORM_DOWN, "late")
        data = self.apply(method, path, body)
        if method == "PUT":
            await self.world.reach("committed")
        if method == "PUT" and mode == "lose" and self.world.random.random() < 0.6:
            self.fail(codes.PLATFORM_DOWN, "lost")
        await self.node.awake.wait()
        return data

    def late(self, path, body):
        try:
            self.apply("PUT", path, body)
        except codes.Failure:
            pass

    def apply(self, method, path, body):
        store = self.world.store
        where, _, query = path.partition("?")
        key = where.removeprefix("/v1/objects/")
        if method == "PUT":
            self.world.writes += 1
            done = store.put(key, msgspec.json.decode(body, type=objects.Write))
        elif method == "DELETE":
            store.delete(key, int(query.partition("=")[2]))
            done = None
        elif key == where:
            done = store.list(urllib.parse.parse_qs(query)["prefix"])
        else:
            done = store.get(key)
        return msgspec.json.encode(done)


class Channels:
    """Calls to other nodes, with the faults of the world."""

    def __init__(self, world, node):
        self.world = world
        self.node = node

    async def call(self, address, method, message, timeout):
        await self.world.reach("find" if method == "Claim" else "record")
        await self.node.awake.wait()
        mode = self.world.net_mode
        if mode == "cut" and self.world.random.random() < 0.5:
            await asyncio.sleep(0.01)
            raise codes.Failure(codes.NO_RELAY, "cut")
        handler = self.world.spawn(self.handle(address, method, message))
        done, _ = await asyncio.wait({handler}, timeout=timeout)
        if not done or (mode == "lose" and self.world.random.random() < 0.5):
            raise codes.Failure(codes.NO_RELAY, "no answer")
        await self.node.awake.wait()
        return handler.result()

    async def handle(self, address, method, message):
        await asyncio.sleep(self.world.random.uniform(0.0005, 0.003))
        if self.world.net_mode == "slow":
            await asyncio.sleep(self.world.random.uniform(0.0, 3.0))
        target = self.world.nodes.get(address)
        if target is None:
            raise codes.Failure(codes.NO_RELAY, "dead")
        await self.world.reach("claim" if method == "Claim" else "recorded")
        await target.awake.wait()
        ledger = target.ledger
        serve = ledger.serve_claim if method == "Claim" else ledger.serve_outcome
        reply = await serve(self.node.name, message)
        await target.awake.wait()
        return reply


class Node:
    """One node: ledger and guard on the world's fakes."""

    def __init__(self, world, name):
        self.name = name
        self.awake = asyncio.Event()
        self.awake.set()
        world.incarnation += 1
        config = settings.NodeSettings(
            name=name,
            zone="a",
            platform=["http://fake"],
            key="0123456789",
            address="10.0.0.1",
            claims=world.claim_settings,
        )
        self.counters = metrics.Counters()
        time = LoopClock()
        self.ledger = ledger.Ledger(
            config, Platform(world, self), self.counters, world.incarnation, time
        )
        self.ledger.address = name
        self.owners = owners.Owners(
            config,
            replica.Replica(config, self.counters),
            Channels(world, self),
            self.ledger,
            time,
        )
        self.owners.relays = {f"relay-{n}": n for n in world.names}
        self.claims = claims.Claims(config, self.owners, self.counters, time)


@dataclasses.dataclass
class Sent:
    """One sending and how it ended; ``answer`` is ``None`` if nothing came."""

    key: str
    node: str
    began: float
    answer: types.Answer | None = None
    runs_at_answer: int = 0


class World:
    """Nodes, a store, an upstream that counts, and callers that resend."""

    def __init__(self, names=("n0", "n1", "n2"), seed=0, **claim_settings):
        self.random = random.Random(seed)
        self.claim_settings = settings.ClaimSettings(
            **{"slices": 2, "writes_per_second": 100} | claim_settings
        )
        self.store = stores.Store()
        self.platform_mode = "up"
        self.net_mode = "up"
        self.writes = 0
        self.incarnation = 0
        self.names = list(names)
        self.nodes = {}
        self.tasks = set()
        self.runs = collections.Counter()
        self.sent = []
        self.errors = []
        self.armed = ("", None)
        for name in names:
            self.nodes[name] = Node(self, name)

    def arm(self, step, fault):
        """Let a fault strike when a step is reached the next time."""
        self.armed = (step, fault)

    async def reach(self, step):
        """Tell that a step is reached."""
        if step == self.armed[0]:
            fault = self.armed[1]
            self.armed = ("", None)
            await fault()

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        task.add_done_callback(self.check)
        return task

    def check(self, task):
        """Collect what must not happen: any failure without a code."""
        error = None if task.cancelled() else task.exception()
        if error is not None and not isinstance(error, codes.Failure):
            self.errors.append(error)

    def call(self, key, body=b"ring", seconds=5.0, caller="10.1.1.1"):
        route = presets.Route(
            service="pay",
            key=presets.KeySource(source="header", name="Idempotency-Key"),
        )
        sent = multidict.CIMultiDict({"Idempotency-Key": key} if key else {})
        deadline = asyncio.get_running_loop().time() + seconds
        return types.Call(
            "POST",
            "/pay",
            sent,
            body,
            "pay",
            False,
            "normal",
            deadline,
            caller=caller,
            route=route,
        )

    async def work(self, key, ending, seconds=0.05):
        """Stand for forwarding: count the run, then end as told."""
        if ending == "refused":
            raise codes.Failure(codes.QUEUE_FULL)
        await self.reach("forward")
        self.runs[key] += 1
        await asyncio.sleep(seconds)
        await self.reach("answer")
        if ending == "broken":
            broken = codes.Failure(codes.UPSTREAM_FAILED, ran=codes.Ran.UNKNOWN)
            return types.refuse(broken)
        body = f"done {key}".encode()
        return types.Answer(200, multidict.CIMultiDict(), body, codes.Ran.RAN)

    async def send(self, name, key, ending="ran", *, body=b"ring", **more):
        """Send a request through a node; return how it ended."""
        sent = Sent(key, name, asyncio.get_running_loop().time())
        self.sent.append(sent)
        node = self.nodes.get(name)
        if node is None:
            return sent
        call = self.call(key, body, **more)
        try:
            sent.answer = await node.claims.guard(call, lambda: self.work(key, ending))
        except codes.Failure as failure:
            sent.answer = types.refuse(failure)
        sent.runs_at_answer = self.runs[key]
        return sent

    async def kill(self, name):
        """End a node at once: what it sent may still arrive."""
        node = self.nodes.pop(name, None)
        if node is not None:
            for queue in node.ledger.queues.values():
                if queue.task is not None:
                    queue.task.add_done_callback(self.check)
            await node.claims.close()
            await node.ledger.close()

    def restart(self, name):
        if name not in self.nodes:
            self.nodes[name] = Node(self, name)

    async def close(self):
        for node in self.nodes.values():
            node.awake.set()
        for name in list(self.nodes):
            await self.kill(name)
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def slice_key(world, key):
    """Return the slice of a key that the world's callers use."""
    name = claimed.identify(world.call(key), f"1{key}")
    return claimed.slice_of(name, world.claim_settings.slices)
