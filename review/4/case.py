"""A node that stops takes streams and payments that it then cuts off, before its grace period ends."""

import http.client
import json
import os
import random
import signal
import subprocess
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standins  # noqa: E402
from standins import HOST, TROUBLE, ZONES, CannotRun, Engine, PlainServer, run, split  # noqa: E402

GRACE_S = 8
EXCUSED_S = 3  # Requests sent up to then may still be at work in the last sixth of grace_s.
# Streams: "X-Length-Hint is [...] accurate at the median but often far off".
HINT, EVENTS = 100, 87  # Tokens; the longest answer of facing-fix has 87 events of 5 tokens.
STREAM_LIMIT_S = 6.0  # timeout_ms of the route and the requester's time limit, as for facing-fix
STREAMS_FROM_S, STREAMS_TO_S, STREAM_EVERY_S = 3.1, 5.0, 0.1
# Payments: "A sound server may fall silent for a second or so and go on".
WORK_S = 0.45  # The longest work of plan-publish in the site file.
SILENT_FROM_S, SILENT_S = 5.87, 1.3
PAYMENT_TIMEOUT_S, PAYMENT_LIMIT_S = 2.0, 4.0  # timeout_ms and time limit of plan-publish
PAYMENTS_FROM_S, PAYMENTS_TO_S, PAYMENT_EVERY_S = 5.0, 6.1, 0.02


class Server(PlainServer):
    """Works on each request for WORK_S. While it is silent, neither time nor answers pass."""

    silent = (0.0, 0.0)

    def work(self):
        left = WORK_S
        while left > 0:
            time.sleep(0.01)
            begin, end = self.silent
            if not begin <= time.monotonic() < end:
                left -= 0.01


def new_server(store, number, service, zone, record):
    """Three servers for payments, then six engines in one domain."""
    if number < 3:
        return Server(store, number, service, zone, record)
    return Engine(store, number, "pitch-fleet", ZONES[0], "domain-1", record)


class System(standins.System):

    def configuration(self):
        value = super().configuration()
        value["routes"][0].update(timeout_ms=int(1000 * PAYMENT_TIMEOUT_S), target_latency_ms=300)
        value["routes"].append({
            "name": "facing-fix", "host": HOST, "path_prefix": "/fix/", "route_type": "streaming",
            "resumable": True, "sticky": True, "service": "pitch-fleet", "max_attempts": 2,
            "timeout_ms": int(1000 * STREAM_LIMIT_S), "target_latency_ms": 300, "target_gap_ms": 200,
            "priority": 1, "auth_exempt": False})
        value["services"].append({"name": "pitch-fleet", "max_connections": 428, "engine": {
            "slots": 17, "stride": 5, "step_ms": 7.8, "per_seq_ms": 0.0947, "context_per_k": 0.0096,
            "read_per_s": 45900.0, "pairs_per_m": 0.433, "chunk": 2048, "report_lag_ms": 200.0,
            "loads_per_s": 5.0, "loads_at_once": 7, "cached_prefixes": 1,
            "usual": {"prompt": 674, "answer": 174},
            "models": [{"name": "m1", "size": 2, "share": 1.0, "pace": 1.0, "load_s": 12.0,
                        "warm_s": 1.1}]}})
        return value

    def stream(self, node):
        """A requester's attempt at a stream. Returns its id, status, events and whether it ended."""
        request = f"{random.randrange(1 << 64):016x}"
        settings = self.nodes[node]
        self.record("sent", request, "POST /fix/x to", settings["node_name"], "hint", HINT)
        connection = http.client.HTTPConnection(*split(settings["listen.front"]), timeout=9)
        status, body, is_complete = 0, b"", False
        try:
            connection.request("POST", "/fix/x", json.dumps({"events": EVENTS}), {
                "Host": HOST, "X-Request-Id": request, "Authorization": "Bearer key-a",
                "X-Request-Deadline": str(int(1000 * STREAM_LIMIT_S)), "X-Model-Name": "m1",
                "X-Token-Count": f"674,{5 * EVENTS}", "X-Length-Hint": str(HINT),
                "X-Prompt-Prefix": f"5c1e07a2:40,{request[:8]}:634"})
            response = connection.getresponse()
            status = response.status
            body = response.read()
            is_complete = True
        except http.client.IncompleteRead as error:
            body = error.partial
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        events = body.count(b"id: ")
        self.record("answered", request, status, "events", events, "complete" if is_complete else "CUT")
        return request, status, is_complete


def send_all(start, begin, end, every, send):
    threads = []
    while begin < end:
        time.sleep(max(0, start + begin - time.monotonic()))
        threads.append(threading.Thread(target=send))
        threads[-1].start()
        begin += every
    return threads


def case(system):
    record = system.record
    system.wait_ready()
    for _ in range(60):
        if system.stream(1)[1] == 200:
            break
        time.sleep(0.25)
    if system.call(0, "POST", "/pay/x", "key-a", b"{}")[1] != 200 or not system.stream(0)[2]:
        raise CannotRun("not served before the stop")
    start = time.monotonic()
    if TROUBLE:
        system.processes[0].send_signal(signal.SIGTERM)
        record("SIGTERM to", system.nodes[0]["node_name"])
    system.servers[0].silent = (start + SILENT_FROM_S, start + SILENT_FROM_S + SILENT_S)
    results = []

    def send_stream():
        sent = time.monotonic()
        request, status, is_complete = system.stream(0)
        results.append(("stream", request, is_complete or status not in (0, 200), sent - start,
                        time.monotonic() - sent, STREAM_LIMIT_S))

    def send_payment():
        sent = time.monotonic()
        request, status = system.call(0, "POST", "/pay/x", "key-a", b"{}",
                                      {"X-Request-Deadline": str(int(1000 * PAYMENT_LIMIT_S))})
        results.append(("payment", request, status != 0, sent - start, time.monotonic() - sent,
                        PAYMENT_TIMEOUT_S))

    threads = send_all(start, STREAMS_FROM_S, STREAMS_TO_S, STREAM_EVERY_S, send_stream)
    threads += send_all(start, PAYMENTS_FROM_S, PAYMENTS_TO_S, PAYMENT_EVERY_S, send_payment)
    if TROUBLE:
        try:
            system.processes[0].wait(GRACE_S)
        except subprocess.TimeoutExpired as error:
            raise CannotRun("the node does not stop") from error
        record("the node has ended", f"{time.monotonic() - start:.1f} s after SIGTERM")
    for thread in threads:
        thread.join()
    broken = {"stream": 0, "payment": 0}
    for kind, request, is_answered, sent, lasted, limit in sorted(results, key=lambda item: item[3]):
        if not is_answered and system.runs(request) and sent > EXCUSED_S and lasted < limit:
            broken[kind] += 1
            record("BROKEN: ran and was cut off:", kind, request, f"sent {sent:.2f} s after SIGTERM,",
                   f"cut off after {lasted:.2f} s")
    unanswered = sum(1 for item in results if not item[2])
    record("requests:", len(results), "without a complete answer:", unanswered, "of these cut off after "
           "they ran: streams", broken["stream"], "payments", broken["payment"])
    if not TROUBLE and unanswered:
        raise CannotRun("not all are answered without the stop")
    return broken["stream"] + broken["payment"] > 0


if __name__ == "__main__":
    standins.System, standins.PlainServer = System, new_server
    sys.exit(run(FOLDER, case, servers=9))
