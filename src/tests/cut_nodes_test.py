"""Nodes that reach no server, while callers, the store and the other nodes reach them.

Usage: cut_nodes_test.py BUILD_DIR [unittest arguments]

From three seconds after the cut on, their callers are served at their first attempt at least two
thirds as often as those of the other nodes, payments run at most once, and what is refused as not
run has not run. CUT_SEED selects the requests and the nodes.
"""

import os
import re
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from crashing_server import EVENTS, LINK_CUTS, Fleet  # noqa: E402
from platform_system import ZONES, wait_for  # noqa: E402
from scripted_server import call, seeded  # noqa: E402
from scripted_system import ScriptedSystem  # noqa: E402

BUILD_DIR = sys.argv.pop(1) if len(sys.argv) > 1 else "build"
SEED = os.environ.get("CUT_SEED", "1")
NODES = 4
SERVERS = 6
PLAIN, PAYMENT, STREAM = "lookup", "pay", "llm"
ROUTES = {PLAIN: {"route_type": "idempotent", "timeout_ms": 1500, "max_attempts": 3},
          PAYMENT: {"route_type": "non_idempotent", "timeout_ms": 1500, "max_attempts": 1},
          STREAM: {"route_type": "streaming", "resumable": True, "sticky": True,
                   "timeout_ms": 6000, "max_attempts": 3}}
KEY = "key-a"
CALLER_TIMEOUT_S = 8
CALLERS = 3  # At each node, one for each service.
PAUSE_S = 0.1
KNOWN_S = 3.0  # After the cut.
CUT_S = 8.0
BACK_S = 1.0  # After the cut, until servers are used again.
MIN_SHARE = 2 / 3


class CutNodesTest(unittest.TestCase):

    def start(self, name):
        self.name = name
        self.calls, self.threads, self.lock = [], [], threading.Lock()
        addresses = [f"127.0.10.{number + 1}:23600" for number in range(SERVERS)]
        self.fleet = Fleet(f"{SEED}/{name}", addresses, ZONES)
        self.addCleanup(self.fleet.stop)
        self.fleet.plain_services = (PLAIN, PAYMENT)
        self.system = ScriptedSystem(BUILD_DIR, ROUTES, self.fleet.servers, nodes=NODES,
                                     keys={KEY: "chain-a"})
        self.addCleanup(self.system.stop)
        self.addCleanup(self.fleet.stop)  # Before the store.
        for number in range(NODES):
            wait_for(f"node {number} to be ready", lambda n=number: self.system.is_ready(n))
        self.fleet.known_pids = [self.system.processes[f"n{number}"].pid
                                 for number in range(NODES)]
        self.ended = threading.Event()
        self.addCleanup(self.ended.set)
        for caller in range(CALLERS * NODES):
            thread = threading.Thread(target=self.send_requests, args=(caller,), daemon=True)
            self.threads.append(thread)
            thread.start()
        time.sleep(2)

    def send_requests(self, caller):
        generator = seeded(SEED, self.name, caller)
        node, service = caller % NODES, (PLAIN, PAYMENT, STREAM)[caller // NODES]
        number = 0
        while not self.ended.wait(PAUSE_S):
            number += 1
            request = f"{service}-{caller}-{number}"
            body = str(generator.getrandbits(64)).encode()
            head = (f"POST /{service}/x HTTP/1.1\r\nHost: shop.example\r\n"
                    f"X-Request-Id: {request}\r\nAuthorization: Bearer {KEY}\r\n"
                    f"X-Request-Deadline: {ROUTES[service]['timeout_ms']}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n")
            at = time.monotonic()
            reply = call(self.system.front_address(node), head.encode() + body, CALLER_TIMEOUT_S)
            with self.lock:
                self.calls.append((request, node, service, at, reply))

    @staticmethod
    def is_served(service, reply):
        events = re.findall(rb"^id: (\d+)$", reply.body, re.MULTILINE)
        whole = service != STREAM or [int(event) for event in events] == list(
            range(1, EVENTS + 1))
        return reply.status == 200 and reply.complete and whole

    def share(self, nodes, begin, end):
        found = [self.is_served(service, reply) for _, node, service, at, reply in self.calls
                 if node in nodes and begin <= at < end]
        return sum(found), len(found)

    def play(self, name, way, nodes):
        self.start(name)
        pids = [self.fleet.known_pids[node] for node in nodes]
        others = [node for node in range(NODES) if node not in nodes]
        cut_at = time.monotonic()
        self.fleet.cut_links(pids, way)
        time.sleep(CUT_S)
        healed_at = time.monotonic()
        self.fleet.cut_links(pids, None)
        time.sleep(BACK_S + 2)
        ended_at = time.monotonic()
        self.ended.set()
        for thread in self.threads:
            thread.join(CALLER_TIMEOUT_S + 2)
            self.assertFalse(thread.is_alive(), "a call has no end")
        served, sent = self.share(nodes, cut_at + KNOWN_S, healed_at - 0.2)
        served_others, sent_others = self.share(others, cut_at + KNOWN_S, healed_at - 0.2)
        back, sent_back = self.share(nodes, healed_at + BACK_S, ended_at)
        print(f"{name}, seed {SEED}: nodes {nodes} of {NODES} cut off ({way}) served {served} of "
              f"{sent}, the others {served_others} of {sent_others}; after the cut {back} of "
              f"{sent_back}", file=sys.stderr)
        with self.subTest("callers of nodes that are cut off"):
            self.assertGreaterEqual(served / sent, MIN_SHARE * served_others / sent_others)
        with self.subTest("callers of the others"):
            self.assertGreater(served_others / sent_others, 0.9)
        with self.subTest("callers after the cut"):
            self.assertGreater(back / sent_back, 0.9)
        with self.subTest("direct again after the cut"):
            direct = [request for at, request, server in self.fleet.arrivals
                      if at > healed_at + BACK_S and int(request.split("-")[1]) % NODES in nodes
                      and self.fleet.senders.get(request) in pids]
            self.assertGreater(len(direct), sent_back / 2)
        self.check_runs()

    def check_runs(self):
        runs = {}
        for _, request, _ in self.fleet.arrivals:
            runs[request] = runs.get(request, 0) + 1
        with self.subTest("payments run at most once"):
            self.assertEqual([request for request, count in runs.items()
                              if request.startswith(PAYMENT) and count > 1], [])
        with self.subTest("what is refused as not run has not run"):
            self.assertEqual([request for request, _, _, _, reply in self.calls
                              if reply.status in (429, 503) and request in runs], [])
        with self.subTest("nodes live"):
            for number in range(NODES):
                self.assertIsNone(self.system.processes[f"n{number}"].poll())

    def chosen(self, name, count):
        return sorted(seeded(SEED, name, "nodes").sample(range(NODES), count))

    def test_connections_are_reset(self):
        self.play("reset", LINK_CUTS[0], self.chosen("reset", 1))

    def test_connections_hang(self):
        self.play("silent", LINK_CUTS[1], self.chosen("silent", 2))

    def test_old_connections_live_and_new_ones_are_reset(self):
        self.play("new", LINK_CUTS[2], self.chosen("new", 2))

    def test_most_nodes_are_cut_off(self):
        self.play("most", LINK_CUTS[0], self.chosen("most", 3))


if __name__ == "__main__":
    unittest.main(verbosity=2)
