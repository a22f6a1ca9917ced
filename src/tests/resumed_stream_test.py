"""Streams that break off and are resumed at a server that does not continue them, seen from outside.

Usage: resumed_stream_test.py BUILD_DIR [unittest arguments]

Each case is a service of its own with one stream. Its first run breaks off at a place of its events.
The next run, or each further one, answers with something that does not continue the stream, in each
framing. What reaches the caller is the whole stream, each event once and in order, or visibly broken
off. RESUMED_STREAM_SEED selects how bytes are segmented.
"""

import os
import sys
import threading
import unittest
from concurrent.futures import ThreadPoolExecutor

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from platform_system import wait_for  # noqa: E402
from scripted_server import call, reset, seeded, send_cut  # noqa: E402
from scripted_system import ScriptedSystem, service_of  # noqa: E402

BUILD_DIR = sys.argv.pop(1) if len(sys.argv) > 1 else "build"
SEED = os.environ.get("RESUMED_STREAM_SEED", "1")
SLOT = 9  # Of the addresses.
SERVERS = 3
EVENTS = 5
CONCURRENT_CALLS = 32
CALLER_TIMEOUT_S = 8
RESUMABLE = {"route_type": "streaming", "resumable": True, "timeout_ms": 4000, "max_attempts": 4}
# "unnumbered": its events have no ids. "continued": the caller resumes it, at a server that does not.
ROUTES = {"resumable": RESUMABLE, "unnumbered": RESUMABLE, "continued": RESUMABLE,
          "once": {"route_type": "streaming", "timeout_ms": 4000, "max_attempts": 4}}
FRAMINGS = ("length", "chunked", "close")
# Where the first run ends: how many events are whole, and what follows them.
PLACES = {"after the first event": (1, b""), "inside an event": (2, b"id: 3\ndata: cu"),
          "between events": (3, b""), "inside the last event": (4, b"id: 5\nda"),
          "after the last event": (EVENTS, b"")}
STREAM = "text/event-stream"
PLAIN = "text/plain"
REFUSED = ["X-Not-Executed: 1"]
# Status, media type, further headers and body; the body of a function depends on the last id.
ANSWERS = {
    "error": ("500 Error", PLAIN, [], b"internal error"),
    "refusal": ("503 Full", PLAIN, REFUSED, b"full"),
    "unmarked refusal": ("503 Full", PLAIN, [], b"full\n\n"),
    "limit": ("429 Limit", PLAIN, [*REFUSED, "Retry-After: 0.05"], b""),
    "misdirected": ("421 Other", PLAIN, REFUSED, b"other"),
    "bad request": ("400 Bad", PLAIN, [], b"bad"),
    "unknown": ("404 Unknown", "application/json", [], b'{"error":"unknown"}\n\n'),
    "redirect": ("302 Found", PLAIN, ["Location: /"], b""),
    "error as a stream": ("500 Error", STREAM, [], b"id: 9\ndata: error\n\n"),
    "no content": ("204 None", STREAM, [], b""),
    "plain text": ("200 OK", PLAIN, [], b"internal error\n\n"),
    "document": ("200 OK", "application/json", [], b'{"error":"internal"}\n\n'),
    "text in a stream": ("200 OK", STREAM, [], b"internal error\n\n"),
    "text at the end": ("200 OK", STREAM, [], b"internal error"),
    "document in a stream": ("200 OK", STREAM, [], b'{"error":"internal"}\n\n'),
    "nothing": ("200 OK", STREAM, [], b""),
    "blank lines": ("200 OK", STREAM, [], b"\n\n\n"),
    "comments": ("200 OK", STREAM, [], b": waiting\n\n: waiting\n"),
    "head in the body": ("200 OK", STREAM, [], lambda case, last:
                         b"HTTP/1.1 503 Full\r\nX-Request-Id: other\r\n\r\nfull\n\n"),
    "second answer": ("200 OK", STREAM, [], lambda case, last: case.events(last + 1, last + 2)
                      + b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"),
}
CONTINUATIONS = {
    "event without an id": ("200 OK", STREAM, [], lambda case, last:
                            b"data: [ERROR]\n\n" + case.events(last + 1)),
    "begins again": ("200 OK", STREAM, [], lambda case, last: case.events(1)),
    "other content": ("200 OK", STREAM, [], lambda case, last: case.events(1, text="other")),
    "repeats the last": ("200 OK", STREAM, [], lambda case, last: case.events(last)),
    "leaves one out": ("200 OK", STREAM, [], lambda case, last: case.events(last + 2)
                       or b"id: 9\ndata: extra\n\n"),
    "falls": ("200 OK", STREAM, [], lambda case, last:
              case.events(last + 1, last + 2) + case.events(1)),
    "text as id": ("200 OK", STREAM, [], lambda case, last:
                   case.events(last + 1).replace(b"id: ", b"id: e")),
    "comment and again": ("200 OK", STREAM, [], lambda case, last: b": hello\n\n" + case.events(1)),
}


class Case:

    def __init__(self, number, kind, place, framing, answer, next_framing, faulty_runs):
        self.number, self.kind, self.place, self.framing, self.answer, self.next_framing, \
            self.faulty_runs = number, kind, place, framing, answer, next_framing, faulty_runs
        self.lock = threading.Lock()
        self.runs = []  # The id after which each run started.

    def __str__(self):
        return (f"{self.kind}, {self.framing}, broken {self.place}, then {self.answer} "
                f"({self.next_framing}) in {self.faulty_runs} runs (case {self.number})")

    def events(self, first, end=EVENTS + 1, text="event"):
        numbered = self.kind != "unnumbered"
        return b"".join((f"id: {number}\n" * numbered +
                         f"data: {text} {number} of {self.number}\n\n").encode()
                        for number in range(first, min(end, EVENTS + 1)))

    def last_of_caller(self):
        return PLACES[self.place][0] if self.kind == "continued" else 0

    def message(self, head, status, media, lines, body, framing):
        lines = [f"HTTP/1.1 {status}", f"X-Request-Id: {head['x-request-id']}",
                 "X-Server-Seal: s", f"Content-Type: {media}", *lines]
        if status.startswith("204"):
            framing = "none"
        if framing == "length":
            lines.append(f"Content-Length: {len(body)}")
        elif framing == "chunked":
            lines.append("Transfer-Encoding: chunked")
            body = (b"%x\r\n%s\r\n" % (len(body), body) if body else b"") + b"0\r\n\r\n"
        return "\r\n".join([*lines, "", ""]).encode() + body

    def serve(self, connection, head):
        last = int(head.get("last-event-id", 0))
        with self.lock:
            run = len(self.runs)
            self.runs.append(last)
        generator = seeded(SEED, self.number, run)
        if self.kind == "continued":
            run += 1  # The run before was that of another request.
        if run == 0:
            count, rest = PLACES[self.place]
            wire = self.message(head, "200 OK", STREAM, [], self.events(1), self.framing)
            if self.framing == "chunked":
                begin = wire.index(b"\r\n\r\n") + 4
                size = wire.index(b"\r\n", begin) + 2
                wire = wire[:size] + self.events(1, count + 1) + rest
            else:
                wire = wire[:wire.index(b"\r\n\r\n") + 4] + self.events(1, count + 1) + rest
            send_cut(connection, wire, generator)
            if self.framing == "close":
                threading.Event().wait(0.1)  # The events arrive before the reset.
                reset(connection)
            return False
        if run <= self.faulty_runs:
            status, media, lines, body = {**ANSWERS, **CONTINUATIONS}[self.answer]
            body = body(self, last) if callable(body) else body
            wire = self.message(head, status, media, lines, body, self.next_framing)
        else:
            wire = self.message(head, "200 OK", STREAM, [], self.events(last + 1),
                                self.next_framing)
        send_cut(connection, wire, generator)
        return self.next_framing != "close" or b"204" in wire[:12]

    def violations(self, reply):
        found = []
        whole = self.events(self.last_of_caller() + 1)
        if reply.status != 200:  # Each first run sends an event that may be passed on.
            return [] if self.kind == "continued" and self.faulty_runs > 1 else \
                [f"status {reply.status}"]
        if not whole.startswith(reply.body):
            found.append(f"got {reply.body!r}")
        if reply.extra:
            found.append(f"{reply.extra!r} after the answer")
        # Guards against ORDER: servers that agree that nothing follows may all be wrong.
        if reply.complete and reply.body != whole:
            found.append(f"framed as complete after {reply.body[-30:]!r}")
        if self.kind in ("once", "unnumbered") and len(self.runs) != 1:
            found.append(f"ran {len(self.runs)} times")
        # A server that is asked to go on behind the last event cannot show that it was the last.
        is_end_unknown = EVENTS in self.runs
        if self.kind in ("resumable", "continued") and self.faulty_runs <= 1 and \
                not (reply.complete or is_end_unknown and reply.body == whole):
            found.append(f"not continued by another server: {reply.body[-30:]!r}, "
                         f"runs after {self.runs}")
        return found


def make_cases(answers):
    cases = []
    for answer in answers:
        for place in PLACES:
            for framing in FRAMINGS:
                for next_framing in FRAMINGS:
                    for faulty_runs in (1, SERVERS + 1):
                        cases.append(Case(len(cases) + 1, "resumable", place, framing, answer,
                                          next_framing, faulty_runs))
    for place in PLACES:
        for framing in FRAMINGS:
            cases.append(Case(len(cases) + 1, "once", place, framing, "error", "length", 1))
    for kind, answer in (("unnumbered", "begins again"), ("continued", "begins again"),
                         ("continued", "repeats the last")):
        for framing in FRAMINGS if answer in answers else ():
            for faulty_runs in (1, SERVERS + 1):
                cases.append(Case(len(cases) + 1, kind, "between events", framing, answer, framing,
                                  faulty_runs))
    return cases


class StreamsSystem(ScriptedSystem):
    """A service of its own for each case."""

    def __init__(self, build, cases):
        self.cases = {f"c{case.number}": case for case in cases}
        super().__init__(build, {name: ROUTES[case.kind] for name, case in self.cases.items()},
                         SERVERS, slot=SLOT, answer=lambda _, connection, head:
                         self.cases[service_of(head)].serve(connection, head))

    def play(self, case):
        last_event = (f"Last-Event-Id: {case.last_of_caller()}\r\n"
                      if case.kind == "continued" else "")
        request = (f"POST /c{case.number}/x HTTP/1.1\r\nHost: shop.example\r\n"
                   f"X-Request-Id: r{case.number}\r\nX-Request-Deadline: 6000\r\n"
                   f"{last_event}Content-Length: 2\r\n\r\n{{}}")
        reply = call(self.front_address(0), request.encode(), CALLER_TIMEOUT_S)
        return [f"{case}: {violation}" for violation in case.violations(reply)]


class ResumedStreamTest(unittest.TestCase):

    def check(self, answers):
        cases = make_cases(answers)
        system = StreamsSystem(BUILD_DIR, cases)
        self.addCleanup(system.stop)
        wait_for("node 0 to be ready", lambda: system.is_ready(0))
        with ThreadPoolExecutor(CONCURRENT_CALLS) as pool:
            violations = [line for lines in pool.map(system.play, cases) for line in lines]
        self.assertIsNone(system.processes["n0"].poll(), "the node has ended")
        print(f"{len(cases)} streams, {len(violations)} violations", file=sys.stderr)
        self.assertEqual(violations, [], "\n" + "\n".join(violations))

    def test_answer_of_the_next_server_does_not_reach_the_stream(self):
        self.check(ANSWERS)

    def test_events_that_do_not_continue_the_stream_do_not_reach_it(self):
        self.check(CONTINUATIONS)


if __name__ == "__main__":
    unittest.main(verbosity=2)
