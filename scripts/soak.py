"""Soak test with randomized fault injection: the real programs run against stand-ins while external
faults overlap.

    scripts/soak.sh --seeds 1-50 [--seconds 20] [--parallel 3]

Faults: processes are killed, paused, stopped and restarted, also by series of signals and with the
successor started before the end of its predecessor; loopback proxies delay, reset or stall
connections to the store and to servers, in one direction or both; nodes are cut off from all servers,
some or most at once, while callers, the store and the other nodes reach them; servers shed load, break
connections, announce that they leave and start again, and ask for pauses; API keys are revoked and
added again.

Checks, from what callers and servers observe:
  - a call that must not be repeated runs at most once;
  - a call that is reported as not run did not run;
  - a complete response contains all events, and those of the caller's own request;
  - a call runs for the organisation of its API key;
  - a revoked API key is not accepted any longer;
  - a server that has announced to a caller that it leaves gets no late request from that node;
  - a server that asked a node for a pause gets it;
  - no process ends that no fault has ended, and a stop ends it with status 0;
  - service recovers after the faults.
A seed that ever failed is added to REGRESSIONS with its cause.
"""

import argparse
import concurrent.futures
import http.client
import json
import os
import random
import shutil
import signal
import socket
import sys
import threading
import time

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
sys.path.insert(0, os.path.join(ROOT, "src", "tests"))

from crashing_server import LINK_CUTS, process_of  # noqa: E402
from platform_standin import id_of  # noqa: E402
from platform_system import KEYS, System, wait_for  # noqa: E402

REGRESSIONS = {}
SIGNALS = [signal.SIGTERM, signal.SIGINT, signal.SIGHUP]
REVOCATION_LIMIT_S = 5  # A revoked API key is rejected after at most this time, as in the settings.
RECOVERY_LIMIT_S = 12
CALLER_COUNT = 6
DRAIN_LIMIT_S = 2  # A request sent later than this after the announcement does not reach the server.
IN_TRANSIT_S = 0.5  # Requests sent before a server asked for a pause may arrive within this time.
MAX_REQUESTS_IN_PAUSE = 2
FAULT_LIMIT_S = 4  # A fault ends at most this long after it began.


class Proxy:
    """TCP proxy with fault injection. Modes: "pass" forwards, "delay" adds 0.2 s to each chunk,
    "reset" closes connections, "silence" stalls both directions, "out" and "back" stall one.
    `cuts` names processes that are cut off, and how."""

    def __init__(self, address, target, known_pids=lambda: ()):
        self.address, self.target, self.mode = address, target, "pass"
        self.known_pids, self.cuts = known_pids, {}
        host, port = address.rsplit(":", 1)
        self.listener = socket.create_server((host, int(port)), backlog=128)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                client, caller = self.listener.accept()
                host, port = self.target.rsplit(":", 1)
                pid = process_of(caller, client.getsockname(), self.known_pids())
                if self.mode == "reset" or self.cuts.get(pid) in ("reset", "new"):
                    client.close()
                    continue
                server = socket.create_connection((host, int(port)), timeout=2)
                server.settimeout(None)
            except OSError:
                if self.listener.fileno() < 0:
                    return
                client.close()
                continue
            for source, sink, direction in ((client, server, "out"), (server, client, "back")):
                threading.Thread(target=self.forward, args=(source, sink, direction, pid),
                                 daemon=True).start()

    def forward(self, source, sink, direction, pid):
        try:
            while data := source.recv(65536):
                if self.mode == "delay":
                    time.sleep(0.2)
                while self.mode in ("silence", direction) or self.cuts.get(pid) == "silent":
                    time.sleep(0.05)
                if self.mode == "reset" or self.cuts.get(pid) == "reset":
                    break
                sink.sendall(data)
        except OSError:
            pass
        for endpoint in (source, sink):
            try:
                endpoint.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Soak:
    def __init__(self, build, seed, seconds, slot):
        self.random = random.Random(seed)
        self.seconds, self.slot = seconds, slot
        self.violations = []
        self.passed_through = {}  # Node, start and end time by request id.
        self.sent = []  # Calls: (request id, kind, API key, events, start time, response).
        self.revoked_at = {}  # Time of revocation by API key.
        self.disturbed = []  # Names of nodes and servers, and when a fault of them or their links began.
        self.done = threading.Event()
        engines = [f"127.{slot}.2.{i + 1}:23100" for i in range(10)]
        services = [f"127.{slot}.3.{i + 1}:23200" for i in range(2)]
        proxy_by_server = {
            address: address.replace(f"127.{slot}.", f"127.{slot + 100}.")
            for address in engines + services}
        store_addresses = {n: f"127.{slot + 100}.1.{n + 1}:23000" for n in range(3)}
        self.system = None
        self.cuts = {}  # Nodes that are cut off from all servers, by process id, and how.
        self.proxies = [Proxy(proxy_address, server_address, self.node_pids)
                        for server_address, proxy_address in proxy_by_server.items()]
        self.proxies += [Proxy(address, f"127.{slot}.1.1:23000")
                         for address in store_addresses.values()]
        self.system = System(build, slot=slot, advertised_addresses=proxy_by_server,
                             store_addresses=store_addresses)
        for proxy in self.proxies[:len(proxy_by_server)]:
            proxy.cuts = self.cuts
        self.lock = threading.Lock()
        self.faulted = set()  # Names of the processes that have a fault.

    def node_pids(self):
        processes = self.system.processes if self.system else {}
        return [processes[name].pid for name in ("n0", "n1", "n2") if name in processes]

    def run(self):
        self.system.wait_ready()
        threads = [threading.Thread(target=self.run_caller, args=(n,)) for n in range(CALLER_COUNT)]
        for thread in threads:
            thread.start()
        end = time.monotonic() + self.seconds
        faults = []
        while time.monotonic() < end:
            fault = threading.Thread(target=self.random.choice([
                self.kill_server, self.pause_server, self.kill_node, self.pause_node,
                self.stop_node, self.hang_up_node, self.pause_store, self.disturb_link, self.disturb_link, self.cut_nodes,
                self.degrade_server, self.replace_server, self.ask_for_pauses, self.change_keys]))
            fault.start()
            faults.append(fault)
            time.sleep(self.random.uniform(0.3, 2))
        for fault in faults:
            fault.join()
        for proxy in self.proxies:
            proxy.mode = "pass"
        self.check_recovery()
        for name in list(self.system.processes):
            self.check_running(name)
        self.done.set()
        for thread in threads:
            thread.join()
        self.check_calls()
        return self.violations

    def reserve(self, name):
        """Reserves a process for one fault at a time. Returns False if it already has one."""
        with self.lock:
            if name in self.faulted:
                return False
            self.faulted.add(name)
            return True

    def inject(self, name, start, stop):
        if not self.reserve(name):
            return
        self.disturbed.append((name, time.monotonic()))
        start()
        time.sleep(self.random.uniform(0.3, 4))
        stop()
        self.faulted.discard(name)

    def random_server(self):
        return self.random.choice(self.system.engines + self.system.till_servers)

    def kill_server(self):
        name = self.random_server()
        self.inject(name, lambda: self.system.kill(name), lambda: self.system.start_server(name))

    def pause(self, name):
        self.inject(name, lambda: self.system.signal(name, signal.SIGSTOP),
                    lambda: self.system.signal(name, signal.SIGCONT))

    def pause_server(self):
        self.pause(self.random_server())

    def pause_store(self):
        self.pause("store")

    def pause_node(self):
        self.pause(f"n{self.random.randrange(3)}")

    def kill_node(self):
        number = self.random.randrange(3)
        name = f"n{number}"

        def kill():
            self.check_running(name)
            self.system.kill(name)

        self.inject(name, kill, lambda: self.system.start_node(number))

    def stop_node(self):
        number = self.random.randrange(3)
        name = f"n{number}"
        if not self.reserve(name):
            return
        self.disturbed.append((name, time.monotonic()))
        self.check_running(name)
        stopped = self.system.processes[name]
        stopped.send_signal(signal.SIGTERM)
        time.sleep(self.random.uniform(0, 2))
        overlaps = self.random.random() < 0.5
        if overlaps:  # The successor waits for the addresses.
            self.system.start_node(number)
        for further in self.random.choices(SIGNALS, k=self.random.randrange(6)):
            time.sleep(self.random.uniform(0, 1))
            if stopped.poll() is None:
                stopped.send_signal(further)
        if stopped.wait(10) != 0:
            self.violations.append(f"{name} exited with {stopped.returncode}")
        if not overlaps:
            self.system.start_node(number)
        self.faulted.discard(name)

    def check_running(self, name):
        """A process that no fault has ended must run."""
        process = self.system.processes[name]
        if process.poll() is not None:
            self.violations.append(f"{name} ended by itself with {process.returncode}")

    def hang_up_node(self):
        name = f"n{self.random.randrange(3)}"
        for _ in range(self.random.randrange(1, 200)):
            process = self.system.processes[name]
            if process.poll() is None:
                process.send_signal(signal.SIGHUP)
            time.sleep(self.random.choice([0, 0, 0.001, 0.02]))

    def disturb_link(self):
        proxy = self.random.choice(self.proxies)
        self.disturbed.append((proxy.target, time.monotonic()))
        proxy.mode = self.random.choice(["delay", "reset", "silence", "out", "back"])
        time.sleep(self.random.uniform(0.3, 4))
        proxy.mode = "pass"

    def cut_nodes(self):
        """Cuts one node or two off from all servers."""
        way = self.random.choice(LINK_CUTS)
        pids = {}
        for number in self.random.sample(range(3), self.random.randrange(1, 3)):
            name = f"n{number}"
            self.disturbed.append((name, time.monotonic()))
            pids[self.system.processes[name].pid] = way
        self.cuts.update(pids)
        time.sleep(self.random.uniform(0.3, 4))
        for pid in pids:
            self.cuts.pop(pid, None)

    def degrade_server(self):
        name = self.random_server()
        fault = {"break_after_run": self.random.uniform(0, 0.5), "shed": 0.3}
        self.inject(name, lambda: self.set_fault(name, fault), lambda: self.set_fault(name, {}))

    @staticmethod
    def set_fault(name, fault):
        host, port = name.rsplit(":", 1)
        try:
            connection = http.client.HTTPConnection(host, int(port), timeout=1)
            connection.request("POST", "/fault", json.dumps(fault))
            connection.getresponse().read()
        except (OSError, http.client.HTTPException):
            pass  # The server is unreachable because of another fault.

    def replace_server(self):
        """A server announces that it leaves, ends, and starts again."""
        name = self.random_server()
        if not self.reserve(name):
            return
        self.set_fault(name, {"leaving": True})
        time.sleep(DRAIN_LIMIT_S + self.random.uniform(0, 2))
        self.system.kill(name)
        self.system.start_server(name)
        self.faulted.discard(name)

    def ask_for_pauses(self):
        name = self.random_server()
        if not self.reserve(name):
            return
        self.set_fault(name, {"pause": 0.3, "pause_s": self.random.uniform(0.6, 2)})
        time.sleep(self.random.uniform(1, 4))
        self.set_fault(name, {})
        self.faulted.discard(name)

    def change_keys(self):
        if not self.reserve("keys"):
            return
        try:
            key = "key-b"
            if key in self.system.keys:
                del self.system.keys[key]
                self.system.configure()
                self.revoked_at[key] = time.monotonic()
            else:
                self.revoked_at.pop(key, None)
                self.system.keys[key] = KEYS[key]
                self.system.configure()
        except (OSError, AssertionError, ValueError):
            pass  # The store is paused: the write was not accepted, or its outcome is unknown.
        self.faulted.discard("keys")

    def run_caller(self, number):
        rng = random.Random(self.random.random())
        connections = {}
        while not self.done.is_set():
            node = rng.randrange(3)
            connection = connections.pop(node, None) or http.client.HTTPConnection(
                self.system.nodes[node], 8200, timeout=8)
            kind = rng.choice(["stream", "pay", "read"])
            key = rng.choice(list(KEYS))
            started_at = time.monotonic()
            events = rng.randrange(1, 40)
            if kind == "stream":
                request, response = self.system.call(
                    node, "POST", "/ask/x", json.dumps({"events": events}), key,
                    {"X-Model-Name": rng.choice(["large", "small"]), "X-Token-Count": "9,99"},
                    connection)
            else:
                method = "POST" if kind == "pay" else "GET"
                request, response = self.system.call(node, method, f"/{kind}/x", b"{}", key,
                                                     connection=connection)
            if response.complete and response.headers.get("Connection") != "close":
                connections[node] = connection  # Reused until the node closes it or ends.
            else:
                connection.close()
                time.sleep(0.05)
            self.sent.append((request, kind, key, events, started_at, response))
            self.passed_through[request] = (f"n{node}", started_at, time.monotonic())

    def check_recovery(self):
        def served():
            recent = [entry for entry in self.sent if entry[4] > started_at]
            successful = [entry for entry in recent if entry[5].status == 200]
            return len(recent) >= 12 and 4 * len(successful) >= len(recent)

        started_at = time.monotonic()
        try:
            wait_for("service to recover after the faults", served, RECOVERY_LIMIT_S)
        except AssertionError as error:
            self.violations.append(f"recovery: {error}")

    def check_calls(self):
        runs_by_request = self.system.runs_by_request()
        for request, kind, key, events, started_at, response in self.sent:
            organisations = runs_by_request.get(request, [])
            details = f"{request} {kind} {key}, status {response.status}, " \
                      f"ran {len(organisations)} times"
            if kind == "pay" and len(organisations) > 1:
                self.violations.append(f"payment executed more than once: {details}")
            # These statuses guarantee that the call was not executed.
            if kind == "pay" and organisations and response.status in (408, 421, 429, 503):
                self.violations.append(f"executed although reported as not run: {details}")
            if any(organisation != KEYS[key] for organisation in organisations):
                self.violations.append(
                    f"executed for another organisation: {details}, for {organisations}")
            if response.status == 200 and response.complete:
                if kind == "stream" and response.events() != list(range(1, events + 1)):
                    self.violations.append(
                        f"incomplete answer: {details}, {response.events()} of {events}")
                # The events of a retried stream carry the id of the same request.
                if request not in response.body.decode():
                    self.violations.append(f"answer of another request: {details}")
            revocation = self.revoked_at.get(key)
            if revocation and started_at > revocation + REVOCATION_LIMIT_S and organisations:
                self.violations.append(
                    f"revoked key accepted: {details}, {started_at - revocation:.1f} s later")
        self.check_notices()

    def was_disturbed(self, names, begin, end):
        return any(name in names and begin <= at <= end for name, at in self.disturbed)

    def check_notices(self):
        for address in self.system.engines + self.system.till_servers:
            lines = [line.split() for line in self.system.log(address).split("\n")]
            arrivals = [(request, pid, float(at)) for tag, request, pid, at in
                        (line for line in lines if len(line) == 4 and line[0] == "came")
                        if request in self.passed_through]
            for line in lines:
                if len(line) == 5 and line[0] == "paused" and line[1] in self.passed_through:
                    self.check_pause(address, arrivals, line)
            for entry in self.sent:
                request, response = entry[0], entry[5]
                if response.complete and response.headers.get("Server-Leaving") == "1" \
                        and response.headers.get("X-Instance-Id") == id_of(address):
                    self.check_leaving(address, arrivals, request,
                                       response.headers["X-Server-Run"])

    def check_pause(self, address, arrivals, line):
        _, request, pid, at, seconds = line
        node, begin, end = self.passed_through[request][0], float(at), float(at) + float(seconds)
        late = [other for other, other_pid, arrived in arrivals
                if other_pid == pid and begin + IN_TRANSIT_S < arrived < end
                and self.passed_through[other][0] == node]
        if len(late) > MAX_REQUESTS_IN_PAUSE \
                and not self.was_disturbed((node, address), begin - FAULT_LIMIT_S, end):
            self.violations.append(f"{len(late)} requests of {node} in a pause of {seconds} s that "
                                   f"{address} asked for at {request}: {late}")

    def check_leaving(self, address, arrivals, request, run):
        node, _, passed_at = self.passed_through[request]
        for other, pid, arrived in arrivals:
            other_node, started_at, _ = self.passed_through[other]
            if pid == run and other_node == node and started_at > passed_at + DRAIN_LIMIT_S \
                    and not self.was_disturbed((node,), passed_at - FAULT_LIMIT_S, arrived):
                self.violations.append(f"{other} reached {address} through {node} "
                                       f"{started_at - passed_at:.1f} s after {request} was "
                                       "answered with its leaving")


def run_seed(build, seed, seconds, slot, logs):
    soak = Soak(build, seed, seconds, slot)
    try:
        violations = soak.run()
        successful = sum(entry[5].status == 200 for entry in soak.sent)
        if violations and logs:
            shutil.copytree(soak.system.folder.name, os.path.join(logs, f"seed-{seed}"),
                            dirs_exist_ok=True)
    finally:
        soak.done.set()
        soak.system.stop()
        for proxy in soak.proxies:
            proxy.listener.close()
    return seed, len(soak.sent), successful, violations


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--seeds", default="1-3")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--parallel", type=int, default=1)
    parser.add_argument("--build", default="build")
    parser.add_argument("--logs", help="directory for the logs of failed seeds")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    seeds = list(range(int(first), int(last or first) + 1)) + list(REGRESSIONS)
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(options.parallel, max_tasks_per_child=1) as pool:
        # Every seed of a batch has its own slot, so that concurrent systems use distinct addresses.
        for first_index in range(0, len(seeds), options.parallel):
            batch = [pool.submit(run_seed, options.build, seed, options.seconds, slot + 1,
                                 options.logs)
                     for slot, seed in enumerate(seeds[first_index:first_index + options.parallel])]
            for result in batch:
                seed, sent, successful, violations = result.result()
                failed += bool(violations)
                print(f"seed {seed}: {sent} requests, {successful} served, "
                      f"{len(violations)} violations", flush=True)
                for violation in violations[:5]:
                    print(f"  {violation}", flush=True)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    sys.exit(failed > 0)


if __name__ == "__main__":
    main()
