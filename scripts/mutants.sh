#!/usr/bin/env bash
# Mutation testing: disables one safety mechanism at a time in a temporary copy of the source tree
# and reports which tests detect it. Optional arguments: names of the mutants to run (default: all).
# Exit status 0 if every mutant was detected.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install_packages.sh
exec python3 scripts/mutants.py "$@"
