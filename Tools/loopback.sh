# Sourced by demo.sh and measure.sh: starts and ends programs on loopback.
# Sets bin (built programs) and work (a temporary folder with logs).
bin=build/bin
work=$(mktemp -d)
pids=()
export FIGFLOW_TOKEN=demo-operator-credential

end_programs() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap end_programs EXIT

# start NAME PROGRAM ARGUMENTS...: runs it in the background; its output goes to
# a file, its process id to the end of pids.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=("$!")
}

# start_daemon ENTRY DATA_CENTRE NUMBER: listens for callers on 1800NUMBER, for
# operators on 1810NUMBER and for peers on 1930NUMBER.
start_daemon() {
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
  start "$1" "$bin/figflowd" --settings "$work/$1.json"
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

wait_for_daemons() {
  for port in 18101 18102 18103; do
    wait_until 20 curl -sf "http://127.0.0.1:$port/readyz"
  done
}

# serves PORT PROJECT: true if a request to the project is answered with 200.
serves() {
  [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$1/p/$2/hello")" = 200 ]
}
