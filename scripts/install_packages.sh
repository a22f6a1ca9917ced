#!/usr/bin/env bash
# Installs the Debian packages that are required by the build, the tests and the demo.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy curl python3
  libevent-dev libevhtp-dev libthrift-dev thrift-compiler libgflags-dev
  libboost-log-dev libboost-dev librapidcheck-dev nlohmann-json3-dev libssl-dev
  libxxhash-dev zlib1g-dev libhttp-parser-dev libgtest-dev libbenchmark-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
