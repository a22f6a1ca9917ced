#!/usr/bin/env bash
# Demonstrates a complete deployment on the loopback interface: simulated platform, inference
# engines and backend service, and an entry node in each of three availability zones. The demo
# applies and promotes a configuration, streams a completion, sends one payment twice, and drains
# and restores a zone. All processes are stopped at the end.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/build.sh >/tmp/bramleypitch-demo-build.log 2>&1 || { cat /tmp/bramleypitch-demo-build.log; exit 1; }
exec python3 scripts/demo.py build
