"""Tests with real processes that are killed or paused, with cut connections and platform outages.

The results are checked against the requests that the stand-ins report to have run. Tests wait for
states, never for a fixed time.

Usage: process_test.py BUILD_DIR [unittest arguments]
"""

import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import unittest

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
sys.path.insert(0, os.path.join(ROOT, "scripts"))

from cluster import ZONES, Cluster, completion, pay, send_request, wait_for  # noqa: E402

BUILD_DIR = sys.argv.pop(1) if len(sys.argv) > 1 else "build"
DOCUMENT = os.path.join(ROOT, "examples", "tienditas.json")
MODEL = "asistente-llm"


def error_of(response):
    return response.json()["error"]


class BackgroundCall(threading.Thread):
    """Runs a call in a thread and keeps its response or exception."""

    def __init__(self, call):
        super().__init__()
        self.call = call
        self.response = None
        self.failure = None
        self.start()

    def run(self):
        try:
            self.response = self.call()
        except (OSError, http.client.HTTPException) as failure:
            self.failure = failure


class ProcessTest(unittest.TestCase):
    """Runs each test on a cluster of three zones, each with a node, two groups and a service VM."""

    next_port = 23000

    def setUp(self):
        self.directory = tempfile.TemporaryDirectory()
        cluster = Cluster(BUILD_DIR, ProcessTest.next_port, self.directory.name)
        ProcessTest.next_port += 200
        self.cluster = cluster
        self.addCleanup(self.directory.cleanup)
        self.addCleanup(cluster.close)
        cluster.start_platform()
        self.engines = {}
        for zone in ZONES:
            self.engines[zone] = cluster.start_engines(
                f"engines-{zone}", 4, zone, f"{zone}-1", "--warm_after=2", "--load_ms=100")
        self.services = [cluster.start_services(f"caja-{zone}", 1, zone, "caja-app")[0]
                         for zone in ZONES]
        cluster.publish_vms()
        for zone in ZONES:
            cluster.start_node(f"node-{zone}", zone)
        for command, operands in (("apply", [DOCUMENT]), ("promote", [])):
            code, output = cluster.run_command(command, *operands)
            self.assertEqual(code, 0, output)
        for node in cluster.nodes:
            self.wait_open(node, 6)
            wait_for(f"{node} has all servers of caja-app",
                     lambda n=node: len(cluster.open_groups(n, "caja-app")) == 3)

    def wait_open(self, node, count):
        wait_for(f"{node} has {count} open groups",
                 lambda: len(self.cluster.open_groups(node, MODEL)) == count)

    def warm_up_groups(self):
        """Sends requests until every group is past its cold start."""
        def all_warm():
            for entry in self.cluster.nodes.values():
                for number in range(4):
                    completion(entry, "key-a", f"warm up {number}", 2)
            groups = self.cluster.open_groups("node-centro-a", MODEL)
            return len(groups) == 6 and all(group["warm"] for group in groups)
        wait_for("all groups are warm", all_warm)
        for node in self.cluster.nodes:
            wait_for(f"{node} sees all groups as warm", lambda n=node: all(
                group["warm"] for group in self.cluster.open_groups(n, MODEL)))

    def count_payment_runs(self, key):
        return sum(1 for address in self.services
                   for run in self.cluster.executed_calls(address) if run["key"] == key)

    def engine_runs(self):
        return [run for zone in ZONES for address in self.engines[zone]
                for run in self.cluster.executed_calls(address)]

    def entry(self, number=0):
        return self.cluster.nodes[f"node-{ZONES[number]}"]


class PaymentTest(ProcessTest):

    def test_node_killed_between_claim_and_response(self):
        for address in self.services:
            self.cluster.set_faults(address, delay_ms=100_000)
        first = BackgroundCall(lambda: pay(self.entry(0), "key-a", "killed"))
        wait_for("the payment to run", lambda: self.count_payment_runs("killed") == 1)
        self.cluster.kill("node-centro-a")
        first.join()
        self.assertIsNotNone(first.failure)
        repeated = pay(self.entry(1), "key-a", "killed", first=False)
        self.assertEqual(repeated.status, 409, repeated.body)
        self.assertEqual(error_of(repeated)["run"], "may_have_run")
        self.assertEqual(self.count_payment_runs("killed"), 1)

    def test_same_key_on_all_nodes_concurrently(self):
        calls = [BackgroundCall(lambda n=number: pay(self.entry(n % 3), "key-a", "at-once",
                                                     first=False)) for number in range(9)]
        for call in calls:
            call.join()
        self.assertEqual(self.count_payment_runs("at-once"), 1)
        successful = [call.response for call in calls if call.response.status == 200]
        self.assertGreaterEqual(len(successful), 1)
        for call in calls:
            if call.response.status != 200:
                self.assertEqual(error_of(call.response)["run"], "may_have_run")

    def test_lost_replies_of_the_store(self):
        self.cluster.set_faults(self.cluster.platform, lose_replies=2)
        response = pay(self.entry(0), "key-a", "lost-reply")
        self.assertIn(response.status, (200, 503), response.body)
        repeated = wait_for("a response", lambda: (lambda r: r if r.status == 200 else None)(
            pay(self.entry(1), "key-a", "lost-reply", first=False)))
        self.assertEqual(self.count_payment_runs("lost-reply"), 1)
        self.assertEqual(repeated.json()["key"], "lost-reply")

    def test_outage_refuses_first_attempts_as_not_run(self):
        self.cluster.set_faults(self.cluster.platform, outage=True)
        first = pay(self.entry(0), "key-a", "in-outage")
        self.assertEqual((first.status, error_of(first)["run"]), (503, "not_run"), first.body)
        self.assertIn("Retry-After", first.headers)
        repeated = pay(self.entry(1), "key-a", "in-outage", first=False)
        self.assertEqual(error_of(repeated)["run"], "may_have_run")
        self.assertEqual(self.count_payment_runs("in-outage"), 0)
        self.cluster.set_faults(self.cluster.platform, outage=False)
        wait_for("the payment to succeed after the outage",
                 lambda: pay(self.entry(0), "key-a", "in-outage", first=False).status == 200)
        self.assertEqual(self.count_payment_runs("in-outage"), 1)

    def test_connection_cut_after_the_run(self):
        for address in self.services:
            self.cluster.set_faults(address, cut=True)
        response = pay(self.entry(0), "key-a", "cut")
        self.assertEqual((response.status, error_of(response)["run"]), (502, "may_have_run"))
        self.assertEqual(self.count_payment_runs("cut"), 1)

    def test_missing_and_reused_keys(self):
        headers = {"Authorization": "Bearer key-a"}
        missing = send_request(self.entry(), "POST", "/services/caja-app/payments", {"amount": 1},
                               headers)
        self.assertEqual((missing.status, error_of(missing)["type"]),
                         (400, "idempotency_key_missing"))
        self.assertEqual(pay(self.entry(), "key-a", "one", 1).status, 200)
        reused = pay(self.entry(), "key-a", "one", 2)
        self.assertEqual((reused.status, error_of(reused)["type"]),
                         (422, "idempotency_key_reused"))
        # The same key text of another organisation is a different key.
        self.assertEqual(pay(self.entry(), "key-b", "one", 3).status, 200)


class CompletionTest(ProcessTest):

    def expected_text(self, prompt, tokens):
        return completion(self.entry(0), "key-a", prompt, tokens).json()[
            "choices"][0]["message"]["content"]

    def read_streamed_text(self, response):
        lines = [line[6:] for line in response.body.splitlines() if line.startswith("data: ")]
        self.assertEqual(lines[-1], "[DONE]", response.body[-300:])
        return "".join(json.loads(line)["choices"][0]["delta"].get("content", "")
                       for line in lines[:-1])

    def wait_for_busy_zone(self):
        return wait_for("a running stream", lambda: next(
            (zone for zone in ZONES for address in self.engines[zone]
             if send_request(address, "GET", "/state").json()["running"] > 0), None))

    def test_engines_killed_during_a_stream(self):
        self.warm_up_groups()
        expected = self.expected_text("a long week of sales", 300)
        before = self.cluster.metric("node-centro-a", "tokens_delivered_total")
        stream = BackgroundCall(lambda: completion(self.entry(0), "key-a", "a long week of sales",
                                                   300, stream=True))
        wait_for("the caller to receive tokens", lambda: self.cluster.metric(
            "node-centro-a", "tokens_delivered_total") > before + 5)
        self.cluster.kill(f"engines-{self.wait_for_busy_zone()}")
        stream.join()
        self.assertEqual(self.read_streamed_text(stream.response), expected)
        # The completion is resumed once per group of the killed process that was tried, so the
        # count varies. The complete text checked above shows that the resumption was correct.
        self.assertGreaterEqual(
            self.cluster.metric("node-centro-a", "completions_resumed_total"), 1)

    def test_engines_paused_during_a_stream(self):
        self.warm_up_groups()
        expected = self.expected_text("another long week", 300)
        stream = BackgroundCall(lambda: completion(self.entry(0), "key-a", "another long week",
                                                   300, stream=True))
        self.cluster.signal(f"engines-{self.wait_for_busy_zone()}", signal.SIGSTOP)
        stream.join()
        self.assertEqual(self.read_streamed_text(stream.response), expected)

    def test_broken_stream_is_not_framed_as_complete(self):
        self.warm_up_groups()
        before = self.cluster.metric("node-centro-a", "tokens_delivered_total")
        stream = BackgroundCall(lambda: completion(self.entry(0), "key-a", "cut", 30_000,
                                                   stream=True))
        wait_for("the caller to receive tokens", lambda: self.cluster.metric(
            "node-centro-a", "tokens_delivered_total") > before + 5)
        for zone in ZONES:
            self.cluster.kill(f"engines-{zone}")
        stream.join()
        self.assertIsInstance(stream.failure, http.client.IncompleteRead, stream.response)
        received = stream.failure.partial.decode()
        self.assertIn('"error"', received[-300:])
        self.assertNotIn("[DONE]", received)

    def test_malformed_and_misdirected_frames(self):
        self.warm_up_groups()
        expected = self.expected_text("invoice", 20)
        for address in self.engines["centro-a"] + self.engines["centro-b"]:
            self.cluster.set_faults(address, garbage=True)
        for address in self.engines["centro-c"]:
            self.cluster.set_faults(address, cross=True)
        def successful():
            response = completion(self.entry(0), "key-a", "invoice", 20, stream=True)
            return response if response.status == 200 else None
        self.assertEqual(self.read_streamed_text(wait_for("an answer", successful)), expected)

    def test_caller_disconnects(self):
        self.warm_up_groups()
        host, port = self.entry(0).split(":")
        connection = http.client.HTTPConnection(host, int(port))
        body = {"model": MODEL, "max_tokens": 30_000, "stream": True,
                "messages": [{"role": "user", "content": "endless"}]}
        connection.request("POST", "/v1/chat/completions", json.dumps(body),
                           {"Authorization": "Bearer key-a"})
        connection.getresponse().read(10)
        self.wait_for_busy_zone()
        connection.sock.shutdown(2)
        connection.close()
        wait_for("the engines are idle", lambda: all(
            send_request(address, "GET", "/state").json()["running"] == 0
            for zone in ZONES for address in self.engines[zone]))

    def test_graceful_stop_completes_open_requests(self):
        self.warm_up_groups()
        expected = self.expected_text("stop", 400)
        stream = BackgroundCall(
            lambda: completion(self.entry(0), "key-a", "stop", 400, stream=True))
        self.wait_for_busy_zone()
        self.cluster.signal("node-centro-a", signal.SIGTERM)
        refused = wait_for("a refusal", lambda: (lambda r: r if r.status == 503 else None)(
            completion(self.entry(0), "key-a", "too late")))
        self.assertEqual((error_of(refused)["type"], error_of(refused)["run"]),
                         ("stopping", "not_run"))
        entries = wait_for("the node to leave the list", lambda: (
            lambda found: found if len(found) == 2 else None)(
            send_request(self.entry(1), "GET", "/v1/entries").json()["entries"]))
        self.assertNotIn(self.entry(0), [entry["address"] for entry in entries])
        stream.join()
        self.assertEqual(self.read_streamed_text(stream.response), expected)
        self.assertEqual(self.cluster.processes.pop("node-centro-a").wait(30), 0)

    def test_served_through_a_platform_outage(self):
        self.warm_up_groups()
        self.cluster.set_faults(self.cluster.platform, outage=True)
        wait_for("the evidence of the configuration to be old", lambda: self.cluster.metric(
            "node-centro-a", "configuration_evidence_age_ms") > 4_000)
        for number in range(3):
            self.assertEqual(completion(self.entry(number), "key-a", "outage").status, 200)

    def test_invalid_requests_get_specific_errors(self):
        key = {"Authorization": "Bearer key-a"}
        path = "/v1/chat/completions"
        cases = [
            (send_request(self.entry(), "POST", path, "{", key), 400, "malformed_request"),
            (send_request(self.entry(), "POST", path, {"model": MODEL}, key), 400,
             "malformed_request"),
            (send_request(self.entry(), "POST", path, "x" * 1_100_000, key), 413, "body_too_large"),
            (completion(self.entry(), "no-such-key", "x"), 401, "unauthorized"),
            (completion(self.entry(), "key-a", "x", model="other"), 404, "unknown_model"),
            (completion(self.entry(), "key-a", "x", max_tokens=0), 400, "malformed_request"),
            (send_request(self.entry(), "GET", "/nothing"), 404, "unknown_path"),
            (send_request(self.entry(), "GET", "/services/other/x", headers=key), 404,
             "unknown_service"),
        ]
        for response, status, kind in cases:
            self.assertEqual(
                (response.status, error_of(response)["type"], error_of(response)["run"]),
                (status, kind, "not_run"), response.body)


class ChangeTest(ProcessTest):

    def test_node_resumes_after_a_zone_was_drained(self):
        self.warm_up_groups()
        self.cluster.signal("node-centro-a", signal.SIGSTOP)
        self.assertEqual(self.cluster.run_command("drain", "centro-b")[0], 0)
        # Both other nodes apply the drained zone, and the lease of the paused node has expired.
        for node in ("node-centro-b", "node-centro-c"):
            self.wait_open(node, 4)
        wait_for("the lease to expire", lambda: "node-centro-a" not in self.cluster.run_command(
            "status")[1])
        before = {address: len(self.cluster.executed_calls(address))
                  for address in self.engines["centro-b"]}
        pending_calls = [BackgroundCall(
            lambda n=number: completion(self.entry(0), "key-a", f"woken {n}"))
            for number in range(12)]
        self.cluster.signal("node-centro-a", signal.SIGCONT)
        for call in pending_calls:
            call.join()
        after = {address: len(self.cluster.executed_calls(address))
                 for address in self.engines["centro-b"]}
        self.assertEqual(before, after)

    def test_paused_home_of_a_cold_group(self):
        # The groups are cold. Each has one home node, and the paused node is home to some of them.
        self.cluster.signal("node-centro-a", signal.SIGSTOP)
        wait_for("the groups to move to other home nodes", lambda: all(
            group["home"] != "node-centro-a"
            for group in self.cluster.open_groups("node-centro-b", MODEL)))
        pending_calls = [BackgroundCall(
            lambda n=number: completion(self.entry(0), "key-a", f"cold {n}"))
            for number in range(12)]
        self.cluster.signal("node-centro-a", signal.SIGCONT)
        other_calls = [BackgroundCall(
            lambda n=number: completion(self.entry(1 + n % 2), "key-a", f"cold too {n}"))
            for number in range(12)]
        for call in pending_calls + other_calls:
            call.join()
        for run in self.engine_runs():
            self.assertFalse(run["cold"] and run["running_before"] > 0, run)

    def test_concurrent_operators(self):
        command_line = [f"{BUILD_DIR}/src/command/bramleypitch", "drain",
                        f"--platform=http://{self.cluster.platform}", "--environment=tienditas"]
        operators = [subprocess.Popen(command_line + [f"--operator=racer-{n}", zone],
                                      stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
                     for n, zone in enumerate(ZONES * 3)]
        results = [(operator.communicate()[0], operator.returncode) for operator in operators]
        accepted = sum(1 for _, code in results if code == 0)
        for output, code in results:
            self.assertIn(code, (0, 1), output)
            if code == 1:
                self.assertTrue(output.startswith(("conflict", "zone_state_unchanged")), output)
        audit = self.cluster.run_command("audit")[1]
        self.assertEqual(audit.count("drain by racer-"), accepted, audit)

    def test_invalid_documents_and_settings(self):
        def check_document(change):
            with open(DOCUMENT, encoding="utf-8") as file:
                document = json.load(file)
            change(document)
            path = os.path.join(self.directory.name, "document.json")
            with open(path, "w", encoding="utf-8") as file:
                json.dump(document, file)
            return self.cluster.run_command("check", path)
        code, output = check_document(lambda d: d["organisations"][2].update(weight=-1))
        self.assertEqual(code, 1)
        self.assertIn("organisations[2].weight: must be from 0.001 to 1000.0", output)
        code, output = check_document(lambda d: d["model_groups"][0].update(spam=1))
        self.assertEqual(code, 1)
        self.assertIn("model_groups[0].spam: is not a known field", output)
        self.assertEqual(self.cluster.run_command("check", "--spam=1", DOCUMENT)[0], 2)
        serve = subprocess.run([f"{BUILD_DIR}/src/command/bramleypitch", "serve",
                                "--listen=nowhere"],
                               capture_output=True, text=True, check=False)
        self.assertEqual(serve.returncode, 2)
        self.assertIn("peer_listen: must be given", serve.stderr)


if __name__ == "__main__":
    unittest.main(verbosity=2)
