# Functions for scripts that run the programs on loopback. Sourced with
# `binaries` set to the folder of the programs; sets `work`, a temporary folder
# that holds the output of each program and is removed at the end, unless
# KEEP_WORK is set.

work=$(mktemp -d)
declare -A process_of=()

stop_processes() {
  local process
  for process in "${process_of[@]}"; do
    kill "$process" 2>/dev/null || true
  done
  for process in "${process_of[@]}"; do
    wait "$process" 2>/dev/null || true
  done
  if [ -n "${KEEP_WORK:-}" ]; then
    echo "kept $work" >&2
  else
    rm -rf "$work"
  fi
}
trap stop_processes EXIT

fail() {
  echo "$0: $1" >&2
  local log
  for log in "$work"/*.log; do
    [ -s "$log" ] || continue
    echo "== ${log##*/}" >&2
    tail -n 20 "$log" >&2
  done
  exit 1
}

# run NAME COMMAND...: starts a program in the background.
run() {
  local name=$1
  shift
  : >"$work/$name.out"
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  process_of[$name]=$!
}

# start NAME COMMAND...: starts a program that prints "listening IP:PORT" first,
# and sets `address`.
start() {
  run "$@"
  for _ in $(seq 100); do
    address=$(sed -n '1s/^listening //p' "$work/$1.out")
    [ -z "$address" ] || return 0
    sleep 0.1
  done
  fail "$1 did not start"
}

# end NAME SIGNAL: stops a program and waits for its end.
end() {
  kill "-$2" "${process_of[$1]}"
  wait "${process_of[$1]}" 2>/dev/null || true
  unset "process_of[$1]"
}

# Prints a port on which nothing listens now.
free_port() {
  local port
  while true; do
    port=$((20000 + RANDOM % 12000))
    (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null || break
  done
  echo "$port"
}

# start_host ID CALLER_ADDRESS PEER_ADDRESS SEEDS STORE [ZONE [ADMIN_ADDRESS
# [PROBE_INTERVAL_MS]]]; CALLER_THREADS sets the host's bound on open
# connections.
start_host() {
  cat >"$work/$1.ini" <<END
[host]
id = $1
zone = ${6:-a}
caller_address = $2
peer_address = $3
admin_address = ${7:-127.0.0.1:$(free_port)}
caller_threads = ${CALLER_THREADS:-256}
leaving_grace_ms = 2000
discovery_ttl_ms = 1000
probe_interval_ms = ${8:-2000}
log_level = info

[store]
address = $5
timeout_ms = 1000

[peers]
seeds = $4
key = only-for-processes-on-loopback-00
END
  run "$1" "$binaries/bulrushd" --settings="$work/$1.ini"
}

# wait_until_serving ADDRESS SERVICE PATH
wait_until_serving() {
  for _ in $(seq 100); do
    if "$binaries/bulrush_call" --hosts="$1" --service="$2" --path="$3" \
      >"$work/probe.log" 2>&1; then
      return 0
    fi
    sleep 0.1
  done
  fail "$1 does not serve"
}
