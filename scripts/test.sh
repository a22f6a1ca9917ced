#!/usr/bin/env bash
# Installs, builds, runs every test and the linter. The verdict is the exit code.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/build.sh
ctest --test-dir build --output-on-failure -j 4
bash scripts/lint.sh
