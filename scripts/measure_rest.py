"""Measures the cost of an idle cluster of 3, 6 and 9 nodes: CPU time, memory and loopback traffic
per node, and the platform calls.

  scripts/measure_rest.py BUILD [VMS_PER_DOMAIN ...]
"""

import os
import sys
import tempfile
import time

from cluster import ZONES, Cluster, send_request, wait_for
from measure_entry import cpu_seconds, resident_mb

BASE_PORT = 29000
IDLE_S = 10


def loopback_bytes():
    with open("/proc/net/dev", encoding="utf-8") as file:
        return next(int(line.split()[1]) for line in file if line.strip().startswith("lo:"))


def measure(build, nodes, vms_per_domain):
    with tempfile.TemporaryDirectory() as directory, \
            Cluster(build, BASE_PORT, directory + "/logs") as cluster:
        cluster.start_platform()
        for zone in ZONES:
            cluster.start_engines(f"engines-{zone}", vms_per_domain, zone, f"{zone}-1")
        cluster.publish_vms()
        for number in range(nodes):
            cluster.start_node(f"node-{number}", ZONES[number % len(ZONES)])
        document = os.path.join(os.path.dirname(__file__), "..", "examples", "tienditas.json")
        for command in (("apply", document), ("promote",)):
            code, output = cluster.run_command(*command)
            if code != 0:
                raise SystemExit(output)
        groups = len(ZONES) * (vms_per_domain // 2)
        for node in cluster.nodes:
            wait_for("groups", lambda n=node: len(cluster.open_groups(n, "asistente-llm"))
                     == groups)
        time.sleep(5)
        pids = [cluster.processes[name].pid for name in cluster.nodes]
        before = [cpu_seconds(pid) for pid in pids]
        calls = send_request(cluster.platform, "GET", "/calls").json()
        traffic_bytes = loopback_bytes()
        time.sleep(IDLE_S)
        traffic_bytes = loopback_bytes() - traffic_bytes
        calls = sum(send_request(cluster.platform, "GET", "/calls").json().values()) - sum(
            calls.values())
        cpu_s = [cpu_seconds(pid) - earlier for pid, earlier in zip(pids, before)]
        print(f"{nodes} nodes, {3 * vms_per_domain} servers: "
              f"{100 * sum(cpu_s) / IDLE_S / nodes:.2f} % of a core, "
              f"{max(resident_mb(pid) for pid in pids):.1f} MB, "
              f"{traffic_bytes / IDLE_S / nodes / 1000:.1f} KB/s per node "
              "(loopback traffic of all processes), "
              f"{calls / IDLE_S:.1f} platform calls per second", flush=True)


def main():
    for vms_per_domain in [int(text) for text in sys.argv[2:]] or [8]:
        for nodes in (3, 6, 9):
            measure(sys.argv[1], nodes, vms_per_domain)


if __name__ == "__main__":
    main()
