"""A server that repeats an earlier response on a connection, seen from outside.

Usage: repeated_refusal_test.py BUILD_DIR [unittest arguments]

Each case is a service of its own. Its servers refuse a first request (or answer it), and repeat that
response at some moment of the next request on the same connection, which they run. No caller may be
told that a request has not run if a server has run it, a request that may run once runs once, and
each answer is that of its own request. REPEATED_REFUSAL_SEED selects the framing of the copies.
"""

import itertools
import os
import sys
import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from platform_system import wait_for  # noqa: E402
from scripted_server import call, seeded  # noqa: E402
from scripted_system import ScriptedSystem, service_of  # noqa: E402

BUILD_DIR = sys.argv.pop(1) if len(sys.argv) > 1 else "build"
SEED = os.environ.get("REPEATED_REFUSAL_SEED", "1")
SERVERS = 2
SLOT = 8  # Of the addresses.
CONCURRENT_CALLS = 32
CALLER_TIMEOUT_S = 6
MAX_TRIES = 12  # Until a request arrives on a connection with an earlier response.
RETRY_PAUSE_S = 0.15
IDLE_COPY_S = 0.03
STEP_S = 0.05  # Between the parts of what a server writes.
EVENTS = 3
NOT_RUN = (408, 421, 429, 503)
STREAMS = ("resumable", "once")
RUN_ONCE = ("once", "payment")
ROUTES = {
    "resumable": {"route_type": "streaming", "resumable": True, "timeout_ms": 3000,
                  "max_attempts": 3},
    "once": {"route_type": "streaming", "timeout_ms": 3000, "max_attempts": 3},
    "repeatable": {"route_type": "idempotent", "timeout_ms": 3000, "max_attempts": 3},
    "payment": {"route_type": "non_idempotent", "timeout_ms": 3000, "max_attempts": 3}}
# What is repeated: its status line and headers. "answer" is the answer to a request that has run.
EARLIER = {
    "refused": ("503 Full", ["X-Not-Executed: 1"]),
    "paused": ("503 Pause", ["X-Not-Executed: 1", "Retry-After: 0.1"]),
    "limited": ("429 Limit", ["X-Not-Executed: 1", "Server-Limit: 1000"]),
    "misdirected": ("421 Other", ["X-Not-Executed: 1", "At-Server: i-other"]),
    "unmarked misdirected": ("421 Other", []),
    "answer": ("200 OK", ["X-Server-Seal: earlier"])}
MOMENTS = ("behind it", "while idle", "before the run", "in two parts", "with the answer", "twice")
IDS = ("earlier", "absent", "same")  # "same": the caller sends one id twice.
# Responses to a request that has run, by which its caller would send it again.
UNPROVEN = {"unmarked 503": "503 Failed", "unmarked 429": "429 Failed", "unmarked 408": "408 Late"}


class Case:

    def __init__(self, number, kind, earlier, moment, copy_id):
        self.number, self.kind, self.earlier, self.moment, self.copy_id = \
            number, kind, earlier, moment, copy_id
        self.lock = threading.Lock()
        self.responses = {}  # The first response on each connection.
        self.runs = {}  # By id.
        self.played = set()  # The ids of requests that met a copy.
        self.generator = seeded(SEED, number)

    def __str__(self):
        return (f"{self.kind}: {self.earlier}, repeated {self.moment}, id {self.copy_id} "
                f"(case {self.number}, seed {SEED})")

    def is_on_new_connection(self):
        return self.moment in ("on a new connection", "as the answer")

    def body(self, request):
        if self.kind in STREAMS:
            return b"".join(f"id: {number}\ndata: {request} {number}\n\n".encode()
                            for number in range(1, EVENTS + 1))
        return f"the answer to {request}".encode()

    def answer(self, request):
        media = "text/event-stream" if self.kind in STREAMS else "text/plain"
        return self.response("200 OK", [f"X-Request-Id: {request}", "X-Server-Seal: own",
                                        f"Content-Type: {media}"], self.body(request))

    def response(self, status, lines, body):
        lines = [f"HTTP/1.1 {status}", *lines]
        if self.generator.random() < 0.5:
            framing, body = "Transfer-Encoding: chunked", (
                b"%x\r\n%s\r\n" % (len(body), body) if body else b"") + b"0\r\n\r\n"
        else:
            framing = f"Content-Length: {len(body)}"
        return "\r\n".join([*lines, framing, "", ""]).encode() + body

    def earlier_response(self, request, with_id):
        status, lines = EARLIER[self.earlier]
        if with_id:
            lines = [f"X-Request-Id: {request}", *lines]
        if self.earlier != "answer":
            return self.response(status, lines, self.generator.choice((b"", b"full")))
        if self.kind in STREAMS:
            lines = [*lines, "Content-Type: text/event-stream"]
        return self.response(status, lines, self.body(request))

    def serve(self, connection, head):
        request = head["x-request-id"]
        with self.lock:
            copy = self.responses.get(connection)
        if "/first" in head["start"]:
            return self.serve_first(connection, request)
        if self.moment == "on a new connection":
            copy = copy or self.earlier_response("other", False)
        with self.lock:
            self.runs[request] = self.runs.get(request, 0) + 1
            if copy:
                self.played.add(request)
        answer = self.answer(request)
        if self.earlier in UNPROVEN:
            answer = self.response(UNPROVEN[self.earlier], [f"X-Request-Id: {request}"], b"failed")
            self.played.add(request)
            copy = None
        if copy and self.moment in ("before the run", "on a new connection"):
            connection.sendall(copy)
            time.sleep(STEP_S)
        elif copy and self.moment == "in two parts":
            cut = self.generator.randrange(1, len(copy))
            connection.sendall(copy[:cut])
            time.sleep(STEP_S)
            connection.sendall(copy[cut:])
            time.sleep(STEP_S)
        elif copy and self.moment == "twice":
            connection.sendall(copy + copy)
            time.sleep(STEP_S)
        elif copy and self.moment == "with the answer":
            time.sleep(STEP_S)
            answer = copy + answer
        connection.sendall(answer)
        return True

    def serve_first(self, connection, request):
        with self.lock:
            if self.earlier == "answer":
                self.runs[request] = self.runs.get(request, 0) + 1
        copy = self.earlier_response(request, self.copy_id != "absent")
        with self.lock:
            self.responses.setdefault(connection, copy)
        own = self.earlier_response(request, True)
        connection.sendall(own + copy if self.moment == "behind it" else own)
        if self.moment == "while idle":
            time.sleep(IDLE_COPY_S)
            connection.sendall(copy)
        return True

    def violations(self, request, reply):
        found = []
        runs = self.runs.get(request, 0)
        if self.copy_id == "same":
            runs -= 1 if self.earlier == "answer" else 0
        if self.kind in RUN_ONCE:
            if runs > 1:
                found.append(f"ran {runs} times")
            if runs > 0 and reply.status in NOT_RUN:
                found.append(f"status {reply.status} although it has run")
        if reply.status == 200 and not (reply.complete and reply.body == self.body(request)):
            found.append(f"got {reply.body[:60]!r}")
        if reply.extra:
            found.append(f"{len(reply.extra)} bytes after the answer")
        # A response without an id on a new connection may be to the request: its attempt fails.
        if request in self.played and reply.status != 200 and not self.is_on_new_connection():
            found.append(f"status {reply.status} although the answer followed")
        return found


def make_cases():
    rows = [(kind, earlier, moment, copy_id) for kind, earlier, moment, copy_id
            in itertools.product(ROUTES, EARLIER, MOMENTS, IDS)]
    rows += [(kind, earlier, "on a new connection", "absent")
             for kind in ROUTES for earlier in EARLIER if earlier != "answer"]
    rows += [(kind, earlier, "as the answer", "own") for kind in RUN_ONCE for earlier in UNPROVEN]
    return [Case(number, *row) for number, row in enumerate(rows, 1)]


class RefusingSystem(ScriptedSystem):
    """A service of its own for each case."""

    def __init__(self, build, cases):
        self.cases = {f"c{case.number}": case for case in cases}
        super().__init__(build, {name: ROUTES[case.kind] for name, case in self.cases.items()},
                         SERVERS, slot=SLOT, answer=lambda _, connection, head:
                         self.cases[service_of(head)].serve(connection, head))

    def send(self, case, path, request):
        text = (f"POST /c{case.number}/{path} HTTP/1.1\r\nHost: shop.example\r\n"
                f"X-Request-Id: {request}\r\nX-Request-Deadline: 4000\r\n"
                "Content-Length: 2\r\n\r\n{}")
        return call(self.front_address(0), text.encode(), CALLER_TIMEOUT_S)

    def play(self, case):
        """Plays a case until a request has met a copy. Copies behind the earlier response or on an
        idle connection close it, and "same" ids take another one: then a few requests are sent."""
        found = []
        for number in range(MAX_TRIES):
            first, second = f"a{case.number}-{number}", f"b{case.number}-{number}"
            if case.copy_id == "same":
                second = first
            if not case.is_on_new_connection():
                self.send(case, "first", first)
                time.sleep(RETRY_PAUSE_S)
            found += case.violations(second, self.send(case, "second", second))
            if case.played or (number == 2 and (case.copy_id == "same" or case.moment in
                                                ("behind it", "while idle"))):
                break
        return [f"{case}: {violation}" for violation in found]


class RepeatedRefusalTest(unittest.TestCase):

    def test_repeated_refusal_is_not_the_answer_to_the_next_request(self):
        cases = make_cases()
        system = RefusingSystem(BUILD_DIR, cases)
        self.addCleanup(system.stop)
        wait_for("node 0 to be ready", lambda: system.is_ready(0))
        with ThreadPoolExecutor(CONCURRENT_CALLS) as pool:
            violations = [line for lines in pool.map(system.play, cases) for line in lines]
        self.assertIsNone(system.processes["n0"].poll(), "the node has ended")
        unplayed = [str(case) for case in cases if not case.played and case.copy_id != "same"
                    and case.moment not in ("behind it", "while idle")]
        print(f"{len(cases)} cases, {len(violations)} violations, {len(unplayed)} not played, "
              f"{sum(1 for case in cases if case.played)} with a copy", file=sys.stderr)
        self.assertEqual(violations, [], "\n" + "\n".join(violations))
        self.assertEqual(unplayed, [], "\n" + "\n".join(unplayed))


if __name__ == "__main__":
    unittest.main(verbosity=2)
