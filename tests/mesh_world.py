"""A mesh for tests: nodes, a stand-in store and stand-in upstreams in one process."""

import asyncio
import contextlib

import aiohttp
import msgspec
import yarl

from rattanridge.mesh import calls
from rattanridge.platform import config_wire, configs, headers, orders
from rattanridge.standin import fleet, upstream as upstreams
from rattanridge.web import streams

HOST = "shop.example"


def route(name, prefix, service, kind="safe", **more):
    return config_wire.WireRoute(
        name, prefix, kind, timeout_ms=2000, target_ms=500, service=service, **more
    )


def configuration(version, *paths, services=("registry", "workshop"), accounts=()):
    wire = config_wire.WireConfiguration(
        f"{version:08x}",
        [config_wire.WireHost(HOST, list(paths))],
        [config_wire.WireService(name) for name in services],
    )
    if accounts:
        wire.accounts = list(accounts)
    return msgspec.json.encode(wire)


DEFAULT_ROUTES = (
    route("lookup", "/lookup/", "registry", attempts=2),
    route("order", "/order/", "workshop", "unsafe"),
)


def inject_fault(upstream, fault):
    """Inject a fault into an upstream."""
    if fault == "fail":
        upstream.faults.error_rate = 1.0
    else:
        setattr(upstream.faults, fault, True)


def make_call(world, attempt="1", is_retry=False, seconds=2.0):
    """Return a call as an entry creates it.

    :param seconds: time until the call's deadline.
    """
    now = asyncio.get_running_loop().time()
    return calls.Call(
        attempt=attempt,
        method="GET",
        path="/lookup/1",
        headers=[("Host", HOST), (headers.ATTEMPT, attempt)],
        body=b"",
        service="registry",
        route="lookup",
        idempotent=True,
        rank=0,
        nested=False,
        timely_until=now + seconds,
        deadline=now + seconds,
        caller="workshop",
        is_retry=is_retry,
    )


def exhaust_retry_budget(world, node=0):
    """Spend all retries that the budget of a node allows."""
    while world.nodes[node].dispatcher.try_spend_retry(make_call(world)):
        pass


def finished_runs(upstream):
    """Return the requests that an upstream finished."""
    return [run for run in upstream.runs if run.finished]


class World:
    """Starts and stops all parts; upstreams send heartbeats only when a test asks."""

    def __init__(self):
        self.fleet = fleet.Fleet()
        self.store = self.fleet.store
        self.wait = self.fleet.wait
        self.session = None
        self.connections = contextlib.AsyncExitStack()
        self.requests_sent = 0

    @property
    def nodes(self):
        return [host.node for host in self.fleet.hosts.values()]

    @property
    def upstreams(self):
        return [host.upstream for host in self.fleet.hosts.values()]

    async def open(self):
        """Start the store and the client session."""
        await self.store.start()
        self.session = aiohttp.ClientSession()

    async def start(
        self, *services, zones=("a", "b"), paths=DEFAULT_ROUTES, slots=4, **more
    ):
        await self.open()
        await self.configure(1, *paths)
        for index, service in enumerate(services):
            await self.add(service, zones[index % len(zones)], slots, **more)
        await self.wait_for_endpoints()

    async def add(self, service, zone="a", slots=4, version="v1", **more):
        shape = upstreams.Shape(service, version, slots, work=0.01)
        name = f"node-{len(self.fleet.hosts)}"
        host = await self.fleet.add(name, zone, shape, renew=False, **more)
        await self.wait(host.node.ready)
        return host.node

    async def wait_for_endpoints(self):
        """Wait until all nodes have the endpoints of all other nodes."""
        await self.fleet.wait_endpoints()

    def end_startup_period(self):
        """End the periods in which nodes are careful after a start.

        All nodes then count as running, and in contact with each other, for long.
        """
        for node in self.nodes:
            node.membership.budget_nodes.listed_since = float("-inf")
            node.exit.parents.started_at = float("-inf")

    async def configure(self, version, *paths, accounts=()):
        data = configuration(version, *paths, accounts=accounts)
        await self.store.put(configs.KIND, configs.NAME, data)

    async def apply(self, version, *paths, accounts=()):
        """Put a version in force at all nodes."""
        await self.configure(version, *paths, accounts=accounts)
        await self.fleet.wait_applied(version)

    async def order(self, service, version, seconds):
        order = orders.Order(service, version, seconds)
        await self.store.put(orders.KIND, service, orders.encode_order(order))

    async def call(
        self,
        path,
        method="GET",
        node=0,
        deadline=2000,
        body=b"",
        host=HOST,
        **more_headers,
    ):
        """Send a request as a caller; return status, headers and body.

        :param deadline: milliseconds.
        :param more_headers: further headers.
        """
        self.requests_sent += 1
        sent = {
            "Host": host,
            headers.ATTEMPT: f"{self.requests_sent:08x}",
            headers.DEADLINE: str(deadline),
            **more_headers,
        }
        address = self.nodes[node].config.listen.callers
        url = yarl.URL(f"http://{address}{path}", encoded=True)
        async with self.session.request(
            method, url, headers=sent, data=body or None
        ) as answer:
            return answer.status, answer.headers, await answer.read()

    async def failure_code(self, attempt, path="/lookup/1", node=0):
        """Send a request with an attempt id; return its failure code or None."""
        address = self.nodes[node].config.listen.callers
        sent = {"Host": HOST, headers.ATTEMPT: attempt}
        async with self.session.get(f"http://{address}{path}", headers=sent) as answer:
            await answer.read()
            return answer.headers.get("Rattanridge-Code")

    async def connect(self, node=0):
        """Open a caller's connection to a node; return its reader and writer."""
        address = self.nodes[node].config.listen.callers
        return await self.connections.enter_async_context(streams.connect(address))

    async def stop(self):
        await self.connections.aclose()
        await self.fleet.stop()
        if self.session is not None:
            await self.session.close()
