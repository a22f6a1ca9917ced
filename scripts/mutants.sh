#!/usr/bin/env bash
# Breaks one mechanism after the other in a scratch copy and shows which properties notice.
# Optional arguments: names of the mutants to try. Exit 0 if every mutant was caught.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install_packages.sh
exec python3 scripts/mutants.py "$@"
