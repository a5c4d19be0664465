#!/usr/bin/env bash
# Builds figflow, starts stand-ins of the platform and of ten targets and three
# daemons in two data centres on loopback, applies an example sheet, sends
# requests, kills one daemon while requests go on, and prints what became of
# them. Ends everything it started.
set -euo pipefail
cd "$(dirname "$0")/.."
Tools/install_deps.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build --parallel "$(nproc)" >/dev/null

source Tools/loopback.sh

ctl() {
  "$bin/figflowctl" --server "127.0.0.1:18101" "$@"
}

# send PORT COUNT PATH [HEADER...]: prints how often each outcome was seen.
send() {
  local port=$1 count=$2 path=$3
  shift 3
  local headers=()
  for header in "$@"; do headers+=(-H "$header"); done
  for _ in $(seq "$count"); do
    curl -s -o /dev/null --max-time 5 "${headers[@]}" \
      -w '%{http_code} %header{figflow-disposition}\n' \
      "http://127.0.0.1:$port$path" || true
  done | sort | uniq -c
}

echo "== starting the platform, 10 targets and 3 daemons"
start platform "$bin/standin_platform" examples/demo-fleet.json
for port in $(seq 19101 19110); do
  start "target-$port" "$bin/standin_target" --listen "127.0.0.1:$port"
done
start_daemon entry-a1 dc-a 1
first_daemon=${pids[-1]}
start_daemon entry-a2 dc-a 2
start_daemon entry-b1 dc-b 3
wait_for_daemons

echo "== applying examples/demo.csv"
ctl sheet check examples/demo.csv
ctl sheet apply examples/demo.csv
for port in 18001 18002 18003; do
  wait_until 20 serves "$port" booking
  wait_until 20 serves "$port" search
done
ctl status
ctl pools

echo "== 20 requests through each daemon (count, status, disposition)"
for port in 18001 18002 18003; do send "$port" 20 /p/booking/confirm; done

echo "== an unrepeatable request, sent twice with one ticket"
ticket=$(curl -s -X POST http://127.0.0.1:18001/figflow/tickets |
  sed 's/.*"ticket": *"\([^"]*\)".*/\1/')
send 18001 2 /p/booking/deposit "Figflow-Unrepeatable: 1" \
  "Idempotency-Key: $ticket"

echo "== killing the first daemon; requests go on through the others"
{ kill -KILL "$first_daemon" && wait "$first_daemon"; } 2>/dev/null || true
send 18002 20 /p/booking/confirm
send 18003 20 /p/booking/confirm

echo "== ledger: instance-seconds by project, seen by the second daemon"
"$bin/figflowctl" --server 127.0.0.1:18102 ledger
echo "== done"
