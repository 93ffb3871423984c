"""A request crashes each endpoint some 0.4 s after it began to run it."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import lab2

FOLDER = pathlib.Path(__file__).resolve().parent
NODES = 4
SERVICE = "archives"
CRASH_PATH = "/motif/poison"
WORK_MS = 360.0  # of a request of this kind, as on the users' page
CRASH_AFTER_MS = 350.0  # milliseconds into the run
RESTART_SECONDS = 2.0  # "the endpoint is back after some seconds"
REPEAT_SECONDS = 1.0  # between two sendings of the request
CONTACT_SECONDS = 3.0  # ContactMs
LENGTH_SECONDS = 60.0
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


def send(
    record: lab2.Record, node: lab2.NodePlan, attempt: str, sent: dict[str, float]
) -> None:
    """Send the request once; note the answer."""
    fields = {"Host": "host.example", "Attempt-Id": attempt, "Deadline-Ms": "6000"}
    sent[attempt] = time.time()
    status, answer, _ = lab2.http(node.callers, "GET", CRASH_PATH, fields, timeout=8.0)
    code = answer.get("Rattanridge-Code", "-")
    record.note(f"{attempt} at {node.name}: status {status}, code {code}")


def judge(record: lab2.Record, endpoints: Endpoints, sent: dict[str, float]) -> int:
    """Apply the rule to what the clients and the endpoints have seen."""
    crashes = sorted(float(line[0]) for line in endpoints.lines() if line[2] == "crash")
    ran = {line[3] for line in endpoints.lines() if line[2] == "run"}
    record.note(f"{len(sent)} sent, {len(crashes)} crashes")
    if len(crashes) < 3:
        return lab2.HELD
    since = crashes[2] + CONTACT_SECONDS
    late = [attempt for attempt, at in sent.items() if at > since and attempt in ran]
    record.note(f"{len(late)} retries reached endpoints later than ContactMs after it")
    return lab2.BROKEN if len(late) > ALLOWED else lab2.HELD


def run(record: lab2.Record, lab: lab2.Lab) -> int:
    store = lab.start_store()
    routes = [lab2.route("motif", SERVICE, "safe", TimeoutMs=6000)]
    lab2.create(store, "config", "main", lab2.configuration(1, routes))
    nodes = [
        lab2.NodePlan(f"node-{index}", SERVICE, store, f"zone-{'abcd'[index]}")
        for index in range(NODES)
    ]
    endpoints = Endpoints(lab, nodes, lab2.trouble())
    for index, node in enumerate(nodes):
        lab.start_node(node)
        lab2.wait_for_port(node.beats)
        endpoints.start(index)
    for node in nodes:
        lab2.wait_ready(node)
    time.sleep(4.0)
    sent: dict[str, float] = {}
    threads = []
    end = time.monotonic() + LENGTH_SECONDS
    next_at = time.monotonic()
    while time.monotonic() < end:
        endpoints.restart_crashed()
        if time.monotonic() >= next_at:
            next_at += REPEAT_SECONDS
            number = len(threads)
            node = nodes[number % NODES]
            arguments = (record, node, f"poison{number}", sent)
            threads.append(threading.Thread(target=send, args=arguments))
            threads[-1].start()
        time.sleep(0.05)
    for thread in threads:
        thread.join()
    for line in endpoints.lines():
        record.note("endpoint: " + " ".join(line))
    return judge(record, endpoints, sent)


if __name__ == "__main__":
    sys.exit(lab2.main(FOLDER, run))
