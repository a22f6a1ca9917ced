#!/usr/bin/env bash
# The stand-ins of the scripts are Python and need no build: this only checks that they compile.
# Run after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'END'
import ast
import pathlib
for file in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(file.read_text(encoding="utf-8"), str(file))
END
