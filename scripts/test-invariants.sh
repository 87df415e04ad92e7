#!/usr/bin/env bash
# Runs test/invariants twice: on all threads, and under the race detector on one
# thread with a separate process for each test. Arguments are passed to both runs.
set -euo pipefail
cd "$(dirname "$0")/.."

go test -shuffle=on -timeout 10m "$@" ./test/invariants &
threads=$!
binary=$(mktemp)
trap 'rm -f "$binary"' EXIT
go test -race -c -o "$binary" ./test/invariants
cd test/invariants
# The tests that run the most histories start first, because they determine the
# total time.
tests=$("$binary" -test.list . | awk '/^Test(PlannedStop|Leaving)/ {print 0, $0; next} {print 1, $0}' | sort -k1,1n -s | cut -d' ' -f2)
one() {
  local binary=$1 name=$2 output
  shift 2
  if ! output=$("$binary" -test.cpu 1 -test.timeout 10m -test.run "^$name\$" "$@" 2>&1); then
    printf '%s\n--- FAIL in the process of %s\n' "$output" "$name"
    return 1
  fi
}
export -f one
flags=()
for argument in "$@"; do
  flags+=("${argument/#-skip/-test.skip}")
done
status=0
xargs -P "$(nproc)" -I{} bash -c 'one "$@"' one "$binary" {} "${flags[@]}" <<<"$tests" || status=1
wait "$threads" || status=1
[ "$status" = 0 ] || exit 1
echo "ok  test/invariants under the race detector, $(wc -l <<<"$tests") processes"
