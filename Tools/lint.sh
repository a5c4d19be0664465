#!/usr/bin/env bash
# Checks the format and the sizes of files and runs clang-tidy over all sources.
# Usage: Tools/lint.sh [FILE.cc ...]  clang-tidy over these files only
#        Tools/lint.sh --fix          formats in place, nothing else
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files -co --exclude-standard '*.cc' '*.h' |
  while read -r file; do [ ! -e "$file" ] || echo "$file"; done)
if [ "${1:-}" = --fix ]; then
  clang-format -i "${sources[@]}"
  exit 0
fi

# configure DIR UNITY: clang-tidy cannot read the compiler's precompiled header.
configure() {
  cmake -S . -B "$1" -G Ninja -DFIGFLOW_PRECOMPILED=OFF -DCMAKE_UNITY_BUILD="$2" >/dev/null
}

if [ $# -gt 0 ]; then
  build_dir=build-lint-files
  configure "$build_dir" OFF
  units=("$@")
else
  # Most of the linter's time goes to the libraries' headers, so the files of a
  # library are checked together.
  build_dir=build-lint
  configure "$build_dir" ON
  mapfile -t units < <(sed -n 's/^  "file": "\(.*\)".*/\1/p' "$build_dir/compile_commands.json" |
    grep -v 'Common/easylogging.cc$' | sort -u)
fi

clang-format --dry-run -Werror "${sources[@]}"
status=0
for file in "${sources[@]}"; do
  lines=$(wc -l <"$file")
  if [ "$lines" -gt 500 ]; then
    echo "$file: $lines lines; split files above 500 lines" >&2
    status=1
  fi
done
# Stands for bugprone-suspicious-include, which the joined files would break.
if grep -nE '#include [<"].*\.(cc|cpp|cxx|c)[>"]' "${sources[@]}" |
  grep -v 'NOLINT(bugprone-suspicious-include)'; then
  echo "a source file is included" >&2
  status=1
fi
# The build's options are those of g++.
printf '%s\n' "${units[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy -p "$build_dir" --quiet \
    --extra-arg=-Wno-unknown-warning-option --checks=-bugprone-suspicious-include \
    2>/dev/null ||
  status=1
exit "$status"
