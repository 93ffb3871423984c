"""One node: all parts on one host, put together."""

import asyncio
import gc

import aiohttp.web

from rattanridge import admin as operations, policies
from rattanridge.admin import server as admin
from rattanridge.calls import (
    claims,
    delivery,
    entry,
    exit as exits,
    hop,
    ledger,
    local,
    memory,
    observer,
    owners,
    poison,
    server,
)
from rattanridge.control import (
    collector,
    coordinator,
    member,
    pool,
    replica,
    reporter,
    roster,
    transport,
)
from rattanridge.kernel import addresses, codes, log, metrics, registry, settings
from rattanridge.objectapi import client

DRAIN_STEP = 0.02  # seconds between looks at what still runs
WITHDRAW_PAUSE = 0.5  # seconds for a withdrawal to reach the entries
LOOPBACK = "127.0.0.1"


def settle_memory() -> None:
    """Keep the collector from walking over modules and settings again and again,
    which would hold up calls for milliseconds."""
    gc.collect()
    gc.freeze()


class Node:
    """The process beside an upstream.

    :param config: the node's settings.
    """

    def __init__(self, config: settings.NodeSettings):
        registry.load_plugins(policies)
        registry.load_plugins(operations)
        self.config = config
        self.log = log.Log("node", config.name)
        self.counters = metrics.Counters(
            f"rattanridge.{config.name}", config.statsd.host, config.statsd.port
        )
        self.platform = client.Client(config.platform, self.counters)
        self.state = replica.Replica(config, self.counters)
        self.control = transport.Server(config)
        self.member = member.Member(
            config, self.platform, self.state, self.control, self.counters
        )
        self.announcer = roster.Announcer(config, self.state, self.member.incarnation)
        self.held = memory.Held(config.limits.held_bytes)
        self.exit = exits.Exit(config, self.counters, self.held)
        self.entry = entry.Entry(
            config, self.state, self.exit, self.counters, self.held
        )
        self.guard_calls()
        self.collector = collector.Collector(config, self.state, self.counters)
        self.observer = observer.Observer(config, self.entry.attempts, self.collector)
        self.pool = pool.Pool(config, self.state, self.counters)
        self.reporter = reporter.Reporter(
            config, self.member, self.collector, self.pool
        )
        self.coordinator = coordinator.Coordinator(self.member, self.pool)
        self.hop = hop.Hop(config, self.exit, self.counters, self.held)
        self.local = local.Local(config, self.entry, self.exit, self.announcer)
        self.admin = admin.Server(config, self.platform, self.state, self.counters)
        self.runners: list[aiohttp.web.ServerRunner] = []
        self.caller_url = ""
        self.local_url = ""
        self.admin_url = ""

    def guard_calls(self) -> None:
        """Put claims and quarantine before the entry's work."""
        config = self.config
        self.ledger = ledger.Ledger(
            config, self.platform, self.counters, self.member.incarnation
        )
        self.control.add_unary("Claim", self.ledger.serve_claim)
        self.control.add_unary("Outcome", self.ledger.serve_outcome)
        holders = owners.Owners(config, self.state, self.member.channels, self.ledger)
        self.claims = claims.Claims(config, holders, self.counters)
        self.poison = poison.Poison(self.state, self.counters, config.name)
        self.entry.guard = self.claims.guard
        self.entry.gates.append(self.poison.gate)
        self.entry.observers.append(self.poison.observe)

    async def serve_caller(
        self, request: aiohttp.web.BaseRequest
    ) -> aiohttp.web.StreamResponse:
        return await delivery.serve(self.entry.serve, request)

    async def start(self) -> None:
        """Listen on all ports and begin to subscribe."""
        config = self.config
        await self.entry.start()
        self.ledger.address = await self.control.start()
        self.caller_url = await self.listen(
            self.serve_caller, config.address, config.caller_port
        )
        hop_url = await self.listen(self.hop.serve, config.address, config.hop_port)
        self.local_url = await self.listen(
            self.local.serve, LOOPBACK, config.local_port
        )
        self.admin_url = await self.listen(
            self.admin.serve, config.address, config.admin_port
        )
        await self.local.start(hop_url.removeprefix("http://"))
        await self.member.start()
        self.reporter.start()
        self.log.info(
            "node-started",
            zone=config.zone,
            callers=self.caller_url,
            local=self.local_url,
            admin=self.admin_url,
            control=self.control.address,
        )

    async def listen(self, handler: server.Handler, address: str, port: int) -> str:
        """Serve HTTP; return the URL."""
        served = server.Server(handler, self.config, self.counters)
        runner = aiohttp.web.ServerRunner(served, shutdown_timeout=1.0)
        await runner.setup()
        self.runners.append(runner)
        try:
            await aiohttp.web.TCPSite(runner, address, port).start()
        except OSError as error:
            where = addresses.join(address, port)
            raise codes.Failure(codes.CANNOT_LISTEN, error.strerror or "", where=where)
        bound = runner.addresses[0]
        return f"http://{addresses.join(bound[0], bound[1])}"

    async def stop(self) -> None:
        """Graceful shutdown: withdraw, finish what runs, hand over, end."""
        self.log.info("node-stopping")
        self.announcer.change("draining")
        self.entry.stopping = True
        await asyncio.sleep(WITHDRAW_PAUSE)
        self.exit.admission.close()
        await self.finish(self.config.control.drain_bound)
        await self.ledger.hand_over()
        self.announcer.change("gone")
        await asyncio.sleep(self.config.control.batch_interval * 2)
        await self.member.leave()
        await self.close()
        self.log.info("node-stopped")

    async def finish(self, bound: float) -> None:
        """Wait until no request is in progress, at most ``bound`` seconds."""
        loop = asyncio.get_running_loop()
        end = loop.time() + bound
        while self.busy() and loop.time() < end:
            await asyncio.sleep(DRAIN_STEP)
        if self.busy():
            self.log.warn("drain-bound", requests=self.busy(), seconds=bound)

    def busy(self) -> int:
        """Return the requests in progress on all ports."""
        hop = self.hop.active + len(self.hop.background.tasks)
        claimed = len(self.claims.tasks)
        return self.entry.busy() + hop + claimed + self.exit.admission.running

    async def close(self) -> None:
        """End everything at once."""
        await self.local.stop()
        await self.claims.close()
        await self.ledger.close()
        await self.reporter.stop()
        await self.member.stop()
        for runner in self.runners:
            await runner.cleanup()
        await self.control.stop()
        await self.entry.stop()
        await self.exit.close()
        await self.platform.close()
