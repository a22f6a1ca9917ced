"""Starts the real program with stand-ins for the production platform and acts as its callers."""

import base64
import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time

from platform_standin import id_of

TEST_DIRECTORY = os.path.dirname(os.path.abspath(__file__))
ZONES = ["za", "zb", "zc"]
KEYS = {"key-a": "chain-a", "key-b": "chain-b"}
MODELS = [{"name": "large", "size": 3, "share": 0.5, "pace": 1.0, "load_s": 0.2, "warm_s": 0.1},
          {"name": "small", "size": 2, "share": 0.5, "pace": 1.0, "load_s": 0.2, "warm_s": 0.1}]


def wait_for(what, condition, seconds=20):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError(f"not reached within {seconds} s: {what}")


class Response:
    """The response to a caller; `complete` is false if the connection ended before the body did."""

    def __init__(self, status=0, headers=None, body=b"", complete=False):
        self.status, self.headers, self.body, self.complete = status, headers or {}, body, complete

    def events(self):
        return [int(line[4:]) for line in self.body.decode().split("\n") if line.startswith("id: ")]


def send_request(address, method, path, body=None, headers=None, timeout=8, connection=None):
    host, port = address.rsplit(":", 1)
    close_after = connection is None
    connection = connection or http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        try:
            return Response(response.status, dict(response.getheaders()), response.read(), True)
        except (http.client.IncompleteRead, OSError):
            return Response(response.status, dict(response.getheaders()))
    except (OSError, http.client.HTTPException):
        return Response()
    finally:
        if close_after:
            connection.close()


class System:
    """The store, servers and nodes, each a child process that this class ends by its id."""

    def __init__(self, build, engines=10, nodes=3, slot=0, advertised_addresses=None,
                 store_addresses=None):
        """Starts all processes.

        `slot` selects the loopback addresses, so that several systems can run in parallel.
        `advertised_addresses` maps a server's address to the one that it advertises in the store;
        `store_addresses` maps a node's number to the store address that it uses. Both default to
        the real addresses.
        """
        self.advertised_addresses, self.store_addresses = \
            advertised_addresses or {}, store_addresses or {}
        self.store = f"127.{slot}.1.1:23000"
        self.binary = os.path.join(build, "src", "command", "bramleypitch")
        self.folder = tempfile.TemporaryDirectory()
        self.processes = {}
        self.logs = {}
        self.request_count = 0
        self.lock = threading.Lock()
        self.version = 0
        self.keys = dict(KEYS)
        self.engines = [f"127.{slot}.2.{i + 1}:23100" for i in range(engines)]
        self.till_servers = [f"127.{slot}.3.{i + 1}:23200" for i in range(2)]
        self.nodes = [f"127.{slot}.4.{i + 1}" for i in range(nodes)]
        self.start("store", [sys.executable, os.path.join(TEST_DIRECTORY, "platform_standin.py"),
                             "store", self.store])
        wait_for("the store to answer",
                 lambda: send_request(self.store, "GET", "/v1/kv-range?path_prefix=").status == 200)
        self.configure()
        for address in self.engines:
            self.start_server(address)
        for address in self.till_servers:
            self.start_server(address)
        for number in range(nodes):
            self.start_node(number)

    def start(self, name, arguments, **options):
        log = open(os.path.join(self.folder.name, name + ".log"), "ab")
        self.logs[name] = log.name
        options.setdefault("stdout", log)
        self.processes[name] = subprocess.Popen(arguments, stderr=log, **options)

    def start_server(self, address):
        engine = address in self.engines
        server_arguments = ["llm", "za", "d"] if engine else ["till", "zb", "-"]
        if address in self.advertised_addresses:
            server_arguments.append(self.advertised_addresses[address])
        self.start(address, [sys.executable, os.path.join(TEST_DIRECTORY, "platform_standin.py"),
                             "server", address, self.store, *server_arguments])

    def start_node(self, number, **options):
        ip = self.nodes[number]
        path = os.path.join(self.folder.name, f"node{number}.conf")
        settings = {
            "node_name": f"n{number}", "ip": ip, "zone": ZONES[number % 3], "first_start": "true",
            "listen.front": ip + ":8200", "listen.ready": ip + ":8201",
            "listen.directory": ip + ":8202", "internal_ports": "7340,7353",
            "platform.address": self.store_addresses.get(number, self.store),
            "bounds.grace_s": 8, "bounds.revoke_ms": 5000,
            "bounds.retry_ratio": 0.2, "bounds.retry_slack": 100, "bounds.retry_window_s": 10,
            "bounds.fail_closed": "true", "bounds.stall_ms": 1000, "unknown.field": "ignored"}
        with open(path, "w", encoding="utf-8") as file:
            file.writelines(f"{name}={value}\n" for name, value in settings.items())
        self.start(f"n{number}", [self.binary, "serve"],
                   env=dict(os.environ, BRAMLEYPITCH_BOOT=path), **options)

    def configure(self):
        """Writes the next version of the operator's configuration to the store."""
        self.version += 1
        route = {"host": "shop.example", "timeout_ms": 6000, "target_latency_ms": 400,
                 "priority": 1, "auth_exempt": False}
        config = {
            "version": self.version,
            "routes": [
                dict(route, name="ask", path_prefix="/ask/", route_type="streaming",
                     resumable=True, sticky=True, service="llm", max_attempts=3),
                dict(route, name="pay", path_prefix="/pay/", route_type="non_idempotent",
                     service="till", max_attempts=1),
                dict(route, name="read", path_prefix="/read/", route_type="idempotent",
                     weighted_services=[{"service": "till", "weight": 100}], max_attempts=2)],
            "services": [
                {"name": "llm", "engine": {"slots": 8, "stride": 1, "step_ms": 20,
                                           "loads_per_s": 50, "loads_at_once": 50,
                                           "models": MODELS}},
                {"name": "till"}],
            "limits": {"max_header_bytes": 4096, "max_body_bytes": 10000,
                       "header_timeout_ms": 1000, "idle_timeout_ms": 5000},
            "tenants": [{"name": name, "api_keys": [key]} for key, name in self.keys.items()]}
        value = base64.b64encode(json.dumps(config).encode()).decode()
        revision = self.revision("op/config")
        self.write({"expected": [{"key": "op/config", "revision": revision}],
                    "puts": [{"key": "op/config", "value": value}], "remove": []})

    def drill(self, age_s, away_s):
        """The store comes back from an older copy."""
        response = send_request(self.store, "POST", "/drill",
                                json.dumps({"age_s": age_s, "away_s": away_s}))
        assert response.status == 200, response.status

    def items(self, prefix):
        entries, after = [], ""
        while True:
            page = json.loads(send_request(
                self.store, "GET", f"/v1/kv-range?path_prefix={prefix}&after={after}").body)
            entries += page["entries"]
            if not page["more_pages"]:
                return entries
            after = page["entries"][-1]["key"]

    def revision(self, key):
        return next((item["revision"] for item in self.items(key) if item["key"] == key), 0)

    def write(self, body):
        assert send_request(self.store, "POST", "/v1/kv-txn", json.dumps(body)).status == 200

    def entry(self, address):
        for item in self.items("servers/" + id_of(address)):
            return json.loads(base64.b64decode(item["value"]))
        return None

    def open_heads(self, model):
        entries = [self.entry(address) for address in self.engines]
        return [entry["address"] for entry in entries
                if entry and entry.get("group") and entry["group"]["state"] == "open"
                and entry["models"][0]["name"] == model]

    def front_address(self, number):
        return self.nodes[number] + ":8200"

    def is_ready(self, number):
        return send_request(self.nodes[number] + ":8201", "GET", "/v1/readiness",
                            timeout=2).status == 200

    def wait_ready(self):
        for number in range(len(self.nodes)):
            wait_for(f"node {number} to be ready", lambda n=number: self.is_ready(n))
        for model in ("large", "small"):
            for number in range(len(self.nodes)):
                wait_for(f"an open group for {model} at node {number}",
                         lambda n=number, m=model: self.stream(n, 1, m)[1].status == 200)

    def call(self, number, method, path, body=None, key="key-a", headers=None, connection=None):
        """Sends a request as a caller does; returns its id and the response."""
        with self.lock:
            self.request_count += 1
            request_id = f"r{self.request_count}"
        headers = dict(headers or {}, Host="shop.example", Authorization="Bearer " + key)
        headers.update({"X-Request-Id": request_id, "X-Request-Deadline": "6000"})
        return request_id, send_request(self.front_address(number), method, path, body, headers,
                                        connection=connection)

    def stream(self, number, events=30, model="small"):
        return self.call(number, "POST", "/ask/x", json.dumps({"events": events}),
                         headers={"X-Model-Name": model, "X-Token-Count": "100,150"})

    def log(self, name):
        with open(self.logs[name], encoding="utf-8") as file:
            return file.read()

    def runs_by_request(self):
        """Maps request ids to the organisations they ran for, on killed servers as well."""
        organisations = {}
        for address in self.engines + self.till_servers:
            with open(self.logs[address], encoding="utf-8") as log:
                for line in log:
                    fields = line.split()
                    if len(fields) == 3 and fields[0] == "ran":
                        organisations.setdefault(fields[1], []).append(fields[2])
        return organisations

    def count_runs(self, request_id):
        return len(self.runs_by_request().get(request_id, []))

    def signal(self, name, signal_number):
        self.processes[name].send_signal(signal_number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.folder.cleanup()
