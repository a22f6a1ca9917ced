"""A node that stops takes payments that it then cuts off, 0.5 s before its grace period ends."""

import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standins  # noqa: E402
from standins import HOST, TROUBLE, CannotRun, run  # noqa: E402

GRACE_S = 8
TIMEOUT_S = 2.0  # timeout_ms of the route, as for plan-publish
WORK_S = 0.45  # The longest work of plan-publish in the site file.
SILENT_FROM_S, SILENT_S = 5.87, 1.3  # "may fall silent for a second or so"
SEND_FROM_S, SEND_TO_S, SEND_EVERY_S = 4.0, 6.1, 0.02


class Server(standins.PlainServer):
    """Works on each request for WORK_S. While it is silent, neither time nor answers pass."""

    silent = (0.0, 0.0)

    def work(self):
        left = WORK_S
        while left > 0:
            time.sleep(0.01)
            begin, end = self.silent
            if not begin <= time.monotonic() < end:
                left -= 0.01


class System(standins.System):

    def configuration(self):
        value = super().configuration()
        value["routes"][0]["timeout_ms"] = int(1000 * TIMEOUT_S)
        value["routes"][0]["target_latency_ms"] = 300
        return value


def case(system):
    record = system.record
    system.wait_ready()
    time.sleep(4)
    if system.call(0, "POST", "/pay/x", "key-a", b"{}")[1] != 200:
        raise CannotRun("not served before the stop")
    start = time.monotonic()
    if TROUBLE:
        system.processes[0].send_signal(signal.SIGTERM)
        record("SIGTERM to", system.nodes[0]["node_name"])
    silent = system.servers[0]
    silent.silent = (start + SILENT_FROM_S, start + SILENT_FROM_S + SILENT_S)
    results, callers = [], []

    def send():
        sent = time.monotonic()
        request, status = system.call(0, "POST", "/pay/x", "key-a", b"{}",
                                      {"X-Request-Deadline": "4000"})
        results.append((request, status, sent - start, time.monotonic() - sent))

    at = SEND_FROM_S
    while at < SEND_TO_S:
        time.sleep(max(0, start + at - time.monotonic()))
        callers.append(threading.Thread(target=send))
        callers[-1].start()
        at += SEND_EVERY_S
    for caller in callers:
        caller.join()
    if TROUBLE:
        try:
            code = system.processes[0].wait(GRACE_S)
            record("the node has ended with", code, f"{time.monotonic() - start:.1f} s after SIGTERM")
        except Exception as error:
            raise CannotRun("the node does not stop") from error
    broken = 0
    for request, status, sent, lasted in sorted(results, key=lambda result: result[2]):
        if status == 0 and system.runs(request) and sent > 3 and lasted < TIMEOUT_S:
            broken += 1
            record("BROKEN: ran and was cut off", request, f"sent {sent:.2f} s after SIGTERM,",
                   f"cut off after {lasted:.2f} s")
    answered = sum(1 for _, status, _, _ in results if status == 200)
    record("requests:", len(results), "answered with 200:", answered, "cut off after they ran:", broken)
    if not TROUBLE and answered < len(results):
        raise CannotRun("not all are answered without the stop")
    return broken > 0


if __name__ == "__main__":
    standins.System, standins.PlainServer = System, Server
    sys.exit(run(FOLDER, case, servers=3))
