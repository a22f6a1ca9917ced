"""Servers that break their answers off in the head, seen from outside.

Usage: cut_head_test.py BUILD_DIR [unittest arguments]

A scripted server ends its answer at each byte of the head, in each framing, by FIN, reset or
silence, on new and kept connections, behind a refusal of another request and behind interim
responses. Such an answer must not reach the caller as a whole one, nor as not run.
"""

import json
import os
import sys
import threading
import unittest
from concurrent.futures import ThreadPoolExecutor

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from platform_system import wait_for  # noqa: E402
from scripted_server import Answer, call, reset, wait_for_close  # noqa: E402
from scripted_system import ScriptedSystem, service_of  # noqa: E402

BUILD_DIR = sys.argv.pop(1) if len(sys.argv) > 1 else "build"
SLOT = 23  # Addresses of its own.
SERVERS = 3
EVENTS = 3
TIMEOUT_MS = 400
CALLER_TIMEOUT_S = 8
CONCURRENT_GROUPS = 24
SILENT_STEP = 12  # Silence takes the whole timeout, so it is played at every twelfth byte.
FRAMINGS = ("length", "chunked", "close", "identity")
WAYS = ("fin", "reset", "silence")
ROUTES = {
    "resumable": {"route_type": "streaming", "resumable": True, "timeout_ms": 8000,
                  "max_attempts": 3},
    "once": {"route_type": "streaming", "timeout_ms": TIMEOUT_MS, "max_attempts": 1},
    "repeatable": {"route_type": "idempotent", "timeout_ms": TIMEOUT_MS, "max_attempts": 3},
    "payment": {"route_type": "non_idempotent", "timeout_ms": TIMEOUT_MS, "max_attempts": 1}}
# What the server sends before the head that it does not end.
PREFIXES = {"new": b"", "kept": b"",
            "refusal": b"HTTP/1.1 503 Full\r\nX-Request-Id: other\r\nX-Not-Executed: 1\r\n"
                       b"Content-Length: 4\r\n\r\nfull",
            "interim": b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
                       b"HTTP/1.1 100 Continue\r\n\r\n"}


class Group:
    """The requests of one kind, framing, way and prefix. They have a service of their own."""

    def __init__(self, number, kind, framing, way, prefix):
        self.name = f"g{number}"
        self.kind, self.framing, self.way, self.prefix = kind, framing, way, prefix
        self.lock = threading.Lock()
        self.runs = {}  # Of each request by its id.
        self.on_used_connections = 0
        self.cuts = {}  # Of each request by its id; those without one are answered.
        self.violations = []
        self.played = 0

    def __str__(self):
        return f"{self.kind}, {self.framing}, {self.way}, {self.prefix}"

    def answer_to(self, request_id):
        headers = [("X-Request-Id", request_id), ("X-Server-Seal", "1.200")]
        if self.kind in ("resumable", "once"):
            pieces = [f"id: {number}\ndata: {request_id} {number}\n\n".encode()
                      for number in range(1, EVENTS + 1)]
            return Answer([*headers, ("Content-Type", "text/event-stream")], pieces, self.framing)
        return Answer([*headers, ("Content-Type", "application/json")],
                      [json.dumps({"id": request_id, "text": "w" * 40}).encode()], self.framing)

    def serve(self, connection, head, used_connections):
        request_id = head["x-request-id"]
        answer = self.answer_to(request_id)
        with self.lock:
            runs = self.runs[request_id] = self.runs.get(request_id, 0) + 1
            cut = self.cuts.get(request_id)
            is_used = connection in used_connections
            used_connections.add(connection)
            if cut is not None and runs == 1:
                self.on_used_connections += is_used
        if cut is None or runs > 1:
            connection.sendall(answer.wire)
            return self.framing not in ("close", "identity")
        connection.sendall(PREFIXES[self.prefix] + answer.wire[:cut])
        if self.way == "reset":
            reset(connection)
        elif self.way == "silence":
            wait_for_close(connection)
        return False

    def play(self, address):
        head_length = self.answer_to("r0000").head_length
        for cut in range(0, head_length + 1, SILENT_STEP if self.way == "silence" else 1):
            if self.prefix == "kept" and self.framing not in ("close", "identity"):
                self.request(address, f"w{cut:04}")
            request_id = f"r{cut:04}"
            self.cuts[request_id] = cut
            self.played += 1
            self.judge(cut, request_id, self.request(address, request_id))

    def request(self, address, request_id):
        body = f"body of {self.name} {request_id}"
        limit_ms = ROUTES[self.kind]["timeout_ms"]
        return call(address, (f"POST /{self.name}/x HTTP/1.1\r\nHost: shop.example\r\n"
                              f"X-Request-Id: {request_id}\r\nX-Request-Deadline: {limit_ms}\r\n"
                              f"Content-Length: {len(body)}\r\n\r\n{body}").encode(),
                    CALLER_TIMEOUT_S)

    def judge(self, cut, request_id, reply):
        def found(text):
            self.violations.append(f"{self}, cut at {cut}: {text}; status {reply.status}, complete "
                                   f"{reply.complete}, {len(reply.body)} bytes")

        is_whole = reply.complete and reply.body == self.answer_to(request_id).body
        if reply.complete and reply.status == 200 and not is_whole:
            found("framed as whole, and is not")
        if reply.status in (408, 421, 429, 503):
            found("not run, by its status")
        if self.kind in ("once", "payment"):
            if self.runs.get(request_id) != 1:
                found(f"ran {self.runs.get(request_id)} times")
        elif not is_whole and not (self.way == "silence" and reply.status == 504):
            found("not served by another server")


def make_groups():
    groups = []
    for kind in ROUTES:
        for framing in FRAMINGS:
            for way in WAYS:
                for prefix in PREFIXES:
                    # Without a length or chunks no connection is kept.
                    if prefix != "kept" or framing in ("length", "chunked"):
                        groups.append(Group(len(groups) + 1, kind, framing, way, prefix))
    return groups


class CutHeadSystem(ScriptedSystem):
    """A service of its own for each group."""

    def __init__(self, build, groups):
        self.groups = {group.name: group for group in groups}
        self.used_connections = set()
        super().__init__(build, {name: ROUTES[group.kind] for name, group in self.groups.items()},
                         SERVERS, self.answer, SLOT, {"bounds.retry_slack": 1_000_000})

    def answer(self, _, connection, head):
        return self.groups[service_of(head)].serve(connection, head, self.used_connections)


class CutHeadTest(unittest.TestCase):

    def test_answer_that_ends_in_its_head_does_not_reach_its_caller_as_whole(self):
        groups = make_groups()
        system = CutHeadSystem(BUILD_DIR, groups)
        self.addCleanup(system.stop)
        wait_for("node 0 to be ready", lambda: system.is_ready(0))
        with ThreadPoolExecutor(CONCURRENT_GROUPS) as pool:
            list(pool.map(lambda group: group.play(system.front_address(0)), groups))
        self.assertIsNone(system.processes["n0"].poll(), "the node has ended")
        lines = [line for group in groups for line in group.violations]
        print(f"{sum(group.played for group in groups)} answers, {len(lines)} violations",
              file=sys.stderr)
        kept = [group for group in groups if group.prefix == "kept"]
        used = sum(group.on_used_connections for group in kept)
        self.assertGreater(used, sum(group.played for group in kept) / 2, "on kept connections")
        self.assertFalse(lines, "\n" + "\n".join(lines))


if __name__ == "__main__":
    unittest.main(verbosity=2)
