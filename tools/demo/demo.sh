#!/usr/bin/env bash
# Runs the whole system on loopback, step by step. Ends with "demo ok".
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
source tools/demo/processes.sh

start_deployment demo 1 1 21000 --allow-anonymous
start fake-targets "$bin/wasabivale-fake-targets" --engines 2 --services 1 --first-port 21300 \
  --announce 127.0.0.1:21111 --models gourd-8b
wait_for "2 engines and 1 service serve" fleet_serves 3
step "targets announced to an entry are registered by control"

wait_for "entry-1 answers" answers 127.0.0.1:21110
answer=$(curl -sS -N -X POST 127.0.0.1:21110/v1/completions \
  -d '{"model": "gourd-8b", "prompt": "How long does a gourd cure?", "max_tokens": 8, "stream": true}')
grep -q '^data: \[DONE\]' <<<"$answer" || fail "the stream is not whole: $answer"
grep -q '"outcome": *"completed"' <<<"$answer" || fail "no outcome: $answer"
step "a caller's stream comes back whole"

echo "demo ok"
