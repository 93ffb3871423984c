"""One node: all parts on one host, put together."""

import asyncio
import collections.abc
import gc
import time
import typing

import aiohttp.web

from rattanridge.kernel import addresses, codes, sink as sinks
from rattanridge.mesh import (
    claims,
    configs,
    coordinator,
    dispatcher,
    entry,
    events,
    exit as exits,
    handlers,
    hop_auth as accesses,
    membership,
    peers as forwarders,
    records,
    settings,
    suspects as suspecting,
    upstream as upstreams,
    versions,
    watching,
)
from rattanridge.platform import (
    configs as wire_configs,
    orders,
    store as stores,
)
from rattanridge.web import memory, server as servers

DRAIN_STEP = 0.05  # seconds between looks at what still runs
QUESTIONS = 2.6  # seconds until the platform has asked twice whether it is ready
CLOSING_AFTER = 1.2  # seconds from SIGTERM until kept connections are closed
RESERVE = 0.6  # seconds of the grace time kept for ending
LINGER = 0.1  # seconds for calls that were sent before their sender heard of the end
SWEEP_INTERVAL = 1.0  # seconds
ROLLOUT_SETTLE = 0.1  # seconds; a version that is taken back must not wait
CONFIG_SETTLE = 0.25  # seconds; a watch returns each version that came meanwhile
RECORDS_SETTLE = 0.8  # seconds; exits refuse what a record does not tell yet
BACKLOG = 512  # connections that wait to be accepted
RECORD_RETRY = 0.5  # seconds before a record is written again


class Node:
    """The process beside an upstream.

    :param config: the node's settings.
    :param file: where they come from, if they may change.
    :param sink: takes the log lines.
    """

    def __init__(
        self,
        config: settings.Settings,
        file: settings.SettingsFile | None = None,
        sink: sinks.Sink | None = None,
    ):
        self.config = config
        self.settings_file = file
        self.log = events.Events(config.name, config.limits.log_lines, sink)
        self.meters = events.Meters()
        self.store = stores.Store(config.store, self.meters.observe_store)
        self.health = watching.Health(self.log)
        self.hop_auth = accesses.HopAuth(config)
        self.memory_budget = memory.MemoryBudget(config.limits.held_bytes)
        self.upstream = upstreams.Upstream(config, self.log)
        self.suspects = suspecting.Suspects(config.name, self.log, self.meters)
        self.membership = membership.Membership(
            config,
            self.store,
            self.health,
            self.upstream,
            self.suspects,
            self.fetch,
            self.log,
        )
        self.directory = self.membership.directory
        self.configs = configs.Configs(
            self.store,
            self.fetch,
            self.membership.learn,
            self.health,
            self.log,
            self.meters,
        )
        self.exit = exits.Exit(
            config,
            self.upstream,
            self.suspects,
            self.memory_budget,
            self.log,
            self.meters,
        )
        self.versions = versions.Versions(self.log, self.meters, time.monotonic)
        self.dispatcher = dispatcher.Dispatcher(
            config,
            self.directory,
            self.exit,
            self.versions.keep,
            self.membership.count_sharers,
            self.configs.record_peer_version,
            forwarders.PeerClient(self.hop_auth, self.memory_budget),
            self.log,
            self.meters,
        )
        self.claims = claims.Claims(
            config, self.store, self.membership.is_first, self.log, self.meters
        )
        self.entry = entry.Entry(
            config,
            self.configs,
            self.dispatcher,
            self.claims,
            self.suspects,
            self.memory_budget,
            self.log,
            self.meters,
        )
        self.hop_handler = handlers.HopHandler(
            config, self.exit, self.configs, self.directory, self.hop_auth, self.meters
        )
        self.heartbeat_handler = handlers.HeartbeatHandler(
            self.upstream, self.membership.settled, self.log, self.meters
        )
        self.watches = [
            self.watch(
                wire_configs.KIND,
                self.configs.take_all,
                self.configs.take,
                CONFIG_SETTLE,
                large=True,
            ),
            self.watch(
                records.KIND,
                self.membership.take_all,
                self.membership.take,
                RECORDS_SETTLE,
                stale=True,
                heard=self.membership.hear,
            ),
            self.watch(
                orders.KIND,
                self.versions.take_all,
                self.versions.take,
                ROLLOUT_SETTLE,
                stale=True,
            ),
        ]
        self.coordinator = coordinator.Coordinator(
            config,
            self.store,
            self.health,
            self.versions,
            self.directory,
            self.dispatcher.peers,
            self.log,
        )
        self.runners: list[aiohttp.web.ServerRunner] = []
        self.tasks: list[asyncio.Task] = []
        self.stopping = False

    async def fetch(self, address: str, path: str) -> bytes | None:
        """Ask another node for a page."""
        return await self.dispatcher.peers.fetch(address, "GET", path)

    def watch(
        self,
        kind: str,
        take_all: watching.TakeAll,
        take: watching.TakeOne,
        settle: float,
        **more: typing.Any,
    ) -> watching.Watch:
        """Return a watch of one kind; ``more`` as it takes it."""
        return watching.Watch(
            self.store, kind, self.health, take_all, take, self.log, settle, **more
        )

    async def start(self) -> None:
        """Listen on all ports and begin to follow the store."""
        listen = self.config.listen
        await self.listen(self.entry.serve, listen.callers)
        await self.listen(self.hop_handler.serve, listen.hops)
        await self.listen(handlers.ReadinessHandler(self.ready).serve, listen.ready)
        await self.listen(self.heartbeat_handler.serve, listen.heartbeats)
        if listen.metrics:
            metrics = handlers.MetricsHandler(
                self.meters, self.exit, self.upstream, self.watches
            )
            await self.listen(metrics.serve, listen.metrics)
        self.log.start()
        for watch in self.watches:
            self.begin(watch.run())
        self.begin(self.membership.publisher.run(RECORD_RETRY))
        self.begin(self.coordinator.run())
        self.begin(self.claims.sweep())
        self.begin(self.tend())
        gc.collect()
        gc.freeze()
        self.log.info(
            "node-started",
            zone=self.config.zone,
            service=self.config.service,
            upstream=self.config.upstream,
            store=self.config.store,
        )

    def begin(self, work: collections.abc.Coroutine) -> None:
        """Run a part for as long as the node runs."""
        task = asyncio.create_task(work)
        task.add_done_callback(self.check_task)
        self.tasks.append(task)

    def check_task(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            self.log.error("task-failed", why=repr(task.exception()))

    async def listen(self, handler: servers.Handler, address: str) -> None:
        """Serve HTTP at ``host:port``."""
        host, _, port = address.rpartition(":")
        served = servers.Server(handler, self.config, self.meters, self.log)
        runner = aiohttp.web.ServerRunner(served, shutdown_timeout=0.2)
        await runner.setup()
        self.runners.append(runner)
        site = aiohttp.web.TCPSite(runner, host, int(port), backlog=BACKLOG)
        try:
            await site.start()
        except OSError as error:
            where = addresses.join_host_port(host, int(port))
            raise codes.Failure(codes.CANNOT_LISTEN, error.strerror or "", where=where)

    def ready(self) -> bool:
        """Whether callers may be sent here."""
        return (
            not self.stopping
            and self.configs.current is not None
            and self.membership.known
        )

    async def tend(self) -> None:
        """Look after connections and the settings file, again and again."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL)
            self.exit.pool.expire_idle()
            self.suspects.expire()
            self.exit.parents.expire()
            self.dispatcher.peers.pool.expire_idle()
            if self.settings_file is not None and self.settings_file.changed():
                self.reload()

    def reload(self) -> None:
        """Take over changed settings; wrong ones change nothing."""
        try:
            fresh = settings.load(self.settings_file.path)
        except codes.Failure as failure:
            self.log.error("settings-refused", why=str(failure))
            return
        for name in fresh.__struct_fields__:
            setattr(self.config, name, getattr(fresh, name))
        self.dispatcher.apply_settings()
        self.membership.reload()
        self.log.info("settings-reloaded", service=fresh.service, store=fresh.store)

    def busy(self) -> int:
        """Return the requests in progress."""
        return self.entry.active + self.exit.request_count()

    async def stop(self) -> None:
        """Graceful shutdown: say so, serve on, finish what runs, end."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.stopping = True
        self.log.info("node-stopping", requests=self.busy())
        self.membership.stopping = True
        self.membership.publish()
        last = began + self.config.drain.grace - RESERVE
        self.dispatcher.stop_deadline = self.exit.stop_deadline = last
        self.hop_handler.closing = True
        while loop.time() < last:
            await asyncio.sleep(DRAIN_STEP)
            passed = loop.time() - began
            self.entry.closing = passed > CLOSING_AFTER
            if passed > QUESTIONS and not self.busy():
                break
        self.exit.stopping = True
        await self.stop_listening()
        await asyncio.sleep(LINGER)
        await self.close()

    async def stop_listening(self) -> None:
        """Take no new connections; open ones are still answered."""
        for runner in self.runners:
            for site in list(runner.sites):
                await site.stop()

    async def close(self) -> None:
        """End everything."""
        self.log.info("node-stopped", requests=self.busy())
        for runner in self.runners:
            await runner.cleanup()
        for task in (*self.tasks, *self.dispatcher.poll_tasks):
            task.cancel()
        self.exit.pool.close()
        self.dispatcher.peers.pool.close()
        await self.store.close()
        self.log.stop()
