"""Keys that the operator takes away by a version of the configuration with an odd item.

Usage: withdrawn_key_test.py BUILD_DIR [unittest arguments]

The first version holds key-a. Each further pair of versions gives it back, and takes it away again
beside one odd item, or in a document that cannot be read at all. From the bound on, no node lets it
run anything; the keys and routes that the odd item does not concern are served.
"""

import base64
import copy
import json
import os
import subprocess
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from platform_system import send_request, wait_for  # noqa: E402
from scripted_server import Answer  # noqa: E402
from scripted_system import ScriptedSystem  # noqa: E402

BUILD_DIR = sys.argv.pop(1) if len(sys.argv) > 1 else "build"
SLOT = 24  # Addresses of its own.
NODES, SERVERS = 3, 2
APPLY_S = 2  # config_apply_ms
REVOKE_S = 5  # revoke_ms
ROUTES = {name: {"route_type": "non_idempotent", "timeout_ms": 2000, "max_attempts": 1}
          for name in ("pay", "open")}
TENANT = {"name": "chain-x", "api_keys": ["key-x"]}
ROUTE = {"name": "extra", "host": "shop.example", "path_prefix": "/extra/", "service": "pay",
         "route_type": "idempotent", "timeout_ms": 1000}
LONG_NAME = "n" * 15000
ODD_ITEMS = {  # By the list to which each is added.
    "tenants": [{**TENANT, "api_keys": None}, {**TENANT, "api_keys": [17]}, {"api_keys": ["key-x"]},
                None, {**TENANT, "name": LONG_NAME}, 17, {**TENANT, "api_keys": {}}],
    "routes": [None, {**ROUTE, "timeout_ms": "1s"}, {**ROUTE, "route_type": "odd"},
               {**ROUTE, "path_prefix": 5}],
    "services": [None, {"name": "extra", "max_connections": -1}, {"name": 5}]}
SOUND_ITEMS = {  # Beside which a version counts as sound.
    "tenants": [{**TENANT, "colour": "red"}],
    "routes": [{**ROUTE, "service": "unknown"}],
    "services": [{"name": "extra"}],
    "colours": ["red"]}
UNREADABLE = {"no JSON": lambda document: b"{\"version\": ",
              "organisations are no list": lambda document: {**document, "tenants": None},
              "routes are no list": lambda document: {**document, "routes": {}},
              "the version is no number": lambda document: {**document, "version": "x"}}


class WithdrawnKeyTest(unittest.TestCase):

    def setUp(self):
        def answer(server, connection, head):
            connection.sendall(Answer([("X-Request-Id", head["x-request-id"])], [b"ok"], "length",
                                      [1]).wire)
            return True

        self.system = ScriptedSystem(BUILD_DIR, ROUTES, SERVERS, answer, SLOT, nodes=NODES,
                                     keys={"key-a": "chain-a"})
        self.addCleanup(self.system.stop)
        for number in range(NODES):
            wait_for(f"node {number} to be ready", lambda n=number: self.system.is_ready(n))
        self.document = json.loads(base64.b64decode(self.system.items("op/config")[0]["value"]))
        for route in self.document["routes"]:
            route["auth_exempt"] = route["name"] == "open"

    def write(self, value):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.system.write({"expected": [], "remove": [], "puts": [
            {"key": "op/config", "value": base64.b64encode(raw).decode()}]})

    def next_version(self, key, tenant):
        """The next version of the configuration, with one organisation."""
        self.document["version"] += 1
        document = copy.deepcopy(self.document)
        document["tenants"] = [{"name": tenant, "api_keys": [key]}]
        return document

    def statuses(self, key, path="/pay/x"):
        return [self.system.call(node, "POST", path, b"{}", key)[1].status
                for node in range(NODES)]

    def gauges(self, name):
        found = []
        for node in self.system.nodes:
            text = send_request(node + ":7354", "GET", "/metrics").body.decode()
            found += [float(line.split()[1]) for line in text.split("\n")
                      if line.startswith(f"bramleypitch_{name} ")]
        return found

    def give_back(self):
        self.write(self.next_version("key-a", "chain-a"))
        wait_for("key-a to be held", lambda: self.statuses("key-a") == [200] * NODES, APPLY_S)
        self.assertEqual(self.statuses("key-b"), [401] * NODES)
        self.assertEqual(self.gauges("configuration_unreadable_items"), [0] * NODES)
        self.assertEqual(self.gauges("configuration_unreadable"), [0] * NODES)

    def play(self, items, odd):
        violations = []
        for name, added in items.items():
            for item in added:
                self.give_back()
                document = self.next_version("key-b", "chain-b")
                document[name] = document.get(name, []) + [item]
                self.write(document)
                end = time.monotonic() + APPLY_S
                while time.monotonic() < end and self.statuses("key-a") != [401] * NODES:
                    time.sleep(0.1)
                found = {"key-a": self.statuses("key-a"), "key-b": self.statuses("key-b"),
                         "no key": self.statuses("none", "/open/x"),
                         "gauge": self.gauges("configuration_unreadable_items")}
                expected = {"key-a": [401] * NODES, "key-b": [200] * NODES,
                            "no key": [200] * NODES, "gauge": [odd] * NODES}
                if found != expected:
                    violations.append(f"{name}, {str(item)[:80]}: {found}")
        self.assertFalse(violations, "\n" + "\n".join(violations))

    def test_key_is_withdrawn_by_a_version_with_an_odd_item(self):
        self.play(ODD_ITEMS, 1)
        for node in range(NODES):
            log = self.system.log(f"n{node}")
            self.assertIn("event=configuration_item_unreadable", log)
            self.assertNotIn("key-", log)

    def check_command(self, document):
        """The exit status and output of the operators' check of a document."""
        path = os.path.join(self.system.folder.name, "document.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(document, file)
        result = subprocess.run([self.system.binary, "check", path], capture_output=True,
                                text=True, check=False)
        return result.returncode, result.stdout + result.stderr

    def test_check_command_names_odd_items(self):
        status, output = self.check_command(self.next_version("key-a", "chain-a"))
        self.assertEqual(status, 0, output)
        for name, added in ODD_ITEMS.items():
            for item in added:
                document = self.next_version("key-a", "chain-a")
                document[name].append(item)
                status, output = self.check_command(document)
                self.assertEqual(status, 1, output)
                self.assertIn(f"configuration.{name}[{len(document[name]) - 1}]", output)
                self.assertNotIn("key-", output)

    def test_key_is_withdrawn_beside_items_that_are_not_used(self):
        self.play(SOUND_ITEMS, 0)

    def test_key_is_not_honoured_while_the_newest_version_cannot_be_read(self):
        for name, make in UNREADABLE.items():
            self.give_back()
            self.write(make(self.next_version("key-b", "chain-b")))
            time.sleep(REVOKE_S)
            self.assertEqual(self.statuses("key-a"), [503] * NODES, name)
            self.assertEqual(self.statuses("none", "/open/x"), [200] * NODES, name)
            self.assertEqual(self.gauges("configuration_unreadable"), [1] * NODES, name)
            self.assertTrue(all(self.system.is_ready(node) for node in range(NODES)), name)
        self.give_back()
        self.system.write({"expected": [], "puts": [], "remove": ["op/config"]})
        time.sleep(REVOKE_S)
        self.assertEqual(self.statuses("key-a"), [503] * NODES)
        # A node that starts meanwhile knows no version.
        self.system.restart_nodes([0], 0.5)
        time.sleep(APPLY_S)
        self.assertFalse(self.system.is_ready(0))
        self.assertEqual(self.statuses("none", "/open/x")[1:], [200] * (NODES - 1))
        self.write(self.next_version("key-b", "chain-b"))
        wait_for("node 0 to be ready", lambda: self.system.is_ready(0))
        self.assertEqual(self.statuses("key-a"), [401] * NODES)
        self.assertEqual(self.statuses("key-b"), [200] * NODES)


if __name__ == "__main__":
    unittest.main(verbosity=2)
