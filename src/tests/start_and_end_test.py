"""Ways in which a node might fail to start, or end without having been told to.

Usage: start_and_end_test.py BUILD_DIR [unittest arguments]

Each test is named after the failure that it guards against.
"""

import json
import os
import resource
import signal
import socket
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from platform_system import send_request, wait_for  # noqa: E402
from scripted_server import Answer, reset  # noqa: E402
from scripted_system import ScriptedSystem  # noqa: E402

BUILD_DIR = sys.argv.pop(1) if len(sys.argv) > 1 else "build"
STREAM_EVENTS = 60
EVENT_INTERVAL_S = 0.05
ROUTES = {
    "stream": {"route_type": "streaming", "timeout_ms": 8000, "max_attempts": 1},
    "slow": {"route_type": "idempotent", "timeout_ms": 8000, "max_attempts": 1},
    "read": {"route_type": "idempotent", "timeout_ms": 2000, "max_attempts": 2}}
SLOW_ANSWER_S = 1.5
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
START_LIMIT_S = 5
WAITING_S = 1.5  # A process that cannot start yet is watched for this long.
STOP_WHILE_WAITING_LIMIT_S = 1.0
SHORT_GRACE = {"bounds.grace_s": "1"}


def answer(_server, connection, head):
    headers = [("X-Request-Id", head["x-request-id"]), ("X-Server-Seal", "run")]
    path = head["start"].split(" ")[1]
    if path.startswith("/slow/"):
        time.sleep(SLOW_ANSWER_S)
    if not path.startswith("/stream/"):
        body = json.dumps({"whole": True}).encode()
        connection.sendall(Answer(headers, [body], "length", [1]).wire)
        return True
    events = [f"id: {n}\ndata: {n}\n\n".encode() for n in range(1, STREAM_EVENTS + 1)]
    headers.append(("Content-Type", "text/event-stream"))
    wire = Answer(headers, events, "chunked", [1] * STREAM_EVENTS).wire
    size = len(wire) // STREAM_EVENTS
    for begin in range(0, len(wire), size):
        connection.sendall(wire[begin:begin + size])
        time.sleep(EVENT_INTERVAL_S)
    return True


class Nodes(ScriptedSystem):
    """Nodes whose settings files and processes a test handles by itself."""

    LIMITS = {"max_header_bytes": 4096, "max_body_bytes": 4 * 1024 * 1024,
              "header_timeout_ms": 5000, "idle_timeout_ms": 5000}

    def put(self, values):
        for key in values:
            if key == "op/config":
                values[key]["limits"] = self.LIMITS
        super().put(values)

    def settings_of(self, number):
        return os.path.join(self.folder.name, f"node{number}.conf")

    def start_again(self, name, number, **options):
        """Starts a further process with the settings of a node."""
        self.start_process(name, self.settings_of(number), **options)

    def start_process(self, name, path, **options):
        super(ScriptedSystem, self).start(name, [self.binary, "serve"],
                                          env=dict(os.environ, BRAMLEYPITCH_BOOT=path), **options)

    def end(self, name, limit=10):
        """Stops a process; returns its exit status and how long it took."""
        started_at = time.monotonic()
        self.signal(name, signal.SIGTERM)
        return self.processes[name].wait(limit), time.monotonic() - started_at

    def signals_of(self, name, field):
        """The signals in a mask of the process, for example SigIgn."""
        try:
            with open(f"/proc/{self.processes[name].pid}/status", encoding="utf-8") as file:
                mask = next(int(line.split()[1], 16) for line in file if line.startswith(field))
        except (OSError, StopIteration):
            return set()
        return {number for number in range(1, 65) if mask >> (number - 1) & 1}

    def processor_seconds(self, name):
        with open(f"/proc/{self.processes[name].pid}/stat", encoding="utf-8") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_kb(self, name):
        with open(f"/proc/{self.processes[name].pid}/status", encoding="utf-8") as file:
            return next(int(line.split()[1]) for line in file if line.startswith("VmHWM"))

    def read(self, number=0):
        return self.call(number, "GET", "/read/x")[1]


class StartAndEndTest(unittest.TestCase):
    def start_nodes(self, nodes=1, settings=None):
        self.system = Nodes(BUILD_DIR, ROUTES, 2, answer, slot=7, nodes=nodes, settings=settings)
        self.addCleanup(self.system.stop)
        for number in range(nodes):
            wait_for("a node to be ready", lambda n=number: self.system.is_ready(n), START_LIMIT_S)

    def assert_running(self, name):
        process = self.system.processes[name]
        self.assertIsNone(process.poll(), f"{name} ended with status {process.returncode}: "
                                          f"{self.system.log(name)[-600:]}")

    def assert_waits_and_then_serves(self, name, release):
        """The process must not end, be ready or use the processor before `release` is called."""
        time.sleep(WAITING_S)
        self.assert_running(name)
        self.assertLess(self.system.processor_seconds(name), WAITING_S / 2)
        release()
        wait_for("the node to be ready", lambda: self.system.is_ready(0), START_LIMIT_S)
        self.assert_running(name)
        self.assertEqual(self.system.read().status, 200)
        self.assertEqual(self.system.end(name)[0], 0)


class SignalTest(StartAndEndTest):
    STARTS = 30

    def test_signal_during_the_start_ends_the_node_by_a_signal(self):
        self.start_nodes(settings=SHORT_GRACE)
        self.assertEqual(self.system.end("n0")[0], 0)
        for number in range(self.STARTS):
            sent = STOP_SIGNALS[number % 3]
            name = f"start{number}"
            self.system.start_again(name, 0)
            process = self.system.processes[name]
            # The first thing that the program does; the loader and the libraries come before it.
            while signal.SIGPIPE not in self.system.signals_of(name, "SigIgn"):
                self.assertIsNone(process.poll())
            process.send_signal(sent)
            if sent == signal.SIGHUP:
                time.sleep(0.1)
                self.assert_running(name)
                process.send_signal(signal.SIGTERM)
            self.assertEqual(process.wait(3), 0, f"start {number}, {sent!r}")

    def test_further_signals_during_the_stop_end_the_node_by_a_signal(self):
        nodes = 8
        self.start_nodes(nodes, SHORT_GRACE)
        running = [self.system.processes[f"n{number}"] for number in range(nodes)]
        processes = list(running)
        while running:
            for process in running:
                for sent in STOP_SIGNALS:
                    process.send_signal(sent)
            running = [process for process in running if process.poll() is None]
        self.assertEqual([process.returncode for process in processes], [0] * nodes)

    def test_series_of_hang_ups_ends_the_node(self):
        self.start_nodes()
        end = time.monotonic() + 2
        while time.monotonic() < end:
            for _ in range(50):
                self.system.signal("n0", signal.SIGHUP)
            self.assertEqual(self.system.read().status, 200)
        self.assert_running("n0")
        self.assertEqual(self.system.end("n0")[0], 0)


class OutputTest(StartAndEndTest):
    """Nobody may read what a process logs."""

    def check(self, **options):
        self.system.start_again("again", 0, **options)
        wait_for("the node to be ready", lambda: self.system.is_ready(0), START_LIMIT_S)
        for _ in range(30):
            self.system.signal("again", signal.SIGHUP)  # Each logs a line.
            self.assertEqual(self.system.read().status, 200)
        self.assert_running("again")
        self.assertEqual(self.system.end("again")[0], 0)

    def setUp(self):
        self.start_nodes()
        self.assertEqual(self.system.end("n0")[0], 0)

    def test_closed_pipe_ends_the_node(self):
        reader, writer = os.pipe()
        os.close(reader)
        self.addCleanup(os.close, writer)
        self.check(stdout=writer)

    def test_full_pipe_blocks_the_node(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(writer, False)
        try:
            while os.write(writer, b"x" * 4096):
                pass
        except BlockingIOError:
            os.set_blocking(writer, True)
        self.check(stdout=writer)

    def test_limit_on_the_size_of_files_ends_the_node(self):
        self.check(preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_FSIZE, (2000, 2000)))

    def test_log_without_an_output_goes_into_a_connection(self):
        self.check(preexec_fn=lambda: [os.close(number) for number in (0, 1, 2)])


if __name__ == "__main__":
    unittest.main(verbosity=2)
