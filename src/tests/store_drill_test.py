"""The store comes back from an older copy, with revisions given out again.

Usage: store_drill_test.py BUILD_DIR [unittest arguments]
"""

import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from platform_system import System, wait_for  # noqa: E402

BUILD_DIR = sys.argv.pop(1) if len(sys.argv) > 1 else "build"
NODES = 3
COPY_AGE_S = 8.0
AWAY_S = 0.2  # The nodes that do not watch the store themselves do not notice.
STABLE_S = 3.5
REVOCATION_LIMIT_S = 5
WRITE_PAUSE_S = 0.03
REMOVED, KEPT = "key-a", "key-b"


class StoreDrillTest(unittest.TestCase):

    def start(self, engines=0):
        self.system = System(BUILD_DIR, engines=engines, nodes=NODES)
        self.addCleanup(self.system.stop)
        for number in range(NODES):
            wait_for(f"node {number} to be ready", lambda n=number: self.system.is_ready(n))

    def raise_revision(self, seconds):
        """Other writers use the store, too."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.system.write({"expected": [], "puts": [{"key": "other/key", "value": ""}],
                               "remove": []})
            time.sleep(WRITE_PAUSE_S)

    def statuses(self, key):
        return [self.system.call(number, "GET", "/read/x", key=key)[1].status
                for number in range(NODES)]

    def check_removed(self, acknowledged_at, seconds):
        """No node accepts the key later than the bound after the acknowledgement."""
        late = []
        while time.monotonic() < acknowledged_at + seconds:
            at = time.monotonic() - acknowledged_at
            if at > REVOCATION_LIMIT_S:
                late += [(round(at, 1), number) for number, status in
                         enumerate(self.statuses(REMOVED)) if status == 200]
            time.sleep(0.1)
        self.assertEqual(late, [])

    def test_key_removed_after_drill_is_refused(self):
        self.start()
        self.raise_revision(COPY_AGE_S)
        self.assertEqual(self.statuses(REMOVED), [200] * NODES)
        self.system.drill(COPY_AGE_S, AWAY_S)
        time.sleep(STABLE_S)
        self.check_removal()

    def test_key_removed_after_configuration_was_written_again_is_refused(self):
        self.start()
        self.raise_revision(COPY_AGE_S)
        self.system.configure()
        time.sleep(1)
        self.system.drill(COPY_AGE_S, AWAY_S)
        self.system.version -= 1
        self.system.configure()
        time.sleep(STABLE_S)
        self.check_removal()

    def check_removal(self):
        del self.system.keys[REMOVED]
        self.system.configure()
        self.check_removed(time.monotonic(), REVOCATION_LIMIT_S + 3)
        self.assertEqual(self.statuses(REMOVED), [401] * NODES)
        self.assertEqual(self.statuses(KEPT), [200] * NODES)


if __name__ == "__main__":
    unittest.main(verbosity=2)
