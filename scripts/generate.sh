#!/usr/bin/env bash
# Generates the Thrift code anew; the result is committed, the build does not need the generator.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf src/network/gen && mkdir -p src/network/gen
thrift --gen cpp:cob_style,no_skeleton -out src/network/gen src/network/peer.thrift
