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

bin=build/bin
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

export FIGFLOW_TOKEN=demo-operator-credential

# Starts a program in the background; its output goes to a file.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=("$!")
}

# write_settings ENTRY DATA_CENTRE NUMBER
write_settings() {
  cat >"$work/$1.json" <<JSON
{
  "entry": "$1",
  "data_centre": "$2",
  "listen": {
    "callers": "127.0.0.1:1800$3",
    "admin": "127.0.0.1:1810$3",
    "peers": "127.0.0.1:1930$3"
  },
  "peers": {
    "seeds": ["127.0.0.1:19301", "127.0.0.1:19302", "127.0.0.1:19303"],
    "credential": "demo-peer-credential"
  },
  "admin": {"credential": "$FIGFLOW_TOKEN"},
  "platform": {"address": "127.0.0.1:19000"}
}
JSON
}

ctl() {
  "$bin/figflowctl" --server "127.0.0.1:18101" "$@"
}

# wait_until SECONDS COMMAND...
wait_until() {
  local left=$(($1 * 10))
  shift
  until "$@" >/dev/null 2>&1; do
    left=$((left - 1))
    if [ "$left" -le 0 ]; then
      echo "gave up waiting for: $*" >&2
      tail -n 5 "$work"/*.log >&2
      return 1
    fi
    sleep 0.1
  done
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
write_settings entry-a1 dc-a 1
write_settings entry-a2 dc-a 2
write_settings entry-b1 dc-b 3
for entry in entry-a1 entry-a2 entry-b1; do
  start "$entry" "$bin/figflowd" --settings "$work/$entry.json"
done
first_daemon=${pids[-3]}
for port in 18101 18102 18103; do
  wait_until 20 curl -sf "http://127.0.0.1:$port/readyz"
done

echo "== applying examples/demo.csv"
ctl sheet check examples/demo.csv
ctl sheet apply examples/demo.csv
serves() {
  [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$1/p/$2/hello")" = 200 ]
}
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
kill -KILL "$first_daemon"
send 18002 20 /p/booking/confirm
send 18003 20 /p/booking/confirm

echo "== ledger: instance-seconds by project, seen by the second daemon"
"$bin/figflowctl" --server 127.0.0.1:18102 ledger
echo "== done"
