"""One node: assembles all parts that run on a host."""

import asyncio
import time

from rattanridge.kernel import codes, sink as sinks
from rattanridge.mesh import (
    claims,
    configs,
    confirmation,
    coordination,
    dispatcher,
    entry,
    evacuation,
    evacuation_repair,
    events,
    exit as exits,
    gate,
    handlers,
    hop_auth,
    peers as forwarders,
    ports,
    settings,
    shutdown as shutdowns,
    suspects as suspecting,
    tasks as tasking,
    upstream as upstreams,
    versions,
)
from rattanridge.mesh.discovery import membership, records, store_health, watches
from rattanridge.mesh.quota import service as quotas
from rattanridge.platform import orders, store as stores
from rattanridge.web import memory

DRAIN_POLL_INTERVAL = 0.05  # seconds between two checks for requests in progress
READINESS_WAIT = 2.6  # seconds in which the platform probes the readiness twice
CLOSE_CONNECTIONS_AFTER = 1.2  # seconds from SIGTERM until responses close connections
SHUTDOWN_RESERVE = 0.6  # seconds of the grace period in which nothing is accepted
CLOSE_RESERVE = 0.3  # seconds of the grace period that are kept for the close
LATE_CALLS_WAIT = 0.1  # seconds for calls sent before their senders saw the shutdown
MAINTENANCE_INTERVAL = 1.0  # seconds
RECORD_RETRY_DELAY = 0.5  # seconds before a record is written again


class Node:
    """All parts of one node, and their start and shutdown.

    :param config: the node's settings.
    :param file: the settings file, if the settings may change.
    :param sink: receives the log lines.
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
        self.memory_budget = memory.MemoryBudget(config.limits.held_bytes)
        self.ports = ports.Ports(config, self.memory_budget, self.meters, self.log)
        self.shutdown = shutdowns.Shutdown()
        self.store = stores.Store(config.store, self.meters.record_store_call)
        self.health = store_health.StoreHealth(config, self.check_store, self.log)
        self.hop_auth = hop_auth.HopAuth(config)
        self.upstream = upstreams.Upstream(config, self.log)
        self.suspects = suspecting.Suspects(config.name, self.log, self.meters)
        self.versions = versions.Versions(self.log, self.meters, time.monotonic)
        self.membership = membership.Membership(
            config,
            self.store,
            self.health,
            self.upstream,
            self.suspects,
            self.shutdown,
            self.fetch,
            self.log,
        )
        self.directory = self.membership.directory
        self.configs = configs.Configs(
            self.store,
            self.fetch,
            self.fetch_members,
            self.health,
            self.log,
            self.meters,
        )
        self.evacuations = evacuation.Evacuations(
            config,
            self.directory,
            self.fetch,
            lambda: self.exit.request_count(),
            self.log,
            self.meters,
        )
        self.evacuation_repair = evacuation_repair.Repair(
            config.name, self.evacuations, self.membership, self.store, self.log
        )
        self.exit = exits.Exit(
            config,
            self.upstream,
            self.suspects,
            self.shutdown,
            self.versions.state_of,
            self.memory_budget,
            gate.Gate(config, self.upstream, self.configs, self.evacuations, self.log),
            self.log,
            self.meters,
        )
        self.confirmation = confirmation.Confirmation(
            self.upstream,
            self.exit.pool,
            self.configs,
            self.exit.announcements,
            self.log,
        )
        self.dispatcher = dispatcher.Dispatcher(
            config,
            self.directory,
            self.exit,
            self.versions.filter_candidates,
            self.membership.count_budget_nodes,
            self.configs.record_peer_version,
            self.evacuations,
            forwarders.PeerClient(self.hop_auth, self.memory_budget),
            self.shutdown,
            self.log,
            self.meters,
        )
        self.claims = claims.Claims(
            config, self.store, self.membership.is_first, self.log, self.meters
        )
        self.quota = quotas.Quota(
            config,
            self.store,
            self.health,
            self.configs,
            self.directory,
            self.dispatcher.peers,
            self.log,
            self.meters,
        )
        self.entry = entry.Entry(
            config,
            self.configs,
            self.dispatcher,
            self.claims,
            self.suspects,
            self.quota,
            self.shutdown,
            self.memory_budget,
            self.log,
            self.meters,
        )
        self.hop_handler = handlers.HopHandler(
            config,
            self.exit,
            self.configs,
            self.directory,
            self.versions,
            self.evacuations,
            self.quota,
            self.hop_auth,
            self.shutdown,
            self.meters,
        )
        self.heartbeat_handler = handlers.HeartbeatHandler(
            self.upstream, self.membership.wait_written, self.log, self.meters
        )
        self.watches = watches.make_watches(
            self.store,
            self.health,
            self.configs,
            self.membership,
            self.versions,
            self.evacuations,
            self.log,
        )
        self.coordination = coordination.CoordinatorRunner(
            self.versions,
            config=config,
            store=self.store,
            health=self.health,
            directory=self.directory,
            peers=self.dispatcher.peers,
            log=self.log,
        )
        self.store.era_listeners.append(self.apply_new_era)
        self.tasks = tasking.Tasks(self.log)

    def apply_new_era(self) -> None:
        """List all kinds again: the store has returned from an older copy."""
        self.log.info("store-returned", era=self.store.era)
        for watch in self.watches:
            watch.interrupt()
        self.claims.apply_new_era()

    async def fetch(self, address: str, path: str) -> bytes | None:
        """Fetch a page from another node; None if it does not answer."""
        return await self.dispatcher.peers.fetch(address, "GET", path)

    async def fetch_members(self, address: str) -> None:
        """Fetch records, rollouts and evacuations from another node.

        A node that starts while the store is unreachable has none of them. Does
        nothing once they are known.
        """
        await self.fetch_orders(address)
        await self.membership.fetch_records(address)

    async def learn_rollouts(self) -> None:
        """Fetch rollouts and evacuations from another node, unless they are known."""
        if self.versions.known and self.evacuations.known:
            return
        address = self.membership.draw_other_address()
        if address:
            await self.fetch_orders(address)

    async def learn_configuration(self) -> None:
        """Read another node's configuration if the store's cannot be used."""
        if self.configs.has_none_to_use():
            await self.configs.learn(self.membership.draw_other_address())

    async def exchange_evacuations(self) -> None:
        """Exchange what is known with another node while a zone is evacuated."""
        if not self.directory.evacuated:
            return
        address = self.membership.draw_other_address()
        if address:
            own_address = self.config.listen.hops
            await self.evacuations.exchange(address, own_address, self.configs.version)

    async def fetch_orders(self, address: str) -> None:
        """Fetch rollouts and evacuations from another node, unless they are known."""
        if not self.versions.known:
            await self.fetch_rollouts(address)
        if not self.evacuations.known:
            await self.evacuations.learn(address)

    async def fetch_rollouts(self, address: str) -> None:
        """Fetch the rollouts from another node."""
        page = await self.fetch(address, versions.PATH)
        if page is not None:
            self.versions.apply_page(page, address)

    async def check_store(self) -> None:
        """Make a small call to the store, which also tells if its history is gone.

        Raise ``watch-lost`` if watches that wait may have missed changes with it.
        """
        if all(watch.listed for watch in self.watches):
            oldest = min(watch.revision for watch in self.watches)
            await self.store.check_history(orders.KIND, oldest)
        else:
            await self.store.check(records.KIND, self.config.name)

    async def start(self) -> None:
        """Listen on all ports and start to follow the store."""
        listen = self.config.listen
        await self.ports.listen(self.entry.serve, listen.callers, self.entry)
        await self.ports.listen(self.hop_handler.serve, listen.hops)
        await self.ports.listen(
            handlers.ReadinessHandler(self.ready).serve, listen.ready
        )
        await self.ports.listen(self.heartbeat_handler.serve, listen.heartbeats)
        if listen.metrics:
            metrics = handlers.MetricsHandler(
                self.meters, self.exit, self.upstream, self.health
            )
            await self.ports.listen(metrics.serve, listen.metrics)
        self.log.start()
        for watch in self.watches:
            self.tasks.start(watch.run())
        self.tasks.start(self.membership.publisher.run(RECORD_RETRY_DELAY))
        self.tasks.start(self.coordination.run())
        self.tasks.start(self.claims.sweep())
        self.tasks.start(self.quota.run())
        self.tasks.start(self.maintain())
        self.log.info(
            "node-started",
            zone=self.config.zone,
            service=self.config.service,
            upstream=self.config.upstream,
            store=self.config.store,
        )

    def ready(self) -> bool:
        """Return whether the node can serve callers."""
        return (
            not self.shutdown.begun
            and self.configs.current is not None
            and self.membership.has_records
            and self.versions.known
            and self.evacuations.known
        )

    async def maintain(self) -> None:
        """Close idle connections, expire evidence, and reload a changed settings file.

        Runs every MAINTENANCE_INTERVAL seconds, until cancelled.
        """
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL)
            self.exit.pool.expire_idle()
            self.suspects.expire()
            self.exit.parents.expire()
            self.dispatcher.peers.pool.expire_idle()
            await self.learn_rollouts()
            await self.learn_configuration()
            self.evacuation_repair.start_if_needed()
            await self.exchange_evacuations()
            if self.settings_file is not None and self.settings_file.changed():
                self.reload(self.settings_file)

    def reload(self, file: settings.SettingsFile) -> None:
        """Read the settings file and apply it; log and ignore invalid settings."""
        try:
            fresh = settings.load(file.path)
        except codes.Failure as failure:
            self.log.error("settings-refused", why=str(failure))
            self.meters.settings_refused.set(1)
            return
        for name in fresh.__struct_fields__:
            setattr(self.config, name, getattr(fresh, name))
        self.dispatcher.apply_settings()
        self.membership.reload()
        self.exit.gate.apply_change()
        self.meters.settings_refused.set(0)
        self.log.info("settings-reloaded", service=fresh.service, store=fresh.store)

    def request_count(self) -> int:
        """Return the number of requests in progress."""
        return self.entry.active + self.exit.request_count()

    def is_idle(self) -> bool:
        """Return whether nothing is in progress that a close would cut.

        That is a connection on which a request or its answer is on the way, work at
        the upstream whose caller has gone, or a write of a claim.
        """
        return not (
            self.ports.busy_connections()
            or self.exit.request_count()
            or self.claims.tasks
        )

    async def stop(self) -> None:
        """Shut down gracefully: publish it, complete the requests, then close.

        Requests are served at least until the platform has seen that the node is not
        ready, and at most until the grace period is nearly over.
        """
        began = asyncio.get_running_loop().time()
        end = began + self.config.drain.grace
        last = end - SHUTDOWN_RESERVE
        self.log.info("node-stopping", requests=self.request_count())
        self.shutdown.begin(last)
        self.membership.publish()
        await self.quota.stop()
        await shutdowns.sleep_until(min(began + CLOSE_CONNECTIONS_AFTER, last))
        self.shutdown.advance(shutdowns.Phase.CLOSING)
        await shutdowns.sleep_until(min(began + READINESS_WAIT, last))
        await self.wait_idle(last)
        # Nothing may run between the last look and this.
        self.shutdown.advance(shutdowns.Phase.REFUSING)
        self.log.info("node-refusing", requests=self.request_count())
        await self.ports.stop_listening()
        await asyncio.sleep(LATE_CALLS_WAIT)
        await self.wait_idle(end - CLOSE_RESERVE)
        await self.quota.give_back()
        await self.close()

    async def wait_idle(self, deadline: float) -> None:
        """Wait until nothing is in progress, at most until monotonic seconds."""
        loop = asyncio.get_running_loop()
        while not self.is_idle() and loop.time() < deadline:
            await asyncio.sleep(DRAIN_POLL_INTERVAL)

    async def close(self) -> None:
        """Close all connections and cancel all tasks."""
        self.log.info("node-stopped", requests=self.request_count())
        await self.ports.close()
        self.tasks.cancel()
        for task in self.dispatcher.poll_tasks:
            task.cancel()
        self.confirmation.stop()
        self.evacuation_repair.stop()
        self.health.close()
        self.exit.pool.close()
        self.dispatcher.peers.pool.close()
        await self.store.close()
        self.log.stop()
