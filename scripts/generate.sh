#!/usr/bin/env bash
# Regenerates the Thrift code. The result is committed; the build needs no Thrift compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf src/network/gen && mkdir -p src/network/gen
thrift --gen cpp:cob_style,no_skeleton -out src/network/gen src/network/peer.thrift
