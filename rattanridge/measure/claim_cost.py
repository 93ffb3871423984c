"""``claim-cost``: what claims cost an owner and the platform, by slices."""

import asyncio
import random
import time

import msgspec

from rattanridge.calls import claimed, ledger
from rattanridge.kernel import metrics, settings
from rattanridge.measure import base
from rattanridge.objectapi import client, objects
from rattanridge.standin import store

SECONDS = 30.0
RATE = 580  # claims a second of the whole fleet: 1% of 58,000 calls
WRITES = 250  # a second, the budget of all slices
SLICES = (8, 16, 32, 64)
MEMORY_CLAIMS = 100_000
ANSWER_SECONDS = 0.005  # of one platform call
WAIT = 2.0  # seconds


class Platform(client.Client):
    """A store in memory that answers late and counts what it is sent."""

    def __init__(self):
        super().__init__(["memory"])
        self.store = store.Store()
        self.writes = 0
        self.bytes = 0

    async def find(self, key: str) -> objects.Stored | None:
        await asyncio.sleep(ANSWER_SECONDS)
        return self.store.objects.get(key)

    async def list(self, *prefixes: str) -> objects.Listing:
        await asyncio.sleep(ANSWER_SECONDS)
        return self.store.list(prefixes)

    async def put(self, key, value, if_version, write_id=""):
        raw = msgspec.Raw(msgspec.json.encode(value))
        self.writes += 1
        self.bytes += len(raw)
        await asyncio.sleep(ANSWER_SECONDS)
        return self.store.put(key, objects.Write(raw, if_version, write_id))


class Load:
    """One owner of all slices under the claims of the whole fleet.

    :param slices: number of slices; 0: an object for each claim, the baseline.
    """

    def __init__(self, slices: int, seed: int):
        config = settings.NodeSettings(
            name="owner",
            zone="a",
            platform=["http://memory"],
            key="claim-cost-key",
            claims=settings.ClaimSettings(
                slices=max(slices, 1), writes_per_second=WRITES
            ),
        )
        self.slices = slices
        self.platform = Platform()
        self.ledger = ledger.Ledger(config, self.platform, metrics.Counters(), 1)
        self.random = random.Random(seed)
        self.samples: list[float] = []

    async def run(self, seconds: float) -> dict[str, float]:
        """Offer claims at the fleet's rate; return the figures."""
        tasks = []
        before = time.process_time()
        due = time.monotonic()
        end = due + seconds
        while due < end:
            due += self.random.expovariate(RATE)
            await asyncio.sleep(max(due - time.monotonic(), 0))
            tasks.append(asyncio.create_task(self.claim()))
        await asyncio.gather(*tasks)
        spent = time.process_time() - before
        await self.ledger.close()
        count = max(len(self.samples), 1)
        return {
            "claims_per_s": round(count / seconds, 1),
            "p50_ms": round(base.percentile(self.samples, 0.5), 2),
            "p99_ms": round(base.percentile(self.samples, 0.99), 2),
            "writes_per_s": round(self.platform.writes / seconds, 1),
            "written_kb_per_s": round(self.platform.bytes / seconds / 1000, 1),
            "cpu_us_per_claim": round(spent / count * 1_000_000, 1),
        }

    async def claim(self) -> None:
        """Make one claim, and settle it as a finished call would."""
        key = f"{self.random.getrandbits(64):016x}"
        attempt = claimed.new_attempt()
        claim = claimed.Claim(key, "00000000", attempt, int(time.time()) + 5)
        if not self.slices:
            await self.write_alone(claim)
            return
        number = claimed.slice_of(key, self.slices)
        ask = claimed.Ask(number, claim, WAIT, slices=self.slices)
        began = time.perf_counter()
        reply = await self.ledger.claim(ask)
        if reply.verdict is claimed.Verdict.GRANTED:
            self.samples.append((time.perf_counter() - began) * 1000)
        self.ledger.settle(claimed.Outcome(number, key, attempt, claimed.State.DONE))

    async def write_alone(self, claim: claimed.Claim) -> None:
        """Create an object for one claim."""
        began = time.perf_counter()
        await self.platform.put(f"claims/{claim.key}", claim, 0)
        self.samples.append((time.perf_counter() - began) * 1000)


def measure_memory() -> float:
    """Return the bytes that an owner keeps for one claim that it loaded."""
    claims = [
        claimed.Claim(f"{n:016x}", "00000000", f"{n:012x}", 1_700_000_000)
        for n in range(MEMORY_CLAIMS)
    ]
    data = msgspec.json.encode(claims)
    del claims
    before = base.private_memory()
    kept = {
        claim.key: claim
        for claim in msgspec.json.decode(data, type=list[claimed.Claim])
    }
    return (base.private_memory() - before) * 1024 * 1024 / len(kept)


@base.EXPERIMENTS.register("claim-cost")
def measure(parameters: base.Parameters) -> base.Result:
    """Compare numbers of slices with a write for each claim."""
    seconds = (parameters.seconds or SECONDS) / (len(SLICES) + 1)
    figures: dict[str, float] = {}
    for slices in SLICES:
        base.progress(f"claim-cost: {slices} slices")
        found = asyncio.run(Load(slices, parameters.seed).run(seconds))
        figures |= {f"slices{slices}_{name}": value for name, value in found.items()}
    base.progress("claim-cost: an object for each claim")
    found = asyncio.run(Load(0, parameters.seed).run(seconds))
    figures |= {f"each_{name}": value for name, value in found.items()}
    figures["memory_bytes_per_claim"] = round(measure_memory())
    target = {f"slices{slices}_writes_per_s": WRITES * 1.5 for slices in SLICES}
    ok = all(figures[name] <= limit for name, limit in target.items())
    return base.Result("claim-cost", parameters.seed, 1, figures, target, ok)
