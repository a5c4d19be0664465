#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 6 to 10 into
# target/review-2. They need no library but nlohmann-json.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
rm -rf "$out"
mkdir -p "$out"
for source in review/standin-2/*.cc review/[6-9]/case.cc review/10/case.cc; do
  [ -e "$source" ] || continue
  object="$out/$(basename "$(dirname "$source")")-$(basename "$source" .cc).o"
  g++ -std=c++17 -O1 -Wall -Wextra -c "$source" -o "$object" &
done
wait
for source in review/[6-9]/case.cc review/10/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "$out"/standin-2-*.o "$out/$number-case.o" -pthread -o "$out/case-$number"
done
