"""Servers that name a limit on their request rate, seen from their own sockets (LIMIT).

Usage: server_limit_test.py BUILD_DIR [unittest arguments]
"""

import http.client
import os
import signal
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from platform_system import send_request, wait_for  # noqa: E402
from scripted_server import Answer  # noqa: E402
from scripted_system import ScriptedSystem, service_of  # noqa: E402

BUILD_DIR = sys.argv.pop(1) if len(sys.argv) > 1 else "build"
WINDOW_S = 4.0  # Time over which a server counts requests.
OVERSHOOT, SLACK = 1.5, 5  # A server gets OVERSHOOT x limit x WINDOW_S + SLACK at most.
KNOWN_AFTER_S = 1.0  # All nodes act on a limit this long after it was first named.
USED_SHARE = 0.75  # Of what a server allows, while callers want more.
REFUSED_WITHIN_S = 1.0  # A request that no server can take: 0.4 s of target latency and 0.5 s.
SERVERS, NODES = 3, 6
ROUTES = {
    "stream": {"route_type": "streaming", "resumable": True, "timeout_ms": 6000,
               "max_attempts": 3},
    "repeatable": {"route_type": "idempotent", "timeout_ms": 6000, "max_attempts": 3},
    "payment": {"route_type": "non_idempotent", "timeout_ms": 6000, "max_attempts": 3}}


class Service:
    """What the servers of a service say and see.

    `limit(seconds)` is what a server names at a time since the start of the calls, or None.
    `limited` is the number of servers that name it; the others take any number of requests.
    """

    def __init__(self, kind, limit, limited=SERVERS, callers=(0,), interval=0.1,
                 refusals_only=False, duration=0.0):
        self.kind, self.limit, self.limited, self.callers, self.interval = \
            kind, limit, limited, callers, interval
        self.refusals_only, self.duration = refusals_only, duration
        self.lock = threading.Lock()
        self.arrivals = {}  # Times of the requests at each server that names a limit.
        self.others = 0  # Requests at servers without a limit.
        self.first_named = {}
        self.replies = []  # Time, status, Retry-After and duration of each call.

    def serve(self, number, connection, head, seconds):
        limit = self.limit(seconds) if number < self.limited else None
        headers = [("X-Request-Id", head["x-request-id"])]
        with self.lock:
            if number < self.limited:
                mine = self.arrivals.setdefault(number, [])
                mine.append(seconds)
                recent = sum(1 for at in mine if seconds - WINDOW_S < at)
                is_full = limit is not None and recent > limit * WINDOW_S + 1
            else:
                self.others += 1
                is_full = False
        is_refused = self.refusals_only and is_full
        if limit is not None and (is_refused or not self.refusals_only):
            headers.append(("Server-Limit", str(limit)))
            with self.lock:
                self.first_named.setdefault(number, seconds)
        pieces = [b"ok"]
        if is_refused:
            headers.append(("X-Not-Executed", "1"))
        elif self.kind == "stream":
            headers.append(("Content-Type", "text/event-stream"))
            pieces = [b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n"]
        answer = Answer(headers, pieces, "chunked", [1] * len(pieces))
        wire = answer.wire.replace(b"200 OK", b"503 Full", 1) if is_refused else answer.wire
        if self.duration and not is_refused:
            connection.sendall(wire[:answer.head_length])
            time.sleep(self.duration)
            connection.sendall(wire[answer.head_length:])
        else:
            connection.sendall(wire)
        return True

    def most_in_window(self, number, since, until):
        """The most requests that a server got in a window that begins from `since` on."""
        times = [at for at in self.arrivals.get(number, []) if since <= at < until]
        return max((sum(1 for at in times if start <= at < start + WINDOW_S) for start in times),
                   default=0)

    def count(self, number, since, until):
        return sum(1 for at in self.arrivals.get(number, []) if since <= at < until)


class LimitTest(unittest.TestCase):

    def play(self, services, seconds, events=()):
        """Sends requests to all services. `events` are times and functions."""
        self.services = services
        self.started = time.monotonic()
        self.system = ScriptedSystem(
            BUILD_DIR, {name: ROUTES[service.kind] for name, service in services.items()}, SERVERS,
            self.serve, nodes=NODES)
        self.addCleanup(self.system.stop)
        for number in range(NODES):
            wait_for(f"node {number} to be ready", lambda n=number: self.system.is_ready(n))
        time.sleep(2)  # Until the nodes know each other.
        self.started = time.monotonic()
        callers = [threading.Thread(target=self.call_until, args=(name, node, copy, seconds))
                   for name, service in services.items() for node in service.callers
                   for copy in range(2)]
        for caller in callers:
            caller.start()
        for at, action in events:
            time.sleep(max(0, self.started + at - time.monotonic()))
            action()
        for caller in callers:
            caller.join()

    def serve(self, server, connection, head):
        if "x-request-id" not in head:  # A check by a node.
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            return True
        number = self.system.servers.index(server)
        return self.services[service_of(head)].serve(number, connection, head,
                                                     time.monotonic() - self.started)

    def call_until(self, name, node, copy, seconds):
        service = self.services[name]
        host, port = self.system.front_address(node).rsplit(":", 1)
        connection = None
        number = 0
        while time.monotonic() < self.started + seconds:
            number += 1
            begun = time.monotonic()
            try:
                connection = connection or http.client.HTTPConnection(host, int(port), timeout=8)
                connection.request("POST", f"/{name}/x", b"{}",
                                   {"Host": "shop.example",
                                    "X-Request-Id": f"{name}-{node}-{copy}-{number}",
                                    "X-Request-Deadline": "6000"})
                response = connection.getresponse()
                response.read()
                reply = (begun - self.started, response.status,
                         response.getheader("Retry-After"), time.monotonic() - begun)
                with service.lock:
                    service.replies.append(reply)
            except (OSError, http.client.HTTPException):
                connection = None  # The node was killed.
                time.sleep(0.1)
            time.sleep(max(0, service.interval - (time.monotonic() - begun)))

    def check_bound(self, name, number, limit, since, until):
        service = self.services[name]
        most = service.most_in_window(number, since, until)
        self.assertLessEqual(most, OVERSHOOT * limit * WINDOW_S + SLACK,
                             f"{name}, server {number}, limit {limit}")

    def check_used(self, name, number, limit, since, until):
        service = self.services[name]
        self.assertGreaterEqual(service.count(number, since, until),
                                USED_SHARE * limit * (until - since),
                                f"{name}, server {number}, limit {limit}")

    def check_refusals(self, name):
        refused = [reply for reply in self.services[name].replies if reply[1] != 200]
        self.assertTrue(refused, name)
        for at, status, retry_after, seconds in refused:
            self.assertEqual(status, 503, f"{name} at {at}")
            self.assertGreater(float(retry_after), 0)
            self.assertLess(seconds, REFUSED_WITHIN_S)

    def test_server_gets_what_it_allows(self):
        end = 17
        services = {kind + "-uneven": Service(kind, lambda _: 2.0) for kind in ROUTES}
        services.update({
            "even": Service("repeatable", lambda _: 3.0, callers=range(NODES), interval=0.3),
            "slow": Service("repeatable", lambda _: 0.5, callers=(1, 4), interval=0.2),
            "head": Service("stream", lambda _: 2.0, callers=range(NODES), duration=1.0),
            "some": Service("repeatable", lambda _: 1.0, limited=1, callers=(0, 3, 5)),
            "refusals": Service("payment", lambda _: 2.0, refusals_only=True, callers=(0, 2))})
        self.play(services, end)
        for name, service in services.items():
            with self.subTest(name):
                limit = service.limit(0)
                for number in range(service.limited):
                    self.assertIn(number, service.first_named)
                    self.check_bound(name, number, limit, KNOWN_AFTER_S, end)
                    if name != "some":
                        self.check_used(name, number, limit, 5, end)
                if name == "some":
                    self.assertEqual({reply[1] for reply in service.replies}, {200})
                    self.assertGreater(service.others, 0)
                else:
                    self.check_refusals(name)

    def test_limit_that_changes_or_is_withdrawn(self):
        def limit(seconds):
            return 6.0 if seconds < 7 else 1.0 if seconds < 14 else None

        end = 20
        services = {"changing": Service("repeatable", limit, callers=(0, 1, 2), interval=0.05)}
        self.play(services, end)
        for number in range(SERVERS):
            self.check_bound("changing", number, 6.0, KNOWN_AFTER_S, 7)
            self.check_bound("changing", number, 1.0, 7 + KNOWN_AFTER_S, 14)
            self.check_used("changing", number, 6.0, 3, 7)
            # Without a limit the servers share all requests, 60 a second.
            self.assertGreater(services["changing"].count(number, 17, end), 30)

    def test_limit_holds_when_nodes_start_again_and_the_store_is_away(self):
        end = 22
        services = {"even": Service("repeatable", lambda _: 2.0, callers=range(NODES),
                                    interval=0.2),
                    "uneven": Service("repeatable", lambda _: 2.0, callers=(1, 2), interval=0.1)}

        def restart(number):
            self.system.kill(f"n{number}")
            self.system.start_node(number)

        events = [(5, lambda: restart(0)),
                  (6, lambda: self.system.signal("n5", signal.SIGSTOP)),
                  (8, lambda: self.system.signal("n5", signal.SIGCONT)),
                  (9, lambda: (self.system.signal("n3", signal.SIGTERM))),
                  (10, lambda: self.system.signal("store", signal.SIGSTOP)),
                  (13, lambda: self.system.signal("store", signal.SIGCONT)),
                  (15, lambda: (self.system.kill("n3"), self.system.start_node(3)))]
        self.play(services, end, events)
        for name in services:
            for number in range(SERVERS):
                with self.subTest(name, server=number):
                    self.check_bound(name, number, 2.0, KNOWN_AFTER_S, end)

    def test_limit_ends_with_the_run_of_its_server(self):
        restarted = threading.Event()
        services = {"born": Service("repeatable",
                                    lambda _: None if restarted.is_set() else 0.2,
                                    callers=(0, 1, 2), interval=0.1)}

        def restart():
            restarted.set()
            self.system.put({f"servers/born-{number}": self.system.entry_of(
                "born", server, born=2) for number, server in enumerate(self.system.servers)})

        self.play(services, 10, [(7, restart)])
        for number in range(SERVERS):
            self.check_bound("born", number, 0.2, KNOWN_AFTER_S, 7)
            self.assertGreater(services["born"].count(number, 8, 10), 10)

    def test_unusable_limits_are_reported_and_limit_nothing(self):
        values = ("-1", "many", "1,5", "0x5", "1e3", "inf", "nan")
        services = {f"s{number}": Service("repeatable", lambda _, value=value: value, callers=(0,))
                    for number, value in enumerate(values)}
        for service in services.values():
            service.serve = lambda number, connection, head, seconds, kept=service: \
                self.name_unusable(kept, connection, head)
        self.play(services, 2)
        log = self.system.log("n0")
        for name, service in services.items():
            with self.subTest(service.limit(0)):
                self.assertIn("event=server_limit_invalid request=" + name, log)
                self.assertEqual({reply[1] for reply in service.replies}, {200})
        self.assertNotIn("event=server_limit ", log)
        self.assertEqual(
            send_request(self.system.front_address(0), "POST", "/s0/x", b"{}",
                         {"Host": "shop.example", "X-Request-Id": "last"}).status, 200)

    @staticmethod
    def name_unusable(service, connection, head):
        headers = [("X-Request-Id", head["x-request-id"]), ("Server-Limit", service.limit(0))]
        connection.sendall(Answer(headers, [b"ok"], "length", [1]).wire)
        return True


if __name__ == "__main__":
    unittest.main(verbosity=2)
