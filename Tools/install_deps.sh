#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the linter need.
set -euo pipefail
packages=(
  curl g++ cmake ninja-build pkg-config ccache clang-format clang-tidy
  libabsl-dev libwebsocketpp-dev libboost-dev libboost-system-dev
  libmicrohttpd-dev libcurl4-openssl-dev libpopt-dev libeasyloggingpp-dev
  libexpected-dev libcppunit-dev nlohmann-json3-dev libxxhash-dev libssl-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
    missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq "${missing[@]}" >/dev/null
