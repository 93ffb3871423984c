"""A restarted node forgets a leaving that its process before had acknowledged."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import lab

SILENCE = 2.0  # seconds for which the store is silent
LEAVE_AFTER = 0.2  # seconds from its begin until the endpoint says farewell
KILL_AFTER = 0.3  # seconds from the acknowledgement until the node is killed
RESTART_DELAY = 0.5  # seconds
LATE_AFTER = 2.5  # seconds from the acknowledgement until the late heartbeat comes
STAY = 12.0  # seconds from the acknowledgement for which the endpoint serves on
DRAIN = 2.0  # seconds, DrainMs
CONTACT = 3.0  # seconds, ContactMs
PAUSE = 0.5  # seconds between two requests of a client


async def send_requests(record, node, until):
    """Send requests by way of a node until a moment."""
    client = lab.Client(record, node.callers)
    while time.monotonic() < until:
        await client.request("GET", "/rings/x", deadline=2.0)
        await asyncio.sleep(PAUSE)
    client.close()


class Leaver(lab.Endpoint):
    """An endpoint that says farewell first and serves on; it notes its arrivals."""

    def __init__(self, record, service, name):
        super().__init__(record, service, name)
        self.arrivals = []

    async def serve(self, request):
        if request.path != "/healthz":
            self.arrivals.append(time.monotonic())
        return await super().serve(request)

    async def leave(self):
        """Say farewell; return the moment of the ack, and a heartbeat sent before."""
        late = self.heartbeat()
        self.task.cancel()
        self.state = "draining"
        status = await self.send_heartbeat({"born": self.born}, "DELETE")
        acked_at = time.monotonic()
        self.record.note("farewell", at=self.name, status=status)
        if status != 200:
            raise OSError(f"the farewell was answered {status}")
        return acked_at, late


async def disturb(fleet, node):
    """Kill the node and start it again."""
    await asyncio.sleep(KILL_AFTER)
    node.send_signal(signal.SIGKILL)
    await node.process.wait()
    await asyncio.sleep(RESTART_DELAY)
    await node.start()
    return time.monotonic()


async def end_silence(store, began):
    """End the store's silence; return the moment."""
    await asyncio.sleep(began + SILENCE - time.monotonic())
    store.silent = False
    store.record.note("silence", begins=False)
    return time.monotonic()


async def case(record):
    async with lab.Fleet(record) as fleet:
        routes = [lab.route("rings", "/rings/", "rings")]
        await fleet.store.put(
            "config", "main", lab.configuration(1, ["rings", "front"], routes)
        )
        leaver = Leaver(record, "rings", "i-leaver")
        stayer = lab.Endpoint(record, "rings", "i-stayer")
        node = await fleet.add("node-0", "zone-a", leaver)
        await fleet.add("node-1", "zone-b", stayer)
        front = lab.Endpoint(record, "front", "i-front")
        await fleet.add("node-2", "zone-a", front)
        for item in fleet.nodes:
            await item.wait_ready()
        await asyncio.sleep(4.0)
        until = time.monotonic() + STAY + 4.0
        traffic = [
            asyncio.create_task(send_requests(record, item, until))
            for item in fleet.nodes
        ]
        await asyncio.sleep(1.0)
        began = time.monotonic()
        in_touch_from = began
        if lab.trouble():
            fleet.store.silent = True
            record.note("silence", begins=True)
        await asyncio.sleep(LEAVE_AFTER)
        acked_at, late = await leaver.leave()
        if lab.trouble():
            back, heard = await asyncio.gather(
                disturb(fleet, node), end_silence(fleet.store, began)
            )
            in_touch_from = max(back, heard) + CONTACT
        await asyncio.sleep(acked_at + LATE_AFTER - time.monotonic())
        status = await leaver.send_heartbeat(late)
        record.note("late-heartbeat", sequence=late["Sequence"], status=status)
        await asyncio.sleep(acked_at + STAY - time.monotonic())
        await leaver.runner.cleanup()
        record.note("endpoint-ended", at=leaver.name)
        await asyncio.wait(traffic)
    bound = max(acked_at + DRAIN, in_touch_from)
    late_arrivals = [at for at in leaver.arrivals if at > bound]
    record.say(
        f"{len(leaver.arrivals)} requests reached the leaving endpoint, "
        f"{len(late_arrivals)} of them later than {DRAIN:.0f} s after the ack, by "
        f"nodes in touch ({bound - acked_at:.1f} s after the ack and later)"
    )
    record.say("DRAIN: broken" if late_arrivals else "DRAIN: held")
    return lab.BROKEN if late_arrivals else lab.HELD


lab.run(case, pathlib.Path(__file__).parent)
