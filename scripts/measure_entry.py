"""Measures the overhead of an entry node: time to first token compared with a direct connection to
the engine stand-in, requests and tokens per second of CPU time, and memory and CPU time when idle.

  scripts/measure_entry.py BUILD
"""

import http.client
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time

from cluster import Cluster, wait_for

BASE_PORT = 27000
MODEL = "asistente-llm"
REQUEST_PAIRS = 300
LOAD_S = 10
IDLE_S = 10
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def write_configuration(path):
    body = {"environment": "tienditas",
            "availability_zones": [{"name": "centro-a", "region": "r"}],
            "organisations": [{"name": "o", "keys": ["key-a"], "max_queued": 10000,
                               "max_running": 10000}],
            "model_groups": [{"name": MODEL, "model": "w", "span": 1, "concurrency": 200,
                              "cold_allowance": 1, "warm_after": 0, "checks_fencing": True,
                              "fabric_domains": ["d"]}],
            "services": []}
    with open(path, "w", encoding="utf-8") as file:
        json.dump(body, file)


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid):
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        return next(int(line.split()[1]) / 1024 for line in file if line.startswith("VmRSS"))


def first_byte_ms(connection, path, body, headers):
    start = time.perf_counter()
    connection.request("POST", path, json.dumps(body), headers)
    response = connection.getresponse()
    response.read(1)
    elapsed_ms = (time.perf_counter() - start) * 1000
    response.read()
    return elapsed_ms


def compare_first_token(cluster, engine):
    entry = cluster.nodes["node-a"]
    via_node = http.client.HTTPConnection(*entry.split(":"))
    direct = http.client.HTTPConnection(*engine.split(":"))
    group = cluster.open_groups("node-a", MODEL)[0]
    times = {"direct": [], "via node": []}
    for number in range(REQUEST_PAIRS):
        prompt = f"prompt {number}"
        times["direct"].append(first_byte_ms(
            direct, "/v1/generate",
            {"request": f"direct/{number}", "attempt": 1, "group": group["id"],
             "generation": group["generation"], "prompt": prompt, "max_tokens": 2,
             "resume_from": 0}, {}))
        times["via node"].append(first_byte_ms(
            via_node, "/v1/chat/completions",
            {"model": MODEL, "max_tokens": 2, "stream": True,
             "messages": [{"role": "user", "content": prompt}]},
            {"Authorization": "Bearer key-a"}))
    for kind, values in times.items():
        values.sort()
        print(f"first token {kind}: p50 {statistics.median(values):.2f} ms, "
              f"p95 {values[int(0.95 * len(values))]:.2f} ms over {len(values)}")


def run_load(cluster, directory, rate, max_tokens):
    mix = {"organisations": [{"name": "o", "key": "key-a"}],
           "requests": [{"name": "r", "kind": "completion", "target": MODEL,
                         "max_tokens": max_tokens}]}
    path, output = f"{directory}/mix.json", f"{directory}/out.json"
    with open(path, "w", encoding="utf-8") as file:
        json.dump(mix, file)
    pid = cluster.processes["node-a"].pid
    before = cpu_seconds(pid)
    subprocess.run([f"{cluster.build}/src/command/bramleypitch", "load",
                    f"--entries={cluster.nodes['node-a']}", f"--mix={path}", f"--rate={rate}",
                    f"--duration_s={LOAD_S}", f"--output={output}"], capture_output=True,
                   check=True)
    cpu_s = cpu_seconds(pid) - before
    with open(output, encoding="utf-8") as file:
        result = json.load(file)
    tally = result["tallies"][0]
    seconds = result["duration_ms"] / 1000
    print(f"offered {rate} requests/s of {max_tokens} tokens: completed {tally['whole']} of "
          f"{tally['offered']}, {result['tokens'] / seconds:.0f} tokens/s, "
          f"node used {cpu_s / seconds:.2f} of a CPU core: "
          f"{tally['whole'] / cpu_s:.0f} requests and {result['tokens'] / cpu_s:.0f} tokens "
          f"per second on a full core; first token p95 {tally['first_token_ms']['p95']:.1f} ms")


def main():
    with tempfile.TemporaryDirectory() as directory, \
            Cluster(sys.argv[1], BASE_PORT, directory + "/logs") as cluster:
        cluster.start_platform()
        engines = []
        for number in range(3):
            engines += cluster.start_engines(f"engines-{number}", 2, "centro-a", "d",
                                             "--warm_after=0", "--slots=200", "--token_ms=5")
        cluster.publish_vms()
        cluster.start_node("node-a", "centro-a")
        path = f"{directory}/document.json"
        write_configuration(path)
        for command in (("apply", path), ("promote",)):
            code, output = cluster.run_command(*command)
            if code != 0:
                raise SystemExit(output)
        wait_for("groups", lambda: len(cluster.open_groups("node-a", MODEL)) == 6)
        pid = cluster.processes["node-a"].pid
        before = cpu_seconds(pid)
        time.sleep(IDLE_S)
        print(f"idle with 6 servers: {resident_mb(pid):.1f} MB resident, "
              f"{100 * (cpu_seconds(pid) - before) / IDLE_S:.2f} % of a core")
        compare_first_token(cluster, engines[0])
        for rate, tokens in ((100, 32), (300, 32), (600, 32), (600, 1)):
            run_load(cluster, directory, rate, tokens)
        print(f"after the load: {resident_mb(pid):.1f} MB resident")


if __name__ == "__main__":
    main()
