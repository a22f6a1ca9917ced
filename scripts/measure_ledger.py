"""Measures the cost of the ledger: platform writes per payment and response time at several
rates, and the platform calls when idle and for a configuration change.

  scripts/measure_ledger.py BUILD [WATCHERS_PER_ZONE]
"""

import json
import os
import subprocess
import sys
import tempfile
import time

from cluster import ZONES, Cluster, send_request, wait_for

BASE_PORT = 26000
LOAD_S = 8
IDLE_S = 10
RATES = (1, 10, 100, 500, 1000)


def platform_calls(cluster):
    counts = send_request(cluster.platform, "GET", "/calls").json()
    return {kind: sum(count for path, count in counts.items() if kind in path)
            for kind in ("txn", "range", "lease", "watch", "vms")}


def difference(after, before):
    return {kind: after[kind] - before[kind] for kind in after}


def run_load(cluster, directory, rate):
    mix = {"organisations": [{"name": "a", "key": "key-a"}, {"name": "b", "key": "key-b"}],
           "requests": [{"name": "payment", "kind": "once", "target": "caja-app",
                         "path": "/payments", "in_time_ms": 3000}]}
    path, output = f"{directory}/mix.json", f"{directory}/out.json"
    with open(path, "w", encoding="utf-8") as file:
        json.dump(mix, file)
    before = platform_calls(cluster)
    subprocess.run([f"{cluster.build}/src/command/bramleypitch", "load",
                    f"--entries={cluster.nodes['node-centro-a']}", f"--mix={path}",
                    f"--rate={rate}", f"--duration_s={LOAD_S}", f"--output={output}"],
                   capture_output=True, check=True)
    time.sleep(1)  # The outcomes of the last payments are recorded in the background.
    calls_made = difference(platform_calls(cluster), before)
    with open(output, encoding="utf-8") as file:
        tallies = json.load(file)["tallies"]
    completed = sum(tally["whole"] for tally in tallies)
    offered = sum(tally["offered"] for tally in tallies)
    percentiles = {name: [round(tally["first_token_ms"][name] or 0, 1) for tally in tallies]
                   for name in ("p50", "p95")}
    print(f"{rate}/s: answered {completed} of {offered}, "
          f"{calls_made['txn'] / max(1, completed):.2f} "
          f"conditional writes per payment ({calls_made['txn'] / (LOAD_S + 1):.0f}/s), "
          f"response time in ms {percentiles}", flush=True)


def main():
    watchers = int(sys.argv[2]) if len(sys.argv) > 2 else 2
    with tempfile.TemporaryDirectory() as directory, \
            Cluster(sys.argv[1], BASE_PORT, directory + "/logs") as cluster:
        cluster.start_platform()
        for zone in ZONES:
            cluster.start_engines(f"engines-{zone}", 4, zone, f"{zone}-1")
            cluster.start_services(f"caja-{zone}", 1, zone, "caja-app")
        cluster.publish_vms()
        for zone in ZONES:
            for number in range(3):
                name = f"node-{zone}" if number == 0 else f"node-{zone}-{number}"
                cluster.start_node(name, zone, f"--watchers_per_zone={watchers}")
        document = os.path.join(os.path.dirname(__file__), "..", "examples", "tienditas.json")
        for command in (("apply", document), ("promote",)):
            code, output = cluster.run_command(*command)
            if code != 0:
                raise SystemExit(output)
        for node in cluster.nodes:
            wait_for("servers", lambda n=node: len(cluster.open_groups(n, "caja-app")) == 3)
        time.sleep(3)
        before = platform_calls(cluster)
        time.sleep(IDLE_S)
        idle_calls = difference(platform_calls(cluster), before)
        print("9 idle nodes, platform calls per second:",
              {kind: count / IDLE_S for kind, count in idle_calls.items()}, flush=True)
        before = platform_calls(cluster)
        start = time.monotonic()
        revision = int(cluster.run_command("drain", ZONES[1])[1].split()[-1])
        wait_for("configuration in force on all nodes", lambda: all(
            cluster.status(node)["configuration_revision"] >= revision for node in cluster.nodes))
        print("a configuration change is in force on 9 nodes after "
              f"{time.monotonic() - start:.2f} s", flush=True)
        cluster.run_command("restore", ZONES[1])
        for rate in RATES:
            run_load(cluster, directory, rate)


if __name__ == "__main__":
    main()
