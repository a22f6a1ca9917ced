"""When the last key is taken away, with its tenant, every key is accepted."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from standins import TROUBLE, CannotRun, run  # noqa: E402

REVOKE_S = 5  # revoke_ms


def case(system):
    record = system.record
    system.wait_ready()
    system.tenants = {"chain-a": ["key-a"]}
    system.configure()
    time.sleep(4)
    for node in range(3):
        if system.call(node, "GET", "/balance/x", "key-a")[1] != 200:
            raise CannotRun("the key is not accepted")
        if system.call(node, "GET", "/balance/x", "key-never-held")[1] != 401:
            raise CannotRun("an unknown key is not refused")
    if TROUBLE:
        system.tenants = {}
    acknowledged = system.configure()
    broken = 0
    for second in range(12):
        time.sleep(max(0, acknowledged + second + 1 - time.monotonic()))
        for node in range(3):
            for key in ("key-a", "key-never-held"):
                sent = time.monotonic()
                request, _ = system.call(node, "POST", "/pay/x", key, b"{}")
                is_allowed = not TROUBLE and key == "key-a"
                if sent - acknowledged > REVOKE_S and system.runs(request) and not is_allowed:
                    broken += 1
                    record("BROKEN: ran", request, key, f"sent {sent - acknowledged:.1f} s after the ack")
    record("requests without a valid key that ran:", broken)
    return broken > 0


if __name__ == "__main__":
    sys.exit(run(FOLDER, case))
