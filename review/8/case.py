"""Restarted nodes forget which request has crashed endpoints."""

import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import lab2

FOLDER = pathlib.Path(__file__).resolve().parent
NODES = 8
SERVICE = "archives"
CRASH_PATH = "/motif/poison"
WORK_MS = 360.0  # of a request of this kind, as on the users' page
CRASH_AFTER_MS = 50.0  # milliseconds into the run
RESTART_SECONDS = 2.0  # "the endpoint is back after some seconds"
REPEAT_SECONDS = 0.5  # between two sendings of the request
CONTACT_SECONDS = 3.0  # ContactMs
CALM_SECONDS = 6.0  # before the first stop
STOP_GAP_SECONDS = 1.7  # between the stops of two nodes
ROLLS = 3  # times that all nodes are stopped in turn
GRACE_SECONDS = 6.0  # GraceS
END_SECONDS = 4.0  # after the last stop
ALLOWED = 3  # retries that may reach endpoints after that


class Endpoints:
    """The endpoints' processes; one that has crashed is started again."""

    def __init__(self, lab: lab2.Lab, nodes: list[lab2.NodePlan], crash: bool):
        self.lab = lab
        self.nodes = nodes
        self.crash = crash
        self.journal = lab.folder / "runs"
        self.starts = [0] * len(nodes)
        self.back_at: dict[int, float] = {}

    def start(self, index: int) -> None:
        node = self.nodes[index]
        self.starts[index] += 1
        options = [
            *("--id", f"i-{index}-{self.starts[index]}", "--service", SERVICE),
            *("--address", node.app, "--node", node.beats, "--work", str(WORK_MS)),
            *("--journal", str(self.journal)),
        ]
        if self.crash:
            options += ["--crash-path", CRASH_PATH]
            options += ["--crash-after", str(CRASH_AFTER_MS)]
        self.lab.start_upstream(f"endpoint-{index}", *options)

    def restart_crashed(self) -> None:
        """Start an endpoint again some time after it has crashed."""
        now = time.monotonic()
        for index in range(len(self.nodes)):
            process = self.lab.processes[f"endpoint-{index}"]
            if process.poll() is None:
                continue
            back_at = self.back_at.setdefault(index, now + RESTART_SECONDS)
            if now >= back_at:
                del self.back_at[index]
                self.start(index)

    def lines(self) -> list[list[str]]:
        if not self.journal.exists():
            return []
        return [line.split() for line in self.journal.read_text().splitlines()]


class Roll:
    """The platform's planned stops: each node in turn, and its start after that."""

    def __init__(self, record: lab2.Record, lab: lab2.Lab, nodes: list[lab2.NodePlan]):
        self.record = record
        self.lab = lab
        self.nodes = nodes
        self.next_at = float("inf")
        self.left = [node for _ in range(ROLLS) for node in nodes]
        self.stopped_at: dict[str, float] = {}
        # Wall-clock seconds at which a node was stopping or was started.
        self.disturbed_at: dict[str, list[float]] = {node.name: [] for node in nodes}

    def begin(self) -> None:
        """Begin with the stops."""
        self.next_at = time.monotonic()

    def step(self) -> None:
        """Stop the next node if it is time; start those that have ended."""
        now = time.monotonic()
        if self.left and now >= self.next_at:
            self.next_at += STOP_GAP_SECONDS
            name = self.left.pop(0).name
            self.stopped_at[name] = now
            self.lab.signal(name, signal.SIGTERM)
        for node in self.nodes:
            stopped_at = self.stopped_at.get(node.name)
            if stopped_at is None:
                continue
            self.disturbed_at[node.name].append(time.time())
            process = self.lab.processes[node.name]
            if now > stopped_at + GRACE_SECONDS:
                process.kill()
            if process.poll() is not None:
                del self.stopped_at[node.name]
                self.lab.start_node(node)

    def calm_nodes(self) -> list[lab2.NodePlan]:
        """Return the nodes that are in touch, and for some time yet."""
        now = time.time()
        return [node for node in self.nodes if self.in_touch(node.name, now - 1.0)]

    def in_touch(self, name: str, at: float) -> bool:
        """Return whether a node was in touch at a moment, and in the second after it.

        The second is more than a run of the request takes.
        """
        begin, end = at - CONTACT_SECONDS, at + 1.0
        return not any(begin <= moment <= end for moment in self.disturbed_at[name])


def send(
    record: lab2.Record, node: lab2.NodePlan, attempt: str, sent: dict[str, float]
) -> None:
    """Send the request once; note the answer."""
    fields = {"Host": "host.example", "Attempt-Id": attempt, "Deadline-Ms": "6000"}
    sent[attempt] = time.time()
    record.write(f"sent {attempt} to {node.name}")
    status, answer, _ = lab2.http(node.callers, "GET", CRASH_PATH, fields, timeout=8.0)
    code = answer.get("Rattanridge-Code", "-")
    record.note(f"{attempt} at {node.name}: status {status}, code {code}")


def judge(
    record: lab2.Record, endpoints: Endpoints, roll: Roll, sent: dict[str, float]
) -> int:
    """Apply the rule to what the clients and the endpoints have seen.

    A retry counts if the machine that took it and that of the endpoint were in touch.
    """
    lines = endpoints.lines()
    crashes = sorted(float(line[0]) for line in lines if line[2] == "crash")
    record.note(f"{len(sent)} sent, {len(crashes)} crashes")
    if len(crashes) < 3:
        return lab2.HELD
    since = crashes[2] + CONTACT_SECONDS
    reached = set()
    for at, endpoint, what, *rest in lines:
        index = int(endpoint.split("-")[1])
        touched = roll.in_touch(endpoints.nodes[index].name, float(at))
        if what == "run" and sent[rest[0]] > since and touched:
            reached.add(rest[0])
    record.note(f"{len(reached)} retries reached endpoints later than ContactMs after")
    return lab2.BROKEN if len(reached) > ALLOWED else lab2.HELD


def run(record: lab2.Record, lab: lab2.Lab) -> int:
    """Send the request again and again, while nodes are stopped in turn."""
    store = lab.start_store()
    routes = [lab2.route("motif", SERVICE, "safe", TimeoutMs=6000)]
    lab2.create(store, "config", "main", lab2.configuration(1, routes))
    nodes = [
        lab2.NodePlan(f"node-{index}", SERVICE, store, f"zone-{'abcd'[index % 4]}")
        for index in range(NODES)
    ]
    endpoints = Endpoints(lab, nodes, crash=True)
    for index, node in enumerate(nodes):
        lab.start_node(node)
        lab2.wait_for_port(node.beats)
        endpoints.start(index)
    for node in nodes:
        lab2.wait_ready(node)
    time.sleep(4.0)
    roll = Roll(record, lab, nodes)
    sent: dict[str, float] = {}
    threads = []
    begun = False
    began = next_at = time.monotonic()
    rolling = CALM_SECONDS + NODES * ROLLS * STOP_GAP_SECONDS
    while time.monotonic() < began + rolling + END_SECONDS:
        if lab2.trouble() and not begun and time.monotonic() > began + CALM_SECONDS:
            begun = True
            roll.begin()
        roll.step()
        endpoints.restart_crashed()
        calm = roll.calm_nodes()
        if time.monotonic() >= next_at and calm:
            next_at += REPEAT_SECONDS
            number = len(threads)
            node = calm[number % len(calm)]
            arguments = (record, node, f"poison{number}", sent)
            threads.append(threading.Thread(target=send, args=arguments))
            threads[-1].start()
        time.sleep(0.05)
    for thread in threads:
        thread.join()
    record.write_runs(endpoints.journal)
    return judge(record, endpoints, roll, sent)


if __name__ == "__main__":
    sys.exit(lab2.main(FOLDER, run))
