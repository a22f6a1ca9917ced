#!/usr/bin/env bash
# Installs what the build needs and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install_packages.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
