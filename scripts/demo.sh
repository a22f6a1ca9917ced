#!/usr/bin/env bash
# Shows the whole path on loopback: stand-ins for the platform, engines and a service, three entry
# nodes in three availability zones, a change through trial and promotion, one streamed
# completion, one payment sent twice, and a zone taken out and back. Stops all that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/build.sh >/tmp/bramleypitch-demo-build.log 2>&1 || { cat /tmp/bramleypitch-demo-build.log; exit 1; }
exec python3 scripts/demo.py build
