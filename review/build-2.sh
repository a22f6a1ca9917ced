#!/bin/sh
# The stand-ins that the scripts of review/6 to review/10 start are Python programs (3.11 or later, standard library
# alone) and need no build. This checks that they can be read. The nodes are those of the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
python3 - src/tests/platform_standin.py review/[6-9]/*.py <<'END'
import sys
import tomllib  # of Python 3.11

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
END
test -x target/src/command/bramleypitch || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
