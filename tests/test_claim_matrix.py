"""Every fault at every step of a claimed call, counted where the work runs."""

import asyncio

import pytest

from rattanridge.calls import claimed, types
from rattanridge.kernel import codes
from tests import claim_world

STEPS = (
    "key",
    "find",
    "claim",
    "commit",
    "committed",
    "forward",
    "answer",
    "record",
    "recorded",
    "repeat",
)
FAULTS = (
    "platform-down",
    "platform-slow",
    "platform-busy",
    "answer-lost",
    "write-late",
    "owner-paused",
    "owner-replaced",
    "owner-stopped",
    "owner-killed",
    "entry-killed",
    "entry-paused",
    "exit-killed",
    "caller-gone",
    "calls-lost",
)
OUTAGE = 2.0  # seconds that a fault lasts


class Cell:
    """One call through an entry that is not the owner, with one fault."""

    def __init__(self, world, fault):
        self.world = world
        self.fault = fault
        self.owner = ""
        self.entry = ""
        self.other = ""
        self.ending = "ran"
        self.caller = None

    async def prepare(self):
        """Let a node own the slice; the entry and another node do not."""
        await self.world.send("n0", "warm")
        await asyncio.sleep(3.0)
        learnt = self.world.nodes["n0"].owners.learnt
        self.owner = learnt[0]
        self.entry, self.other = (n for n in self.world.names if n != self.owner)

    async def strike(self):
        """Let the fault happen, and end it after a while."""
        world = self.world
        match self.fault:
            case "platform-down" | "platform-slow" | "platform-busy":
                self.mode("platform_mode", self.fault.removeprefix("platform-"))
            case "answer-lost" | "write-late":
                mode = "lose" if self.fault == "answer-lost" else "late"
                self.mode("platform_mode", mode)
            case "calls-lost":
                self.mode("net_mode", "lose")
            case "owner-paused" | "entry-paused":
                name = self.owner if self.fault == "owner-paused" else self.entry
                node = world.nodes[name]
                node.awake.clear()
                asyncio.get_running_loop().call_later(OUTAGE, node.awake.set)
            case "owner-replaced":
                claim = claimed.Claim("00", "00", "taker", 2_000_000)
                ask = claimed.Ask(0, claim, 0.5, unreachable=self.owner, slices=1)
                world.spawn(world.nodes[self.other].ledger.claim(ask))
            case "owner-stopped":
                world.spawn(world.nodes[self.owner].ledger.hand_over())
            case "owner-killed" | "entry-killed":
                name = self.owner if self.fault == "owner-killed" else self.entry
                world.spawn(world.kill(name))
            case "exit-killed":
                self.ending = "broken"
            case "caller-gone":
                if self.caller is not None:
                    self.caller.cancel()
        await asyncio.sleep(0)

    def mode(self, name, value):
        setattr(self.world, name, value)
        asyncio.get_running_loop().call_later(
            OUTAGE, lambda: setattr(self.world, name, "up")
        )

    async def run(self, step):
        """Send, resend through another node, and once more when all is well."""
        await self.prepare()
        self.world.arm(step, self.strike)
        await self.world.reach("key")
        self.caller = self.world.spawn(self.send())
        await asyncio.wait({self.caller})
        await self.world.reach("repeat")
        await self.world.send(self.other, "k")
        await asyncio.sleep(OUTAGE + 5.0)
        last = await self.world.send(self.other, "k")
        await asyncio.sleep(3.0)
        return last

    async def send(self):
        """Send the call; what ends it is known only once it runs."""
        world = self.world
        sent = claim_world.Sent("k", self.entry, 0.0)
        world.sent.append(sent)
        node = world.nodes.get(self.entry)
        if node is None:
            return
        try:
            sent.answer = await node.claims.guard(
                world.call("k"), lambda: world.work("k", self.ending)
            )
        except codes.Failure as failure:
            sent.answer = types.refuse(failure)
        sent.runs_at_answer = world.runs["k"]


class TestMatrix:
    @pytest.mark.parametrize("step", STEPS)
    @pytest.mark.parametrize("fault", FAULTS)
    def test_cell(self, step, fault):
        async def main():
            world = claim_world.World(slices=1, seed=7)
            last = await Cell(world, fault).run(step)
            await world.close()
            assert not world.errors
            assert world.armed == ("", None), "the step was not reached"
            assert world.runs["k"] <= 1
            for sent in world.sent:
                if sent.answer is not None and sent.answer.ran is codes.Ran.NOT_RUN:
                    assert sent.runs_at_answer == 0
            # Once the fault is over nobody is told "not run" without need.
            assert last.answer.code in (None, codes.ALREADY_ACCEPTED)
            if last.answer.code is None:
                assert world.runs["k"] == 1

        claim_world.run(main())
