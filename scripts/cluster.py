"""Runs stand-ins and entry nodes on the loopback interface for the demo, tests and measurements.

Closing the cluster kills exactly the processes that it started. Waiting always polls for a state,
with a generous timeout, and never sleeps for a fixed time.
"""

import http.client
import json
import os
import signal
import subprocess
import time

STATE_TIMEOUT_S = 30
BIND_TIME_S = 0.1  # In which a process ends that cannot listen.
ZONES = ["centro-a", "centro-b", "centro-c"]


class Response:
    """Status, headers and body of an HTTP response."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


def send_request(address, method, path, body=None, headers=None, timeout_s=20):
    """Sends an HTTP request. Raises OSError or HTTPException if there is no response."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        data = json.dumps(body) if isinstance(body, (dict, list)) else body
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        return Response(response.status, dict(response.getheaders()), response.read().decode())
    finally:
        connection.close()


def wait_for(description, condition, timeout_s=STATE_TIMEOUT_S):
    """Polls until condition() is true. Connection, HTTP and parse errors count as false."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            value = condition()
            if value:
                return value
        except (OSError, http.client.HTTPException, ValueError, KeyError):
            pass
        time.sleep(0.02)
    raise TimeoutError(f"condition not met within {timeout_s} s: {description}")


class Cluster:
    """The stand-ins and nodes of one run. Ports are allocated upwards from `base_port`."""

    def __init__(self, build, base_port, log_dir, environment="tienditas"):
        self.build = build
        self.base_port = base_port
        self.log_dir = log_dir
        self.environment = environment
        self.processes = {}
        self.vms = []
        self.nodes = {}
        self.platform = f"127.0.0.1:{base_port}"
        self.next_port = base_port + 100
        os.makedirs(log_dir, exist_ok=True)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def start(self, name, *arguments):
        """Starts a process whose output is appended to the log file NAME.log."""
        log = open(os.path.join(self.log_dir, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(arguments, stdout=log, stderr=log)
        log.close()

    def start_standin(self, name, kind, *arguments):
        self.start(name, f"{self.build}/src/standin/bramleypitch-standin", kind, *arguments)

    def start_platform(self):
        self.start_standin("platform", "platform", f"--listen={self.platform}")
        self.wait_started("platform", self.platform, "/calls")

    def wait_started(self, name, address, path):
        """Waits until a process answers. Another one may answer at its address if it has ended."""
        wait_for(address, lambda: send_request(address, "GET", path).status == 200)
        time.sleep(BIND_TIME_S)
        if self.processes[name].poll() is not None:
            raise RuntimeError(f"{name} has ended: another process listens at {address}")

    def allocate_ports(self, count):
        first = self.next_port
        self.next_port += count
        return first

    def start_engines(self, name, count, zone, domain, *arguments):
        """Starts one process with several engines of one fabric domain. Returns their addresses."""
        first = self.allocate_ports(count)
        self.start_standin(name, "engine", f"--listen=127.0.0.1:{first}", f"--count={count}",
                           *arguments)
        addresses = [f"127.0.0.1:{first + i}" for i in range(count)]
        self.wait_started(name, addresses[-1], "/state")
        for address in addresses:
            self.vms.append({"id": f"vm-{address.split(':')[1]}", "address": address,
                             "availability_zone": zone, "fabric_domain": domain})
        return addresses

    def start_services(self, name, count, zone, service):
        first = self.allocate_ports(count)
        self.start_standin(name, "service", f"--listen=127.0.0.1:{first}", f"--count={count}")
        addresses = [f"127.0.0.1:{first + i}" for i in range(count)]
        self.wait_started(name, addresses[-1], "/state")
        for address in addresses:
            self.vms.append({"id": f"vm-{address.split(':')[1]}", "address": address,
                             "availability_zone": zone, "service": service})
        return addresses

    def publish_vms(self):
        send_request(self.platform, "PUT", "/vms", {"vms": self.vms})

    def start_node(self, name, zone, *arguments):
        entry_port, peer_port = self.allocate_ports(1), self.allocate_ports(1)
        self.nodes[name] = f"127.0.0.1:{entry_port}"
        self.start(name, f"{self.build}/src/command/bramleypitch", "serve",
                   f"--listen=127.0.0.1:{entry_port}", f"--peer_listen=127.0.0.1:{peer_port}",
                   f"--platform=http://{self.platform}", f"--environment={self.environment}",
                   f"--availability_zone={zone}", f"--node={name}", *arguments)

    def run_command(self, command, *operands):
        """Runs an operator command and returns (exit code, output)."""
        result = subprocess.run(
            [f"{self.build}/src/command/bramleypitch", command,
             f"--platform=http://{self.platform}", f"--environment={self.environment}",
             "--operator=demo", *operands],
            capture_output=True, text=True, check=False)
        return result.returncode, result.stdout + result.stderr

    def set_faults(self, address, **faults):
        send_request(address, "POST", "/fault", faults)

    def executed_calls(self, address):
        """Returns the calls that a backend server reports to have executed."""
        return send_request(address, "GET", "/ledger").json()["ran"]

    def status(self, node):
        return send_request(self.nodes[node], "GET", "/status").json()

    def open_groups(self, node, target):
        return [group for group in self.status(node)["groups"]
                if group["target"] == target and group["gate"] == "open"]

    def metric(self, node, name):
        for line in send_request(self.nodes[node], "GET", "/metrics").body.splitlines():
            if line.startswith(f"bramleypitch_{name} "):
                return float(line.split()[1])
        raise KeyError(name)

    def kill(self, name, sig=signal.SIGKILL):
        self.processes[name].send_signal(sig)
        if sig in (signal.SIGKILL, signal.SIGTERM):
            code = self.processes[name].wait(timeout=STATE_TIMEOUT_S)
            del self.processes[name]
            return code
        return None

    def signal(self, name, sig):
        self.processes[name].send_signal(sig)

    def close(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()


def completion(entry, key, prompt, max_tokens=8, stream=False, timeout_s=20, **fields):
    """Requests a chat completion."""
    body = {"model": "asistente-llm", "max_tokens": max_tokens, "stream": stream,
            "messages": [{"role": "user", "content": prompt}], **fields}
    return send_request(entry, "POST", "/v1/chat/completions", body,
                        {"Authorization": f"Bearer {key}"}, timeout_s)


def pay(entry, key, idempotency_key, amount=100, timeout_s=20, first=True):
    """Sends a payment. `first` marks it as the first attempt with this idempotency key."""
    headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json",
               "Idempotency-Key": idempotency_key}
    if first:
        headers["Idempotency-Attempt"] = "1"
    return send_request(entry, "POST", "/services/caja-app/payments", {"amount": amount}, headers,
                        timeout_s)
