#!/usr/bin/env bash
# Re-creates the tables of docs/MEASURES.md and docs/CAPACITY.md on loopback:
# the control cost of idle daemons, the request path directly and through one
# daemon (interleaved), and the growth of control state. Needs a build in build/
# and a quiet machine. Takes about three minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
source Tools/loopback.sh

start platform "$bin/standin_platform" examples/demo-fleet.json
for port in $(seq 19101 19110); do
  start "target-$port" "$bin/standin_target" --listen "127.0.0.1:$port" --slots 64 --connections 512
done
daemons=()
start_daemon entry-a1 dc-a 1
daemons+=("${pids[-1]}")
start_daemon entry-a2 dc-a 2
daemons+=("${pids[-1]}")
start_daemon entry-b1 dc-b 3
daemons+=("${pids[-1]}")
wait_for_daemons
sleep 3
"$bin/figflowctl" --server 127.0.0.1:18101 sheet apply examples/demo.csv >/dev/null
wait_until 20 serves 18003 booking
sleep 5

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
calls() { curl -s http://127.0.0.1:19000/standin/state | tr ',{}' '\n\n\n' | awk -F: '/"\/(kv|fleet)/ {sum += $2} END {print sum + 0}'; }

echo "== control cost of three idle daemons over 30 s"
before=()
for pid in "${daemons[@]}"; do before+=("$(cpu_ticks "$pid")"); done
calls_before=$(calls)
sleep 30
calls_after=$(calls)
for i in 0 1 2; do
  pid=${daemons[$i]}
  echo "daemon $((i + 1)): cpu_percent=$(echo "$(cpu_ticks "$pid") ${before[$i]}" | awk '{printf "%.2f", ($1 - $2) / 30}')" \
    "rss_mb=$(awk '/VmRSS/ {printf "%.1f", $2 / 1024}' "/proc/$pid/status")"
done
echo "platform calls a second, all three daemons: $(echo "$calls_after $calls_before" | awk '{printf "%.1f", ($1 - $2) / 30}')"

echo "== request path, interleaved; latency in microseconds"
for rate in 1000 3000 6000; do
  for _ in 1 2; do
    echo "direct  $("$bin/figflow_load" --rate "$rate" --seconds 5 --max-open 64 http://127.0.0.1:19101/hello)"
    echo "figflow $("$bin/figflow_load" --rate "$rate" --seconds 5 --max-open 64 http://127.0.0.1:18003/p/booking/hello)"
  done
done
echo "== saturation, 50,000 requests a second offered"
echo "direct  $("$bin/figflow_load" --rate 50000 --seconds 5 --threads 4 --max-open 32 http://127.0.0.1:19101/hello)"
echo "figflow $("$bin/figflow_load" --rate 50000 --seconds 5 --threads 4 --max-open 32 http://127.0.0.1:18003/p/booking/hello)"

echo "== growth of control state"
"$bin/figflow_capacity"
