#!/usr/bin/env bash
# Runs the whole system on loopback, step by step. Ends with "demo ok".
#
# Each check was verified by breaking its step by hand, with these failures:
#   step 1  9 targets expected                     timed out waiting
#   step 2  config set left out                    revision 1 is not in force
#   step 3  the key sent along                     without a key: 200
#   step 4  another prompt at the second entry     two texts for one prompt
#           90 tokens where 100 are expected       stream drain 1 is incomplete
#   step 5  another or no Idempotency-Key          the booking did not run once
#   step 6  confirm left out                       engine-1 is serving
#           engine-1 returned before the count     a run started on the drained engine
#   step 7  kill left out                          the old leader still leads
#   step 8  another request id in the resend       the resend was refused
#   step 9  confirm left out                       timed out waiting: all serve again
#   step 10 SIGKILL instead of SIGTERM             a stream of last broke
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
source tools/demo/processes.sh

entry_1=127.0.0.1:21110
entry_2=127.0.0.1:21120
key=$(head -c 16 /dev/urandom | od -An -tx1 | tr -d ' \n')

# stream ENTRY PROMPT TOKENS: streams a completion to standard output
stream() {
  curl -sS -N -m 30 "$1/v1/completions" "${auth_options[@]}" \
    -d "{\"model\": \"gourd-8b\", \"prompt\": \"$2\", \"max_tokens\": $3, \"stream\": true}"
}

# response_text FILE: concatenated text of the streamed answer
response_text() { grep -o '"text":"[^"]*"' "$1" | sed 's/^"text":"//; s/"$//' | tr -d '\n'; }

# is_complete FILE TOKENS: four bytes per token, the end marker, then a completed outcome
is_complete() {
  local text
  text=$(response_text "$1")
  [[ ${#text} -eq $((4 * $2)) ]] && grep -q '^data: \[DONE\]' "$1" &&
    grep -A 1 '^event: outcome' "$1" | grep -q '"outcome": *"completed"'
}

# start_streams NAME COUNT TOKENS: alternates between the entries; writes NAME.1 to NAME.COUNT
start_streams() {
  local i entry
  stream_pids=()
  for i in $(seq "$2"); do
    entry=entry_$((i % 2 + 1))
    stream "${!entry}" "$1 $i: how long does a gourd cure?" "$3" >"$folder/$1.$i" 2>&1 &
    stream_pids+=("$!")
  done
}

# await_streams NAME COUNT TOKENS: waits for the streams and requires each to be complete
await_streams() {
  local i pid
  for pid in "${stream_pids[@]}"; do wait "$pid" || fail "a stream of $1 broke"; done
  for i in $(seq "$2"); do
    is_complete "$folder/$1.$i" "$3" || fail "stream $1 $i is incomplete: $(tail -c 300 "$folder/$1.$i")"
  done
}

# propose_plan REQUEST_ID ARGUMENT...: creates a plan without confirming it
propose_plan() {
  proposal=$(operator_cli --request-id "$1" intent "${@:2}") || fail "no plan for: ${*:2}"
  plan=$(json_field plan <<<"$proposal")
  revision=$(json_field revision <<<"$proposal")
  digest=$(json_field digest <<<"$proposal")
}

confirm_plan() { operator_cli confirm "$plan" --revision "$revision" --digest "$digest" "$@" >/dev/null; }

start_deployment demo 3 2 21000
start fake-targets "$bin/wasabivale-fake-targets" --engines 6 --services 2 --first-port 21300 \
  --announce 127.0.0.1:21111 --announce 127.0.0.1:21121 --models gourd-8b \
  --decode-rate 50 --judge-log "$folder/judge.jsonl"
wait_for "6 engines and 2 services serve" fleet_serves 8
step "6 engines and 2 services announced themselves and are registered by control"

cat >"$folder/configuration.json" <<JSON
{"callers": [{"id": "yard", "key_hashes": ["$(printf %s "$key" | b2sum -l 256 | cut -d ' ' -f 1)"]}],
 "models": [{"id": "gourd-8b"}],
 "services": [{"name": "book"}, {"name": "stock"}]}
JSON
operator_cli config set "$folder/configuration.json" --revision 0 >/dev/null || fail "config set"
operator_cli config wait --revision 1 --timeout 20 || fail "revision 1 is not in force"
[[ $(operator_cli config get | json_field in_force) -eq 1 ]] || fail "revision 1 is not in force"
step "a configuration is accepted and in force"

for entry in "$entry_1" "$entry_2"; do
  status=$(curl -sS -o "$folder/refused" -w '%{http_code}' "$entry/v1/completions" \
    -d '{"model": "gourd-8b", "prompt": "no key", "max_tokens": 1}')
  [[ "$status" == 401 ]] || fail "without a key: $status"
  grep -q '"number": *201' "$folder/refused" || fail "without a key: $(cat "$folder/refused")"
done
[[ $(count_judge_events run_started) -eq 0 ]] || fail "a refused request was run"
step "requests without a key are refused and not run"

auth_options=(-H "Authorization: Bearer $key")
for entry in 1 2; do
  address=entry_$entry
  stream "${!address}" "How long does a gourd cure?" 40 >"$folder/same.$entry"
  is_complete "$folder/same.$entry" 40 || fail "incomplete stream: $(cat "$folder/same.$entry")"
done
[[ $(response_text "$folder/same.1") == "$(response_text "$folder/same.2")" ]] || fail "two texts for one prompt"
step "a stream comes back whole, and through the other entry the same"

for entry in "$entry_1" "$entry_2"; do
  curl -sS -f -m 10 "$entry/v1/services/book/slots" "${auth_options[@]}" -H 'Idempotency-Key: kiln-7' \
    -H 'Wasabivale-Not-Repeatable: true' -d '{"id": "kiln-7"}' >>"$folder/booked" ||
    fail "the booking failed"
  echo >>"$folder/booked"
done
[[ $(grep -c '"event":"call_executed".*"id":"kiln-7"' "$folder/judge.jsonl") -eq 1 ]] ||
  fail "the booking did not run once"
[[ $(sort -u "$folder/booked" | wc -l) -eq 1 ]] || fail "the answers differ: $(cat "$folder/booked")"
step "a booking sent to both entries runs once, and both get its answer"

start_streams drain 18 100
sleep 0.5
[[ $(count_judge_events run_started engine-1) -gt 0 ]] || fail "engine-1 runs no request that a drain could cut"
propose_plan demo-drain drain engine-1
[[ $(target_state engine-1) == serving ]] || fail "engine-1 changed before the plan was confirmed"
confirm_plan --wait --timeout 20 || fail "the drain did not end"
[[ $(target_state engine-1) == draining ]] || fail "engine-1 is $(target_state engine-1)"
runs_before=$(count_judge_events run_started engine-1)
await_streams drain 18 100
start_streams after 18 10
await_streams after 18 10
[[ $(count_judge_events run_started engine-1) -eq "$runs_before" ]] || fail "a run started on the drained engine"
[[ $(count_judge_events run_cut) -eq 0 ]] || fail "the drain cut a run"
step "an engine drains by intent, plan and confirmation; all streams are whole"

start_streams kill 18 150
sleep 0.5
propose_plan demo-second drain engine-2
first_answer=$proposal
confirm_plan || fail "the second drain was not confirmed"
[[ $(operator_cli plan show "$plan" | json_field state) == running ]] || fail "the plan ended before the kill"
old_leader=$(current_leader)
old_pid=control_${old_leader#control-}_pid
kill -KILL "${!old_pid}"
wait "${!old_pid}" 2>/dev/null || true
stream "$entry_1" "A stream while there is no leader" 10 >"$folder/leaderless"
is_complete "$folder/leaderless" 10 || fail "without a leader: $(cat "$folder/leaderless")"
operator_cli plan show "$plan" --wait --timeout 20 >/dev/null || fail "the plan did not continue"
new_leader=$(current_leader)
[[ "$new_leader" != "$old_leader" ]] || fail "$old_leader still leads"
await_streams kill 18 150
step "$old_leader, the leader, is killed: streams and the plan go on under $new_leader"

plans=$(operator_cli plan list | grep -o '"plan":"[^"]*"' | sort -u | wc -l)
resent_answer=$(operator_cli --request-id demo-second intent drain engine-2) || fail "the resend was refused"
[[ "$resent_answer" == "$first_answer" ]] || fail "the resend got a different answer: $resent_answer"
[[ $(operator_cli plan list | grep -o '"plan":"[^"]*"' | sort -u | wc -l) -eq "$plans" ]] ||
  fail "the resend created a plan"
step "a resent call gets its first answer from the new leader and does nothing"

propose_plan demo-return return engine-1 engine-2
confirm_plan --wait --timeout 20 || fail "the return did not end"
wait_for "all serve again" fleet_serves 8
for attempt in $(seq 10); do
  start_streams "back-$attempt" 12 10
  await_streams "back-$attempt" 12 10
  [[ $(count_judge_events run_started engine-1) -eq "$runs_before" ]] || break
done
[[ $(count_judge_events run_started engine-1) -gt "$runs_before" ]] || fail "engine-1 gets no work after its return"
step "the drained engines return and get work"

start_streams last 6 50
sleep 0.3
for entry in 1 2; do
  pid=entry_${entry}_pid
  kill -TERM "${!pid}"
done
await_streams last 6 50
for entry in 1 2; do
  pid=entry_${entry}_pid
  wait "${!pid}" || fail "entry-$entry ended with $?"
done
step "entries asked to stop finish their streams and exit with 0"

echo "demo ok"
