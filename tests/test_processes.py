"""The steps of the README, run by real processes as an operator starts them."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

import pytest

from rattanridge.kernel import codes
from rattanridge.web import headers

ROOT = pathlib.Path(__file__).parent.parent
TIMEOUT = 60.0  # seconds after which a command or condition counts as hanging
POLL_INTERVAL = 0.05  # seconds
# Ports in the settings of the example: store, node, upstream and metrics.
EXAMPLE_PORTS = ("7400", "7401", "7402", "7403", "7404", "7405", "7406", "9464")
TOKEN = "change-this-operator-token"


def free_ports(count):
    """Return TCP ports of the loopback address that are free at the moment."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


class System:
    """Processes of one store, one node and its upstream.

    :param directory: directory to which settings and logs are written.
    """

    def __init__(self, directory):
        self.directory = directory
        ports = map(str, free_ports(len(EXAMPLE_PORTS)))
        self.ports = dict(zip(EXAMPLE_PORTS, ports, strict=True))
        self.started = {}
        self.environment = os.environ | {
            "PYTHONPATH": str(ROOT),
            "RATTANRIDGE_ADMIN": f"http://{self.address('7404')}",
            "RATTANRIDGE_TOKEN": TOKEN,
        }

    def address(self, port):
        """Return this system's address for a port of the example."""
        return f"127.0.0.1:{self.ports[port]}"

    def write_settings(self):
        """Write the example's settings with this system's ports; return the path."""
        text = (ROOT / "examples/node.yaml").read_text()
        for port, own in self.ports.items():
            text = text.replace(f":{port}\n", f":{own}\n")
        path = self.directory / "node.yaml"
        path.write_text(text)
        return str(path)

    def start(self, name, *arguments):
        """Start a command as a process; its output goes to ``name.log``."""
        log = (self.directory / f"{name}.log").open("wb")
        self.started[name] = subprocess.Popen(
            [sys.executable, "-m", "rattanridge", *arguments],
            env=self.environment,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()

    def start_all(self):
        self.start("platform", "standin", "platform", "--address", self.address("7400"))
        self.start("node", "node", "-c", self.write_settings())
        ready = f"http://{self.address('7403')}"
        self.wait("the node", lambda: self.status(ready) is not None)
        self.start(
            "upstream", "standin", "upstream", "--service", "workshop",
            "--address", self.address("7406"), "--node", self.address("7405"),
        )  # fmt: skip

    def run(self, *arguments):
        """Run one command; return its exit status, and its output with the errors."""
        completed = subprocess.run(
            [sys.executable, "-m", "rattanridge", *arguments],
            env=self.environment,
            capture_output=True,
            text=True,
            timeout=TIMEOUT,
        )
        return completed.returncode, completed.stdout + completed.stderr

    def status(self, url, data=None):
        """Send a request; return status and headers, or None without a response."""
        request = urllib.request.Request(url, data)
        try:
            with urllib.request.urlopen(request, timeout=TIMEOUT) as response:
                return response.status, response.headers
        except urllib.error.HTTPError as error:
            return error.code, error.headers
        except OSError:
            return None

    def wait(self, what, condition):
        """Poll until a condition holds; fail with all logs after ``TIMEOUT``."""
        end = time.monotonic() + TIMEOUT
        while not condition():
            if time.monotonic() > end:
                pytest.fail(f"{what}: not within {TIMEOUT} s\n{self.logs()}")
            time.sleep(POLL_INTERVAL)

    def logs(self):
        paths = sorted(self.directory.glob("*.log"))
        return "\n".join(f"== {path.name}\n{path.read_text()}" for path in paths)

    def end(self, name):
        """Send SIGTERM to a process; return its exit status."""
        process = self.started[name]
        process.send_signal(signal.SIGTERM)
        return process.wait(TIMEOUT)

    def kill_all(self):
        for process in self.started.values():
            if process.poll() is None:
                process.kill()
                process.wait()


@pytest.fixture
def system(tmp_path):
    running = System(tmp_path)
    try:
        yield running
    finally:
        running.kill_all()


class TestEarlyReload:
    def test_reload_during_the_start_does_not_end_the_node(self):
        """Guards against: SIGHUP ends a node that has not loaded its modules yet."""
        source = """
import os, runpy, signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "rattanridge.kernel":
            os.kill(os.getpid(), signal.SIGHUP)
            print("reloaded", flush=True)

sys.meta_path.insert(0, Finder())
runpy.run_module("rattanridge.daemon", run_name="__main__")
"""
        completed = subprocess.run(
            [sys.executable, "-c", source],
            env=os.environ | {"PYTHONPATH": str(ROOT), "RATTANRIDGE_BOOT": "/nowhere"},
            capture_output=True,
            text=True,
            timeout=TIMEOUT,
            check=False,
        )
        assert "reloaded" in completed.stdout
        assert completed.returncode > 0, "the process was ended by the signal"
        assert "/nowhere" in completed.stderr


class TestReadme:
    def test_steps(self, system):
        system.start_all()
        callers = f"http://{system.address('7401')}"

        answer = system.status(f"{callers}/workshop/ring-7")
        assert answer[0] == codes.NOT_READY.status
        assert answer[1][headers.RAN] == codes.Execution.NOT_RUN

        preset = str(ROOT / "examples/ordinary.yaml")
        status, output = system.run("preset", "put", preset)
        assert (status, output) == (0, "preset ordinary revision 1\n"), output
        status, output = system.run("preset", "use", "ordinary", "--wait")
        assert status == 0, output
        assert output.startswith("generation 1: preset ordinary revision 1\n")

        self.check_calls(system, callers)
        self.check_operator_commands(system)

        assert system.end("upstream") == 0, system.logs()
        assert system.end("node") == 0, system.logs()
        assert system.end("platform") == 0, system.logs()
        log = (system.directory / "node.log").read_text()
        assert TOKEN not in log
        assert all(line.startswith("time=") for line in log.splitlines()), log

    def check_calls(self, system, callers):
        """Check that a GET and a POST are answered, and an unknown path refused."""
        read = f"{callers}/workshop/ring-7"
        system.wait("an endpoint", lambda: system.status(read)[0] == 200)
        status, response_headers = system.status(f"{callers}/workshop/rings", b"gold")
        assert status == 200
        assert response_headers[headers.RAN] == codes.Execution.RAN
        status, response_headers = system.status(f"{callers}/elsewhere")
        assert status == 404
        assert response_headers[headers.CODE] == str(codes.NO_ROUTE.number)
        assert response_headers[headers.RAN] == codes.Execution.NOT_RUN

    def check_operator_commands(self, system):
        """Check the output of operator commands and the exit status of refusals."""
        status, output = system.run("status")
        assert status == 0
        assert "preset ordinary revision 1" in output
        status, output = system.run("preset", "history")
        assert "generation 1 preset ordinary revision 1 by olga" in output
        status, output = system.run("preset", "use", "ordinary")
        assert status == codes.PRESET_IN_FORCE.exit_code
        assert f"error {codes.PRESET_IN_FORCE.number}" in output
        status, output = system.run("preset", "use", "none")
        assert f"error {codes.NO_PRESET.number}" in output
        status, output = system.run("preset", "list", "--token", "wrong-token")
        assert f"error {codes.NO_TOKEN.number}" in output
        status, output = system.run("preset", "list", "--admin", "http://127.0.0.1:9")
        assert f"error {codes.ADMIN_UNREACHABLE.number}" in output

    def test_crashing_request_ends_the_upstream_with_its_status(self, system):
        system.start(
            "upstream", "standin", "upstream", "--service", "a", "--fault",
            "crash_on=gold",
        )  # fmt: skip
        log = system.directory / "upstream.log"
        system.wait("its port", lambda: " on 127.0.0.1:" in log.read_text())
        address = log.read_text().split(" on ")[1].split()[0]
        assert system.status(f"http://{address}/a", b"gold") is None
        assert system.started["upstream"].wait(TIMEOUT) == 70

    def test_node_without_a_platform_stops_gracefully(self, system):
        system.start("node", "node", "-c", system.write_settings())
        ready = f"http://{system.address('7403')}"
        system.wait("the node", lambda: system.status(ready) is not None)
        status, output = system.run("status")
        assert status == 0
        assert f"error {codes.PLATFORM_DOWN.number}" in output
        assert system.end("node") == 0, system.logs()
        log = (system.directory / "node.log").read_text()
        assert "event=node-stopped" in log
        assert "Traceback" not in log

    def test_port_in_use(self, system):
        listener = socket.socket()
        with listener:
            listener.bind(("127.0.0.1", int(system.ports["7402"])))
            listener.listen()
            for arguments in (
                ("node", "-c", system.write_settings()),
                ("standin", "platform", "--address", system.address("7402")),
            ):
                status, output = system.run(*arguments)
                assert status == codes.CANNOT_LISTEN.exit_code
                assert f"error {codes.CANNOT_LISTEN.number}" in output
                assert "Traceback" not in output

    @pytest.mark.parametrize(
        "arguments",
        [
            ("preset", "show", ".."),
            ("preset", "show", "../status"),
            ("preset", "use", "a b"),
            ("preset", "list", "--admin", "nowhere"),
            ("preset", "list", "--admin", "http://"),
            ("preset", "list", "--token", "a\nb"),
            ("preset", "put", "none.yaml"),
            ("rollout",),
            ("rollout", "show", "../presets"),
            ("rollout", "start", "a", "--to", "2", "--deadline", "x"),
        ],
    )
    def test_invalid_arguments(self, system, arguments):
        status, output = system.run(*arguments)
        assert status in (1, 2)
        assert "Traceback" not in output

    def test_invalid_settings_end_with_status_2(self, system, tmp_path):
        path = tmp_path / "node.yaml"
        path.write_text("name: one\n")
        status, output = system.run("node", "-c", str(path))
        assert status == 2
        assert f"error {codes.BAD_FIELD.number}" in output
