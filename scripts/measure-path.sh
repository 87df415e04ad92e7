#!/usr/bin/env bash
# Measures the request path: calls made directly to a backend server, and the
# same calls through one entry instance, as separate processes on loopback. Also
# measures the entry instance's memory when idle and after the load, and its
# processor time per request. Requires bin/ from "make build" and bin/capacity.
set -euo pipefail
cd "$(dirname "$0")/.."

logs=$(mktemp -d)
pids=()
finish() {
  local i
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do kill -TERM "${pids[i]}" 2>/dev/null || true; done
  wait || true
  rm -rf "$logs"
}
trap finish EXIT

start() {
  local name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
  pids+=($!)
}

backends=${BACKENDS:-1}
mapfile -t ports < <(bin/standin ports $((3 + backends)))
platform=127.0.0.1:${ports[0]}
entry=127.0.0.1:${ports[1]}
start platform bin/standin platform --listen "$platform"
bin/standin wait "$platform"
for ((i = 0; i < backends; i++)); do
  start "backend-$i" bin/standin backend --listen "127.0.0.1:${ports[$((3 + i))]}" --id "backend-$i" --zone zone-1 --platform "$platform"
done
cat >"$logs/entry.json" <<SETTINGS
{
  "instance": "entry-0", "availability_zone": "zone-1", "listen": "$entry", "peer_listen": "127.0.0.1:${ports[2]}",
  "platform": "$platform", "peers": [], "log_level": "${LOG_LEVEL:-info}",
  "limits": {"max_backend_connections": 8}
}
SETTINGS
start entry bin/corianderbank serve --settings "$logs/entry.json"
entry_pid=${pids[-1]}
bin/standin wait "$entry"
cat >"$logs/configuration.json" <<'CONFIG'
{"client_accounts": [{"name": "acme"}], "rules": [{"name": "all", "when": {}, "then": {}}]}
CONFIG
bin/corianderbank config apply --addr "$entry" --expect 0 "$logs/configuration.json" >/dev/null
for ((i = 0; i < 100; i++)); do
  bin/standin wait "$entry" >/dev/null
  if [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$entry/readyz")" = 200 ]; then break; fi
  sleep 0.2
done

show_use() {
  curl -s "http://$entry/metrics" | awk -v when="$1" '
    $1 == "process_resident_memory_bytes" {rss = $2 / 1048576}
    $1 == "process_cpu_seconds_total" {cpu = $2}
    $1 == "go_goroutines" {g = $2}
    END {printf "%s: resident %.1f MB, processor %.2f s, goroutines %d\n", when, rss, cpu, g}'
}

sleep "${SETTLE:-5}"
show_use "entry instance idle"
sleep 10
show_use "entry instance idle, 10 s later"
bin/capacity path --entry "$entry" --backend "127.0.0.1:${ports[3]}" "$@"
show_use "entry instance after the load"
kill -0 "$entry_pid"
