"""Fault scenarios under load: starts stand-ins and nodes, applies a request mix, injects a fault
and, except in member_lost, clears it again. Reports the share of requests answered in time, the
downtime of groups and the number of requests that ran on an incomplete group.

  scripts/experiment.py BUILD SCENARIO [--mix=tienditas|riiul] [--seeds=1,2] [--policy=baseline,now]
                        [--rate=N] [--duration=S] [--json=FILE]

Scenarios: steady flood zone domain_dark member_lost cold_wave straggler outage
"""

import argparse
import json
import subprocess
import sys
import tempfile
import threading
import time

from cluster import ZONES, Cluster, completion, send_request, wait_for

BASE_PORT = 25000
VMS_PER_DOMAIN = 10
DOMAINS_PER_ZONE = 2
SPAN = 4
SLOTS = 8
WARM_AFTER = 4
MAX_COLD_STREAMS = 2
TOKEN_MS = 15
SAMPLE_S = 0.25
# The fault lasts from FAULT_START_S to FAULT_END_S after the start of the load. In member_lost it
# lasts until the end of the run.
FAULT_START_S = 5
FAULT_END_S = 12
# Model group, service and path prefix of the calls that must run at most once, by mix.
MIX_TARGETS = {"tienditas": ("asistente-llm", "caja-app", "/payments"),
               "riiul": ("pitch-fleet", "riiul-api", "/publish")}


def write_configuration(mix, path):
    model, service, once_path = MIX_TARGETS[mix]
    with open(f"mixes/{mix}.json", encoding="utf-8") as file:
        organisations = json.load(file)["organisations"]
    domains = [f"{zone}-{n}" for zone in ZONES for n in range(DOMAINS_PER_ZONE)]
    body = {
        "environment": "tienditas",
        "availability_zones": [{"name": zone, "region": "r"} for zone in ZONES],
        "organisations": [{"name": o["name"], "keys": [o["key"]], "weight": o["share"]}
                          for o in organisations],
        "model_groups": [{"name": model, "model": "weights", "span": SPAN,
                          "fabric_domains": domains, "concurrency": SLOTS,
                          "cold_allowance": MAX_COLD_STREAMS, "warm_after": WARM_AFTER,
                          "checks_fencing": True, "deadline_ms": 30000}],
        "services": [{"name": service, "once": [{"method": "POST", "path_prefix": once_path}],
                      "deadline_ms": 3000, "warm_after": 0}]}
    with open(path, "w", encoding="utf-8") as file:
        json.dump(body, file)


class Run:
    """A cluster under load in one scenario."""

    def __init__(self, cluster, mix, policy):
        self.cluster = cluster
        self.mix = mix
        self.policy = policy
        self.model, self.service, _ = MIX_TARGETS[mix]
        self.engines = {}
        self.samples = []
        self.sampling = True

    def start_domain(self, domain, zone):
        vm_count = len(self.cluster.vms)
        self.engines[domain] = self.cluster.start_engines(
            f"engines-{domain}", VMS_PER_DOMAIN, zone, domain, f"--slots={SLOTS}",
            f"--token_ms={TOKEN_MS}", f"--cold_token_ms={2 * TOKEN_MS}",
            f"--cold_bears={MAX_COLD_STREAMS}", f"--warm_after={WARM_AFTER}", "--load_ms=1000")
        return self.cluster.vms[vm_count:]

    def start(self, directory):
        cluster = self.cluster
        cluster.start_platform()
        for zone in ZONES:
            for number in range(DOMAINS_PER_ZONE):
                self.start_domain(f"{zone}-{number}", zone)
            cluster.start_services(f"service-{zone}", 1, zone, self.service)
        cluster.publish_vms()
        for zone in ZONES:
            cluster.start_node(f"node-{zone}", zone,
                               f"--baseline_policy={'on' if self.policy == 'baseline' else 'off'}")
        path = f"{directory}/document.json"
        write_configuration(self.mix, path)
        for command in (("apply", path), ("promote",)):
            code, output = cluster.run_command(*command)
            if code != 0:
                raise RuntimeError(output)
        self.groups = len(ZONES) * DOMAINS_PER_ZONE * (VMS_PER_DOMAIN // SPAN)
        for node in cluster.nodes:
            wait_for("groups", lambda n=node: len(cluster.open_groups(n, self.model))
                     == self.groups)
        self.warm_up()

    def warm_up(self):
        def all_warm():
            for entry in self.cluster.nodes.values():
                threads = [threading.Thread(target=completion,
                                            args=(entry, "key-a", f"warm {n}", 2),
                                            kwargs={"model": self.model}) for n in range(6)]
                for thread in threads:
                    thread.start()
                for thread in threads:
                    thread.join()
            return all(group["warm"] for node in self.cluster.nodes
                       for group in self.cluster.open_groups(node, self.model))
        wait_for("warm groups", all_warm, 120)

    def sample_open_groups(self):
        """Samples the number of open groups, the lowest of all nodes, every SAMPLE_S seconds."""
        while self.sampling:
            try:
                counts = [len(self.cluster.open_groups(node, self.model))
                          for node in self.cluster.nodes]
                self.samples.append(min(counts))
            except OSError:
                pass
            time.sleep(SAMPLE_S)

    def inject_fault(self, scenario):
        cluster = self.cluster
        first_domain = self.engines[f"{ZONES[0]}-0"]
        if scenario == "zone":
            cluster.run_command("drain", ZONES[1])
        elif scenario == "domain_dark":
            cluster.kill(f"engines-{ZONES[0]}-0")
        elif scenario == "member_lost":
            member = next(group for group in cluster.open_groups("node-centro-a", self.model)
                          if group["id"].startswith(f"{ZONES[0]}-0"))["members"][1]
            cluster.set_faults("127.0.0.1:" + member.split("-")[1], frozen=True)
        elif scenario == "cold_wave":
            for domain in list(self.engines)[:3]:
                for address in self.engines[domain]:
                    cluster.set_faults(address, cold=True)
        elif scenario == "straggler":
            for address in first_domain:
                cluster.set_faults(address, slow=6)
        elif scenario == "outage":
            cluster.set_faults(cluster.platform, outage=True)

    def clear_fault(self, scenario):
        cluster = self.cluster
        if scenario == "zone":
            cluster.run_command("restore", ZONES[1])
        elif scenario == "domain_dark":
            for vm in self.start_domain(f"{ZONES[0]}-0", ZONES[0]):
                vm["fabric_domain"] = f"{ZONES[0]}-0"
            cluster.publish_vms()
        elif scenario == "straggler":
            for address in self.engines[f"{ZONES[0]}-0"]:
                cluster.set_faults(address, slow=1)
        elif scenario == "outage":
            cluster.set_faults(cluster.platform, outage=False)

    def engine_fault_counts(self):
        overload_restarts, incomplete_group_runs = 0, 0
        for addresses in self.engines.values():
            for address in addresses:
                try:
                    record = send_request(address, "GET", "/ledger").json()
                except OSError:
                    continue
                overload_restarts += record["fell_over"]
                incomplete_group_runs += sum(1 for run in record["ran"] if not run["whole"])
        return overload_restarts, incomplete_group_runs

    def measure(self, scenario, directory, seed, rate, duration):
        mix = f"mixes/{self.mix}.json"
        if scenario == "flood":
            with open(mix, encoding="utf-8") as file:
                body = json.load(file)
            body["surges"] = [{"organisation": body["organisations"][0]["name"], "factor": 5,
                               "from_ms": FAULT_START_S * 1000, "to_ms": FAULT_END_S * 1000}]
            mix = f"{directory}/mix.json"
            with open(mix, "w", encoding="utf-8") as file:
                json.dump(body, file)
        output = f"{directory}/result.json"
        entry = next(iter(self.cluster.nodes.values()))
        load = subprocess.Popen(
            [f"{self.cluster.build}/src/command/bramleypitch", "load", f"--entries={entry}",
             f"--mix={mix}", f"--rate={rate}", f"--duration_s={duration}", f"--seed={seed}",
             f"--output={output}"], stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        start = time.monotonic()
        sampler = threading.Thread(target=self.sample_open_groups)
        sampler.start()
        time.sleep(max(0, FAULT_START_S - (time.monotonic() - start)))
        self.inject_fault(scenario)
        time.sleep(max(0, FAULT_END_S - (time.monotonic() - start)))
        self.clear_fault(scenario)
        load.wait(duration + 60)
        self.sampling = False
        sampler.join()
        with open(output, encoding="utf-8") as file:
            result = json.load(file)
        return self.summary(result)

    def summary(self, result):
        def percent_of_offered(tallies, field="in_time"):
            offered = sum(t["offered"] for t in tallies)
            return round(100 * sum(t[field] for t in tallies) / max(1, offered), 2)
        tallies = result["tallies"]
        overload_restarts, incomplete_group_runs = self.engine_fault_counts()
        closed_groups = [self.groups - count for count in self.samples]
        return {
            "offered": sum(t["offered"] for t in tallies),
            "in_time_percent": percent_of_offered(tallies),
            "broken": sum(t["broken"] for t in tallies),
            "refused": sum(sum(t["refused"].values()) for t in tallies),
            "by_organisation": {name: percent_of_offered([t for t in tallies
                                                          if t["organisation"] == name])
                                for name in sorted({t["organisation"] for t in tallies})},
            "by_class": {name: percent_of_offered([t for t in tallies if t["class"] == name])
                         for name in sorted({t["class"] for t in tallies})},
            "p95_first_token_ms": max((t["first_token_ms"]["p95"] or 0) for t in tallies),
            "group_downtime_s": round(sum(closed_groups) * SAMPLE_S, 1),
            "fell_over": overload_restarts, "ran_without_whole_group": incomplete_group_runs,
            "seconds": result["seconds"]}


def run_once(build, scenario, mix, policy, seed, rate, duration, port):
    with tempfile.TemporaryDirectory() as directory, \
            Cluster(build, port, directory + "/logs") as cluster:
        run = Run(cluster, mix, policy)
        run.start(directory)
        return run.measure(scenario, directory, seed, rate, duration)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("scenario")
    parser.add_argument("--mix", default="tienditas")
    parser.add_argument("--seeds", default="1,2")
    parser.add_argument("--policy", default="baseline,now")
    parser.add_argument("--rate", type=int, default=110)
    parser.add_argument("--duration", type=int, default=18)
    parser.add_argument("--port", type=int, default=BASE_PORT)
    parser.add_argument("--json")
    arguments = parser.parse_args()
    rows = []
    for policy in arguments.policy.split(","):
        for seed in arguments.seeds.split(","):
            row = run_once(arguments.build, arguments.scenario, arguments.mix, policy, int(seed),
                           arguments.rate, arguments.duration, arguments.port)
            row.update(scenario=arguments.scenario, mix=arguments.mix, policy=policy, seed=seed)
            rows.append(row)
            printed = {key: value for key, value in row.items() if key != "seconds"}
            print(json.dumps(printed), flush=True)
    if arguments.json:
        with open(arguments.json, "w", encoding="utf-8") as file:
            json.dump(rows, file)


if __name__ == "__main__":
    sys.exit(main())
