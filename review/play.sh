#!/usr/bin/env bash
# play.sh FOLDER CASE: plays one case and writes record.txt into its folder.
set -u
review=$(cd "$(dirname "$0")" && pwd)
folder=$(cd "$1" && pwd)
directory=$(mktemp -d)
trap 'rm -rf "$directory"' EXIT
program=$review/../target/bin/figflowd
if [ ! -x "$program" ] || [ ! -x "$review/bin/standin" ]; then
  echo "build the deploy file and review/build.sh first" >&2
  exit 2
fi
timeout -k 2 115 "$review/bin/standin" "$2" "$folder/record.txt" "$program" "$directory"
code=$?
if [ "$code" -gt 1 ]; then
  exit 2
fi
exit "$code"
