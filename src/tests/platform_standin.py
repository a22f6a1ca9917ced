"""Stand-ins for the production platform: the store and backend servers, each a separate process.

    platform_standin.py store ADDRESS
    platform_standin.py server ADDRESS STORE SERVICE ZONE DOMAIN [ADVERTISED]

A server is an inference engine unless DOMAIN is "-". ADVERTISED is the address in its store entry
if that differs from ADDRESS, for example that of a proxy in front of it.

Servers write their store entry by calling /beat, which only these stand-ins have; the store deletes
an entry after three missed heartbeats. A server's id is derived from its address, so that the head
of a group can check whether its members are running. Each request that a server runs is logged as
"ran REQUEST ORGANISATION" on standard output, which remains readable after the process is killed.
POST /fault sets the shares of requests to fail: {"break_after_run": share, "shed": share}, and what
the server asks for: {"leaving": true}, {"pause": share, "pause_s": seconds}. Arrivals are logged as
"came REQUEST PID TIME", requests for a pause as "paused REQUEST PID TIME SECONDS".

POST /drill lets the store go back to a copy: {"age_s": seconds, "away_s": seconds}. It names the era in
all its answers ("Store-Era"). Servers write their entries again with their next heartbeat.
"""

import base64
import collections
import copy
import json
import os
import random
import socket
import sys
import threading
import time
import urllib.parse
from http.client import HTTPConnection
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HEARTBEAT_INTERVAL_S = 0.3
STALL_TIMEOUT_S = 1.0  # A group that lost a member stalls for this long before it is marked broken.
EVENT_INTERVAL_S = 0.02
COPY_INTERVAL_S = 0.25
COPIES = 60  # The oldest one is 15 s old.


def parse_address(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


def id_of(address):
    return "i-" + address.replace(".", "-").replace(":", "-")


def address_of(server_id):
    parts = server_id[2:].split("-")
    return ".".join(parts[:4]) + ":" + parts[4]


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    timeout = 60

    def log_message(self, *_):
        pass

    def read_body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def reply(self, status, value=b"", headers=()):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.send_response(status)
        for name, content in headers:
            self.send_header(name, content)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, *_):
        pass  # A client that disconnects is not an error of the stand-in.


class Store:
    """A key-value store with revisions, leases and watches, guarded by one lock."""

    def __init__(self):
        self.changed = threading.Condition()
        self.items = {}
        self.events = []
        self.revision = 10
        self.leases = {}
        self.heartbeats = {}
        self.era = 1
        self.is_away = False
        self.copies = collections.deque(maxlen=COPIES)

    def copy_regularly(self):
        while True:
            with self.changed:
                if not self.is_away:
                    self.copies.append((time.monotonic(), self.revision, dict(self.items),
                                        list(self.events), copy.deepcopy(self.leases)))
            time.sleep(COPY_INTERVAL_S)

    def drill(self, age, away):
        """The store is away for a moment and comes back from a copy of about this age."""
        with self.changed:
            wanted_at = time.monotonic() - age
            copied_at, revision, items, events, leases = next(
                (found for found in reversed(self.copies) if found[0] <= wanted_at),
                self.copies[0])
            self.is_away = True
            self.changed.notify_all()
        time.sleep(away)
        with self.changed:
            now = time.monotonic()
            self.revision, self.items, self.events = revision, items, events
            self.leases = {lease: (ttl, end + now - copied_at)
                           for lease, (ttl, end) in leases.items()}
            # An entry is deleted unless its server writes it again.
            self.heartbeats = {key: now for key in items if key.startswith("servers/")}
            self.copies.clear()
            self.era += 1
            self.is_away = False
            self.changed.notify_all()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        self.items[key] = {"key": key, "value": value, "revision": self.revision,
                           "created": created, "lease": lease}
        self.events.append(self.items[key])
        self.changed.notify_all()

    def delete_key(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.events.append({"key": key, "revision": self.revision, "deleted": True})
        self.changed.notify_all()

    def expire_entries(self):
        while True:
            time.sleep(0.05)
            with self.changed:
                if self.is_away:
                    continue
                now = time.monotonic()
                for lease in [lease for lease, (_, end) in self.leases.items() if end < now]:
                    self.end_lease(lease)
                for key in [key for key, received_at in self.heartbeats.items()
                            if received_at + 3 * HEARTBEAT_INTERVAL_S < now]:
                    del self.heartbeats[key]
                    self.delete_key(key)

    def holds_entry(self, key, entry):
        """Whether a server's entry is stored, apart from the number of its writes."""
        if key not in self.items:
            return False
        stored = json.loads(base64.b64decode(self.items[key]["value"]))
        return dict(stored, seq_num=0) == dict(entry, seq_num=0)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete_key(key)

    def transact(self, body):
        mismatched = [row["key"] for row in body["expected"]
                      if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]]
        if mismatched:
            return 412, {"entries": [self.items.get(key, {"key": key, "revision": 0})
                                     for key in mismatched]}
        for put in body["puts"]:
            if put.get("lease", 0) and put["lease"] not in self.leases:
                return 404, {}
        for put in body["puts"]:
            self.put(put["key"], put["value"], put.get("lease", 0))
        for key in body["remove"]:
            self.delete_key(key)
        return 200, {"revision": self.revision}

    def watch(self, prefix, after, wait):
        """Returns none if the watch is cut, or if its revision is unknown."""
        end, era = time.monotonic() + wait, self.era
        if after > self.revision:
            return None
        while True:
            if self.is_away or self.era != era:
                return None
            matching = [event for event in self.events
                        if event["revision"] > after and event["key"].startswith(prefix)]
            remaining = end - time.monotonic()
            if matching or remaining <= 0:
                return {"events": matching, "as_of": self.revision}
            self.changed.wait(remaining)


def store_handler(store):
    class StoreHandler(Handler):
        def reply(self, status, value=b"", headers=()):
            super().reply(status, value, [*headers, ("Store-Era", str(store.era))])

        def refuse_if_away(self):
            if store.is_away:
                super().reply(503)
            return store.is_away

        def do_GET(self):
            if self.refuse_if_away():
                return
            url = urllib.parse.urlparse(self.path)
            query = {name: values[0] for name, values in
                     urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
            with store.changed:
                if url.path == "/v1/kv-range":
                    keys = sorted(key for key in store.items
                                  if key.startswith(query["path_prefix"])
                                  and key > query.get("after", ""))
                    page = keys[:20]  # Small pages, so that tests exercise paging.
                    response = {"entries": [store.items[key] for key in page],
                                "more_pages": len(keys) > len(page), "as_of": store.revision}
                else:
                    response = store.watch(query["path_prefix"], int(query["after"]),
                                           int(query["wait_ms"]) / 1000)
            if not self.refuse_if_away():
                self.reply(200 if response else 410, response or {})

        def do_POST(self):
            raw_body = self.read_body()
            body = json.loads(raw_body) if raw_body else {}
            if self.path == "/drill":
                store.drill(body["age_s"], body["away_s"])
                self.reply(200)
                return
            if self.refuse_if_away():
                return
            with store.changed:
                if self.path == "/v1/kv-txn":
                    status, response = store.transact(body)
                elif self.path == "/v1/kv-lease":
                    lease = store.revision = store.revision + 1
                    ttl = body["ttl_ms"] / 1000
                    store.leases[lease] = (ttl, time.monotonic() + ttl)
                    status, response = 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
                elif self.path.startswith("/v1/kv-keep/"):
                    lease = int(self.path.rsplit("/", 1)[1])
                    status, response = 404, {}
                    if lease in store.leases:
                        ttl = store.leases[lease][0]
                        store.leases[lease] = (ttl, time.monotonic() + ttl)
                        status, response = 200, {"ttl_ms": int(ttl * 1000)}
                else:  # /beat, called only by backend server stand-ins.
                    value = base64.b64encode(json.dumps(body["entry"]).encode()).decode()
                    store.heartbeats[body["key"]] = time.monotonic()
                    if not store.holds_entry(body["key"], body["entry"]):
                        store.put(body["key"], value)
                    status, response = 200, {}
            self.reply(status, response)

        def do_DELETE(self):
            if self.refuse_if_away():
                return
            with store.changed:
                store.end_lease(int(self.path.rsplit("/", 1)[1]))
            self.reply(200, {})

    return StoreHandler


class Backend:
    """A backend server: a plain one, or an inference engine that joins groups."""

    def __init__(self, address, store, service, zone, domain, advertised=None):
        self.address, self.store = address, store
        self.id = id_of(address)
        self.lock = threading.Lock()
        self.faults = {}
        self.group = None
        self.members = []
        self.highest_fence = 0  # Highest fencing token received since this process started.
        self.stalled_since = None
        self.entry = {"service": service, "address": advertised or address, "zone": zone,
                      "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                      "born": int(time.time() * 1000), "models": [], "staged": [],
                      "seq_num": 0}
        if domain != "-":
            self.entry["domain"] = domain

    def heartbeat_loop(self):
        while True:
            try:
                self.send_heartbeat()
            except OSError:
                pass  # The store is unavailable; the next heartbeat tries again.
            time.sleep(HEARTBEAT_INTERVAL_S)

    def send_heartbeat(self):
        with self.lock:
            self.entry["seq_num"] += 1
            entry = dict(self.entry, group=self.group)
        connection = HTTPConnection(*parse_address(self.store), timeout=1)
        connection.request("POST", "/beat", json.dumps({"key": "servers/" + self.id,
                                                        "entry": entry}))
        connection.getresponse().read()
        connection.close()

    def handle_order(self, body):
        with self.lock:
            if body.get("fencing_token", 0) < self.highest_fence:
                return 412
            self.highest_fence = body.get("fencing_token", 0)
            operation = body["operation"]
            if operation == "phase":
                self.entry["staged"] = [body["model"]]
                return 202
            is_current_group = self.group and (
                self.group["name"], self.group["epoch"]) == (body["group"], body["epoch"])
            if operation == "join":
                self.group = {"name": body["group"], "epoch": body["epoch"], "state": "ready",
                              "rank": body["members"].index(self.id)}
                self.members = body["members"]
                self.entry["models"] = [{"name": body["model"], "version": 1, "adapters": []}]
            elif not is_current_group:
                return 409
            elif operation == "open":
                if self.group["rank"] != 0 or self.group["state"] != "ready":
                    return 409
                self.group = dict(self.group, state="open")
                self.stalled_since = None
            elif operation == "close":
                self.group = dict(self.group, state="ready")
            else:
                self.group = None
                self.entry["models"] = []
        return 202

    def watch_members(self):
        while True:
            time.sleep(0.1)
            with self.lock:
                serving = self.group and self.group["state"] == "open"
                members = [member for member in self.members if member != self.id]
            if not serving:
                continue
            missing = not all(is_reachable(address_of(member)) for member in members)
            with self.lock:
                if not missing:
                    self.stalled_since = None
                elif self.stalled_since is None:
                    self.stalled_since = time.monotonic()
                elif time.monotonic() - self.stalled_since > STALL_TIMEOUT_S and self.group:
                    self.group = dict(self.group, state="broken")

    def is_serving(self):
        with self.lock:
            return "domain" not in self.entry or (self.group and self.group["state"] == "open")

    def is_stalled(self):
        with self.lock:
            return self.stalled_since is not None


def is_reachable(address):
    try:
        socket.create_connection(parse_address(address), timeout=0.2).close()
        return True
    except OSError:
        return False


def backend_handler(backend):
    class BackendHandler(Handler):
        def do_GET(self):
            if self.path == "/v1/report":
                self.reply(200, {"phase": "unified"})
            else:
                self.serve(b"")

        def do_POST(self):
            body = self.read_body()
            if self.path == "/v1/order":
                status = backend.handle_order(json.loads(body))
                backend.send_heartbeat()
                self.reply(status)
            elif self.path == "/fault":
                backend.faults = json.loads(body)
                self.reply(200)
            else:
                self.serve(body)

        def serve(self, body):
            request = self.headers["X-Request-Id"]
            echo_headers = [("X-Request-Id", request), ("X-Instance-Id", backend.id),
                            ("X-Server-Run", str(os.getpid()))]
            if backend.faults.get("leaving"):
                echo_headers.append(("Server-Leaving", "1"))
            with backend.lock:
                print("came", request, os.getpid(), time.monotonic(), flush=True)
            if self.headers["X-Expect-Instance"] != backend.id or not backend.is_serving():
                self.reply(421, b"", echo_headers)
                return
            if random.random() < backend.faults.get("pause", 0):
                seconds = backend.faults["pause_s"]
                with backend.lock:
                    print("paused", request, os.getpid(), time.monotonic(), seconds, flush=True)
                self.reply(503, b"", echo_headers + [("X-Not-Executed", "1"),
                                                     ("Retry-After", str(seconds))])
                return
            if random.random() < backend.faults.get("shed", 0):
                self.reply(503, b"", echo_headers + [("X-Not-Executed", "1")])
                return
            with backend.lock:  # Keeps output lines of different threads from interleaving.
                print("ran", request, self.headers["X-Tenant-Id"], flush=True)
            if random.random() < backend.faults.get("break_after_run", 0):
                self.connection.shutdown(socket.SHUT_RDWR)
                self.close_connection = True
                return
            echo_headers.append(("X-Server-Seal", backend.id))
            if "domain" in backend.entry:
                self.stream(json.loads(body)["events"], echo_headers)
            else:
                self.reply(200, {"path": self.path, "request": request}, echo_headers)

        def stream(self, events, headers):
            self.send_response(200)
            for name, content in headers:
                self.send_header(name, content)
            self.send_header("Content-Type", "text/event-stream")
            self.send_header("Transfer-Encoding", "chunked")
            self.end_headers()
            for number in range(int(self.headers.get("Last-Event-Id", 0)) + 1, events + 1):
                while backend.is_stalled():
                    if not backend.is_serving():
                        break
                    time.sleep(0.02)
                if not backend.is_serving():
                    self.connection.shutdown(socket.SHUT_RDWR)
                    self.close_connection = True
                    return
                chunk = f"id: {number}\ndata: {self.headers['X-Request-Id']} {number}\n\n".encode()
                self.wfile.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
                time.sleep(EVENT_INTERVAL_S)
            self.wfile.write(b"0\r\n\r\n")

    return BackendHandler


def main():
    kind, address = sys.argv[1:3]
    if kind == "store":
        store = Store()
        threading.Thread(target=store.expire_entries, daemon=True).start()
        threading.Thread(target=store.copy_regularly, daemon=True).start()
        handler = store_handler(store)
    else:
        backend = Backend(address, *sys.argv[3:])
        threading.Thread(target=backend.heartbeat_loop, daemon=True).start()
        threading.Thread(target=backend.watch_members, daemon=True).start()
        handler = backend_handler(backend)
    Server(parse_address(address), handler).serve_forever()


if __name__ == "__main__":
    main()
