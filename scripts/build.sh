#!/usr/bin/env bash
# Installs the build dependencies and builds all targets in build/.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install_packages.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
