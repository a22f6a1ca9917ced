"""Values that another writer left in the store, while real nodes serve requests.

Usage: foreign_entry_process_test.py BUILD_DIR [unittest arguments]
"""

import base64
import json
import os
import socket
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from platform_system import send_request, wait_for  # noqa: E402
from scripted_server import Answer, seeded  # noqa: E402
from scripted_system import ScriptedSystem, service_of  # noqa: E402

BUILD_DIR = sys.argv.pop(1) if len(sys.argv) > 1 else "build"
SLOT = 9  # Addresses of its own.
NODES, SERVERS = 3, 3
ROUTES = {"repeatable": {"route_type": "idempotent", "timeout_ms": 6000, "max_attempts": 2},
          "payment": {"route_type": "non_idempotent", "timeout_ms": 6000, "max_attempts": 2}}
CALL_INTERVAL_S = 0.03
LENGTH_S = 3.0
FOLLOWED_S = 2.0  # A change of the configuration is in force within this time.
DEEP = b"[" * 100000 + b"]" * 100000
ODD_ADDRESSES = ["", "till-7:8080", "[::1]:8080", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536",
                 "10.0.0.1:99999", "10.0.0.1:-1", "10.0.0.1\r\nX: 1:80"]


def encoded(value):
    """The value of an item of the store: JSON, or bytes as they are."""
    raw = value if isinstance(value, bytes) else json.dumps(value).encode()
    return base64.b64encode(raw).decode()


class ForeignEntryTest(unittest.TestCase):

    def setUp(self):
        self.arrivals = []  # Server, service and time of each request.

        def answer(server, connection, head):
            self.arrivals.append((server, service_of(head), time.monotonic()))
            connection.sendall(Answer([("X-Request-Id", head["x-request-id"])], [b"ok"], "length",
                                      [1]).wire)
            return True

        self.system = ScriptedSystem(BUILD_DIR, ROUTES, SERVERS, answer, SLOT, nodes=NODES)
        self.addCleanup(self.system.stop)
        for number in range(NODES):
            wait_for(f"node {number} to be ready", lambda n=number: self.system.is_ready(n))

    def put(self, values):
        """Writes values, which are given as the store transfers them."""
        for key, value in values.items():
            self.system.write({"expected": [], "remove": [],
                               "puts": [{"key": key, "value": value}]})

    def odd_entry(self, **fields):
        """An entry that the nodes of all zones would prefer, but for some fields."""
        return encoded({**self.system.entry_of("repeatable", self.system.servers[0], slots=64),
                        **fields})

    def call_until(self, service, node, ended):
        number = 0
        while not ended.wait(CALL_INTERVAL_S):
            number += 1
            _, response = self.system.call(node, "POST", f"/{service}/x", b"{}")
            self.replies.append((service, node, response.status, response.complete))

    def metric(self, node, name):
        text = send_request(self.system.nodes[node] + ":7354", "GET", "/metrics").body.decode()
        for line in text.split("\n"):
            if line.startswith(name + " "):
                return float(line.split()[1])
        return 0

    def configuration_is_followed(self, node):
        return f"event=configuration version={self.version}" in self.system.log(f"n{node}")

    def play(self, values, skipped, configuration=None):
        """Writes values while requests are sent. Each node skips `skipped` of them. The next
        version of the configuration is like the stored value `configuration`, or the stored one."""
        self.replies = []
        self.version = 7
        ended = threading.Event()
        callers = [threading.Thread(target=self.call_until, args=(service, node, ended))
                   for service in ROUTES for node in range(NODES)]
        for caller in callers:
            caller.start()
        try:
            time.sleep(0.5)
            self.put(values)
            self.written_at = time.monotonic()
            time.sleep(LENGTH_S)
            for number in range(NODES):
                self.assertIsNone(self.system.processes[f"n{number}"].poll(),
                                  f"node {number} has ended")
            config = json.loads(base64.b64decode(configuration or next(
                item["value"] for item in self.system.items("op/config"))))
            config["version"] = self.version
            self.put({"op/config": encoded(config)})
            for number in range(NODES):
                wait_for(f"node {number} to follow",
                         lambda n=number: self.configuration_is_followed(n), FOLLOWED_S)
        finally:
            ended.set()
            for caller in callers:
                caller.join()
        self.assertGreater(len(self.replies), 20 * len(callers))
        self.assertEqual([reply for reply in self.replies if reply[2:] != (200, True)], [])
        for number in range(NODES):
            self.assertIsNone(self.system.processes[f"n{number}"].poll())
            log = self.system.log(f"n{number}")
            self.assertEqual(log.count("event=value_unreadable"), skipped)
            self.assertTrue(all(len(line) < 1000 for line in log.split("\n")))
            self.assertEqual(self.metric(number, "bramleypitch_callback_failures"), 0)
            self.assertEqual(self.metric(
                number, 'bramleypitch_decisions_total{kind="value_unreadable"}'), skipped)

    # Guards against FAULT: one entry with an address that cannot be read ended every node.
    def test_server_with_an_odd_address_ends_no_node(self):
        self.play({f"servers/odd-{number}": self.odd_entry(address=address)
                   for number, address in enumerate(ODD_ADDRESSES)}, len(ODD_ADDRESSES))

    def test_odd_server_entry_ends_no_node(self):
        values = [self.odd_entry(**fields) for fields in (
            {"slots": -1}, {"slots": 1e300}, {"slots": True}, {"cold_remaining_ms": 2 ** 63 - 1},
            {"cold_remaining_ms": 1e300}, {"born": "now"}, {"born": 0.5}, {"zone": "a\r\nb: c"},
            {"service": "repeatable\n"}, {"group": "g"}, {"domain": 0.5},
            {"group": {"name": "g", "epoch": 2 ** 64 - 1, "rank": 0, "state": "open"}})]
        sound = json.dumps(self.system.entry_of("repeatable", self.system.servers[0])).encode()
        values += [encoded(value) for value in (
            b"", b"{", b"\xff\xfe", b"null", b"[]", DEEP, sound[:-1], sound[:-1] + b',"slots":1e400}',
            sound[:-1] + b',"domain":' + DEEP + b"}", sound[:-1] + b',"models":[' + DEEP + b"]}")]
        values = {f"servers/odd-{number}": value for number, value in enumerate(values)}
        values["servers/a\r\nX-Tenant-Id: b"] = self.odd_entry()
        values["servers/"] = self.odd_entry()
        self.play(values, len(values))

    def test_odd_item_of_the_store_hides_no_other(self):
        values = {f"servers/odd-{number}": value
                  for number, value in enumerate(["!!!", "MQ=", 5, None, {"a": 1}, ["MQ=="], ""])}
        values["servers/repeatable-0"] = "not base64"
        self.play(values, len(values))

    def test_odd_values_of_other_kinds_end_no_node(self):
        group = {"name": "g", "generation": 1, "model": "m", "dissolving": False, "members": []}
        plan = {"generation": 1, "promised": "", "groups": [group]}
        node = {"zone": "za", "front": "127.0.0.1:1", "peer": "[::1]:7340", "cores": 1}
        values = {f"bramleypitch/formation/d{number}": value for number, value in enumerate(
            [DEEP, b"", dict(plan, generation=-1), dict(plan, groups=5), plan])}
        values.update({f"bramleypitch/nodes/odd{number}": value for number, value in enumerate(
            [DEEP, b"", node, dict(node, peer="127.0.0.1:0"), dict(node, zone=5), [],
             {"newest_version": 9_000_000}])})
        values["bramleypitch/nodes/n1"] = b"overwritten"
        values.update({f"bramleypitch/quarantine/{name}": value for name, value in (
            ("0123456789abcdef", DEEP), ("0123456789abcdee", b""), ("odd", {"left_ms": 5}),
            ("0123456789abcded", {"left_ms": 1e300, "times": -1, "until_wall_ms": "x"}))})
        values["op/evacuate/a\r\nb"] = b""
        configuration = {"version": 5, "routes": [], "services": []}
        values["op/config"] = dict(configuration, version=1e300)
        sound = next(item["value"] for item in self.system.items("op/config"))
        self.play({key: encoded(value) for key, value in values.items()}, len(values), sound)
        wait_for("n1 to write its record again", lambda: next(
            b'"zb"' in base64.b64decode(item["value"])
            for item in self.system.items("bramleypitch/nodes/n1")), 5)

    def test_odd_datagrams_end_no_node(self):
        generator = seeded(5, "datagrams")
        list_of_structs = b"\x39\xfc\xff\xff\xff\xff\x07"  # States 2^31 - 1 of them.
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for node in self.system.nodes:
            for tag in (b"P", b"D", b"L", b"Z", b"F", b"", b"\0"):
                bodies = [b"", list_of_structs, b"\x3c" * 50000, b"\x19" * 50000] + [
                    generator.randbytes(generator.randrange(100)) for _ in range(20)]
                for body in bodies:
                    sender.sendto(tag + body, (node, 7340))
        sender.close()
        self.play({}, 0)

    def test_server_whose_entry_turns_odd_is_not_used(self):
        sound, server = self.system.entry_of("repeatable", self.system.servers[0]), \
            self.system.servers[0]
        self.play({"servers/repeatable-0": encoded(DEEP)}, 1)
        times = [at for arrived, service, at in self.arrivals
                 if (arrived, service) == (server, "repeatable")]
        self.assertTrue(times, "it was not used before")
        self.assertLess(max(times), self.written_at + FOLLOWED_S)
        self.assertIn("event=server_gone server=repeatable-0", self.system.log("n0"))
        del self.arrivals[:]
        self.put({"servers/repeatable-0": encoded(sound)})
        time.sleep(FOLLOWED_S)
        for _ in range(20):
            self.assertEqual(self.system.call(0, "POST", "/repeatable/x", b"{}")[1].status, 200)
        self.assertIn(server, [arrived for arrived, _, _ in self.arrivals])


if __name__ == "__main__":
    unittest.main(verbosity=2)
