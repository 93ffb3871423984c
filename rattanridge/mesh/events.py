"""Lines and figures on what a node decides and comes to believe."""

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
        self.refusals = self.counter("refusals", "Refusals by reason", "reason")
        self.retries = self.counter("retries", "Repeats by reason", "reason")
        self.budget_requests = self.counter(
            "budget_requests", "Requests for a service, by sender", "service", "sender"
        )
        self.budget_repeats = self.counter(
            "budget_repeats", "Repeats asked for at a service", "service", "outcome"
        )
        self.store_calls = self.counter(
            "store_calls", "Calls to the store", "call", "outcome"
        )
        self.request_seconds = self.histogram(
            "request_seconds", "Time from a request to its answer"
        )
        self.queue_seconds = self.histogram(
            "queue_seconds", "Time in the queue of the endpoint beside"
        )
        self.upstream_seconds = self.histogram(
            "upstream_seconds", "Time that the endpoint beside took"
        )
        self.version = self.gauge("configuration_version", "Version in force")
        self.running = self.gauge("running", "Requests at the endpoint beside")
        self.waiting = self.gauge("waiting", "Requests in the queue")
        self.share = self.gauge(
            "rollout_share", "Part of requests for the new version", "service"
        )
        self.budget_nodes = self.gauge(
            "budget_nodes", "Nodes that share the fixed part of the retry budget"
        )
        self.data_age = self.gauge(
            "belief_age_seconds", "Age of what is believed", "kind"
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
        """Count an event by its name."""
        self.events.labels(name).inc()

    def observe_store(self, call: str, outcome: str) -> None:
        """Count a call to the store."""
        self.store_calls.labels(call, outcome).inc()

    def values(self) -> dict[str, float]:
        """Return all counters that counted anything, by name and labels."""
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
        """Return all figures as text."""
        return prometheus_client.generate_latest(self.registry)


class Events(log.Log):
    """Writes one line for each decision, as far as the rate allows.

    :param sink: takes the lines; None in tests.
    :param rate: lines a second for each kind of event.
    """

    def __init__(self, node: str, rate: float, sink: sinks.Sink | None = None):
        super().__init__("mesh", node)
        self.sink = sink
        self.gate = sinks.RateLimiter(rate)
        self.task: asyncio.Task | None = None

    def note(self, event: str, **fields: object) -> None:
        """Write an event that may come often; beyond the rate it is counted only."""
        if self.gate.allow(event, asyncio.get_running_loop().time()):
            self.info(event, **fields)

    def start(self) -> None:
        """Begin to write lines out."""
        self.task = asyncio.create_task(self.run())

    async def run(self) -> None:
        """Write out now and then, and tell what was held back."""
        loop = asyncio.get_running_loop()
        reported = loop.time()
        while True:
            await asyncio.sleep(sinks.FLUSH_INTERVAL)
            if loop.time() - reported > sinks.REPORT_INTERVAL:
                reported = loop.time()
                self.report()
            if self.sink is not None:
                self.sink.flush()

    def report(self) -> None:
        """Tell how many lines of each kind were held back, and how many were lost
        because nobody read them."""
        for event, count in self.gate.suppressed.items():
            self.info("lines-held-back", kind=event, count=count)
        self.gate.suppressed.clear()
        if self.sink is not None and self.sink.dropped:
            self.info("lines-dropped", count=self.sink.dropped)
            self.sink.dropped = 0

    def stop(self) -> None:
        """Write out what is left."""
        if self.task is not None:
            self.task.cancel()
        self.report()
        if self.sink is not None:
            self.sink.flush()
