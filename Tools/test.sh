#!/usr/bin/env bash
# Installs what is needed, builds figflow and runs all its checks: format and
# linter, the tests, and the unit tests under AddressSanitizer with UBSan and
# under ThreadSanitizer.
set -euo pipefail
cd "$(dirname "$0")/.."
Tools/install_deps.sh

# Runs one labelled command and prints how long it took.
step() {
  local label=$1 start=$SECONDS
  shift
  echo "== $label"
  "$@"
  echo "== $label: done in $((SECONDS - start)) s"
}

# build DIR SANITIZER TYPE: compiles file by file, so that a missing include shows.
# Sanitizer builds compile several files at once: they repeat what was compiled.
build() {
  local unity=OFF
  if [ -n "$2" ]; then unity=ON; fi
  cmake -S . -B "$1" -G Ninja -DFIGFLOW_SANITIZER="$2" -DCMAKE_BUILD_TYPE="$3" \
    -DCMAKE_UNITY_BUILD=$unity >/dev/null
  cmake --build "$1" --parallel "$(nproc)"
}

run_tests() {
  ctest --test-dir "$1" --output-on-failure --parallel 4 "${@:2}"
}

step "build" build build "" RelWithDebInfo
step "lint" Tools/lint.sh
step "build for AddressSanitizer" build build-asan address Debug
step "build for ThreadSanitizer" build build-tsan thread RelWithDebInfo
step "unit tests under AddressSanitizer and UBSan" run_tests build-asan -LE process
step "unit tests under ThreadSanitizer" run_tests build-tsan -LE process
step "all tests" run_tests build

# The test programs pass over the tests that KNOWN-RED.txt names.
if [ -s KNOWN-RED.txt ]; then
  echo "== known red tests that failed"
  grep -h '^known red:' build*/Testing/Temporary/LastTest.log | sort -u || true
fi
