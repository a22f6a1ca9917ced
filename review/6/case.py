"""A storm of configurations of many routes at machines with links of 20 Mbit/s: see claim.txt.

Processes: the project's stand-in for the store with 20 s of history (store.py), four plain servers of two services
(till.py), three nodes with the command of the deploy file in three zones. This program is the operator, the
requesters, and the link of each node's machine, as a proxy between the node and the store.
Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
"""

import asyncio
import base64
import http.client
import json
import os
import pathlib
import random
import subprocess
import sys
import tempfile
import time
import tomllib

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NET = "127.75"
STORE = f"{NET}.1.1:23700"
SERVERS = {f"{NET}.3.{i + 1}:23710": ("info-old", "info-new")[i // 2] for i in range(4)}
PROXIES = [f"{NET}.1.{i + 11}:23701" for i in range(3)]
NODES = [f"{NET}.4.{i + 1}" for i in range(3)]
ZONES = ["za", "zb", "zc"]
LINK_MBPS = 20  # Of the smaller machines of the sheet.
MORE_ROUTES = 1400  # One big_config of the site.
STORM_S, STORM_GAP_S = 2.0, 0.08  # One config_storm of the site.
CONFIG_APPLY_S, STABLE_WINDOW_S = 3.0, 4.0
WATCHED_S = 25
KEY = "key-of-chain-a"
record = open(HERE / "record.txt", "w", encoding="utf-8")
processes = {}


def note(text):
    print(text, file=record, flush=True)


def call(address, method, path, body=None, timeout=2):
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def wait_for(what, condition, seconds=20):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise RuntimeError(f"not reached within {seconds} s: {what}")


def big_routes():
    """1,400 routes more, as big_config adds them."""
    draw = random.Random(7)
    word = lambda n: "".join(draw.choice("abcdefghijklmnopqrstuvwxyz0123456789") for _ in range(n))
    return [{"name": f"r-{word(7)}", "host": "shop.example", "path_prefix": f"/{word(7)}/", "route_type": "idempotent",
             "timeout_ms": 2000, "target_latency_ms": 300, "priority": 2, "service": "till", "max_attempts": 2,
             "auth_exempt": False, "sticky": False} for _ in range(MORE_ROUTES)]


def configure(version, service, more):
    """The operator writes a version in which the route without keys belongs to `service`. Returns when it was acked."""
    route = {"host": "shop.example", "timeout_ms": 2000, "target_latency_ms": 300, "priority": 2, "max_attempts": 2,
             "route_type": "idempotent"}
    config = {"version": version,
              "routes": [dict(route, name="info", path_prefix="/info/", service=service, auth_exempt=True),
                         dict(route, name="stock", path_prefix="/stock/", service="info-old", auth_exempt=False)] + more,
              "services": [{"name": name, "health_path": "/health", "max_connections": 490, "cold_start_s": 0.0,
                            "cold_per_s": 0.0} for name in ("info-old", "info-new")],
              "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                         "idle_timeout_ms": 15000},
              "tenants": [{"name": "chain-a", "api_keys": [KEY]}]}
    value = json.dumps(config, separators=(",", ":")).encode()
    status, _ = call(STORE, "POST", "/v1/kv-txn", json.dumps(
        {"expected": [], "puts": [{"key": "op/config", "value": base64.b64encode(value).decode()}], "remove": []}))
    if status != 200:
        raise RuntimeError(f"the store answers {status}")
    return time.monotonic(), len(value)


class Link:
    """The link of a node's machine: passes its calls on to the store, and the answers at LINK_MBPS."""

    def __init__(self, address):
        self.address, self.free_at = address, 0.0

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        await asyncio.start_server(self.serve, host, int(port), limit=65536)

    async def serve(self, reader, writer):
        host, port = STORE.rsplit(":", 1)
        try:
            store_reader, store_writer = await asyncio.open_connection(host, int(port), limit=65536)
        except OSError:
            writer.close()
            return
        try:
            await asyncio.gather(self.pump(reader, store_writer, False), self.pump(store_reader, writer, True))
        except asyncio.CancelledError:
            pass  # The case has ended.

    async def pump(self, source, sink, is_limited):
        try:
            while data := await source.read(16384):
                if is_limited:
                    self.free_at = max(self.free_at, time.monotonic()) + len(data) * 8 / (LINK_MBPS * 1e6)
                    await asyncio.sleep(max(0, self.free_at - time.monotonic()))
                sink.write(data)
                await sink.drain()
        except OSError:
            pass
        finally:
            sink.close()


def start(name, arguments, folder, **options):
    log = open(os.path.join(folder, name + ".log"), "ab")
    processes[name] = subprocess.Popen(arguments, stdout=log, stderr=log, cwd=ROOT, **options)


def start_node(number, folder):
    ip, zone = NODES[number], ZONES[number]
    path = os.path.join(folder, f"node{number}.conf")
    settings = {
        "node_name": f"front-{zone}-1", "role": "entry", "machine_class": "front", "serves": "front,directory",
        "ip": ip, "zone": zone, "region": "r", "zones.za": "r", "zones.zb": "r", "zones.zc": "r", "listen.front": ip + ":23720",
        "listen.ready": ip + ":23721", "listen.directory": ip + ":23722", "internal_ports": "23730,23745",
        "first_start": "false", "limits.cpu_share": 0.25, "limits.cores": 1, "limits.memory_mb": 160, "limits.link_mbps": LINK_MBPS,
        "limits.max_fds": 4100, "discovery": "platform", "entry": "directory", "heartbeat_ms": 1200,
        "bounds.stable_window_ms": 4000, "bounds.drain_ms": 3000, "bounds.grace_s": 8, "bounds.config_apply_ms": 3000,
        "bounds.fail_closed": "true", "bounds.revoke_ms": 5000, "bounds.retry_ratio": 0.2, "bounds.retry_window_s": 10,
        "bounds.retry_slack": 244, "platform.address": PROXIES[number], "platform.form": "kv",
        "platform.writes_per_s": 1200, "platform.reads_per_s": 6000, "platform.history_s": 20,
        "platform.value_bytes": 1048576, "platform.min_ttl_ms": 1000}
    with open(path, "w", encoding="utf-8") as file:
        file.writelines(f"{name}={value}\n" for name, value in settings.items())
    command = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]["run"].split()
    start(f"n{number}", command, folder, env=dict(os.environ, BRAMLEYPITCH_BOOT=path))


def is_ready(number):
    return call(f"{NODES[number]}:23721", "GET", "/v1/readiness")[0] == 200


async def ask(number, request, path, key=""):
    """One request on a connection of its own. Returns the status and the service that ran it."""
    host, port = f"{NODES[number]}:23720".rsplit(":", 1)
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write((f"GET {path} HTTP/1.1\r\n{key}Host: shop.example\r\nX-Request-Id: {request}\r\n"
                      "X-Request-Deadline: 2000\r\nConnection: close\r\n\r\n").encode())
        answer = (await asyncio.wait_for(reader.read(65536), 4)).decode("latin-1")
        writer.close()
        return answer.split(" ")[1], answer.rsplit("\r\n\r\n", 1)[1][:40]
    except (OSError, IndexError, asyncio.TimeoutError):
        return "no answer", ""


async def play(folder):
    in_thread = asyncio.to_thread
    start("store", [sys.executable, str(HERE / "store.py"), STORE], folder)
    await in_thread(wait_for, "the store", lambda: call(STORE, "GET", "/v1/kv-range?path_prefix=")[0] == 200)
    routes = big_routes()
    configure(2, "info-old", [])
    for address, service in SERVERS.items():
        start(address, [sys.executable, str(HERE / "till.py"), address, STORE,
                        os.path.join(folder, address + ".events"), service], folder)
    for address in PROXIES:
        await Link(address).start()
    for number in range(3):
        start_node(number, folder)
    for number in range(3):
        await in_thread(wait_for, f"node {number}", lambda n=number: is_ready(n))
    await asyncio.sleep(2)
    begun = time.monotonic()
    _, size = await in_thread(configure, 5, "info-old", routes)
    note(f"0.00 version 5 of {size} bytes: {MORE_ROUTES} routes more")
    await asyncio.sleep(8)
    version = 5
    storm_end = time.monotonic() + STORM_S
    while TROUBLE and time.monotonic() < storm_end:
        version += 2
        next_at = time.monotonic() + STORM_GAP_S
        acked_at, _ = await in_thread(configure, version, "info-old", routes)
        await asyncio.sleep(max(0, next_at - time.monotonic()))
    note(f"{time.monotonic() - begun:.2f} version {version} is the last one of the storm")
    await asyncio.sleep(0.5)
    acked_at, size = await in_thread(configure, version + 2, "info-new", routes)
    note(f"{acked_at - begun:.2f} version {version + 2}: the route goes to info-new; acked")
    outdated, counts, last_outdated = [0, 0, 0], {}, [0.0, 0.0, 0.0]
    served = refused = 0
    for step in range(WATCHED_S * 5):
        sent_at = time.monotonic()
        results = await asyncio.gather(*(ask(number, f"r{step}-{number}", "/info/x") for number in range(3)))
        keyed = await asyncio.gather(*(ask(number, f"k{step}-{number}", "/stock/x", f"Authorization: Bearer {KEY}\r\n")
                                       for number in range(3)))
        refused += sum(status == "503" for status, _ in keyed)
        line = []
        for number, (status, service) in enumerate(results):
            late = sent_at > acked_at + CONFIG_APPLY_S and status == "200" and service == "info-old"
            served += status == "200"
            outdated[number] += late
            if service == "info-old":
                last_outdated[number] = sent_at - acked_at
            counts[(number, status, service)] = counts.get((number, status, service), 0) + 1
            line.append(f"node {number}: {status} {service}{' OUTDATED' if late else ''}")
        if step % 5 == 0:
            note(f"{sent_at - acked_at:.2f} s after the ack: " + "; ".join(line))
        await asyncio.sleep(max(0, sent_at + 0.2 - time.monotonic()))
    note(f"of {WATCHED_S * 5 * 3} requests with a key that is in force, on a route that never changed, {refused} got 503")
    note(f"answers by node, status and service: {counts}")
    note(f"run by the old service more than {CONFIG_APPLY_S} s after the ack: {outdated}; last one "
         f"{[round(at, 1) for at in last_outdated]} s after it")
    if served < 50:
        raise RuntimeError("too few requests were served")
    return 1 if sum(outdated) > 0 else 0


def main():
    status = 2
    with tempfile.TemporaryDirectory() as folder:
        try:
            status = asyncio.run(asyncio.wait_for(play(folder), 100))
        except Exception as error:  # pylint: disable=broad-except
            note(f"could not run: {error!r}")
        finally:
            for process in processes.values():
                if process.poll() is None:
                    process.kill()
                process.wait()
    note(f"exit status {status}")
    return status


sys.exit(main())
