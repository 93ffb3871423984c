"""Reports of evidence: a node's to its relay, a relay's pool to its peers.

Reports are cumulative for a session with one sink. A new session leaves out
what was told before: a report lost with a relay loses a second of evidence,
and nothing counts twice.
"""

import asyncio
import weakref

from rattanridge.control import (
    collector as collectors,
    member as members,
    messages,
    pool as pools,
    relay as relays,
    subscriber as subscribers,
)
from rattanridge.kernel import clock, settings


class Reporter:
    """Reports a node's counts to its relay, and a relay's pool to its peers.

    :param member: the node's control path, with its subscriptions.
    :param collector: the node's own counts.
    :param pool: the node's pool, in use while it is a relay.
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        member: members.Member,
        collector: collectors.Collector,
        pool: pools.Pool,
        time: clock.Clock | None = None,
    ):
        self.config = config
        self.collector = collector
        self.pool = pool
        self.time = time or clock.Clock()
        self.origin = f"{config.name}/{member.incarnation}"
        self.subscriptions: weakref.WeakSet[subscribers.Subscriber] = weakref.WeakSet()
        self.sink: object = None
        self.session = 0
        self.task: asyncio.Task | None = None
        member.on_subscribe.append(self.attach)
        member.relay.handlers[messages.Evidence] = self.take

    def start(self) -> None:
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    def take(self, sender: relays.Member, message: messages.Evidence) -> None:
        """Take a report of a subscriber."""
        self.pool.take(message, direct=not sender.hello.relay)

    def attach(self, subscription: subscribers.Subscriber) -> None:
        """Take a new subscription to a relay."""
        self.subscriptions.add(subscription)

    async def run(self) -> None:
        while True:
            await self.time.sleep(self.config.control.report_interval)
            self.step()

    def step(self) -> None:
        """Judge and report once."""
        self.collector.judge()
        live = [item for item in self.subscriptions if item.relay]
        if self.pool.active:
            self.turn_to(self.pool)
            for report in self.collector.reports(self.name()):
                self.pool.take(report, direct=True)
            self.pool.judge()
            self.send(
                [item for item in live if item.is_relay],
                self.pool.summaries(f"{self.origin}/pool"),
            )
            return
        own = next((item for item in live if not item.is_relay), None)
        if own is not None:
            self.turn_to(own)
            self.send([own], self.collector.reports(self.name()))

    def turn_to(self, sink: object) -> None:
        """Begin a session with a new sink."""
        if sink is not self.sink:
            self.sink = sink
            self.session += 1
            self.collector.begin_session()

    def name(self) -> str:
        return f"{self.origin}/{self.session}"

    def send(
        self, targets: list[subscribers.Subscriber], reports: list[messages.Evidence]
    ) -> None:
        for target in targets:
            for report in reports:
                if report.items or report.braked:
                    target.outbox.put(report)
