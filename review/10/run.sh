#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 leaves the disruption out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
case_program=target/review-2/case-$(basename "$here")
if [ ! -x "$case_program" ] || [ ! -x target/bin/figflowd ]; then
  echo "build target/bin/figflowd and run review/build-2.sh first"
  exit 2
fi
timeout -k 2 110 "$case_program" target/bin/figflowd "$here/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
