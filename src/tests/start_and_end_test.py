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
    def start_nodes(self, nodes=1, settings=None, slot=7):
        self.system = Nodes(BUILD_DIR, ROUTES, 2, answer, slot=slot, nodes=nodes,
                            settings=settings)
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


class SuccessorTest(StartAndEndTest):
    def test_successor_ends_while_its_predecessor_has_the_addresses(self):
        self.start_nodes()
        streams = []
        thread = threading.Thread(
            target=lambda: streams.append(self.system.call(0, "POST", "/stream/x", b"{}")[1]))
        thread.start()
        time.sleep(0.3)
        self.system.signal("n0", signal.SIGTERM)
        self.system.start_again("successor", 0)
        self.assertEqual(self.system.processes["n0"].wait(10), 0)
        thread.join()
        self.assertTrue(streams[0].complete)
        self.assertEqual(streams[0].events(), list(range(1, STREAM_EVENTS + 1)))
        wait_for("the successor to be ready", lambda: self.system.is_ready(0), START_LIMIT_S)
        self.assert_running("successor")
        self.assertEqual(self.system.read().status, 200)
        self.assertEqual(self.system.log("successor").count("event=address_unavailable"), 1)
        self.assertEqual(self.system.end("successor")[0], 0)

    def test_successor_disturbs_a_predecessor_that_goes_on(self):
        self.start_nodes(nodes=3)
        self.system.start_again("successor", 0)
        end = time.monotonic() + WAITING_S
        while time.monotonic() < end:
            for number in range(3):
                self.assertEqual(self.system.read(number).status, 200)
        self.assert_running("successor")
        status, seconds = self.system.end("successor")
        self.assertEqual(status, 0, "a stop while it waits for its addresses")
        self.assertLess(seconds, STOP_WHILE_WAITING_LIMIT_S)
        self.assertEqual(self.system.read().status, 200)
        self.assertEqual(self.system.log("n1").count("event=node_silent"), 0)

    def test_node_ends_since_a_connection_has_its_address(self):
        """A local port may belong to an outgoing connection of any process."""
        # Closed connections of other tests would keep the ports for a minute.
        self.start_nodes(slot=40 + os.getpid() % 50)
        self.assertEqual(self.system.end("n0")[0], 0)
        ip = self.system.nodes[0]
        for number, (kind, port) in enumerate([
                (socket.SOCK_STREAM, 8200), (socket.SOCK_STREAM, 8201), (socket.SOCK_STREAM, 8202),
                (socket.SOCK_DGRAM, 7340)]):
            with self.subTest(port=port), socket.socket(socket.AF_INET, kind) as taker:
                taker.bind((ip, port))
                if kind == socket.SOCK_STREAM:
                    host, target = self.system.servers[0].address.rsplit(":", 1)
                    taker.connect((host, int(target)))
                name = f"again{number}"
                self.system.start_again(name, 0)
                release = reset if kind == socket.SOCK_STREAM else socket.socket.close
                self.assert_waits_and_then_serves(
                    name, lambda release=release, taker=taker: release(taker))


class SettingsTest(StartAndEndTest):
    def write(self, text):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(text)

    def start_with(self, text):
        """Starts a process with this text as its settings, or with no file."""
        self.start_nodes()
        self.assertEqual(self.system.end("n0")[0], 0)
        self.path = self.system.settings_of(0)
        with open(self.path, encoding="utf-8") as file:
            self.whole = file.read()
        os.remove(self.path)
        if text is not None:
            self.write(text(self.whole))
        self.system.start_again("again", 0)

    def check(self, text, event="settings_unreadable"):
        self.start_with(text)
        self.assert_waits_and_then_serves("again", lambda: self.write(self.whole))
        self.assertEqual(self.system.log("again").count("event=" + event), 1)

    def test_node_ends_without_a_settings_file(self):
        self.check(None)

    def test_node_ends_with_an_empty_settings_file(self):
        self.check(lambda whole: "")

    def test_node_ends_with_half_a_settings_file(self):
        self.check(lambda whole: whole[:len(whole) // 2])

    def test_node_ends_with_an_address_that_is_none(self):
        self.check(lambda whole: whole.replace("listen.ready=", "listen.ready=:"))

    def test_node_ends_with_an_address_of_another_vm(self):
        self.check(lambda whole: whole.replace("listen.front=", "listen.front=192.0.2.1:1\nx="),
                   "address_unavailable")

    def test_node_ends_with_ports_that_are_none(self):
        self.check(lambda whole: whole.replace("internal_ports=", "internal_ports=x"))

    def test_stop_while_it_waits_for_settings_ends_the_node_by_a_signal(self):
        self.start_with(None)
        time.sleep(0.3)
        self.assert_running("again")
        self.system.signal("again", signal.SIGHUP)
        time.sleep(0.2)
        self.assert_running("again")
        status, seconds = self.system.end("again")
        self.assertEqual(status, 0)
        self.assertLess(seconds, STOP_WHILE_WAITING_LIMIT_S)

    def test_odd_numbers_end_the_node(self):
        self.start_nodes()
        names = ("limits.cpu_share", "limits.cores", "limits.memory_mb", "limits.max_fds",
                 "bounds.grace_s", "bounds.retry_ratio", "bounds.retry_slack",
                 "bounds.retry_window_s", "bounds.revoke_ms", "bounds.config_apply_ms")
        name = "n0"
        for value in ("0", "-1", "1e300", "-1e300", "nan", "inf", "-inf", "1e-300"):
            with self.subTest(value=value):
                self.system.change_settings({setting: value for setting in names})
                self.system.signal(name, signal.SIGHUP)
                time.sleep(0.3)
                self.assert_running(name)
                self.assertEqual(self.system.end(name)[0], 0)
                name = "odd" + value
                self.system.start_again(name, 0)
                time.sleep(0.3)
                self.assert_running(name)
        self.system.change_settings({"bounds.grace_s": "8", "bounds.revoke_ms": "5000"})
        self.system.signal(name, signal.SIGHUP)
        wait_for("the node to be ready", lambda: self.system.is_ready(0), START_LIMIT_S)


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


class OddRequestTest(StartAndEndTest):
    LINES = (b"GET / HTTP/1.1", b"OPTIONS * HTTP/1.1", b"GET http://shop.example HTTP/1.1",
             b"GET http://shop.example?a=b HTTP/1.1", b"CONNECT shop.example:1 HTTP/1.1",
             b"GET ? HTTP/1.1", b"GET # HTTP/1.1", b"GET //?#%00%zz HTTP/1.1", b"GET /%00 HTTP/1.0",
             b"GET /v1/readiness?" + b"a=b&" * 500 + b" HTTP/1.1", b"GET /" + b"x" * 60000 + b" HTTP/1.1",
             b"PROPFIND /v1/readiness HTTP/1.1", b"BREW / HTTP/1.1", b"GET / HTTP/9.9", b"GET /",
             b"HTTP/1.1 200 OK", b"PRI * HTTP/2.0", b"\x16\x03\x01\x02\x00", b"", b"\0\0\0")
    HEADERS = (b"", b"Host: a\r\n", b"Content-Length: 5\r\n", b"Content-Length: -1\r\n",
               b"Content-Length: 99999999999999999999\r\n", b"Expect: 100-continue\r\n",
               b"Content-Length: 9\r\nExpect: 100-continue\r\n", b"Upgrade: h2c\r\nConnection: upgrade\r\n",
               b"Transfer-Encoding: chunked\r\n", b"Connection: close\r\n", b": x\r\n", b"x\r\n",
               b"".join(b"H%d: v\r\n" % number for number in range(2000)))
    BODIES = (b"", b"hello", b"0\r\n\r\n", b"ffffffffffffffffff\r\nx", b"5\r\nhello\r\n0\r\nA: b\r\n\r\n",
              b"GET /v1/readiness HTTP/1.1\r\nHost: a\r\n\r\n" * 50)

    def send(self, port, data):
        try:
            with socket.create_connection((self.system.nodes[0], port), timeout=2) as caller:
                caller.settimeout(0.02)
                caller.sendall(data)
                caller.recv(4096)
                reset(caller)
        except OSError:
            pass

    def test_odd_request_ends_the_node(self):
        self.start_nodes()
        for port in (8200, 8201, 8202, 7354):
            for line in self.LINES:
                for headers in self.HEADERS:
                    for body in self.BODIES[:2] if headers == b"" else self.BODIES:
                        self.send(port, line + b"\r\n" + headers + b"\r\n" + body)
                self.assertIsNone(self.system.processes["n0"].poll(), (port, line))
        self.assertEqual(self.system.read().status, 200)
        self.assertEqual(self.system.end("n0")[0], 0)


class DescriptorTest(StartAndEndTest):
    MAX_DESCRIPTORS = 48

    def test_no_descriptor_is_left(self):
        self.start_nodes()
        self.assertEqual(self.system.end("n0")[0], 0)
        limits = (self.MAX_DESCRIPTORS, self.MAX_DESCRIPTORS)
        self.system.start_again(
            "again", 0, preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limits))
        wait_for("the node to be ready", lambda: self.system.is_ready(0), START_LIMIT_S)
        for address in (self.system.front_address(0), self.system.nodes[0] + ":8201"):
            host, port = address.rsplit(":", 1)
            used_before = self.system.processor_seconds("again")
            callers = [socket.create_connection((host, int(port)), timeout=2)
                       for _ in range(2 * self.MAX_DESCRIPTORS)]
            seconds = 3
            time.sleep(seconds)
            self.assert_running("again")
            used = self.system.processor_seconds("again") - used_before
            self.assertLess(used, seconds / 4, "processor time while no descriptor is left")
            for caller in callers:
                reset(caller)
            wait_for("the node to be ready again", lambda: self.system.is_ready(0), START_LIMIT_S)
            self.assertEqual(self.system.read().status, 200)
        self.assertEqual(self.system.end("again")[0], 0)


class MemoryTest(StartAndEndTest):
    MEMORY_MB = 260
    BODY_BYTES = 4 * 1024 * 1024
    CALLERS = 60

    def send_body(self, results):
        results.append(self.system.call(0, "POST", "/slow/x", b"x" * self.BODY_BYTES)[1])

    def test_many_large_bodies_exceed_the_memory(self):
        self.start_nodes(settings={"limits.memory_mb": str(self.MEMORY_MB)})
        results = []
        threads = [threading.Thread(target=self.send_body, args=(results,))
                   for _ in range(self.CALLERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertLess(self.system.memory_kb("n0"), self.MEMORY_MB * 1024)
        self.assertEqual({result.status for result in results} - {200, 503}, set())
        self.assertIn(200, [result.status for result in results])
        self.assertEqual(self.system.read().status, 200)


if __name__ == "__main__":
    unittest.main(verbosity=2)
