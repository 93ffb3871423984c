"""``hostile-input``: good calls beside a flood of bad requests, against none."""

import asyncio
import collections
import dataclasses
import random
import resource
import time

import aiohttp

from rattanridge.calls import headers
from rattanridge.kernel import codes
from rattanridge.measure import base, fleet
from rattanridge.standin import upstream as upstreams

SECONDS = 20.0
SENDERS = 4  # connections that send bad requests at a time
RATE = 50  # good calls a second
PAUSE = 0.01  # seconds between two bad requests of one sender
SERVICE = "registry"
READ_LIMIT = 20.0  # seconds after which a bad request counts as unanswered
LARGE = 200_000  # bytes of an oversized header

HEAD = b"POST /registry/a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
REQUESTS = (
    b"nonsense\r\n\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
    b"GET /registry/../a HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /registry/%00 HTTP/1.1\r\nHost: a\r\n\r\n",
    HEAD + b"A: " + b"x" * LARGE + b"\r\n\r\n",
    HEAD + b"A: x\r\n" * 1000 + b"\r\n",
    HEAD + b"Content-Length: 999999999\r\n\r\n",
    HEAD + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
)
# A preset without the route may have come after one that ran the same request;
# nothing looked at its claim now, so "not run" is not proved.
UNPROVED = (HEAD.replace(b"registry", b"nowhere") + b"\r\n",)


@dataclasses.dataclass(slots=True)
class Good:
    """What became of the good calls: milliseconds, and how many failed."""

    waits: list[float] = dataclasses.field(default_factory=list)
    failed: int = 0


@base.EXPERIMENTS.register("hostile-input")
def measure(parameters: base.Parameters) -> base.Result:
    """Send good calls alone, then beside bad requests, which must all be coded."""
    seconds = parameters.seconds or SECONDS
    senders = parameters.size or SENDERS
    figures = asyncio.run(run(parameters.seed, seconds, senders))
    target = {"good_failed": 0, "bad_uncoded": 0, "bad_wrong_outcome": 0}
    ok = all(figures[name] <= limit for name, limit in target.items())
    return base.Result("hostile-input", parameters.seed, 1, figures, target, ok)


async def run(seed: int, seconds: float, senders: int) -> dict[str, float]:
    """Measure both halves on one fleet of one host."""
    async with fleet.Fleet(seed) as running:
        shape = upstreams.Shape(SERVICE, work=0.0)
        host = await running.add("one", "zone-a", shape)
        generation = await running.put_preset(fleet.make_preset("day", [SERVICE]))
        await running.wait_applied(generation)
        await running.wait_endpoints()
        url = host.node.caller_url
        base.progress("hostile-input: good calls alone")
        quiet = await send_good(url, seconds / 2)
        base.progress(f"hostile-input: beside {senders} senders of bad requests")
        memory = peak_kib()
        answers: collections.Counter[str] = collections.Counter()
        rng = random.Random(seed)
        flood = [
            asyncio.create_task(send_bad(url, rng, answers)) for _ in range(senders)
        ]
        beside = await send_good(url, seconds / 2)
        for task in flood:
            task.cancel()
        await asyncio.gather(*flood, return_exceptions=True)
        return summarize(quiet, beside, answers, peak_kib() - memory, seconds / 2)


async def send_good(url: str, seconds: float) -> Good:
    """Send paced calls one after another."""
    good = Good()
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    async with aiohttp.ClientSession() as session:
        while loop.time() < end:
            began = time.perf_counter()
            async with session.get(f"{url}/{SERVICE}/crest") as response:
                await response.read()
                good.failed += response.status != 200
            spent = time.perf_counter() - began
            good.waits.append(spent * 1000)
            await asyncio.sleep(max(1 / RATE - spent, 0))
    return good


async def send_bad(
    url: str, rng: random.Random, answers: collections.Counter[str]
) -> None:
    """Send bad requests, each on a connection of its own; count the answers."""
    while True:
        data = rng.choice(REQUESTS + UNPROVED)
        answer = await exchange(url, data)
        answers["sent"] += 1
        answers[outcome(data, answer)] += 1
        await asyncio.sleep(PAUSE)


async def exchange(url: str, data: bytes) -> bytes:
    """Send raw bytes; return what is answered until the connection closes."""
    host, _, port = url.removeprefix("http://").rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        async with asyncio.timeout(READ_LIMIT):
            writer.write(data)
            return await reader.read()
    except (OSError, TimeoutError):
        return b""
    finally:
        writer.close()


def outcome(data: bytes, answer: bytes) -> str:
    """Return what an answer shows: refused, uncoded, or a wrong outcome."""
    head = answer.partition(b"\r\n\r\n")[0]
    if f"{headers.CODE}: ".encode() not in head:
        return "uncoded"
    wanted = codes.Ran.UNKNOWN if data in UNPROVED else codes.Ran.NOT_RUN
    if f"{headers.RAN}: {wanted}".encode() not in head:
        return "wrong"
    return "refused"


def summarize(
    quiet: Good,
    beside: Good,
    answers: collections.Counter[str],
    grown_kib: int,
    seconds: float,
) -> dict[str, float]:
    """Return the figures of both halves."""
    figures: dict[str, float] = {}
    for name, good in (("alone", quiet), ("beside", beside)):
        for part in (50, 99):
            value = base.percentile(good.waits, part / 100)
            figures[f"good_{name}_p{part}_ms"] = round(value, 3)
    figures["good_calls"] = len(quiet.waits) + len(beside.waits)
    figures["good_failed"] = quiet.failed + beside.failed
    figures["bad_per_s"] = round(answers["sent"] / seconds, 1)
    figures["bad_refused"] = answers["refused"]
    figures["bad_uncoded"] = answers["uncoded"]
    figures["bad_wrong_outcome"] = answers["wrong"]
    figures["peak_memory_grown_kib"] = grown_kib
    return figures


def peak_kib() -> int:
    """Return the highest memory that this process has had."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
