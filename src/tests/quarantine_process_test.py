"""Prompts with a part that crashes each server that begins to answer them, at three nodes.

Usage: quarantine_process_test.py BUILD_DIR [unittest arguments]

Such requests must not end server after server, sound requests with the same other parts must be
served, and crashes for other reasons must not make any part suspect. QUARANTINE_SEED selects the
requests, the servers that crash and how they do it.
"""

import os
import re
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from crashing_server import EVENTS, Fleet  # noqa: E402
from platform_system import ZONES, wait_for  # noqa: E402
from scripted_server import call, seeded  # noqa: E402
from scripted_system import ScriptedSystem  # noqa: E402

BUILD_DIR = sys.argv.pop(1) if len(sys.argv) > 1 else "build"
SEED = os.environ.get("QUARANTINE_SEED", "1")
NODES = 3
SERVERS = 15
SERVICE = "llm"
ROUTES = {SERVICE: {"route_type": "streaming", "resumable": True, "sticky": True,
                    "timeout_ms": 6000, "max_attempts": 3}}
KEY = "key-a"
CALLER_TIMEOUT_S = 8
SOUND_CALLERS = 8  # At each node.
SOUND_PAUSE_S = 0.05
FAST_INTERVAL_S = 0.15  # Between harmful requests.
SLOW_INTERVAL_S = 1.2
BEFORE_S = 3.0  # Sound requests alone.
# The crashes after which a part has to be known, the time that this may take, also after the start
# of a node, and the harmful requests that servers may still get after it.
CRASHES = 5
KNOWN_S = 3.0
MAX_LATE_ARRIVALS = 3
LATE_S = 10.0
# From this time after the last of these crashes on, sound requests are served.
CALM_S = 6.0
MIN_SHARE_SERVED = 0.5  # Of that before the series.
MAX_REFUSAL_S = 0.1
# Without that many crashes, these are waited for as long as one for each request takes, and this.
FIRST_CRASHES_SLACK_S = 2.0
NODE_DOWN_S = 0.3
ORDINARY_CRASHES = 8
ORDINARY_INTERVAL_S = 0.4
BROKEN_SHARE = 0.4


class Call:
    """One request of a caller."""

    def __init__(self, request, node, harmful):
        self.request, self.node, self.harmful = request, node, harmful
        self.sent_at, self.seconds, self.reply = time.monotonic(), None, None

    def is_served(self):
        """Whether it was answered with all events."""
        events = re.findall(rb"^id: (\d+)$", self.reply.body, re.MULTILINE)
        return (self.reply.status == 200 and self.reply.complete
                and [int(event) for event in events] == list(range(1, EVENTS + 1)))


class QuarantineTest(unittest.TestCase):

    def start(self, name):
        """Starts the servers and nodes and the sound traffic."""
        self.name, self.calls, self.threads, self.lock = name, [], [], threading.Lock()
        generator = seeded(SEED, name, "parts")
        ids = [f"{generator.getrandbits(32):08x}" for _ in range(6)]
        self.harmful_part, self.first_part, self.shared_parts = ids[0], ids[1], ids[2:]
        addresses = [f"127.0.7.{number + 1}:23400" for number in range(SERVERS)]
        self.fleet = Fleet(f"{SEED}/{name}", addresses, ZONES)
        self.addCleanup(self.fleet.stop)
        self.fleet.harmful_part = self.harmful_part
        self.system = ScriptedSystem(BUILD_DIR, ROUTES, self.fleet.servers, nodes=NODES,
                                     keys={KEY: "chain-a"})
        self.addCleanup(self.system.stop)
        self.addCleanup(self.fleet.stop)  # Before the store.
        self.fleet.publish = self.system.publish
        self.fleet.withdraw = self.system.withdraw
        # Taken after the start, so that no node counts as older than it is.
        self.node_starts = [[time.monotonic()] for _ in range(NODES)]
        for number in range(NODES):
            wait_for(f"node {number} to be ready", lambda n=number: self.system.is_ready(n))
        self.sound_ended, self.series_ended = threading.Event(), threading.Event()
        self.addCleanup(self.sound_ended.set)
        self.addCleanup(self.series_ended.set)
        self.started_at = time.monotonic()
        for caller in range(SOUND_CALLERS * NODES):
            self.run_thread(self.send_sound_requests, caller)
        time.sleep(BEFORE_S)

    def run_thread(self, function, *arguments):
        thread = threading.Thread(target=function, args=arguments, daemon=True)
        self.threads.append(thread)
        thread.start()

    def prompt(self, generator, harmful):
        """The parts of a prompt: the first, two shared ones, and its own. The harmful one comes
        before the first, between these or before its own."""
        parts = [self.first_part] + generator.sample(self.shared_parts, 2)
        if harmful:
            parts.insert(generator.randrange(len(parts) + 1), self.harmful_part)
        parts.append(f"{generator.getrandbits(32):08x}")
        return ",".join(f"{part}:{100 + int(part, 16) % 900}" for part in parts)

    def send(self, request, node, harmful, prompt):
        sent = Call(request, node, harmful)
        with self.lock:
            self.calls.append(sent)
        head = (f"POST /{SERVICE}/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {request}\r\n"
                f"X-Request-Deadline: 6000\r\nAuthorization: Bearer {KEY}\r\n"
                f"X-Prompt-Prefix: {prompt}\r\nContent-Length: 2\r\n\r\n{{}}")
        sent.reply = call(self.system.front_address(node), head.encode(), CALLER_TIMEOUT_S)
        sent.seconds = time.monotonic() - sent.sent_at

    def send_sound_requests(self, caller):
        generator = seeded(SEED, self.name, "sound", caller)
        number = 0
        while not self.sound_ended.wait(SOUND_PAUSE_S):
            number += 1
            self.send(f"sound-{caller}-{number}", caller % NODES, False,
                      self.prompt(generator, False))

    def send_harmful_requests(self, interval):
        """Sends one after each interval at any node, whether others are still unanswered or not."""
        generator = seeded(SEED, self.name, "harmful")
        number, due_at = 0, time.monotonic()
        while not self.series_ended.wait(max(0, due_at - time.monotonic())):
            number += 1
            due_at += interval
            self.run_thread(self.send, f"harmful-{number}", generator.randrange(NODES), True,
                            self.prompt(generator, True))

    def fifth_crash(self):
        """When it was; nothing if there were fewer."""
        crashes = self.fleet.crashes
        return crashes[CRASHES - 1][0] if len(crashes) >= CRASHES else None

    def start_series(self, interval):
        """Starts harmful requests. Returns the time of the fifth crash, or when the nodes had long
        enough to prevent it."""
        self.series_at = time.monotonic()
        self.run_thread(self.send_harmful_requests, interval)
        while time.monotonic() < self.series_at + CRASHES * interval + FIRST_CRASHES_SLACK_S:
            if self.fifth_crash():
                return self.fifth_crash()
            time.sleep(0.02)
        return time.monotonic()

    def finish(self):
        """Ends all requests, sound ones last."""
        self.ended_at = time.monotonic()
        self.series_ended.set()
        self.sound_ended.set()
        for thread in self.threads:
            thread.join(CALLER_TIMEOUT_S + 2)
            self.assertFalse(thread.is_alive(), "a call has no end")
        for number in range(NODES):
            self.assertIsNone(self.system.processes[f"n{number}"].poll(), f"n{number} has ended")

    def restart_nodes(self, numbers):
        """Kills nodes at once and starts them again."""
        self.system.restart_nodes(numbers, NODE_DOWN_S)
        for number in numbers:
            self.node_starts[number].append(time.monotonic())

    def sender_age(self, sent, now):
        """How long the node that got a request had run at a time."""
        return now - max(at for at in self.node_starts[sent.node] if at <= sent.sent_at)

    def late_arrivals(self):
        """Times after the fifth crash of the harmful requests that servers got too late."""
        fifth = self.fifth_crash()
        if fifth is None:
            return []
        calls = {sent.request: sent for sent in self.calls}
        return [at - fifth for at, request, _ in self.fleet.arrivals
                if calls[request].harmful and at > fifth + KNOWN_S
                and self.sender_age(calls[request], at) >= KNOWN_S]

    def logged(self, *texts):
        """The lines of all nodes with all these texts."""
        return [line for number in range(NODES)
                for line in self.system.log(f"n{number}").split("\n")
                if all(text in line for text in texts)]

    def refused_requests(self):
        """Ids of the requests that were refused for a part of their prompt."""
        ids = [re.search(r"\brequest=(\S+)", line)
               for line in self.logged("request_refused", "cause=quarantined")]
        return {found.group(1) for found in ids if found}

    def quarantined_at(self, node):
        """The first time from which a node has held a part for harmful."""
        to_monotonic = time.monotonic() - time.time()
        times = [int(re.search(r"\btime_ms=(\d+)", line).group(1)) / 1000 + to_monotonic
                 for line in self.logged("prompt_part_quarantined", f"node=n{node}")]
        return min(times, default=0)

    def sound_share(self, start, end):
        """The share of sound requests sent in a time that were served, and their number per s."""
        calls = [sent for sent in self.calls if not sent.harmful and start <= sent.sent_at < end]
        served = sum(1 for sent in calls if sent.is_served())
        return served / max(len(calls), 1), served / (end - start)

    def check_late_arrivals(self):
        late = self.late_arrivals()
        harmful = {sent.request for sent in self.calls if sent.harmful}
        arrived = sum(1 for _, request, _ in self.fleet.arrivals if request in harmful)
        fifth = self.fifth_crash()
        print(f"{self.name}, seed {SEED}: {len(harmful)} harmful requests, {arrived} arrivals, "
              f"{len(self.fleet.crashes)} crashes, the fifth after "
              f"{f'{fifth - self.series_at:.2f} s' if fifth else 'the end'}; {len(late)} arrivals "
              f"too late, at {[round(at, 1) for at in late[:60]]}", file=sys.stderr)
        with self.subTest("harmful requests that servers got"):
            self.assertGreater(len(self.fleet.crashes), 0)
            self.assertLessEqual(len(late), MAX_LATE_ARRIVALS)

    def check_sound_requests(self, before, after):
        """Compares two spans of time."""
        share_before, rate_before = self.sound_share(*before)
        share, rate = self.sound_share(*after)
        print(f"{self.name}: sound requests served before {share_before:.3f} ({rate_before:.1f}/s),"
              f" after {share:.3f} ({rate:.1f}/s)", file=sys.stderr)
        with self.subTest("sound requests"):
            self.assertGreater(share_before, 0.9, "the traffic is not served to begin with")
            self.assertGreaterEqual(share, MIN_SHARE_SERVED * share_before)
            self.assertGreaterEqual(rate, MIN_SHARE_SERVED * rate_before)

    def check_refusals(self):
        """What a refusal promises."""
        arrived = {request for _, request, _ in self.fleet.arrivals}
        refused = [sent for sent in self.calls if sent.reply.status == 503]
        run = [sent.request for sent in refused if sent.request in arrived]
        by_part = self.refused_requests()
        fifth = self.fifth_crash()
        at_once = [sent for sent in refused if sent.request in by_part
                   or sent.harmful and fifth and sent.sent_at > fifth + KNOWN_S
                   and self.sender_age(sent, sent.sent_at) >= KNOWN_S]
        # A request that waited when its node learned of the part is refused at that moment.
        delays = {sent.request: sent.seconds - max(
            0, self.quarantined_at(sent.node) - sent.sent_at) for sent in at_once}
        slowest = max(delays.values(), default=0)
        print(f"{self.name}: {len(refused)} answered 503, of them {len(by_part)} logged as "
              f"quarantined, {len(run)} had run; the slowest that is due at once took "
              f"{slowest * 1000:.0f} ms", file=sys.stderr)
        with self.subTest("requests that ran are not refused"):
            self.assertEqual(run, [])
            self.assertEqual([request for request in by_part if request in arrived], [])
        with self.subTest("refused at once"):
            self.assertEqual([(request, delay) for request, delay in delays.items()
                              if delay > MAX_REFUSAL_S], [])
        with self.subTest("refusals say when to come back"):
            self.assertEqual([sent.request for sent in at_once if not float(
                sent.reply.headers.get("retry-after", 0)) > 0], [])

    def check_nothing_suspect(self, calm_at):
        """No part was held for harmful, as the logs and the callers saw it."""
        refused = [sent.request for sent in self.calls
                   if sent.sent_at > calm_at and sent.reply.status == 503]
        print(f"{self.name}, seed {SEED}: {len(self.calls)} sound requests, "
              f"{len(self.fleet.crashes)} crashes that cut {self.fleet.cut_requests}, "
              f"{sum(1 for sent in self.calls if not sent.is_served())} not served whole, "
              f"{len(refused)} refused at the end", file=sys.stderr)
        self.assertEqual(self.logged("prompt_part_quarantined"), [])
        self.assertEqual(self.logged("request_refused", "cause=quarantined"), [])
        self.assertEqual(refused, [])

    def play_series(self, name, interval):
        self.start(name)
        fifth = self.start_series(interval)
        time.sleep(max(0, fifth + KNOWN_S + LATE_S - time.monotonic()))
        self.finish()
        self.check_late_arrivals()
        self.check_sound_requests((self.started_at, self.series_at),
                                  (fifth + CALM_S, self.ended_at))
        self.check_refusals()

    def test_fast_series_is_stopped(self):
        self.play_series("fast", FAST_INTERVAL_S)

    def test_slow_series_is_stopped(self):
        self.play_series("slow", SLOW_INTERVAL_S)

    def test_nodes_that_start_again_learn_of_the_part(self):
        self.start("restarts")
        fifth = self.start_series(FAST_INTERVAL_S)
        time.sleep(max(0, fifth + KNOWN_S + 1 - time.monotonic()))
        for numbers in ([1], range(NODES)):
            self.restart_nodes(numbers)
            time.sleep(KNOWN_S + 2)
        self.finish()
        starts = [[round(at - fifth, 1) for at in starts] for starts in self.node_starts]
        print(f"restarts: nodes started {starts} s after the fifth crash", file=sys.stderr)
        self.check_late_arrivals()
        self.check_refusals()

    def test_ordinary_crashes_make_no_part_suspect(self):
        self.start("crashes")
        before = (self.started_at, time.monotonic())
        generator = seeded(SEED, "crashes")
        self.fleet.crash(generator.sample(self.fleet.servers, SERVERS // 3))
        time.sleep(KNOWN_S)
        for _ in range(ORDINARY_CRASHES):
            up = [server for server in self.fleet.servers if server.life]
            cold = [server for server in up if server.is_cold()]
            self.fleet.crash([max(cold or up, key=lambda server: server.running)])
            time.sleep(ORDINARY_INTERVAL_S)
        time.sleep(KNOWN_S + 1)
        calm_at = time.monotonic()
        time.sleep(KNOWN_S)
        self.finish()
        self.check_nothing_suspect(calm_at)
        self.assertEqual(len(self.fleet.crashes), SERVERS // 3 + ORDINARY_CRASHES)
        self.check_sound_requests(before, (calm_at, self.ended_at))

    def test_broken_answers_of_living_servers_make_no_part_suspect(self):
        self.start("broken")
        self.fleet.broken_share = BROKEN_SHARE
        time.sleep(CALM_S)
        self.fleet.broken_share = 0.0
        time.sleep(1)
        calm_at = time.monotonic()
        time.sleep(1)
        self.finish()
        self.check_nothing_suspect(calm_at)


if __name__ == "__main__":
    unittest.main(verbosity=2)
