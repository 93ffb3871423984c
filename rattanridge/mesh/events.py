"""Log events and metrics of a node."""

import asyncio

import prometheus_client

from rattanridge.kernel import log, sink as sinks

LATENCY_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)


class Meters:
    """Counters, gauges and histograms, in the text format of Prometheus."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.events = self.counter("events", "Events by name", "event")
        self.requests = self.counter("requests", "Answers to callers", "outcome")
        self.account_requests = self.counter(
            "account_requests", "Answers to callers by account", "account", "outcome"
        )
        self.refusals = self.counter("refusals", "Refusals by reason", "reason")
        self.retries = self.counter("retries", "Retries by reason", "reason")
        self.budget_requests = self.counter(
            "budget_requests", "Requests for a service, by sender", "service", "sender"
        )
        self.budget_repeats = self.counter(
            "budget_repeats", "Retries requested for a service", "service", "outcome"
        )
        self.store_calls = self.counter(
            "store_calls", "Calls to the store", "call", "outcome"
        )
        self.request_seconds = self.histogram(
            "request_seconds", "Seconds from a request to its answer"
        )
        self.queue_seconds = self.histogram(
            "queue_seconds", "Seconds in the queue of the local endpoint"
        )
        self.upstream_seconds = self.histogram(
            "upstream_seconds", "Seconds until the local endpoint answered"
        )
        self.slots_left = self.counter(
            "slots_left",
            "Requests that waited beside a slot that is kept for more urgent ones",
        )
        self.upstream_requests = self.counter(
            "upstream_requests", "Requests sent to the local endpoint"
        )
        self.upstream_limit = self.gauge(
            "upstream_limit",
            "Requests per second that the local endpoint takes; +Inf if it names none",
        )
        self.upstream_cold = self.gauge(
            "upstream_cold", "1 while the local endpoint is bounded as a cold one"
        )
        self.zone_evacuated = self.gauge(
            "zone_evacuated", "1 while a zone is evacuated", "zone"
        )
        self.version = self.gauge(
            "configuration_version", "Version of the configuration in force"
        )
        self.unknown_kinds = self.gauge(
            "unknown_route_kinds",
            "Kinds of routes in the configuration that this program does not know",
        )
        self.settings_refused = self.gauge(
            "settings_refused",
            "1 while the settings file has changed and cannot be used",
        )
        self.refused_version = self.gauge(
            "configuration_refused_version",
            "Version that the store holds and that cannot be used; 0 if there is none, "
            "or if its number cannot be read",
        )
        self.refused_since = self.gauge(
            "configuration_refused_since_seconds",
            "Unix time since when the version that the store holds cannot be used; 0 "
            "if it can",
        )
        self.unused_values = self.gauge(
            "configuration_unused_values",
            "Values of the configuration in force that cannot be used, and count as "
            "left out",
        )
        self.running = self.gauge("running", "Requests running at the local endpoint")
        self.waiting = self.gauge(
            "waiting", "Requests in the queue of the local endpoint"
        )
        self.rollout_share = self.gauge(
            "rollout_share",
            "Share of the requests that the new version gets",
            "service",
        )
        self.version_choices = self.counter(
            "version_choices",
            "Choices of a version that no share decided, by reason",
            "service",
            "reason",
        )
        self.budget_nodes = self.gauge(
            "budget_nodes", "Nodes that share the fixed allowance of the retry budget"
        )
        self.data_age = self.gauge(
            "belief_age_seconds",
            "Seconds since the last update, by kind of data",
            "kind",
        )

    def counter(self, name: str, text: str, *labels: str) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            f"rattanridge_{name}", text, labels, registry=self.registry
        )

    def gauge(self, name: str, text: str, *labels: str) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            f"rattanridge_{name}", text, labels, registry=self.registry
        )

    def histogram(self, name: str, text: str) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            f"rattanridge_{name}",
            text,
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )

    def add(self, name: str) -> None:
        """Increment the counter of an event."""
        self.events.labels(name).inc()

    def record_store_call(self, call: str, outcome: str) -> None:
        """Count a call to the store by its outcome."""
        self.store_calls.labels(call, outcome).inc()

    def record_account_request(self, account: str, answered: bool) -> None:
        """Count an answer to a caller by its account.

        There are only two outcomes, as each series of each account takes memory.
        """
        outcome = "answered" if answered else "refused-or-failed"
        self.account_requests.labels(account, outcome).inc()

    def values(self) -> dict[str, float]:
        """Return all counters that are not zero, by name and labels."""
        found: dict[str, float] = {}
        for family in self.registry.collect():
            for sample in family.samples:
                if sample.name.endswith("_total") and sample.value:
                    labels = ",".join(sample.labels.values())
                    found[f"{sample.name.removesuffix('_total')}{{{labels}}}"] = (
                        sample.value
                    )
        return found

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return prometheus_client.generate_latest(self.registry)


class Events(log.Log):
    """Logs one line for each decision, limited in rate.

    :param rate: lines per second for each kind of event.
    :param sink: receives the lines; None in tests.
    """

    def __init__(self, node: str, rate: float, sink: sinks.Sink | None = None):
        super().__init__("mesh", node)
        self.sink = sink
        self.gate = sinks.RateLimiter(rate)
        self.task: asyncio.Task | None = None
        # Set while there are lines to flush or to report as suppressed.
        self.pending = asyncio.Event()
        if sink is not None:
            sink.on_line = self.pending.set

    def note(self, event: str, **fields: object) -> None:
        """Log an event that may be frequent; beyond the rate it is only counted."""
        if self.gate.allow(event, asyncio.get_running_loop().time()):
            self.info(event, **fields)
        else:
            self.pending.set()

    def start(self) -> None:
        """Start to flush the lines."""
        self.task = asyncio.create_task(self.run())

    async def run(self) -> None:
        """Flush the lines and log the numbers of suppressed ones, until cancelled.

        Waits while there are none, as each wake-up costs CPU time.
        """
        loop = asyncio.get_running_loop()
        reported = loop.time()
        while True:
            if not self.has_pending():
                self.pending.clear()
                await self.pending.wait()
            await asyncio.sleep(sinks.FLUSH_INTERVAL)
            if loop.time() - reported > sinks.REPORT_INTERVAL:
                reported = loop.time()
                self.report()
            if self.sink is not None:
                self.sink.flush()

    def has_pending(self) -> bool:
        """Return whether there are lines to flush, or lost ones to report."""
        if self.gate.suppressed:
            return True
        return self.sink is not None and bool(self.sink.lines or self.sink.dropped)

    def report(self) -> None:
        """Log how many lines of each kind were suppressed, and how many were lost.

        Lines are lost if nobody reads the output.
        """
        for event, count in self.gate.suppressed.items():
            self.info("lines-held-back", kind=event, count=count)
        self.gate.suppressed.clear()
        if self.sink is not None and self.sink.dropped:
            self.info("lines-dropped", count=self.sink.dropped)
            self.sink.dropped = 0

    def stop(self) -> None:
        """Stop flushing and write the remaining lines."""
        if self.task is not None:
            self.task.cancel()
        self.report()
        if self.sink is not None:
            self.sink.flush()
