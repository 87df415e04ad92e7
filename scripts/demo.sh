#!/usr/bin/env bash
# Starts a platform, and two entry instances, two backend servers and six workers
# in each of two availability zones, all as separate processes on loopback. Loads
# the client accounts and rules, sends the work in examples/demo.json, checks the
# answers and stops everything. Exits non-zero on any failure. Requires bin/ from
# "make build". With the argument "stay" it sends nothing and keeps everything
# running until interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."

work=examples/demo.json
configuration=examples/configuration.json
zones=(zone-1 zone-2)
entries_per_zone=2
backends_per_zone=2
workers_per_zone=6
workers_per_rack=2
accelerators_per_worker=8

logs=$(mktemp -d)
pids=()

# stop_all stops the processes in reverse order of their start, and the platform
# last.
stop_all() {
  local i
  for ((i = ${#pids[@]} - 1; i > 0; i--)); do kill -TERM "${pids[i]}" 2>/dev/null || true; done
  for ((i = ${#pids[@]} - 1; i > 0; i--)); do wait "${pids[i]}" 2>/dev/null || true; done
  if [ ${#pids[@]} -gt 0 ]; then
    kill -TERM "${pids[0]}" 2>/dev/null || true
    wait "${pids[0]}" 2>/dev/null || true
  fi
  pids=()
}

finish() {
  local code=$?
  stop_all
  if [ "$code" -eq 0 ]; then
    rm -rf "$logs"
  else
    echo "demo failed with exit code $code; logs are in $logs" >&2
    for file in "$logs"/entry-*.log; do
      [ -e "$file" ] || continue
      echo "== last lines of $(basename "$file")" >&2
      grep -v "step=route" "$file" | tail -n 5 >&2
    done
  fi
  exit "$code"
}
trap finish EXIT
trap 'exit 130' INT TERM

# start NAME COMMAND... runs a process in the background and writes its log to
# $logs/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
  pids+=($!)
}

entries=$((${#zones[@]} * entries_per_zone))
total=$((1 + entries * 2))
mapfile -t ports < <(bin/standin ports "$total")
platform=127.0.0.1:${ports[0]}
start platform bin/standin platform --listen "$platform"
bin/standin wait "$platform"

# Each entry instance has its own settings file, which lists the others as peers.
entry_addr() { echo "127.0.0.1:${ports[$((1 + $1 * 2))]}"; }
peer_addr() { echo "127.0.0.1:${ports[$((2 + $1 * 2))]}"; }
entry_zone() { echo "${zones[$(($1 / entries_per_zone))]}"; }
write_settings() {
  local self=$1 peers="" i
  for ((i = 0; i < entries; i++)); do
    [ "$i" -eq "$self" ] && continue
    peers+="${peers:+, }{\"instance\": \"entry-$i\", \"availability_zone\": \"$(entry_zone "$i")\", \"addr\": \"$(entry_addr "$i")\", \"peer_addr\": \"$(peer_addr "$i")\"}"
  done
  cat >"$logs/entry-$self.json" <<SETTINGS
{
  "instance": "entry-$self",
  "availability_zone": "$(entry_zone "$self")",
  "listen": "$(entry_addr "$self")",
  "peer_listen": "$(peer_addr "$self")",
  "platform": "$platform",
  "peers": [$peers],
  "timing": {"list_poll_ms": 300, "config_poll_ms": 200, "peer_interval_ms": 200}
}
SETTINGS
}

echo "starting the platform, $entries entry instances, backend servers and workers"
flags=()
addresses=()
for ((i = 0; i < entries; i++)); do
  write_settings "$i"
  bin/corianderbank settings check "$logs/entry-$i.json" >/dev/null
  start "entry-$i" bin/corianderbank serve --settings "$logs/entry-$i.json"
  flags+=(--entry "$(entry_addr "$i")")
  addresses+=("$(entry_addr "$i")")
done

# Backend servers and workers listen on any free port and announce it. Their
# addresses are read from their logs.
members=()
for zone in "${zones[@]}"; do
  for ((i = 0; i < backends_per_zone; i++)); do
    start "backend-$zone-$i" bin/standin backend --listen 127.0.0.1:0 --id "backend-$zone-$i" --zone "$zone" --platform "$platform"
    members+=("backend backend-$zone-$i")
  done
  for ((i = 0; i < workers_per_zone; i++)); do
    start "worker-$zone-$i" bin/standin worker --listen 127.0.0.1:0 --id "worker-$zone-$i" --zone "$zone" \
      --rack "$zone-rack-$((i / workers_per_rack))" --accelerators "$accelerators_per_worker" --platform "$platform"
    members+=("worker worker-$zone-$i")
  done
done
for member in "${members[@]}"; do
  read -r role name <<<"$member"
  addr=$(bin/standin listening --limit 20s "$logs/$name.log")
  flags+=("--$role" "$addr")
done

bin/standin wait "${addresses[@]}"
echo "loading $configuration"
bin/corianderbank --addr "${addresses[0]}" config apply --expect 0 "$configuration"
bin/standin wait --path /readyz "${addresses[@]}"
bin/standin settle --limit 30s --accelerators $((${#zones[@]} * workers_per_zone * accelerators_per_worker)) "${flags[@]}"

if [ "${1:-}" = stay ]; then
  echo "entry instances: ${addresses[*]}"
  echo "export CORIANDERBANK_ADDR=${addresses[0]}"
  echo "running until interrupted"
  wait
fi

echo "sending $work"
bin/standin drive --input "$work" --limit 45s "${flags[@]}"
echo
bin/corianderbank --addr "${addresses[0]}" config status
bin/corianderbank --addr "${addresses[0]}" status

echo "stopping"
stop_all
echo "demo done"
