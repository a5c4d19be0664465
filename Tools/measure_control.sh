#!/usr/bin/env bash
# Measures the control cost of one idle daemon at three sizes of its data
# centre: CPU, memory, and calls and bytes of the platform's service. Needs a
# build in build/. Takes about two minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
source Tools/loopback.sh

# write_fleet WORKERS: one data centre, four workers to a rack.
write_fleet() {
  {
    echo '{"listen": "127.0.0.1:19000", "instances": ['
    echo '{"id": "entry-a1", "role": "entry", "data_centre": "dc-a", "rack": "r0", "address": "127.0.0.1:19301"}'
    for i in $(seq "$1"); do
      echo ", {\"id\": \"worker-$i\", \"role\": \"worker\", \"data_centre\": \"dc-a\", \"rack\": \"r$((i / 4 + 1))\"," \
        "\"address\": \"127.0.0.1:$((20000 + i))\", \"slots\": 8, \"connections\": 64, \"cores\": 64, \"memory_mb\": 262144}"
    done
    echo ']}'
  } >"$work/fleet.json"
}

# write_sheet POOLS: one instance for each pool.
write_sheet() {
  {
    echo '#revision,0'
    echo 'project,team,pool,data_centre,instances,max_down,budget_minutes,priority,long_share,max_move'
    for i in $(seq "$1"); do
      echo "project-$i,team-$((i % 86)),pool-$i,dc-a,1,1,60,normal,0.5,10"
    done
    echo 'spare,fleet,spare,dc-a,0,0,0,low,0,10'
  } >"$work/sheet.csv"
}

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
calls() {
  curl -s http://127.0.0.1:19000/standin/state | tr ',{}' '\n\n\n' |
    awk -F: '/"\/(kv|fleet)/ {sum += $2} END {print sum + 0}'
}
# Bytes on the loopback interface: the daemon's traffic with the platform, if
# nothing else runs.
loopback_bytes() { awk '$1 == "lo:" {print $2}' /proc/net/dev; }

seconds=20
# Without arguments, the three sizes of docs/CAPACITY.md.
if [ "$#" -eq 0 ]; then set -- 12:5 60:50 234:194; fi
for size in "$@"; do
  workers=${size%:*}
  pools=${size#*:}
  write_fleet "$workers"
  write_sheet "$pools"
  start platform "$bin/standin_platform" "$work/fleet.json"
  platform=${pids[-1]}
  start_daemon entry-a1 dc-a 1
  daemon=${pids[-1]}
  wait_until 20 curl -sf http://127.0.0.1:18101/readyz
  "$bin/figflowctl" --server 127.0.0.1:18101 sheet apply "$work/sheet.csv" >/dev/null
  sleep 10
  ticks=$(cpu_ticks "$daemon")
  bytes=$(loopback_bytes)
  before=$(calls)
  sleep "$seconds"
  after=$(calls)
  echo "workers=$workers pools=$pools" \
    "cpu_percent=$(echo "$(cpu_ticks "$daemon") $ticks $seconds" | awk '{printf "%.2f", ($1 - $2) / $3}')" \
    "rss_mb=$(awk '/VmRSS/ {printf "%.1f", $2 / 1024}' "/proc/$daemon/status")" \
    "platform_calls_per_s=$(echo "$after $before $seconds" | awk '{printf "%.1f", ($1 - $2) / $3}')" \
    "bytes_per_s=$(echo "$(loopback_bytes) $bytes $seconds" | awk '{printf "%d", ($1 - $2) / $3}')"
  { kill "$daemon" && wait "$daemon"; } 2>/dev/null || true
  { kill "$platform" && wait "$platform"; } 2>/dev/null || true
done
