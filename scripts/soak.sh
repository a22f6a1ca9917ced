#!/usr/bin/env bash
# The randomized fault soak; see soak.py for what it does and its options.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 -W ignore scripts/soak.py "$@"
