"""One request that crashes each server that runs it, sent again and again to three nodes.

Usage: repeated_request_test.py BUILD_DIR [unittest arguments]

The request names no parts of a prompt: it is recognised by its path, caller and body. Three seconds
after the third crash it may reach servers three times more. Sound requests are served, those that
differ from it in one byte and those that many callers send among them. REPEATED_SEED selects the
requests and how servers end.
"""

import os
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from crashing_server import Fleet  # noqa: E402
from platform_system import ZONES, wait_for  # noqa: E402
from scripted_server import call, seeded  # noqa: E402
from scripted_system import ScriptedSystem  # noqa: E402

BUILD_DIR = sys.argv.pop(1) if len(sys.argv) > 1 else "build"
SEED = os.environ.get("REPEATED_SEED", "1")
NODES = 3
PLAIN, STREAM = "lookup", "llm"
ROUTES = {PLAIN: {"route_type": "idempotent", "timeout_ms": 1500, "max_attempts": 3},
          STREAM: {"route_type": "streaming", "resumable": True, "sticky": True,
                   "timeout_ms": 6000, "max_attempts": 3}}
KEY = "key-a"
CALLER_TIMEOUT_S = 8
SOUND_CALLERS = 3  # At each node.
SOUND_PAUSE_S = 0.08
CRASHES = 3
KNOWN_S = 3.0  # After the third crash, and after the start of a node.
MAX_LATE_ARRIVALS = 3
LATE_S = 8.0
CALM_S = 4.0  # The servers are back then.
MIN_SHARE_SERVED = 0.9
NODE_DOWN_S = 0.3
LARGE_BODY = 150_000


class RepeatedRequestTest(unittest.TestCase):

    def start(self, name, servers=3, ways=("fin", "reset"), body_size=40, service=PLAIN):
        self.name, self.service = name, service
        self.calls, self.threads, self.lock = [], [], threading.Lock()
        generator = seeded(SEED, name, "bodies")
        self.harmful_body = bytes(generator.choices(b"abcdefgh", k=body_size))
        position = generator.randrange(body_size)
        # Differs from the harmful body in one byte.
        self.popular_body = (self.harmful_body[:position] + b"x"
                             + self.harmful_body[position + 1:])
        addresses = [f"127.0.9.{number + 1}:23500" for number in range(servers)]
        self.fleet = Fleet(f"{SEED}/{name}", addresses, ZONES)
        self.addCleanup(self.fleet.stop)
        self.fleet.plain_services, self.fleet.ways = (PLAIN,), ways
        self.fleet.harmful_body = self.harmful_body
        self.system = ScriptedSystem(BUILD_DIR, ROUTES, self.fleet.servers, nodes=NODES,
                                     keys={KEY: "chain-a"})
        self.addCleanup(self.system.stop)
        self.addCleanup(self.fleet.stop)  # Before the store.
        self.fleet.publish = self.system.publish
        self.fleet.withdraw = self.system.withdraw
        self.node_starts = [[time.monotonic()] for _ in range(NODES)]
        for number in range(NODES):
            wait_for(f"node {number} to be ready", lambda n=number: self.system.is_ready(n))
        self.ended = threading.Event()
        self.addCleanup(self.ended.set)
        for caller in range(SOUND_CALLERS * NODES):
            self.run_thread(self.send_sound_requests, caller)
        time.sleep(1.5)

    def run_thread(self, function, *arguments):
        thread = threading.Thread(target=function, args=arguments, daemon=True)
        self.threads.append(thread)
        thread.start()

    def send(self, request, node, body):
        sent = {"request": request, "node": node, "harmful": body == self.harmful_body,
                "at": time.monotonic(), "reply": None}
        with self.lock:
            self.calls.append(sent)
        head = (f"POST /{self.service}/x HTTP/1.1\r\nHost: shop.example\r\n"
                f"X-Request-Id: {request}\r\nAuthorization: Bearer {KEY}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n")
        sent["reply"] = call(self.system.front_address(node), head.encode() + body,
                             CALLER_TIMEOUT_S)

    def send_sound_requests(self, caller):
        """Half of them have the popular body."""
        generator = seeded(SEED, self.name, "sound", caller)
        number = 0
        while not self.ended.wait(SOUND_PAUSE_S):
            number += 1
            body = (self.popular_body if generator.random() < 0.5
                    else str(generator.getrandbits(64)).encode())
            self.send(f"sound-{caller}-{number}", caller % NODES, body)

    def send_harmful_requests(self, interval, at_once):
        generator = seeded(SEED, self.name, "harmful")
        number = 0
        while True:
            for node in generator.sample(range(NODES), NODES) * at_once if at_once else (
                    generator.randrange(NODES),):
                number += 1
                self.run_thread(self.send, f"harmful-{number}", node, self.harmful_body)
            if self.ended.wait(interval):
                return

    def third_crash(self):
        crashes = self.fleet.crashes
        return crashes[CRASHES - 1][0] if len(crashes) >= CRASHES else None

    def play(self, interval, at_once=0, during=lambda: None):
        self.run_thread(self.send_harmful_requests, interval, at_once)
        deadline = time.monotonic() + 20
        while not self.third_crash() and time.monotonic() < deadline:
            time.sleep(0.02)
        self.assertIsNotNone(self.third_crash())
        time.sleep(max(0, self.third_crash() + KNOWN_S - time.monotonic()))
        during()
        time.sleep(LATE_S)
        self.finish()
        self.check()

    def finish(self):
        self.ended_at = time.monotonic()
        self.ended.set()
        for thread in self.threads:
            thread.join(CALLER_TIMEOUT_S + 2)
            self.assertFalse(thread.is_alive(), "a call has no end")

    def sender_age(self, sent, now):
        return now - max(at for at in self.node_starts[sent["node"]] if at <= sent["at"])

    def check(self):
        calls = {sent["request"]: sent for sent in self.calls}
        third = self.third_crash()
        late = [at - third for at, request, _ in self.fleet.arrivals
                if calls[request]["harmful"] and at > third + KNOWN_S
                and self.sender_age(calls[request], at) >= KNOWN_S]
        arrived = {request for _, request, _ in self.fleet.arrivals}
        untrue = [sent["request"] for sent in self.calls
                  if sent["reply"].status == 503 and sent["request"] in arrived]
        print(f"{self.name}, seed {SEED}: {sum(sent['harmful'] for sent in self.calls)} harmful "
              f"requests, {len(self.fleet.crashes)} crashes, {len(late)} arrivals too late at "
              f"{[round(at, 1) for at in late[:40]]}", file=sys.stderr)
        with self.subTest("harmful requests that servers got"):
            self.assertLessEqual(len(late), MAX_LATE_ARRIVALS)
        with self.subTest("requests that ran are not refused as not run"):
            self.assertEqual(untrue, [])
        self.check_sound_requests(third + KNOWN_S + CALM_S)

    def check_sound_requests(self, calm_at):
        calm = [sent for sent in self.calls
                if not sent["harmful"] and calm_at <= sent["at"] < self.ended_at]
        served = [sent for sent in calm if sent["reply"].status == 200 and sent["reply"].complete]
        print(f"{self.name}: {len(served)} of {len(calm)} sound requests served at the end",
              file=sys.stderr)
        with self.subTest("sound requests"):
            self.assertGreater(len(calm), 20)
            self.assertGreaterEqual(len(served) / len(calm), MIN_SHARE_SERVED)

    def test_request_that_comes_again_at_any_node_is_stopped(self):
        self.start("series")
        self.play(0.4)

    def test_many_at_once_at_all_nodes_are_stopped(self):
        self.start("bursts", body_size=LARGE_BODY)
        self.play(4.0, at_once=3)

    def test_servers_that_end_without_a_reset_are_counted(self):
        self.start("silent", ways=("silent",))
        self.play(0.7)

    def test_stream_without_parts_is_stopped(self):
        self.start("stream", servers=9, service=STREAM)
        self.play(0.4)

    def test_stream_under_which_servers_end_late_is_stopped(self):
        """They have been writing its events for more than a second."""
        self.start("late", servers=9, service=STREAM)
        self.fleet.crash_delay, self.fleet.writes_until_crash = (1.2, 2.0), True
        self.play(0.7)

    def test_nodes_that_start_again_know_the_request(self):
        self.start("restarts")

        def restart():
            for numbers in ([1], range(NODES)):
                self.system.restart_nodes(numbers, NODE_DOWN_S)
                for number in numbers:
                    self.node_starts[number].append(time.monotonic())
                time.sleep(KNOWN_S + 1)
        self.play(0.4, during=restart)

    def test_sound_requests_are_served_after_servers_ended_for_other_causes(self):
        """All three servers of a service end at once while one popular request runs on all."""
        self.start("sound")
        for _ in range(3):
            self.fleet.crash(self.fleet.servers)
            time.sleep(CALM_S)
        calm_at = time.monotonic()
        time.sleep(CALM_S)
        self.finish()
        self.check_sound_requests(calm_at)


if __name__ == "__main__":
    unittest.main(verbosity=2)
