"""Two hops around a raw upstream that a fault hits at one step of a call."""

import asyncio

from tests import mesh

STEPS = (
    "read",
    "choose",
    "connect",
    "send-head",
    "send-body",
    "wait",
    "answer-head",
    "answer-body",
)
MESH_STEPS = STEPS[:2]  # before anything reaches the upstream
SHORT = 0.4  # seconds; timeout of the route where a deadline is to pass
LONG = 10.0
BODY = b"s" * 300_000
SHED = b"HTTP/1.1 503 Busy\r\nRan: not-run\r\nContent-Length: 0\r\n\r\n"


class Faulty(mesh.Upstream):
    """An upstream that lets a fault act once, at one step."""

    def __init__(self, step: str):
        super().__init__()
        self.step = step
        self.act = None
        self.shed = 0

    async def at(self, step: str, writer) -> None:
        if step == self.step and self.act is not None:
            act, self.act = self.act, None
            await act(writer)

    async def on_connect(self, writer):
        await self.at("connect", writer)

    async def on_head(self, writer):
        await self.at("send-head", writer)
        await self.at("send-body", writer)

    async def script(self, request, writer):
        await self.at("wait", writer)
        data = mesh.make_answer(request)
        for step, end in (("answer-head", 20), ("answer-body", len(data) - 5)):
            if step == self.step and self.act is not None:
                writer.write(data[:end])
                data = data[end:]
                await self.at(step, writer)
        writer.write(data)
        await writer.drain()


class Scene:
    """One cell: a call that meets a fault, and a second call after it."""

    def __init__(self, fault: str, step: str, method: str):
        self.method = method
        self.step = step
        self.act = getattr(self, fault.replace("-", "_"))
        self.first = Faulty(step)
        self.spare = mesh.Upstream()
        self.release = asyncio.Event()
        self.tasks: list[asyncio.Task] = []
        self.caller: mesh.Caller | None = None
        self.running: mesh.Mesh | None = None
        self.cut = False

    async def start(self, timeout: float) -> None:
        """Start the entry and two exits; the faulty upstream is chosen first."""
        self.running = mesh.Mesh()
        for name in ("entry", "first", "spare"):
            await self.running.add(name, late=SHORT / 2)
        self.running.put(mesh.make_preset(timeout))
        await self.running.attach(self.running.nodes["first"], self.first)
        await self.running.attach(self.running.nodes["spare"], self.spare)
        entry = self.running.nodes["entry"]
        known = entry.entry.endpoints.services["workshop"]
        now = asyncio.get_running_loop().time()
        known["first"].succeed(0.001, now)
        known["spare"].succeed(5.0, now)

    async def stop(self) -> None:
        self.release.set()
        await asyncio.gather(*self.tasks)
        await self.running.stop()

    async def run(self) -> mesh.Reply:
        """Make the first call; return what its caller got."""
        url = self.running.nodes["entry"].caller_url
        body = BODY if self.method == "POST" else b""
        async with mesh.Caller(url) as self.caller:
            lines = [f"{self.method} /workshop/first HTTP/1.1", "Host: x"]
            lines += [f"Content-Length: {len(body)}"] if body else []
            data = "\r\n".join([*lines, "", ""]).encode() + body
            if self.step == "choose":
                await self.act(None)
                self.caller.send(data)
            elif self.step == "read":
                self.caller.send(data[:-10])
                entry = self.running.nodes["entry"].entry
                assert await mesh.settled(lambda: entry.active == 1)
                await self.act(None)
                self.caller.send(data[-10:])
            else:
                self.first.act = self.act
                self.caller.send(data)
            return await self.caller.reply()

    async def follow(self) -> mesh.Reply:
        """Make a second call through the same nodes."""
        node = self.running.nodes.get("entry") or self.running.nodes["spare"]
        async with mesh.Caller(node.caller_url) as caller:
            caller.request("GET", "/workshop/second")
            return await caller.reply()

    async def killed(self, writer) -> None:
        self.first.kill()

    async def reset(self, writer) -> None:
        self.first.reset()

    async def half_closed(self, writer) -> None:
        for each in [writer] if writer else self.first.writers:
            each.close()

    async def late(self, writer) -> None:
        await self.release.wait()

    async def never(self, writer) -> None:
        await asyncio.Event().wait()

    async def crossed(self, writer) -> None:
        """Answer only when the next request has come, before it is answered."""
        await mesh.settled(lambda: self.spare.begun + self.first.begun > 1)

    async def caller_gone(self, writer) -> None:
        self.cut = True
        self.caller.writer.transport.abort()
        entry = self.running.nodes["entry"].entry
        await mesh.settled(lambda: entry.active == 0)

    async def entry_dies(self, writer) -> None:
        self.cut = True
        await self.running.close("entry")

    async def exit_dies(self, writer) -> None:
        await self.running.close("first")

    async def upstream_drains(self, writer) -> None:
        await self.running.attach(
            self.running.nodes["first"], self.first, state="draining"
        )

    async def exit_drains(self, writer) -> None:
        self.tasks.append(asyncio.create_task(self.running.nodes["first"].stop()))

    async def entry_drains(self, writer) -> None:
        node = self.running.nodes["entry"]
        self.tasks.append(asyncio.create_task(node.stop()))
        await mesh.settled(lambda: node.entry.stopping)

    async def sheds(self, writer) -> None:
        self.first.shed += 1
        writer.write(SHED)
        raise ConnectionError

    def begun(self, method: str = "") -> int:
        """Return how often an upstream began the first call, shed ones left out."""
        count = self.first.begun - self.first.shed + self.spare.begun
        return count - self.seconds()

    def seconds(self) -> int:
        runs = [*self.first.requests, *self.spare.requests]
        return sum(run.target == "/workshop/second" for run in runs)

    def finished(self) -> int:
        """Return how often the first call's request arrived whole."""
        runs = [*self.first.requests, *self.spare.requests]
        return sum(run.target == "/workshop/first" for run in runs)


FAULTS = {
    "killed": LONG,
    "reset": LONG,
    "half-closed": LONG,
    "late": SHORT,
    "never": SHORT,
    "crossed": SHORT,
    "caller-gone": LONG,
    "entry-dies": LONG,
    "exit-dies": LONG,
    "upstream-drains": LONG,
    "exit-drains": LONG,
    "entry-drains": LONG,
    "sheds": LONG,
}


def applies(fault: str, step: str, method: str) -> bool:
    """Whether a fault can happen at a step."""
    if method == "GET" and step in ("read", "send-body"):
        return False
    if fault == "sheds":
        return step in ("send-head", "send-body", "wait")
    if fault in ("late", "never", "crossed"):
        return step not in MESH_STEPS
    if fault in ("caller-gone", "entry-dies"):
        return step != "choose"
    return True


def must_succeed(fault: str, step: str, method: str) -> bool:
    """Whether the caller must not notice the fault at all."""
    if fault in ("upstream-drains", "exit-drains", "sheds"):
        return True
    if fault == "entry-drains":
        return step != "choose"
    if step in MESH_STEPS:
        return fault in ("killed", "reset", "half-closed", "exit-dies")
    return method == "GET" and fault in ("killed", "reset", "half-closed", "exit-dies")


CELLS = [
    (fault, step, method)
    for fault in FAULTS
    for step in STEPS
    for method in ("GET", "POST")
    if applies(fault, step, method)
]
