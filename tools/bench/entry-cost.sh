#!/usr/bin/env bash
# Measures an entry's CPU time per request and per streamed token, at several
# sizes, on real processes. Writes samples for wasabivale-slopes --add.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
source tools/demo/processes.sh

output=$1
start_deployment bench-entry 1 1 22000 --allow-anonymous
start fake-targets "$bin/wasabivale-fake-targets" --engines 4 --first-port 22300 \
  --announce 127.0.0.1:22111 --models gourd-8b --decode-rate 100 --prefill-rate 10000000 --piece-tokens 1
wait_for "4 engines serve" fleet_serves 4

cpu_time_ns() { # of all threads of the entry
  cat /proc/"$entry_1_pid"/task/*/schedstat | awk '{sum += $1} END {printf "%d\n", sum}'
}

# measure_requests COUNT TOKENS: prints the CPU time in ns
measure_requests() {
  local before
  before=$(cpu_time_ns)
  # Runs 20 streams at once; at this rate the engines send each token separately.
  curl -sS -Z --no-progress-meter --parallel-max 20 -o /dev/null "http://127.0.0.1:22110/v1/completions?[1-$1]" \
    -d "{\"model\": \"gourd-8b\", \"prompt\": \"How long does a gourd cure?\", \"max_tokens\": $2, \"stream\": true}"
  echo $(($(cpu_time_ns) - before))
}

wait_for "the entry answers" entry_answers "127.0.0.1:22110"
measure_requests 50 4 >/dev/null # warm-up
request_samples=()
for count in 100 300 900; do request_samples+=("[$count, $(measure_requests "$count" 1)]"); done
token_samples=()
for stream_tokens in 100 300 600; do
  token_samples+=("[$((stream_tokens * 20)), $(measure_requests 20 "$stream_tokens")]")
done
join() { local IFS=,; echo "$*"; }
cat >"$output" <<JSON
{"request_cpu": {"cost_unit": "ns", "size_unit": "request", "samples": [$(join "${request_samples[@]}")]},
 "token_cpu": {"cost_unit": "ns", "size_unit": "token", "samples": [$(join "${token_samples[@]}")]}}
JSON
cat "$output"
