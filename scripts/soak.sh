#!/usr/bin/env bash
# Runs the randomized fault-injection soak test. See soak.py for details and options.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 -W ignore scripts/soak.py "$@"
