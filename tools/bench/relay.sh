#!/usr/bin/env bash
# Compares an entry with a plain byte relay in the same run: CPU time per streamed
# token. Also measures the entry's memory per connection and per stream.
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
start fake-targets "$(program_path wasabivale-fake-targets)" --engines "$engines" --first-port $((port + 300)) \
  --announce 127.0.0.1:$((port + 111)) --models gourd-8b --decode-rate 100 --batch-slowdown 0 \
  --prefill-rate 10000000 --piece-tokens 1 --max-running 1000 --kv-blocks 1000000
start relay "$(program_path wasabivale-relay-bench)" --listen "$relay" --to "$engine"
relay_pid=$last_pid
wait_for "$engines engines serve" fleet_serves "$engines"
for i in 1 2 3; do
  wait_for "entry-$i answers" entry_answers "127.0.0.1:$((port + 100 + 10 * i))"
done

cpu_time_ns() { # PID
  cat /proc/"$1"/task/*/schedstat | awk '{sum += $1} END {printf "%d\n", sum}'
}
memory_kb() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }

# Both functions stream the same number of tokens from the engines, all streams at once.
# At 100 tokens/s per stream an engine writes each token as a separate piece.
stream_from_entry() { # COUNT
  curl -sS --no-progress-meter -Z --parallel-immediate --parallel-max "$1" "http://$entry/v1/completions?[1-$1]" \
    -d "{\"model\": \"gourd-8b\", \"prompt\": \"$prompt\", \"max_tokens\": $tokens, \"stream\": true}"
}
stream_from_relay() { # COUNT
  curl -sS --no-progress-meter -Z --parallel-immediate --parallel-max "$1" "http://$relay/engine/v1/run?[1-$1]" \
    -d "{\"request\": \"relay\", \"model\": \"gourd-8b\", \"prompt\": \"$prompt\",
         \"max_tokens\": $tokens, \"stream_id\": \"relay\"}"
}

# measure_piece_cost PID COMMAND: sets pieces, and piece_ns to the CPU time per piece
measure_piece_cost() {
  local before
  before=$(cpu_time_ns "$1")
  pieces=$("$2" "$streams" | grep -o '"text"' | wc -l)
  ((pieces > 0)) || fail "$2 returned no tokens"
  piece_ns=$((($(cpu_time_ns "$1") - before) / pieces))
}

status=0
row() { # NAME VALUE UNIT BOUND: the value must not exceed the bound; `-` means no bound
  local verdict=-
  if [[ "$4" != - ]]; then
    verdict=ok
    awk -v value="$2" -v bound="$4" 'BEGIN {exit value > bound}' || { verdict=missed && status=1; }
  fi
  echo "$1 $2 $3 $4 $verdict"
}
ratio() { awk -v a="$1" -v b="$2" 'BEGIN {printf "%.2f\n", a / b}'; }

stream_from_entry 2 >/dev/null # warm-up
stream_from_relay 2 >/dev/null
entry_sum=0 relay_sum=0 entry_pieces=0 relay_pieces=0
for round in $(seq "$rounds"); do
  measure_piece_cost "$relay_pid" stream_from_relay
  relay_ns=$piece_ns relay_pieces=$((relay_pieces + pieces))
  measure_piece_cost "$entry_1_pid" stream_from_entry
  row "relay.round_$round" "$(ratio "$piece_ns" "$relay_ns")" ratio -
  entry_pieces=$((entry_pieces + pieces))
  entry_sum=$((entry_sum + piece_ns)) relay_sum=$((relay_sum + relay_ns))
done
total_tokens=$((rounds * streams * tokens))
row relay.entry_tokens_each_piece "$(ratio "$total_tokens" "$entry_pieces")" tokens -
row relay.bare_tokens_each_piece "$(ratio "$total_tokens" "$relay_pieces")" tokens -
row relay.entry_token $((entry_sum / rounds)) ns -
row relay.bare_token $((relay_sum / rounds)) ns -
row relay.token_ratio "$(ratio "$entry_sum" "$relay_sum")" ratio 2

# hold_connections ADDRESS NAME COUNT [OPTION...]: opens COUNT more connections and keeps them open
hold_connections() {
  local address=$1 name=$2 count=$3
  shift 3
  start "$name" "$(program_path wasabivale-relay-bench)" --to "$address" --hold "$count" "$@"
  until grep -q "^open $count" "$folder/$name.log"; do
    kill -0 "$last_pid" 2>/dev/null || return 1
    sleep 0.1
  done
  sleep 0.5
}

report_not_measured() {
  echo "memory.each_$1 - KB - not_measured: $(tail -n 1 "$folder/$1"-[24]00.log | tr '\n' ' ')"
  status=1
}

# measure_memory NAME ADDRESS PID [OPTION...]: with 0, 200 and 400 connections, on an
# entry that had no load before
measure_memory() {
  local name=$1 address=$2 pid=$3 base
  shift 3
  base=$(memory_kb "$pid")
  row "memory.${name}_0" "$base" KB -
  hold_connections "$address" "$name-200" 200 "$@" || { report_not_measured "$name"; return 0; }
  row "memory.${name}_200" "$(memory_kb "$pid")" KB -
  hold_connections "$address" "$name-400" 200 "$@" || { report_not_measured "$name"; return 0; }
  row "memory.${name}_400" "$(memory_kb "$pid")" KB -
  row "memory.each_$name" "$(ratio $(($(memory_kb "$pid") - base)) 400)" KB -
}

measure_memory idle_connection "127.0.0.1:$((port + 120))" "$entry_2_pid"
measure_memory active_stream "127.0.0.1:$((port + 130))" "$entry_3_pid" --body \
  "{\"model\": \"gourd-8b\", \"prompt\": \"$prompt\", \"max_tokens\": 5000, \"stream\": true}"
exit "$status"
