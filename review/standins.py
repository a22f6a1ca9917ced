"""Stand-ins for the platform's store, backend servers and callers, after the users' pages.

They run in the process of a script. The nodes are real processes of the deploy file's command. All
addresses are loopback addresses chosen at random; ports are free ones.
"""

import base64
import copy
import http.client
import json
import os
import random
import socket
import subprocess
import tempfile
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
COMMAND = ["target/src/command/bramleypitch", "serve"]  # As in deploy/system.toml.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["centro-a", "centro-b", "centro-c"]
HOST = "tienda.example"
HEARTBEAT_S = 1.2
BROKEN, HELD, NOT_RUN = 1, 0, 2


class CannotRun(Exception):
    pass


def loopback_ip():
    return f"127.{random.randrange(64, 128)}.{random.randrange(256)}.{random.randrange(1, 255)}"


def free_port(ip, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def split(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


class Record:
    """record.txt: one line for each thing that happened, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def __call__(self, *words):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} " + " ".join(map(str, words)) + "\n")
            self.file.flush()


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    timeout = 60

    def log_message(self, *_):
        pass

    def read_body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def reply(self, status, body=b"", headers=()):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class Listener(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, *_):
        pass  # A caller that disconnects is no error of the stand-in.


def listen(handler):
    ip = loopback_ip()
    listener = Listener((ip, 0), handler)
    threading.Thread(target=listener.serve_forever, daemon=True).start()
    return listener, f"{ip}:{listener.server_address[1]}"


class Store:
    """The platform's key-value store: revisions, watches, transactions, leases and eras."""

    def __init__(self):
        self.changed = threading.Condition()
        self.items, self.events, self.leases = {}, [], {}
        self.revision, self.history_start, self.era = 100, 100, 1
        self.is_away = False
        self.listener, self.address = listen(self.handler())
        threading.Thread(target=self.expire, daemon=True).start()

    # What the operator and the servers do; False while the store is away.

    def put(self, key, value):
        with self.changed:
            if self.is_away:
                return False
            self.put_now(key, base64.b64encode(value).decode(), 0)
            return True

    def remove(self, key):
        with self.changed:
            if self.is_away:
                return False
            self.remove_now(key)
            return True

    # The drill: the store is away for a moment and comes back from an older copy.

    def take_copy(self):
        with self.changed:
            return copy.deepcopy((self.items, self.events, self.leases, self.revision, time.monotonic()))

    def go_away(self):
        with self.changed:
            self.is_away = True
            self.changed.notify_all()

    def come_back(self, older):
        with self.changed:
            lost = self.revision
            self.items, self.events, self.leases, self.revision, taken_at = copy.deepcopy(older)
            passed = time.monotonic() - taken_at
            self.leases = {lease: (ttl, end + passed) for lease, (ttl, end) in self.leases.items()}
            self.era += 1
            self.is_away = False
            self.changed.notify_all()
            return lost, self.revision

    def put_now(self, key, value, lease):
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        self.items[key] = {"key": key, "value": value, "revision": self.revision,
                           "created": created, "lease": lease}
        self.events.append(self.items[key])
        self.changed.notify_all()

    def remove_now(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "deleted": True})
            self.changed.notify_all()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove_now(key)

    def expire(self):
        while True:
            time.sleep(0.05)
            with self.changed:
                if not self.is_away:
                    now = time.monotonic()
                    for lease in [lease for lease, (_, end) in self.leases.items() if end < now]:
                        self.end_lease(lease)

    def watch(self, query):
        after, end = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
        era = self.era
        while True:
            if self.is_away or self.era != era:
                return 503, {}
            if after > self.revision or after < self.history_start:
                return 410, {}
            events = [event for event in self.events if event["revision"] > after
                      and event["key"].startswith(query["path_prefix"])]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            self.changed.wait(left)

    def get(self, path, query):
        if path == "/v1/kv-watch":
            return self.watch(query)
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, as_of=self.revision)) if item else (404, {"as_of": self.revision})
        keys = sorted(key for key in self.items
                      if key.startswith(query["path_prefix"]) and key > query.get("after", ""))
        return 200, {"entries": [self.items[key] for key in keys[:500]],
                     "more_pages": len(keys) > 500, "as_of": self.revision}

    def transact(self, body):
        rows = body.get("expected", [])
        if any(self.items.get(row["key"], {}).get("revision", 0) != row["revision"] for row in rows):
            return 412, {"entries": [self.items.get(row["key"], {"key": row["key"], "revision": 0})
                                     for row in rows]}
        names = [put["key"] for put in body.get("puts", [])] + body.get("remove", [])
        if any(name.startswith(("op/", "servers/")) for name in names):
            return 403, {}
        if any(put.get("lease", 0) and put["lease"] not in self.leases for put in body.get("puts", [])):
            return 404, {}
        for put in body.get("puts", []):
            self.put_now(put["key"], put["value"], put.get("lease", 0))
        for key in body.get("remove", []):
            self.remove_now(key)
        return 200, {"revision": self.revision}

    def post(self, path, body):
        if path == "/v1/kv-txn":
            return self.transact(body)
        if path == "/v1/kv-lease":
            lease = random.randrange(1, 1 << 40)
            self.leases[lease] = (body["ttl_ms"] / 1000, time.monotonic() + body["ttl_ms"] / 1000)
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        ttl = self.leases[lease][0]
        self.leases[lease] = (ttl, time.monotonic() + ttl)
        return 200, {"lease": lease, "ttl_ms": int(ttl * 1000)}

    def handler(store):  # pylint: disable=no-self-argument
        class StoreHandler(Handler):
            def answer(self, call):
                with store.changed:
                    status, body = (503, {}) if store.is_away else call()
                    era = store.era
                self.reply(status, body, [("Store-Era", str(era))])

            def do_GET(self):
                url = urllib.parse.urlparse(self.path)
                query = {name: values[0] for name, values in
                         urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
                self.answer(lambda: store.get(url.path, query))

            def do_POST(self):
                raw = self.read_body()
                body = json.loads(raw) if raw else {}
                self.answer(lambda: store.post(self.path, body))

            def do_DELETE(self):
                def end():
                    store.end_lease(int(self.path.rsplit("/", 1)[1]))
                    return 200, {}
                self.answer(end)

        return StoreHandler


class PlainServer:
    """A server of a service without engines. It writes its entry every heartbeat."""

    def __init__(self, store, number, service, zone, record):
        self.id = f"i-{random.randrange(1 << 32):08x}"
        self.store, self.record, self.service = store, record, service
        self.ran = []
        self.listener, self.address = listen(self.handler())
        self.entry = {"service": service, "address": self.address, "zone": zone, "version": "v1",
                      "slots": 6, "state": "ready", "cold_remaining_ms": 0, "seq_num": number,
                      "born": int(time.time() * 1000)}
        self.write_entry()
        threading.Thread(target=self.beat, daemon=True).start()

    def work(self):
        """What a server does before it answers."""

    def write_entry(self):
        self.entry["seq_num"] += 1
        return self.store.put("servers/" + self.id, json.dumps(self.entry).encode())

    def beat(self):
        time.sleep(random.random() * HEARTBEAT_S)
        while True:
            # A write that is lost or refused is made again soon.
            time.sleep(HEARTBEAT_S if self.write_entry() else 0.2)

    def handler(server):  # pylint: disable=no-self-argument
        class ServerHandler(Handler):
            def serve(self):
                body = self.read_body()
                request = self.headers["X-Request-Id"]
                echo = [("X-Request-Id", request or ""), ("X-Instance-Id", server.id)]
                expected = self.headers.get("X-Expect-Instance")
                if expected and expected != server.id:
                    self.reply(421, b"", echo + [("X-Not-Executed", "1")])
                    return
                if not request:
                    self.reply(400, b"", [("X-Not-Executed", "1")])
                    return
                server.ran.append((request, time.monotonic()))
                server.record("ran", request, "at", server.id, "tenant",
                              self.headers.get("X-Tenant-Id", "-"))
                server.work()
                self.reply(200, {"request": request, "bytes": len(body)},
                           echo + [("X-Server-Seal", server.id)])

            do_GET = do_POST = serve

        return ServerHandler


class Engine(PlainServer):
    """A model server that joins groups. A stream makes one event of five tokens every EVENT_S."""

    EVENT_S = 0.045
    engines = {}

    def __init__(self, store, number, service, zone, domain, record):
        self.lock = threading.RLock()
        self.group, self.members, self.seen, self.fence, self.orders = None, [], 0, 0, 0
        super().__init__(store, number, service, zone, record)
        Engine.engines[self.id] = self
        with self.lock:
            self.entry.update(domain=domain, slots=17, models=[], staged=[])
        self.write_entry()

    def write_entry(self):
        with self.lock:
            self.entry["group"] = dict(self.group) if self.group else None
            return super().write_entry()

    def set_state(self, group, before, after, delay_s):
        def change():
            time.sleep(delay_s)
            with self.lock:
                if self.group is group and group["state"] == before:
                    group["state"] = after
            self.write_entry()
        threading.Thread(target=change, daemon=True).start()

    def order(self, body):
        with self.lock:
            if body.get("fencing_token", 0) < self.fence:
                return 412
            self.fence = body.get("fencing_token", 0)
            operation, group = body["operation"], self.group
            if operation == "phase":
                self.entry["staged"] = [body["model"]]
                return 202
            is_current = group and (group["name"], group["epoch"]) == (body["group"], body["epoch"])
            if operation == "join":
                if body["epoch"] < self.seen or (is_current and self.members != body["members"]):
                    return 412
                if is_current:
                    return 200
                self.seen, self.members = body["epoch"], body["members"]
                self.group = {"name": body["group"], "epoch": body["epoch"],
                              "rank": body["members"].index(self.id), "state": "joining"}
                self.entry["models"] = [{"name": body["model"], "version": 1, "adapters": []}]
                self.set_state(self.group, "joining", "ready", 0.2)
                return 202
            if not is_current:
                return 409
            if operation == "open":
                if group["rank"] != 0 or group["state"] not in ("ready", "open"):
                    return 409
                self.set_state(group, "ready", "open", 0.3)
            elif operation == "close":
                self.set_state(group, "open", "ready", 0)
            else:
                self.group = None
            return 202

    def is_whole(self):
        others = [Engine.engines[member].group for member in self.members]
        return all(other and self.group and other["name"] == self.group["name"]
                   and other["epoch"] == self.group["epoch"] for other in others)

    def handler(server):  # pylint: disable=no-self-argument
        class EngineHandler(Handler):
            def do_GET(self):
                self.reply(200, {"phase": "unified"})

            def do_POST(self):
                body = self.read_body()
                echo = [("X-Instance-Id", server.id)]
                if self.headers.get("X-Expect-Instance", server.id) != server.id:
                    self.reply(421, b"", echo + [("X-Not-Executed", "1")])
                elif self.path == "/v1/order":
                    status = server.order(json.loads(body))
                    server.write_entry()
                    self.reply(status, b"", echo)
                else:
                    self.stream(json.loads(body)["events"], echo)

            def stream(self, events, echo):
                request = self.headers["X-Request-Id"]
                echo.append(("X-Request-Id", request))
                with server.lock:
                    serves = server.group and server.group["state"] == "open" and server.is_whole()
                if not serves:
                    self.reply(421, b"", echo + [("X-Not-Executed", "1")])
                    return
                first = int(self.headers.get("Last-Event-Id") or 0) + 1
                server.ran.append((request, time.monotonic()))
                server.record("ran", request, "at", server.id, "events", first, "to", events)
                self.send_response(200)
                for name, value in echo + [("X-Server-Seal", server.id),
                                           ("Content-Type", "text/event-stream"),
                                           ("Transfer-Encoding", "chunked")]:
                    self.send_header(name, value)
                self.end_headers()
                try:
                    for number in range(first, events + 1):
                        time.sleep(server.EVENT_S)
                        event = f"id: {number}\ndata: {request} {number}\n\n".encode()
                        self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
                    self.wfile.write(b"0\r\n\r\n")
                except OSError:
                    self.close_connection = True
                    server.record("broken off by the caller:", request, "at event", number)

        return EngineHandler


class System:
    """A small deployment: the store, servers and nodes. Ends all that it started."""

    def __init__(self, folder, nodes=3, servers=12):
        if not os.path.exists(os.path.join(ROOT, COMMAND[0])):
            raise CannotRun("the program is not built")
        self.record = Record(folder)
        self.store = Store()
        self.tenants = {"chain-a": ["key-a"], "chain-b": ["key-b"]}
        self.version = 0
        self.configure()
        self.servers = [PlainServer(self.store, i, "caja-app", ZONES[i % 3], self.record)
                        for i in range(servers)]
        self.folder = tempfile.TemporaryDirectory()
        self.nodes, self.processes, self.paths, self.ends = [], [], [], {}
        self.count = 0
        for number in range(nodes):
            self.start_node(number)

    def configuration(self):
        route = {"host": HOST, "service": "caja-app", "timeout_ms": 1500, "target_latency_ms": 100,
                 "priority": 2, "auth_exempt": False}
        return {"version": self.version,
                "routes": [dict(route, name="bill-pay", path_prefix="/pay/",
                                route_type="non_idempotent", max_attempts=1),
                           dict(route, name="balance-check", path_prefix="/balance/",
                                route_type="idempotent", max_attempts=2)],
                "services": [{"name": "caja-app", "max_connections": 110}],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                           "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
                "tenants": [{"name": name, "api_keys": keys} for name, keys in self.tenants.items()]}

    def configure(self):
        """Writes the next version of the configuration. The answer of the store is the ack."""
        self.version += 1
        if not self.store.put("op/config", json.dumps(self.configuration()).encode()):
            raise CannotRun("the store refused a configuration")
        self.record("acknowledged configuration", self.version, "tenants", json.dumps(self.tenants))
        return time.monotonic()

    def rewrite_configuration(self):
        """The operator writes its last configuration again after a drill."""
        self.store.put("op/config", json.dumps(self.configuration()).encode())

    def restart_ended(self):
        """Starts the nodes again whose process has ended by itself, as the platform does."""
        for number, process in enumerate(self.processes):
            if process.poll() is not None:
                name = self.nodes[number]["node_name"]
                self.ends.setdefault(name, []).append(process.returncode)
                self.record("ENDED by itself:", name, "exit status", process.returncode)
                self.launch(number)

    def start_node(self, number):
        ip = loopback_ip()
        ports = [free_port(ip) for _ in range(4)]
        internal = free_port(ip, socket.SOCK_DGRAM)
        zone = ZONES[number % 3]
        settings = {
            "node_name": f"front-{zone}-{number + 1}", "role": "entry", "machine_class": "front",
            "serves": "front,directory", "ip": ip, "zone": zone, "region": "mx-centro",
            **{f"zones.{name}": "mx-centro" for name in ZONES},
            "listen.front": f"{ip}:{ports[0]}", "listen.ready": f"{ip}:{ports[1]}",
            "listen.control": f"{ip}:{ports[2]}", "listen.directory": f"{ip}:{ports[3]}",
            "internal_ports": f"{internal},{internal + 1}", "seeds": "", "first_start": "true",
            "counts_as_loss": "true", "limits.cpu_share": "0.25", "limits.cores": "1",
            "limits.memory_mb": "260", "limits.max_fds": "4100", "limits.link_mbps": "1000.0",
            "limits.disk_mb": "0", "discovery": "platform", "entry": "directory",
            "heartbeat_ms": "1200",
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,gangs",
            "fault_tolerance.machines": "1", "fault_tolerance.zones": "1",
            "fault_tolerance.regions": "0", "bounds.seed_lag_s": "3", "bounds.addr_reuse_s": "2",
            "bounds.stable_window_ms": "3000", "bounds.ack_ms": "4000", "bounds.catch_up_s": "4",
            "bounds.drain_ms": "2000", "bounds.grace_s": "8", "bounds.loss_slack_ms": "200",
            "bounds.config_apply_ms": "2000", "bounds.rollback_slack_ms": "250",
            "bounds.max_skew_ms": "5000", "bounds.fail_closed": "true", "bounds.revoke_ms": "5000",
            "bounds.retry_ratio": "0.2", "bounds.retry_window_s": "10", "bounds.retry_slack": "109",
            "bounds.cold_overshoot": "1.5", "bounds.cold_slack": "5", "bounds.evacuate_ms": "5000",
            "bounds.recovery_s": "12", "bounds.pass_ms": "120", "bounds.retry_after_s": "0",
            "bounds.stall_ms": "5000", "bounds.fencing_enforced": "true",
            "bounds.ceiling_window_s": "5", "bounds.ceiling_overshoot": "1.1",
            "bounds.ttl_max_s": "5", "platform.address": self.store.address, "platform.form": "kv",
            "platform.writes_per_s": "400", "platform.reads_per_s": "2000",
            "platform.history_s": "20", "platform.value_bytes": "1048576",
            "platform.min_ttl_ms": "1000"}
        path = os.path.join(self.folder.name, f"node{number}.conf")
        with open(path, "w", encoding="utf-8") as file:
            file.writelines(f"{name}={value}\n" for name, value in settings.items())
        self.nodes.append(settings)
        self.processes.append(None)
        self.paths.append(path)
        self.launch(number)

    def launch(self, number):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with open(self.paths[number] + ".log", "ab") as log:
            self.processes[number] = subprocess.Popen(
                COMMAND, cwd=ROOT, stdout=log, stderr=log,
                env=dict(environment, BRAMLEYPITCH_BOOT=self.paths[number]))
        self.record("started", self.nodes[number]["node_name"], "process", self.processes[number].pid)

    def wait_ready(self, seconds=20):
        end = time.monotonic() + seconds
        for settings in self.nodes:
            while not self.is_ready(settings):
                if time.monotonic() > end:
                    raise CannotRun(f"{settings['node_name']} is not ready")
                time.sleep(0.1)
        self.record("all nodes are ready")

    @staticmethod
    def is_ready(settings):
        connection = http.client.HTTPConnection(*split(settings["listen.ready"]), timeout=1)
        try:
            connection.request("GET", "/v1/readiness")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def call(self, node, method, path, key=None, body=None, headers=None):
        """A requester's attempt on a connection of its own. Returns its id and the status, or 0."""
        self.count += 1
        request = f"{random.randrange(1 << 48):012x}{self.count:04x}"
        all_headers = {"Host": HOST, "X-Request-Id": request, "X-Request-Deadline": "1500",
                       **(headers or {})}
        if key:
            all_headers["Authorization"] = "Bearer " + key
        settings = self.nodes[node]
        self.record("sent", request, method, path, "key", key or "-", "to", settings["node_name"])
        connection = http.client.HTTPConnection(*split(settings["listen.front"]), timeout=3)
        status = 0
        try:
            connection.request(method, path, body, all_headers)
            response = connection.getresponse()
            response.read()
            status = response.status
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        self.record("answered", request, status)
        return request, status

    def runs(self, request):
        return sum(1 for server in self.servers for ran, _ in server.ran if ran == request)

    def ended(self):
        """The nodes whose process has ended by itself, with the exit status."""
        return {settings["node_name"]: process.poll()
                for settings, process in zip(self.nodes, self.processes) if process.poll() is not None}

    def stop(self, keep_logs=None):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        if keep_logs:
            for settings, path in zip(self.nodes, self.paths):
                with open(path + ".log", "rb") as source, \
                        open(os.path.join(keep_logs, settings["node_name"] + ".log"), "wb") as target:
                    target.write(source.read())
        self.folder.cleanup()


def run(folder, case, **options):
    """Runs a case and returns its exit status: 1 if the rule was broken, 0 if it held, else 2."""
    system = None
    try:
        system = System(folder, **options)
        return BROKEN if case(system) else HELD
    except (CannotRun, OSError) as error:
        print(f"could not run: {error}")
        if system:
            system.record("could not run:", error)
        return NOT_RUN
    finally:
        if system:
            system.stop(os.environ.get("KEEP_LOGS"))
