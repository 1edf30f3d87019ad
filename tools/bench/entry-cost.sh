#!/usr/bin/env bash
# Measures an entry's processor time for each request and each streamed token,
# at several sizes, on real processes; writes samples for wasabivale-slopes --add.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
source tools/demo/processes.sh

out=$1
start_deployment bench-entry 1 1 22000 --allow-anonymous
start fake-targets "$bin/wasabivale-fake-targets" --engines 4 --first-port 22300 \
  --announce 127.0.0.1:22111 --models gourd-8b --decode-rate 100 --prefill-rate 10000000 --piece-tokens 1
wait_for "4 engines serve" fleet_serves 4

processor_ns() { # of all threads of the entry
  cat /proc/"$entry_1_pid"/task/*/schedstat | awk '{sum += $1} END {printf "%d\n", sum}'
}

# ask COUNT TOKENS: prints the nanoseconds spent
ask() {
  local before
  before=$(processor_ns)
  # Twenty streams at once; at this rate the engines send each token alone.
  curl -sS -Z --no-progress-meter --parallel-max 20 -o /dev/null "http://127.0.0.1:22110/v1/completions?[1-$1]" \
    -d "{\"model\": \"gourd-8b\", \"prompt\": \"How long does a gourd cure?\", \"max_tokens\": $2, \"stream\": true}"
  echo $(($(processor_ns) - before))
}

wait_for "the entry answers" answers "127.0.0.1:22110"
ask 50 4 >/dev/null # warms up
requests=()
for count in 100 300 900; do requests+=("[$count, $(ask "$count" 1)]"); done
tokens=()
for each in 100 300 600; do tokens+=("[$((each * 20)), $(ask 20 "$each")]"); done
join() { local IFS=,; echo "$*"; }
cat >"$out" <<JSON
{"request_cpu": {"cost_unit": "ns", "size_unit": "request", "samples": [$(join "${requests[@]}")]},
 "token_cpu": {"cost_unit": "ns", "size_unit": "token", "samples": [$(join "${tokens[@]}")]}}
JSON
cat "$out"
