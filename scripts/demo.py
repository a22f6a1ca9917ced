"""The steps of the demo. See demo.sh."""

import sys
import tempfile

from cluster import ZONES, Cluster, completion, pay, send_request, wait_for

BASE_PORT = 21000


def report(text):
    print(text, flush=True)


def start(cluster):
    cluster.start_platform()
    for zone in ZONES:
        cluster.start_engines(f"engines-{zone}", 4, zone, f"{zone}-1", "--warm_after=2")
    for zone in ZONES:
        cluster.start_services(f"caja-{zone}", 1, zone, "caja-app")
    cluster.publish_vms()
    for zone in ZONES:
        cluster.start_node(f"node-{zone}", zone)
    report("started: platform, 12 engines in 3 fabric domains, 3 service VMs, 3 entry nodes")


def configure(cluster):
    for command, operands in (("check", ["examples/tienditas.json"]),
                              ("apply", ["examples/tienditas.json"]), ("promote", [])):
        code, output = cluster.run_command(command, *operands)
        report(f"{command}: exit {code}, {output.splitlines()[0]}")
        if code != 0:
            raise SystemExit(output)
    for node in cluster.nodes:
        wait_for("6 complete groups",
                 lambda n=node: len(cluster.open_groups(n, "asistente-llm")) == 6)
        wait_for("3 servers", lambda n=node: len(cluster.open_groups(n, "caja-app")) == 3)
    report("every node routes to 6 complete groups of 2 VMs and 3 service VMs")


def serve(cluster):
    entry_address = next(iter(cluster.nodes.values()))
    entries = send_request(entry_address, "GET", "/v1/entries").json()
    report(f"entry nodes: {[e['address'] for e in entries['entries']]}, "
           f"cacheable for {entries['keep_ms']} ms")

    def stream_completion():
        for entry in entries["entries"]:
            response = completion(entry["address"], "key-a", "draft a restock order", 6,
                                  stream=True)
            if response.status == 200:
                return response
        return None
    response = wait_for("a streamed completion", stream_completion)
    events = [line for line in response.body.splitlines() if line]
    report(f"streamed completion: {len(events)} events, last event \"{events[-1]}\"")
    if events[-1] != "data: [DONE]":
        raise SystemExit("the stream ended without the final event [DONE]")
    return entries["entries"]


def pay_twice(cluster, entries):
    first = pay(entries[0]["address"], "key-a", "demo-payment-1")
    second = pay(entries[-1]["address"], "key-a", "demo-payment-1", first=False)
    report(f"payment: {first.status} {first.body}")
    report(f"repeated with the same key at another entry node: {second.status} {second.body}, "
           f"replayed {second.headers.get('Idempotency-Replayed', 'false')}")
    executions = sum(len(cluster.executed_calls(vm["address"])) for vm in cluster.vms
                     if "service" in vm)
    report(f"the service VMs executed the payment {executions} time(s)")
    if executions != 1 or first.body != second.body:
        raise SystemExit("the payment was not executed exactly once, or the two responses differ")


def drain_and_restore_zone(cluster):
    node = "node-centro-a"
    report(cluster.run_command("drain", "centro-b")[1].strip())
    wait_for("4 groups", lambda: len(cluster.open_groups(node, "asistente-llm")) == 4)
    report("centro-b is drained: 4 of 6 groups open, entry nodes in "
           + str([e["availability_zone"]
                  for e in send_request(cluster.nodes[node], "GET",
                                        "/v1/entries").json()["entries"]]))
    report(cluster.run_command("restore", "centro-b")[1].strip())
    wait_for("6 groups", lambda: len(cluster.open_groups(node, "asistente-llm")) == 6)
    report("centro-b is restored: 6 of 6 groups open")
    report("audit log:\n" + cluster.run_command("audit")[1].strip())


def main():
    with tempfile.TemporaryDirectory() as logs, Cluster(sys.argv[1], BASE_PORT, logs) as cluster:
        start(cluster)
        configure(cluster)
        entries = serve(cluster)
        pay_twice(cluster, entries)
        drain_and_restore_zone(cluster)
    report("all processes of the demo are stopped")


if __name__ == "__main__":
    main()
