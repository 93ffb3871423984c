"""A planned stop of a node cuts requests that it has passed on."""

import asyncio
import contextlib
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import lab

FRONTS = 6  # nodes that are stopped and started in turn, each alone in its zone
CLIENTS = 90  # for each of them
PAUSE = 5.0  # mean seconds between two requests of one client
WORK = 0.02  # seconds
LONG_WORK = 0.6  # seconds
LONG_SHARE = 0.18  # of the orders
ROLL_GAP = 1.3  # seconds from one SIGTERM to the next one, of another node
DURATION = 85.0
RESTART_DELAY = 0.5
CALM = 3.1  # seconds at least from a start to the next SIGTERM of a node


class Traffic:
    """Clients that keep connections open, and what they saw."""

    def __init__(self, record, nodes):
        self.record = record
        self.nodes = nodes
        self.random = random.Random(35)
        self.stopping = asyncio.Event()
        self.results = []  # node, moment of sending, result
        self.signals = {node.name: [] for node in nodes}

    async def run_client(self, node):
        """Send requests on a connection that is always open, until the end."""
        client = lab.Client(self.record, node.callers)
        while not self.stopping.is_set():
            await asyncio.sleep(self.random.expovariate(1.0 / PAUSE))
            sent_at = time.monotonic()
            result = await client.request("POST", "/rings/order", b"ring", 2.5)
            self.results.append((node, sent_at, result))
            with contextlib.suppress(OSError, TimeoutError):
                await client.connect()
        client.close()

    async def roll(self, node, first):
        """Stop and start a node again and again."""
        await asyncio.sleep(first)
        while not self.stopping.is_set():
            began = time.monotonic()
            self.signals[node.name].append(began)
            node.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(node.process.wait(), lab.GRACE_SECONDS)
            except TimeoutError:
                node.send_signal(signal.SIGKILL)
                await node.process.wait()
            self.record.note(
                "stopped", node=node.name, after=f"{time.monotonic() - began:.2f}"
            )
            await asyncio.sleep(RESTART_DELAY)
            await node.start()
            await node.wait_ready()
            rest = began + FRONTS * ROLL_GAP - time.monotonic()
            await asyncio.sleep(max(rest, CALM))

    def is_lost(self, node, sent_at, result, runs):
        """Return whether a planned stop cut a request that an endpoint runs."""
        if result.status or not result.sent or result.error == "time limit":
            return False
        ages = [sent_at - at for at in self.signals[node.name] if sent_at >= at]
        if not ages or ages[-1] + LONG_WORK > lab.GRACE_SECONDS * 5 / 6:
            return False
        return runs.get(result.attempt, 0) > 0


async def case(record):
    async with lab.Fleet(record) as fleet:
        drawn = random.Random(1)

        def work(request):
            return LONG_WORK if drawn.random() < LONG_SHARE else WORK

        routes = [lab.route("rings", "/rings/", "rings", "unsafe")]
        await fleet.store.put(
            "config", "main", lab.configuration(1, ["rings", "counter"], routes)
        )
        back = []
        for number in range(2):
            endpoint = lab.Endpoint(record, "rings", f"i-b{number}", work=work)
            back.append(await fleet.add(f"back-{number}", "zone-back", endpoint))
        fronts = []
        for number in range(FRONTS):
            endpoint = lab.Endpoint(record, "counter", f"i-f{number}")
            zone = f"zone-{number}"
            fronts.append(await fleet.add(f"front-{number}", zone, endpoint))
        for node in fleet.nodes:
            await node.wait_ready()
        await asyncio.sleep(3.0)
        traffic = Traffic(record, fronts)
        tasks = [
            asyncio.create_task(traffic.run_client(node))
            for node in fronts
            for _ in range(CLIENTS)
        ]
        if lab.trouble():
            tasks += [
                asyncio.create_task(traffic.roll(node, 4.0 + ROLL_GAP * number))
                for number, node in enumerate(fronts)
            ]
        await asyncio.sleep(DURATION)
        traffic.stopping.set()
        await asyncio.wait(tasks, timeout=14.0)
        runs = {}
        for node in back:
            runs |= node.endpoint.runs
    lost = [item for item in traffic.results if traffic.is_lost(*item, runs)]
    for node, sent_at, result in lost:
        age = sent_at - max(at for at in traffic.signals[node.name] if at <= sent_at)
        record.say(
            f"{result.attempt} sent {age:.2f} s after SIGTERM of {node.name}, run by "
            f"its endpoint, ended without an answer: {result.error}"
        )
    stops = sum(map(len, traffic.signals.values()))
    record.say(f"{len(traffic.results)} requests, {stops} stops, {len(lost)} lost")
    record.say("LOST: broken" if lost else "LOST: held")
    return lab.BROKEN if lost else lab.HELD


lab.run(case, pathlib.Path(__file__).parent)
