"""Every reason for which a node may end an attempt or a caller's connection, seen from outside.

Usage: attempt_end_test.py BUILD_DIR [unittest arguments]

Scripted servers that are sound fall silent for up to 1.8 s and go on. Each case is one request; its
row states why the node might give up its server or its caller. All rows are played alone, and
beside each change that can reach a node while a request runs. ATTEMPT_END_SEED selects the rows
that combine several properties.

A whole request that the node has read must get its complete answer, with each piece of a stream
once and in order. If no server has run it, 503 or 429 with Retry-After will do. A request that may
not be repeated runs once.

These ends are allowed and are not counted:
- an end after the request's time limit or its route's timeout;
- an end after the last sixth of the grace time after SIGTERM has begun;
- after SIGTERM, a connection that is closed before the request is sent or, if no server got the
  request, within 0.2 s after it;
- 404 for a request whose last byte was sent after the operator had begun to remove its route, or
  which had to wait for the answer to an earlier request on its connection meanwhile.
No server breaks off by itself here, so no other end has an excuse. A kept connection may be reused
until four fifths of the idle timeout under which it became idle, and the body of a request may take
as long as the limits allowed when it began.
"""

import itertools
import os
import signal
import socket
import sys
import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from platform_system import wait_for  # noqa: E402
from scripted_server import Reply, is_closed, read_reply, seeded  # noqa: E402
from scripted_system import ScriptedSystem, service_of  # noqa: E402

BUILD_DIR = sys.argv.pop(1) if len(sys.argv) > 1 else "build"
SEED = os.environ.get("ATTEMPT_END_SEED", "1")
DRAWN_ROWS = 24  # Combinations of properties for each column.
CONCURRENT_SYSTEMS = 2
TIME_LIMIT_S = 8.0
LONGER_BY_S, SHORTER_BY_S = 4, 1  # Of timeouts of routes.
MEASURING_SLACK_S = 0.1  # The node reads a request before its caller notes that it is sent.
CALLER_TIMEOUT_S = 9
GRACE_S = 9
LOSS_SLACK_S = 0.2  # A request whose connection ends sooner after it may not have been read.
CHANGE_AT_S = 0.95  # After the first request of a column.
LATE_ENTRIES_AT_S = 0.3
PAUSE_S = 1.5  # That a server asks for. It ends after the change.
STORE_OUTAGE_S = 5
IDLE_TIMEOUT_MS = 2000
VANISH_S = (0.5, 1.5)
SERVERS = 2  # Of each service.
ELSEWHERE = SERVERS  # The number of the server of the service that routes are moved to.
EVENTS = 6
EVENT_INTERVAL_S = 0.05
LONG_EVENTS, LONG_INTERVAL_S, LONG_SILENT_AT = 15, 0.4, 11
LARGE_EVENTS, LARGE_EVENT_BYTES = 48, 256 * 1024  # More than the buffers of the sockets hold.
PAUSES_OF_READERS_S = (1.6, 3.5)
BODY_PIECES, BODY_PIECE_BYTES, BODY_PIECE_INTERVAL_S = 6, 50 * 1024, 0.3
EARLY_BODY_BYTES = 2 * 1024 * 1024
LIMITS = {"max_header_bytes": 4096, "max_body_bytes": 4 * 1024 * 1024, "header_timeout_ms": 1000,
          "idle_timeout_ms": IDLE_TIMEOUT_MS}
STREAMS = ("resumable", "once")
RUN_ONCE = ("once", "payment")
ROUTE_TYPES = {"resumable": {"route_type": "streaming", "resumable": True},
               "once": {"route_type": "streaming"},
               "repeatable": {"route_type": "idempotent"},
               "payment": {"route_type": "non_idempotent"}}
# The first value of each property is the one of rows about another property.
PROPERTIES = {
    "kind": tuple(ROUTE_TYPES),
    "place": ("between_pieces", "before_head", "after_head", "in_first_piece"),
    "silence": (1.3, 0.7, 1.0, 1.8),
    "other": ("none", "sound", "refuses", "silent", "not_executed", "asks_for_pause", "paused",
              "leaving", "draining"),
    "attempts": (3, 2, 1),
    "framing": ("chunked", "length", "close"),
    "keyed": (False, True)}
COLUMNS = ("alone", "idle_shorter", "idle_longer", "timeout", "key_added", "key_removed",
           "route_moved", "route_removed", "settings", "stop", "store_out", "no_retries")


class Run:
    """One arrival of a request at a server."""

    def __init__(self, server, last_event):
        self.server, self.last_event = server, last_event
        self.executed = True
        self.sent_all = False
        self.started = time.monotonic()

    def __str__(self):
        state = "not executed" if not self.executed else \
            "sent all" if self.sent_all else "cut by the node"
        return f"{self.server.address} after event {self.last_event}: {state}"


class Case:
    """One request, and what the servers of its service do."""

    def __init__(self, number, special=None, **properties):
        """`special` names what the row is about if it is none of the properties."""
        self.number, self.special = number, special
        self.properties = {name: properties.get(name, values[0])
                           for name, values in PROPERTIES.items()}
        self.kind, self.place, self.other, self.framing = (
            self.properties[name] for name in ("kind", "place", "other", "framing"))
        plays_silence = special not in ("slow_reader", "body_in_pieces", "early_answer", "kept",
                                        "server_reads_late")
        self.silence = self.properties["silence"] if plays_silence else 0
        self.kept_s = properties.get("kept_s", 0)
        self.start_s = properties.get("start_s", 0)
        self.pause_s = properties.get("pause_s", 0)  # Of a caller or server that reads slowly.
        self.chunked_body = properties.get("chunked_body", False)
        self.lock = threading.Lock()
        self.first_server = None
        self.paused_until = None  # Of the other server.
        self.runs = []
        self.sent_at = self.elapsed = 0
        self.reply, self.second_reply = None, None
        self.error = ""  # Of the caller's connection while it sent.
        self.was_closed_idle = self.was_accepted = False

    def __str__(self):
        base = {name: values[0] for name, values in PROPERTIES.items()}
        shown = [str(self.special)] if self.special else []
        shown += [f"{name}={value}" for name, value in self.properties.items()
                  if name in ("kind", "place", "silence", "other") or value != base[name]]
        if self.special == "kept":
            shown.append(f"idle for {self.kept_s} s")
        if self.pause_s:
            shown.append(f"reads nothing for {self.pause_s} s")
        if self.start_s:
            shown.append(f"sent after {self.start_s} s")
        return f"r{self.number}: " + ", ".join(shown)

    def is_odd(self):
        """Some changes are made in one way for odd cases and in another one for even cases."""
        return self.number % 2 == 1

    def is_stream(self):
        return self.kind in STREAMS

    def route(self):
        return dict(ROUTE_TYPES[self.kind], timeout_ms=int(TIME_LIMIT_S * 1000),
                    max_attempts=self.properties["attempts"],
                    auth_exempt=not self.properties["keyed"])

    def pieces(self):
        if not self.is_stream():
            return [f'{{"case": {self.number}, "text": "'.encode() + b"w" * 300, b"v" * 300 + b'"}']
        count, filler = EVENTS, ""
        if self.special == "long":
            count = LONG_EVENTS
        elif self.special == "slow_reader":
            count, filler = LARGE_EVENTS, "x" * LARGE_EVENT_BYTES
        return [f"id: {number}\ndata: case {self.number} event {number} {filler}\n\n".encode()
                for number in range(1, count + 1)]

    def silent_piece(self):
        """The number of pieces before the silence between two pieces."""
        return LONG_SILENT_AT if self.special == "long" else len(self.pieces()) // 2

    def serve(self, server, connection, head):
        is_main = head["x-request-id"] == f"r{self.number}"
        with self.lock:
            if is_main:
                run = Run(server, int(head.get("last-event-id", 0)))
                self.first_server = self.first_server or server
                self.runs.append(run)
            is_first = self.first_server in (None, server)
        if not is_main:
            return self.serve_other_request(connection, head, is_first)
        if not is_first and (self.other == "not_executed" or self.pauses(started_by_main=True)):
            pause = "" if self.other == "not_executed" else f"Retry-After: {PAUSE_S}\r\n"
            run.executed = False
            connection.sendall((f"HTTP/1.1 503 X\r\nX-Request-Id: {head['x-request-id']}\r\n{pause}"
                                "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").encode())
            return True
        silence = self.silence if is_first or self.other == "silent" else 0
        self.send_answer(connection, head, run, silence)
        run.sent_all = True
        return self.framing != "close"

    def pauses(self, started_by_main):
        """Whether the other server answers a request with its pause, which may begin with it."""
        with self.lock:
            if self.other == ("asks_for_pause" if started_by_main else "paused") \
                    and self.paused_until is None:
                self.paused_until = time.monotonic() + PAUSE_S
            return self.paused_until is not None and time.monotonic() < self.paused_until

    def serve_other_request(self, connection, head, is_first):
        """Answers the requests that prepare a server, and those on the connection of a caller."""
        lines = ["HTTP/1.1 200 OK", f"X-Request-Id: {head['x-request-id']}"]
        if not is_first and self.pauses(started_by_main=False):
            lines = ["HTTP/1.1 503 X", lines[1], "X-Not-Executed: 1", f"Retry-After: {PAUSE_S}"]
        elif not is_first and self.other == "leaving":
            lines.append("Server-Leaving: 1")
        connection.sendall(("\r\n".join(lines) + "\r\nContent-Length: 2\r\n\r\nok").encode())
        return True

    def wait_before_body(self):
        """Called by the servers before they read the body of a request."""
        if self.special == "server_reads_late":
            time.sleep(self.pause_s)

    def send_answer(self, connection, head, run, silence):
        pieces = self.pieces()[run.last_event:] if self.is_stream() else self.pieces()
        silent_piece = max(self.silent_piece() - run.last_event, 0)
        lines = ["HTTP/1.1 200 OK", f"X-Request-Id: {head['x-request-id']}",
                 f"Content-Type: {'text/event-stream' if self.is_stream() else 'text/plain'}"]
        if self.special == "own_server_leaves":
            lines.append("Server-Leaving: 1")
        if self.framing == "length":
            lines.append(f"Content-Length: {sum(len(piece) for piece in pieces)}")
        elif self.framing == "chunked":
            lines.append("Transfer-Encoding: chunked")
        if self.place == "before_head":
            time.sleep(silence)
        connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
        if self.place == "after_head":
            time.sleep(silence)
        for number, piece in enumerate(pieces):
            if self.place == "between_pieces" and number == silent_piece:
                time.sleep(silence)
            if self.framing == "chunked":
                piece = b"%x\r\n%s\r\n" % (len(piece), piece)
            half = len(piece) // 2
            if self.place == "in_first_piece" and number == 0:
                connection.sendall(piece[:half])
                time.sleep(silence)
                piece = piece[half:]
            connection.sendall(piece)
            if self.special == "early_answer" and number == silent_piece:
                time.sleep(self.pause_s)  # The body is not read meanwhile.
            if self.special == "long":
                time.sleep(LONG_INTERVAL_S)
            elif self.is_stream() and self.special != "slow_reader":
                time.sleep(EVENT_INTERVAL_S)
        if self.framing == "chunked":
            connection.sendall(b"0\r\n\r\n")

    def time_limit_s(self, column):
        """The shorter of the request's time limit and the timeout that its route may have."""
        return TIME_LIMIT_S - SHORTER_BY_S if column == "timeout" and not self.is_odd() \
            else TIME_LIMIT_S

    def is_allowed_end(self, column, changed_at):
        """Whether a request that got no answer may end as it did."""
        if self.elapsed >= self.time_limit_s(column) - MEASURING_SLACK_S:
            return True
        if changed_at is None:
            return False
        sent_after_change = self.sent_at > changed_at
        if column == "route_removed":
            return sent_after_change and self.reply.status == 404
        if column == "stop":
            if self.sent_at + self.elapsed - changed_at >= GRACE_S * 5 / 6:
                return True
            return sent_after_change and self.reply.status == 0 and not self.runs \
                and self.elapsed < LOSS_SLACK_S
        return False

    def violations(self, column, changed_at):
        """What is wrong with the end of the request. `changed_at` is the time of the change that
        the column is about, or None if it has not been made."""
        found = []
        executed = [run for run in self.runs if run.executed]
        if self.kind in RUN_ONCE and len(executed) > 1:
            found.append(f"ran {len(executed)} times")
        if len({run.server for run in self.runs}) > self.properties["attempts"]:
            found.append(f"sent to more servers than its {self.properties['attempts']} attempts")
        reply = self.reply
        expected = b"".join(self.pieces())
        if reply.status == 200 and not expected.startswith(reply.body):
            found.append("pieces are missing, doubled or of another answer")
        if column == "no_retries" and len(self.runs) > 1:
            found.append(f"sent {len(self.runs)} times without a budget")
        if self.was_closed_idle and column != "stop":
            found.append("a kept connection was closed before four fifths of its idle timeout")
        if not self.was_accepted or self.is_allowed_end(column, changed_at):
            return found
        if reply.status == 200 and reply.complete and reply.body == expected:
            pass
        elif reply.status in (503, 429) and reply.complete and "retry-after" in reply.headers:
            if executed:
                found.append(f"refused with {reply.status} although a server ran it")
        elif reply.status in (0, 200):
            found.append(f"no answer: closed connection {self.error}".rstrip()
                         if reply.status == 0 else
                         f"cut after {len(reply.body)} of {len(expected)} bytes"
                         if not reply.complete else
                         f"ended as complete after {len(reply.body)} of {len(expected)} bytes")
        else:
            found.append(f"status {reply.status}, Retry-After "
                         f"{reply.headers.get('retry-after', 'absent')}")
        second = self.second_reply
        if second and not (second.complete and (
                second.status == 200
                or (second.status in (503, 429) and "retry-after" in second.headers)
                or (second.status == 404 and column == "route_removed"))):
            found.append(f"the second request on the connection: status {second.status}")
        return found


def make_rows(column):
    """The properties of all cases of a column."""
    names = list(PROPERTIES)
    rows = [{}]
    for name, values in PROPERTIES.items():
        rows += [{name: value} for value in values[1:]]
    # A stream that has another server at hand, or waits for one, is where changes matter.
    for other in ("sound", "paused"):
        rows += [{"other": other, "keyed": True}, {"other": other, "place": "before_head"}]
    rows += [{"kind": kind, "place": place, "silence": 1.8}
             for kind in ("once", "repeatable", "payment") for place in PROPERTIES["place"][1:]]
    for pause_s in PAUSES_OF_READERS_S:
        rows += [{"special": "slow_reader", "kind": kind, "other": "sound", "pause_s": pause_s}
                 for kind in STREAMS]
        rows += [{"special": special, "kind": kind, "pause_s": pause_s}
                 for special in ("early_answer", "server_reads_late")
                 for kind in ("repeatable", "payment")]
    for kind in ("resumable", "payment"):
        rows += [{"special": "pipelined", "kind": kind},
                 {"special": "own_server_leaves", "kind": kind, "other": "sound"},
                 {"special": "vanishing", "kind": kind, "other": "none"},
                 {"special": "vanishing", "kind": kind, "other": "sound"},
                 {"special": "sent_late", "kind": kind, "start_s": CHANGE_AT_S + 0.1}]
    for kept_s in (0.8, 0.95, 1.0, 1.05, 1.1, 1.4):
        rows.append({"special": "kept", "kind": "payment", "kept_s": kept_s})
    for kind in ("repeatable", "payment"):
        rows += [{"special": "body_in_pieces", "kind": kind, "chunked_body": chunked}
                 for chunked in (False, True)]
    for kind in ROUTE_TYPES:
        rows.append({"special": "early_answer", "kind": kind})
    if column == "store_out":
        rows += [{"special": "long", "kind": kind, "other": other, "keyed": keyed, "silence": 1.0}
                 for kind, other, keyed in itertools.product(STREAMS, ("none", "sound"),
                                                             (False, True))]
    generator = seeded(SEED, column)
    rows += [{name: generator.choice(PROPERTIES[name]) for name in names}
             for _ in range(DRAWN_ROWS)]
    return rows


class EndSystem(ScriptedSystem):
    """The rows of one column: a service for each case, all played at once."""

    def __init__(self, build, column, slot):
        self.column = column
        self.cases = {f"c{number}": Case(number, **row)
                      for number, row in enumerate(make_rows(column), 1)}
        self.limits = dict(LIMITS)
        self.tenants = {"key-a": "chain-a", "key-b": "chain-b"}
        self.changed = False
        self.slot = slot
        self.started = self.changed_at = None
        settings = {"bounds.grace_s": GRACE_S}
        if column == "no_retries":
            settings.update({"bounds.retry_ratio": 0, "bounds.retry_slack": 0})
        super().__init__(build, {name: case.route() for name, case in self.cases.items()},
                         SERVERS + 1,
                         lambda server, connection, head:
                         self.cases[service_of(head)].serve(server, connection, head),
                         slot, settings,
                         self.answers_early)

    def answers_early(self, head):
        case = self.cases[service_of(head)]
        case.wait_before_body()
        return case.special == "early_answer"

    def route(self, name, properties):
        """The route of a case, or None if the operator has removed it."""
        route = dict(properties, name=name, host="shop.example", path_prefix=f"/{name}/",
                     service=name, target_latency_ms=400, priority=1)
        is_odd = self.cases[name].is_odd()
        if not self.changed:
            return route
        if self.column == "route_removed":
            return None
        if self.column == "timeout":
            route["timeout_ms"] += LONGER_BY_S * 1000 if is_odd else -SHORTER_BY_S * 1000
        elif self.column == "route_moved":
            del route["service"]
            weights = [{"service": "elsewhere", "weight": 50}]
            if is_odd:
                weights.append({"service": name, "weight": 50})
            route["weighted_services"] = weights
        return route

    def write_configuration(self):
        self.version += 1
        routes = [self.route(name, properties) for name, properties in self.routes.items()]
        tenants = [{"name": name, "api_keys": [key]} for key, name in self.tenants.items()]
        services = [{"name": name} for name in [*self.routes, "elsewhere"]]
        self.put({"op/config": {"version": self.version, "limits": self.limits,
                                "routes": [route for route in routes if route],
                                "tenants": tenants, "services": services}})

    def configure(self):
        self.write_configuration()
        entries = {"servers/elsewhere": self.entry_of("elsewhere", self.servers[ELSEWHERE])}
        for name, case in self.cases.items():
            entries[f"servers/{name}-0"] = self.entry_of(name, self.servers[0])
            if case.other not in ("none", "refuses"):
                entry = self.entry_of(name, self.servers[1])
                entry["state"] = "draining" if case.other == "draining" else "ready"
                entries[f"servers/{name}-1"] = entry
        self.put(entries)

    def put_late_entries(self):
        """Adds the servers that accept no connections, so that no request is sent there first."""
        for name, case in self.cases.items():
            if case.other == "refuses":
                entry = dict(self.entry_of(name, self.servers[1]),
                             address=f"127.{self.slot}.6.99:23300")
                self.put({f"servers/{name}-1": entry})

    def vanishing(self):
        """The keys and entries of the servers that run the cases about them."""
        found = {}
        for name, case in self.cases.items():
            if case.special == "vanishing" and case.first_server:
                number = self.servers.index(case.first_server)
                found[f"servers/{name}-{number}"] = self.entry_of(name, case.first_server)
        return found

    def change(self):
        """Makes the change that the column is about."""
        self.changed = True
        self.changed_at = time.monotonic()
        if self.column in ("idle_shorter", "idle_longer"):
            self.limits["idle_timeout_ms"] = 500 if self.column == "idle_shorter" else 4000
        elif self.column == "key_added":
            self.tenants["key-c"] = "chain-c"
        elif self.column == "key_removed":
            del self.tenants["key-b"]
        elif self.column == "settings":
            self.change_settings({"bounds.grace_s": GRACE_S - 1, "bounds.retry_slack": 50})
            self.signal("n0", signal.SIGHUP)
            return
        elif self.column == "stop":
            self.signal("n0", signal.SIGTERM)
            return
        elif self.column == "store_out":
            self.signal("store", signal.SIGSTOP)
            time.sleep(STORE_OUTAGE_S)
            self.signal("store", signal.SIGCONT)
            return
        elif self.column in ("alone", "no_retries"):
            return
        self.write_configuration()

    def run_operator(self):
        def wait_until(seconds):
            time.sleep(max(self.started + seconds - time.monotonic(), 0))

        wait_until(LATE_ENTRIES_AT_S)
        self.put_late_entries()
        wait_until(VANISH_S[0])
        entries = self.vanishing()
        if entries:
            self.write({"expected": [], "puts": [], "remove": list(entries)})
        wait_until(CHANGE_AT_S)
        self.change()
        wait_until(VANISH_S[1])
        if entries:
            self.put(entries)

    def request(self, case, suffix="", headers="", body=b"{}"):
        key = "Authorization: Bearer key-a\r\n" if case.properties["keyed"] else ""
        if "Transfer-Encoding" not in headers:
            headers += f"Content-Length: {len(body)}\r\n"
        head = (f"POST /c{case.number}/x HTTP/1.1\r\nHost: shop.example\r\n{key}"
                f"X-Request-Id: r{case.number}{suffix}\r\n"
                f"X-Request-Deadline: {int(TIME_LIMIT_S * 1000)}\r\n{headers}\r\n")
        return head.encode() + body

    def prepare_other_server(self, case):
        """Sends requests until the other server has announced its pause or that it leaves."""
        end = time.monotonic() + 0.4
        wait_s = 0
        while time.monotonic() < end and case.other in ("paused", "leaving"):
            time.sleep(wait_s)
            wait_s = 0.05
            if not case.first_server:
                continue
            with self.connect(case) as connection:
                connection.sendall(self.request(case, "-p"))
                read_reply(connection, b"")

    def connect(self, case):
        host, port = self.front_address(0).rsplit(":", 1)
        connection = socket.socket()
        connection.settimeout(CALLER_TIMEOUT_S)
        if case.special == "slow_reader":
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.connect((host, int(port)))
        return connection

    def play(self, case):
        time.sleep(case.start_s)
        case.reply = Reply()
        preparation = threading.Thread(target=self.prepare_other_server, args=(case,))
        try:
            with self.connect(case) as connection:
                if case.special == "kept":
                    connection.sendall(self.request(case, "-k"))
                    read_reply(connection, b"")
                    time.sleep(case.kept_s)
                    case.was_closed_idle = is_closed(connection)
                preparation.start()
                case.was_accepted = not case.was_closed_idle
                case.sent_at = time.monotonic()
                try:
                    self.send_main(case, connection)
                except OSError as error:  # There may be an answer all the same.
                    case.error = f"after {type(error).__name__}"
                case.sent_at = time.monotonic()
                if case.special == "slow_reader":
                    time.sleep(case.pause_s)
                case.reply = read_reply(connection, b"")
                case.elapsed = time.monotonic() - case.sent_at
                if case.special == "pipelined":
                    case.second_reply = read_reply(connection, case.reply.extra)
        except OSError:
            pass  # The node does not accept connections any more.
        if preparation.ident:
            preparation.join()
        return [(case, found) for found in [case.violations(self.column, self.changed_at)] if found]

    def send_main(self, case, connection):
        if case.special in ("early_answer", "server_reads_late"):
            connection.sendall(self.request(case, body=b"b" * EARLY_BODY_BYTES))
        elif case.special == "pipelined":
            connection.sendall(self.request(case) + self.request(case, "-2"))
        elif case.special == "body_in_pieces":
            piece = b"b" * BODY_PIECE_BYTES
            if case.chunked_body:
                connection.sendall(self.request(case, "", "Transfer-Encoding: chunked\r\n", b""))
                piece = b"%x\r\n%s\r\n" % (len(piece), piece)
            else:
                whole = self.request(case, body=piece * BODY_PIECES)
                connection.sendall(whole[:-len(piece) * BODY_PIECES])
            for _ in range(BODY_PIECES):
                time.sleep(BODY_PIECE_INTERVAL_S)
                connection.sendall(piece)
            if case.chunked_body:
                connection.sendall(b"0\r\n\r\n")
        else:
            connection.sendall(self.request(case))

    def trace(self, case):
        lines = [line for line in self.log("n0").split("\n")
                 if f"request=r{case.number} " in line + " "]
        return [f"    server: {run}" for run in case.runs] + [f"    {line}" for line in lines]


class AttemptEndTest(unittest.TestCase):

    def play_column(self, column, slot):
        system = EndSystem(BUILD_DIR, column, slot)
        try:
            wait_for("node 0 to be ready", lambda: system.is_ready(0))
            system.started = time.monotonic()
            operator = threading.Thread(target=system.run_operator)
            operator.start()
            with ThreadPoolExecutor(len(system.cases)) as pool:
                red = [case for cases in pool.map(system.play, system.cases.values())
                       for case in cases]
            operator.join()
            has_ended = column != "stop" and system.processes["n0"].poll() is not None
            lines = ["the node has ended"] if has_ended else []
            for case, found in red:
                lines.append(f"{column} {case} (seed {SEED}): " + "; ".join(found))
                lines += system.trace(case)
            lines += [f"    {column}, without a request's id: {line}"
                      for line in system.log("n0").split("\n") if "event=request_rejected" in line]
            late = max(case.sent_at - system.started for case in system.cases.values()
                       if not case.special)
            print(f"{column}: {len(system.cases)} requests, the last one sent after {late:.2f} s, "
                  f"{len(red)} red", file=sys.stderr)
            return lines
        finally:
            system.stop()

    def test_sound_server_and_whole_request_lead_to_a_complete_answer(self):
        with ThreadPoolExecutor(CONCURRENT_SYSTEMS) as pool:
            results = list(pool.map(self.play_column, COLUMNS, range(len(COLUMNS))))
        lines = [line for result in results for line in result]
        self.assertFalse(lines, "\n" + "\n".join(lines))


if __name__ == "__main__":
    unittest.main(verbosity=2)
