#!/usr/bin/env bash
# Measures what an entry costs beside a bare byte relay in the same run: processor
# time for each streamed token, and memory for each connection and each stream.
# Prints `name value unit bound verdict`; exits 1 when a row misses its bound.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
source tools/demo/processes.sh

streams=${STREAMS:-20}
tokens=${TOKENS:-300}
rounds=3
engines=24
port=25000
entry=127.0.0.1:$((port + 110))
relay=127.0.0.1:$((port + 290))
engine=127.0.0.1:$((port + 300))
prompt="How long does a gourd cure?"

start_deployment bench-relay 1 3 "$port" --allow-anonymous
start fake-targets "$(program wasabivale-fake-targets)" --engines "$engines" --first-port $((port + 300)) \
  --announce 127.0.0.1:$((port + 111)) --models gourd-8b --decode-rate 100 --batch-slowdown 0 \
  --prefill-rate 10000000 --piece-tokens 1 --max-running 1000 --kv-blocks 1000000
start relay "$(program wasabivale-relay-bench)" --listen "$relay" --to "$engine"
relay_pid=$last_pid
wait_for "$engines engines serve" fleet_serves "$engines"
for i in 1 2 3; do
  wait_for "entry-$i answers" answers "127.0.0.1:$((port + 100 + 10 * i))"
done

processor_ns() { # PID
  cat /proc/"$1"/task/*/schedstat | awk '{sum += $1} END {printf "%d\n", sum}'
}
memory_kb() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }

# Both stream the same number of tokens of the same engine, all streams at once. At
# 100 tokens/s and stream the engine writes each token as a piece of its own.
ask_entry() { # COUNT
  curl -sS --no-progress-meter -Z --parallel-immediate --parallel-max "$1" "http://$entry/v1/completions?[1-$1]" \
    -d "{\"model\": \"gourd-8b\", \"prompt\": \"$prompt\", \"max_tokens\": $tokens, \"stream\": true}"
}
ask_relay() { # COUNT
  curl -sS --no-progress-meter -Z --parallel-immediate --parallel-max "$1" "http://$relay/engine/v1/run?[1-$1]" \
    -d "{\"request\": \"relay\", \"model\": \"gourd-8b\", \"prompt\": \"$prompt\",
         \"max_tokens\": $tokens, \"stream_id\": \"relay\"}"
}

# measure PID COMMAND: sets ns_each to the nanoseconds for each piece, and pieces
measure() {
  local before
  before=$(processor_ns "$1")
  pieces=$("$2" "$streams" | grep -o '"text"' | wc -l)
  ((pieces > 0)) || fail "$2 got nothing"
  ns_each=$((($(processor_ns "$1") - before) / pieces))
}

status=0
row() { # NAME VALUE UNIT BOUND: the value is to be at most the bound; `-` for none
  local verdict=-
  if [[ "$4" != - ]]; then
    verdict=ok
    awk -v value="$2" -v bound="$4" 'BEGIN {exit value > bound}' || { verdict=missed && status=1; }
  fi
  echo "$1 $2 $3 $4 $verdict"
}
ratio() { awk -v a="$1" -v b="$2" 'BEGIN {printf "%.2f\n", a / b}'; }

ask_entry 2 >/dev/null # warms up
ask_relay 2 >/dev/null
entry_sum=0 relay_sum=0 entry_pieces=0 relay_pieces=0
for round in $(seq "$rounds"); do
  measure "$relay_pid" ask_relay
  relay_ns=$ns_each relay_pieces=$((relay_pieces + pieces))
  measure "$entry_1_pid" ask_entry
  row "relay.round_$round" "$(ratio "$ns_each" "$relay_ns")" ratio -
  entry_pieces=$((entry_pieces + pieces))
  entry_sum=$((entry_sum + ns_each)) relay_sum=$((relay_sum + relay_ns))
done
all=$((rounds * streams * tokens))
row relay.entry_tokens_each_piece "$(ratio "$all" "$entry_pieces")" tokens -
row relay.bare_tokens_each_piece "$(ratio "$all" "$relay_pieces")" tokens -
row relay.entry_token $((entry_sum / rounds)) ns -
row relay.bare_token $((relay_sum / rounds)) ns -
row relay.token_ratio "$(ratio "$entry_sum" "$relay_sum")" ratio 2

# hold ENTRY NAME COUNT [BODY]: opens that many more connections, which stay open
hold() {
  local at=$1 name=$2 count=$3
  shift 3
  start "$name" "$(program wasabivale-relay-bench)" --to "$at" --hold "$count" "$@"
  until grep -q "^open $count" "$folder/$name.log"; do
    kill -0 "$last_pid" 2>/dev/null || return 1
    sleep 0.1
  done
  sleep 0.5
}

not_measured() {
  echo "memory.each_$1 - KB - not_measured: $(tail -n 1 "$folder/$1"-[24]00.log | tr '\n' ' ')"
  status=1
}

# memory NAME ENTRY PID [BODY]: at three sizes, each on an entry that had no load before
memory() {
  local name=$1 at=$2 pid=$3 base
  shift 3
  base=$(memory_kb "$pid")
  row "memory.${name}_0" "$base" KB -
  hold "$at" "$name-200" 200 "$@" || { not_measured "$name"; return 0; }
  row "memory.${name}_200" "$(memory_kb "$pid")" KB -
  hold "$at" "$name-400" 200 "$@" || { not_measured "$name"; return 0; }
  row "memory.${name}_400" "$(memory_kb "$pid")" KB -
  row "memory.each_$name" "$(ratio $(($(memory_kb "$pid") - base)) 400)" KB -
}

memory idle_connection "127.0.0.1:$((port + 120))" "$entry_2_pid"
memory active_stream "127.0.0.1:$((port + 130))" "$entry_3_pid" --body \
  "{\"model\": \"gourd-8b\", \"prompt\": \"$prompt\", \"max_tokens\": 5000, \"stream\": true}"
exit "$status"
