"""Stand-ins for the production platform: the store and backend servers, each a separate process.

    platform_standin.py store ADDRESS
    platform_standin.py server ADDRESS STORE SERVICE ZONE DOMAIN [ADVERTISED]

A server is an inference engine unless DOMAIN is "-". ADVERTISED is the address in its store entry
if that differs from ADDRESS, for example that of a proxy in front of it.

Servers write their store entry by calling /beat, which only these stand-ins have; the store deletes
an entry after three missed heartbeats. A server's id is derived from its address, so that the head
of a group can check whether its members are running. Each request that a server runs is logged as
"ran REQUEST ORGANISATION" on standard output, which remains readable after the process is killed.
POST /fault sets the shares of requests to fail: {"break_after_run": share, "shed": share}.
"""

import base64
import json
import random
import socket
import sys
import threading
import time
import urllib.parse
from http.client import HTTPConnection
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

BEAT_S = 0.3
STALL_S = 1.0  # A group that lost a member stalls for this long before it is marked broken.
EVENT_S = 0.02


def split(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


def id_of(address):
    return "i-" + address.replace(".", "-").replace(":", "-")


def address_of(server):
    parts = server[2:].split("-")
    return ".".join(parts[:4]) + ":" + parts[4]


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    timeout = 60

    def log_message(self, *_):
        pass

    def body(self):
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
        self.beats = {}

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        self.items[key] = {"key": key, "value": value, "revision": self.revision,
                           "created": created, "lease": lease}
        self.events.append(self.items[key])
        self.changed.notify_all()

    def drop(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.events.append({"key": key, "revision": self.revision, "deleted": True})
        self.changed.notify_all()

    def expire(self):
        while True:
            time.sleep(0.05)
            with self.changed:
                now = time.monotonic()
                for lease in [lease for lease, (_, end) in self.leases.items() if end < now]:
                    self.end_lease(lease)
                for key in [key for key, at in self.beats.items() if at + 3 * BEAT_S < now]:
                    del self.beats[key]
                    self.drop(key)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.drop(key)

    def transact(self, body):
        wrong = [row["key"] for row in body["expected"]
                 if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]]
        if wrong:
            return 412, {"entries": [self.items.get(key, {"key": key, "revision": 0})
                                     for key in wrong]}
        for put in body["puts"]:
            if put.get("lease", 0) and put["lease"] not in self.leases:
                return 404, {}
        for put in body["puts"]:
            self.put(put["key"], put["value"], put.get("lease", 0))
        for key in body["remove"]:
            self.drop(key)
        return 200, {"revision": self.revision}

    def watch(self, prefix, after, wait):
        end = time.monotonic() + wait
        while True:
            news = [event for event in self.events
                    if event["revision"] > after and event["key"].startswith(prefix)]
            left = end - time.monotonic()
            if news or left <= 0:
                return {"events": news, "as_of": self.revision}
            self.changed.wait(left)


def store_handler(store):
    class StoreHandler(Handler):
        def do_GET(self):
            url = urllib.parse.urlparse(self.path)
            query = {name: values[0] for name, values in
                     urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
            with store.changed:
                if url.path == "/v1/kv-range":
                    keys = sorted(key for key in store.items
                                  if key.startswith(query["path_prefix"])
                                  and key > query.get("after", ""))
                    page = keys[:20]  # Small pages, so that tests exercise paging.
                    answer = {"entries": [store.items[key] for key in page],
                              "more_pages": len(keys) > len(page), "as_of": store.revision}
                else:
                    answer = store.watch(query["path_prefix"], int(query["after"]),
                                         int(query["wait_ms"]) / 1000)
            self.reply(200, answer)

        def do_POST(self):
            text = self.body()
            body = json.loads(text) if text else {}
            with store.changed:
                if self.path == "/v1/kv-txn":
                    status, answer = store.transact(body)
                elif self.path == "/v1/kv-lease":
                    lease = store.revision = store.revision + 1
                    ttl = body["ttl_ms"] / 1000
                    store.leases[lease] = (ttl, time.monotonic() + ttl)
                    status, answer = 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
                elif self.path.startswith("/v1/kv-keep/"):
                    lease = int(self.path.rsplit("/", 1)[1])
                    status, answer = 404, {}
                    if lease in store.leases:
                        ttl = store.leases[lease][0]
                        store.leases[lease] = (ttl, time.monotonic() + ttl)
                        status, answer = 200, {"ttl_ms": int(ttl * 1000)}
                else:  # /beat, called only by backend server stand-ins.
                    value = base64.b64encode(json.dumps(body["entry"]).encode()).decode()
                    store.beats[body["key"]] = time.monotonic()
                    if store.items.get(body["key"], {}).get("value") != value:
                        store.put(body["key"], value)
                    status, answer = 200, {}
            self.reply(status, answer)

        def do_DELETE(self):
            with store.changed:
                store.end_lease(int(self.path.rsplit("/", 1)[1]))
            self.reply(200, {})

    return StoreHandler


class Backend:
    """A backend server: a plain one, or an inference engine that joins groups."""

    def __init__(self, address, store, service, zone, domain, told=None):
        self.address, self.store = address, store
        self.id = id_of(address)
        self.lock = threading.Lock()
        self.fault = {}
        self.group = None
        self.members = []
        self.seen = 0  # The highest fencing number since this process started.
        self.stalled_since = None
        self.entry = {"service": service, "address": told or address, "zone": zone, "version": "v1",
                      "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                      "born": int(time.time() * 1000), "models": [], "staged": [],
                      "seq_num": 0}
        if domain != "-":
            self.entry["domain"] = domain

    def beat_for_ever(self):
        while True:
            try:
                self.beat()
            except OSError:
                pass  # The store is unavailable; the next heartbeat tries again.
            time.sleep(BEAT_S)

    def beat(self):
        with self.lock:
            entry = dict(self.entry, group=self.group)
        connection = HTTPConnection(*split(self.store), timeout=1)
        connection.request("POST", "/beat", json.dumps({"key": "servers/" + self.id,
                                                        "entry": entry}))
        connection.getresponse().read()
        connection.close()

    def order(self, body):
        with self.lock:
            if body.get("fencing_token", 0) < self.seen:
                return 412
            self.seen = body.get("fencing_token", 0)
            kind = body["operation"]
            if kind == "phase":
                self.entry["staged"] = [body["model"]]
                return 202
            same = self.group and (self.group["name"], self.group["epoch"]) == (body["group"],
                                                                                body["epoch"])
            if kind == "join":
                self.group = {"name": body["group"], "epoch": body["epoch"], "state": "ready",
                              "rank": body["members"].index(self.id)}
                self.members = body["members"]
                self.entry["models"] = [{"name": body["model"], "version": 1, "adapters": []}]
            elif not same:
                return 409
            elif kind == "open":
                if self.group["rank"] != 0 or self.group["state"] != "ready":
                    return 409
                self.group = dict(self.group, state="open")
                self.stalled_since = None
            elif kind == "close":
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
            missing = not all(alive(address_of(member)) for member in members)
            with self.lock:
                if not missing:
                    self.stalled_since = None
                elif self.stalled_since is None:
                    self.stalled_since = time.monotonic()
                elif time.monotonic() - self.stalled_since > STALL_S and self.group:
                    self.group = dict(self.group, state="broken")

    def serves(self):
        with self.lock:
            return "domain" not in self.entry or (self.group and self.group["state"] == "open")

    def stands_still(self):
        with self.lock:
            return self.stalled_since is not None


def alive(address):
    try:
        socket.create_connection(split(address), timeout=0.2).close()
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
            body = self.body()
            if self.path == "/v1/order":
                status = backend.order(json.loads(body))
                backend.beat()
                self.reply(status)
            elif self.path == "/fault":
                backend.fault = json.loads(body)
                self.reply(200)
            else:
                self.serve(body)

        def serve(self, body):
            request = self.headers["X-Request-Id"]
            echo = [("X-Request-Id", request), ("X-Instance-Id", backend.id)]
            if self.headers["X-Expect-Instance"] != backend.id or not backend.serves():
                self.reply(421, b"", echo)
                return
            if random.random() < backend.fault.get("shed", 0):
                self.reply(503, b"", echo + [("X-Not-Executed", "1")])
                return
            with backend.lock:  # Keeps output lines of different threads from interleaving.
                print("ran", request, self.headers["X-Tenant-Id"], flush=True)
            if random.random() < backend.fault.get("break_after_run", 0):
                self.connection.shutdown(socket.SHUT_RDWR)
                self.close_connection = True
                return
            echo.append(("X-Server-Seal", backend.id))
            if "domain" in backend.entry:
                self.stream(json.loads(body)["events"], echo)
            else:
                self.reply(200, {"path": self.path, "request": request}, echo)

        def stream(self, events, headers):
            self.send_response(200)
            for name, content in headers:
                self.send_header(name, content)
            self.send_header("Content-Type", "text/event-stream")
            self.send_header("Transfer-Encoding", "chunked")
            self.end_headers()
            for number in range(int(self.headers.get("Last-Event-Id", 0)) + 1, events + 1):
                while backend.stands_still():
                    if not backend.serves():
                        break
                    time.sleep(0.02)
                if not backend.serves():
                    self.connection.shutdown(socket.SHUT_RDWR)
                    self.close_connection = True
                    return
                piece = f"id: {number}\ndata: {self.headers['X-Request-Id']} {number}\n\n".encode()
                self.wfile.write(b"%x\r\n%s\r\n" % (len(piece), piece))
                time.sleep(EVENT_S)
            self.wfile.write(b"0\r\n\r\n")

    return BackendHandler


def main():
    kind, address = sys.argv[1:3]
    if kind == "store":
        store = Store()
        threading.Thread(target=store.expire, daemon=True).start()
        handler = store_handler(store)
    else:
        backend = Backend(address, *sys.argv[3:])
        threading.Thread(target=backend.beat_for_ever, daemon=True).start()
        threading.Thread(target=backend.watch_members, daemon=True).start()
        handler = backend_handler(backend)
    Server(split(address), handler).serve_forever()


if __name__ == "__main__":
    main()
