#!/usr/bin/env bash
# Sends seeded malformed requests, mixed with valid ones, to a real entry, then
# stops it. Prints `name value unit bound verdict`; exits 1 when a row misses its
# bound. --sanitize uses the entry in out/sanitize (./build.sh build --sanitize
# wasabivale-entry), whose exit code is then non-zero if it leaks memory.
#   tools/bench/malformed.sh [--sanitize] [--requests N] [--seed N]
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."

requests=10000 seed=1
while (($# > 0)); do
  case "$1" in
  --sanitize) export WASABIVALE_BUILD=$PWD/out/sanitize ;;
  --requests) requests=$2 && shift ;;
  --seed) seed=$2 && shift ;;
  *) echo "unknown option: $1" >&2 && exit 2 ;;
  esac
  shift
done
source tools/demo/processes.sh
export ASAN_OPTIONS=detect_leaks=1

status=0
row() { # NAME VALUE UNIT BOUND: the value must equal the bound
  local verdict=ok
  [[ "$2" == "$4" ]] || { verdict=missed && status=1; }
  echo "$1 $2 $3 $4 $verdict"
}

start_deployment bench-malformed 1 1 24000 --allow-anonymous
start fake-targets "$(program_path wasabivale-fake-targets)" --engines 2 --first-port 24300 \
  --announce 127.0.0.1:24111 --models gourd-8b --decode-rate 2000
wait_for "2 engines serve" fleet_serves 2
wait_for "the entry answers" entry_answers 127.0.0.1:24110

"$(program_path wasabivale-malformed)" --to 127.0.0.1:24110 --requests "$requests" --seed "$seed" \
  >"$folder/malformed.txt" 2>"$folder/malformed.log" || true
count() { awk -v name="$1" '$1 == name {print $2}' "$folder/malformed.txt"; }

for name in answered closed silent; do echo "malformed.$name $(count $name) requests - -"; done
row malformed.sent "$(count malformed)" requests "$requests"
row malformed.not_connected "$(count not_connected)" connections 0
row malformed.good "$(count good)" requests "$((requests / 10))"
row malformed.good_unanswered "$(count good_unanswered)" requests 0

alive=0
kill -0 "$entry_1_pid" 2>/dev/null && alive=1
row malformed.entry_alive "$alive" processes 1
code=0
kill "$entry_1_pid" 2>/dev/null || true
wait "$entry_1_pid" || code=$?
row malformed.entry_exit "$code" code 0
row malformed.sanitizer_findings "$(grep -c -E 'ERROR: |runtime error' "$folder/entry-1.log" || true)" findings 0
exit "$status"
