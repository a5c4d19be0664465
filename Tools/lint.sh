#!/usr/bin/env bash
# Checks the format and runs clang-tidy over all sources, and checks file sizes.
# Usage: Tools/lint.sh [BUILD_DIR]   (BUILD_DIR holds compile_commands.json)
#        Tools/lint.sh --fix         (formats in place, nothing else)
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files -co --exclude-standard '*.cc' '*.h')
if [ "${1:-}" = --fix ]; then
  clang-format -i "${sources[@]}"
  exit 0
fi
build_dir=${1:-build}
clang-format --dry-run -Werror "${sources[@]}"

status=0
for file in "${sources[@]}"; do
  lines=$(wc -l <"$file")
  if [ "$lines" -gt 500 ]; then
    echo "$file: $lines lines; split files above 500 lines" >&2
    status=1
  fi
done
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cc$' |
  grep -v 'Common/easylogging.cc$')
printf '%s\n' "${units[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy -p "$build_dir" --quiet 2>/dev/null ||
  status=1
exit "$status"
