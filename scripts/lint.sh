#!/usr/bin/env bash
# Checks the formatting (clang-format) and runs clang-tidy on all sources but the generated ones.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files -co --exclude-standard 'src/*.cpp' 'src/*.h' 'examples/*.cpp' | grep -v '/gen/')
clang-format --dry-run -Werror "${files[@]}"
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cpp$')
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p build 2>/dev/null
echo "lint: ${#files[@]} files are clean"
