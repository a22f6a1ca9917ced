"""Replaces the nodes of an old build by those of a new one under load, and back.

Usage: upgrade_test.py OLD_BUILD NEW_BUILD [SEED]

Run by hand, since it needs the build of the last landing. On the way to the new build one node after
the other gets SIGTERM and starts again at its addresses, while the next one already stops; on the way
back two at once. An API key is revoked while both builds run, and servers leave and ask for pauses.

Checks: those of the soak test, and no call that ran at a server lacks its whole answer; each node
stops with exit code 0; the builds that run are those that were started.
"""

import os
import random
import sys
import threading
import time

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
sys.path.insert(0, os.path.join(ROOT, "scripts"))

from soak import CALLER_COUNT, Soak  # noqa: E402
from platform_system import wait_for  # noqa: E402

NODES = 4  # Two of them in the same zone.
SLOT = 40
MIXED_S = 2  # Time for which the two builds run beside each other between replacements.
MIN_SERVED_SHARE = 0.25  # Of the calls, half of which have the revoked key.


def program(build):
    return os.path.join(build, "src", "command", "bramleypitch")


class Upgrade(Soak):

    def __init__(self, old_build, new_build, seed):
        super().__init__(old_build, seed, 0, SLOT)
        self.old_build, self.new_build = old_build, new_build
        for number in range(3, NODES):
            self.system.nodes.append(f"127.{SLOT}.4.{number + 1}")
            self.system.start_node(number)

    def replace_node(self, number, build):
        name = f"n{number}"
        self.disturbed.append((name, time.monotonic()))
        self.system.processes[name].terminate()
        code = self.system.processes[name].wait(12)
        if code != 0:
            self.violations.append(f"{name} exited with {code}")
        self.disturbed.append((name, time.monotonic()))
        with self.lock:
            self.system.binary = program(build)
            self.system.start_node(number)
        running = os.readlink(f"/proc/{self.system.processes[name].pid}/exe")
        if os.path.realpath(program(build)) != running:
            self.violations.append(f"{name} runs {running}")

    def replace_all(self, build, at_once):
        order = self.random.sample(range(NODES), NODES)
        for first in range(0, NODES, at_once):
            threads = [threading.Thread(target=self.replace_node, args=(number, build))
                       for number in order[first:first + at_once]]
            for thread in threads:
                thread.start()
            disturbance = self.random.choice([self.ask_for_pauses, self.replace_server])
            disturbance()
            for thread in threads:
                thread.join()
            if first + at_once < NODES:  # The next one stops while this one starts.
                time.sleep(self.random.uniform(0, MIXED_S))
            if first == 0 and not self.revoked_at:
                self.change_keys()
        for number in range(NODES):
            wait_for(f"node {number} to be ready", lambda n=number: self.system.is_ready(n))

    def run(self):
        self.system.wait_ready()
        callers = [threading.Thread(target=self.run_caller, args=(n,)) for n in range(CALLER_COUNT)]
        for caller in callers:
            caller.start()
        try:
            for build, at_once in ((self.new_build, 1), (self.old_build, 2)):
                begin, before = time.monotonic(), len(self.sent)
                self.replace_all(build, at_once)
                served = sum(entry[5].status == 200 for entry in self.sent[before:])
                sent = len(self.sent) - before
                print(f"to {build}, {at_once} at once: {time.monotonic() - begin:.0f} s, "
                      f"{served} of {sent} calls served", flush=True)
                if served < MIN_SERVED_SHARE * sent:
                    self.violations.append(f"{served} of {sent} calls served")
            self.check_recovery()
        finally:
            self.done.set()
            for caller in callers:
                caller.join()
        self.check_calls()
        self.check_answers()
        if not self.revoked_at:
            self.violations.append("no key was revoked")
        return self.violations

    def check_answers(self):
        runs = self.system.runs_by_request()
        for request, kind, _, _, _, response in self.sent:
            if request in runs and not response.complete:
                self.violations.append(f"no whole answer: {request} {kind}, status "
                                       f"{response.status}, at {self.passed_through[request][0]}")


def main():
    if len(sys.argv) not in (3, 4):
        sys.exit(__doc__)
    old_build, new_build = sys.argv[1:3]
    seed = int(sys.argv[3]) if len(sys.argv) == 4 else random.randrange(1_000)
    upgrade = Upgrade(old_build, new_build, seed)
    try:
        violations = upgrade.run()
        for number in range(NODES):
            lines = [line for line in upgrade.system.log(f"n{number}").split("\n")
                     if "value_unreadable" in line or "peer_version" in line]
            print(f"n{number}:", *lines[:6], sep="\n  ", flush=True)
            violations += [line for line in lines if "value_unreadable" in line]
    finally:
        upgrade.done.set()
        upgrade.system.stop()
        for proxy in upgrade.proxies:
            proxy.listener.close()
    print(f"seed {seed}: {len(upgrade.sent)} calls, {len(violations)} violations")
    for violation in violations[:20]:
        print(f"  {violation}")
    sys.exit(bool(violations))


if __name__ == "__main__":
    main()
