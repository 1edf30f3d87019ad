#!/usr/bin/env bash
# Runs the whole system on loopback, step by step. Ends with "demo ok".
#
# Each step fails when the thing is not done. Provoked by hand, one at a time:
#   step 1  9 targets expected                     timed out waiting
#   step 2  config set left out                    revision 1 is not in force
#   step 3  the key sent along                     without a key: 200
#   step 4  another prompt at the second entry     two texts for one prompt
#           90 tokens where 100 are expected       stream drain 1 is not whole
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

# stream ENTRY PROMPT TOKENS
stream() {
  curl -sS -N -m 30 "$1/v1/completions" "${auth[@]}" \
    -d "{\"model\": \"gourd-8b\", \"prompt\": \"$2\", \"max_tokens\": $3, \"stream\": true}"
}

# text_of FILE: the answer's text
text_of() { grep -o '"text":"[^"]*"' "$1" | sed 's/^"text":"//; s/"$//' | tr -d '\n'; }

# is_whole FILE TOKENS: four bytes a token, the end marker, and the outcome after it
is_whole() {
  local text
  text=$(text_of "$1")
  [[ ${#text} -eq $((4 * $2)) ]] && grep -q '^data: \[DONE\]' "$1" &&
    grep -A 1 '^event: outcome' "$1" | grep -q '"outcome": *"completed"'
}

# start_streams NAME COUNT TOKENS: in turn to both entries, into NAME.1 to NAME.COUNT
start_streams() {
  local i entry
  stream_pids=()
  for i in $(seq "$2"); do
    entry=entry_$((i % 2 + 1))
    stream "${!entry}" "$1 $i: how long does a gourd cure?" "$3" >"$folder/$1.$i" 2>&1 &
    stream_pids+=("$!")
  done
}

# end_streams NAME COUNT TOKENS: waits for them and requires each to be whole
end_streams() {
  local i pid
  for pid in "${stream_pids[@]}"; do wait "$pid" || fail "a stream of $1 broke"; done
  for i in $(seq "$2"); do
    is_whole "$folder/$1.$i" "$3" || fail "stream $1 $i is not whole: $(tail -c 300 "$folder/$1.$i")"
  done
}

# propose REQUEST_ID ARGUMENT...: makes a plan without confirming it
propose() {
  proposal=$(operate --request-id "$1" intent "${@:2}") || fail "no plan for: ${*:2}"
  plan=$(field plan <<<"$proposal")
  revision=$(field revision <<<"$proposal")
  digest=$(field digest <<<"$proposal")
}

confirm() { operate confirm "$plan" --revision "$revision" --digest "$digest" "$@" >/dev/null; }

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
operate config set "$folder/configuration.json" --revision 0 >/dev/null || fail "config set"
operate config wait --revision 1 --timeout 20 || fail "revision 1 is not in force"
[[ $(operate config get | field in_force) -eq 1 ]] || fail "revision 1 is not in force"
step "a configuration is accepted and in force"

for entry in "$entry_1" "$entry_2"; do
  status=$(curl -sS -o "$folder/refused" -w '%{http_code}' "$entry/v1/completions" \
    -d '{"model": "gourd-8b", "prompt": "no key", "max_tokens": 1}')
  [[ "$status" == 401 ]] || fail "without a key: $status"
  grep -q '"number": *201' "$folder/refused" || fail "without a key: $(cat "$folder/refused")"
done
[[ $(judged run_started) -eq 0 ]] || fail "a refused request was run"
step "requests without a key are refused and not run"

auth=(-H "Authorization: Bearer $key")
for entry in 1 2; do
  address=entry_$entry
  stream "${!address}" "How long does a gourd cure?" 40 >"$folder/same.$entry"
  is_whole "$folder/same.$entry" 40 || fail "not whole: $(cat "$folder/same.$entry")"
done
[[ $(text_of "$folder/same.1") == "$(text_of "$folder/same.2")" ]] || fail "two texts for one prompt"
step "a stream comes back whole, and through the other entry the same"

for entry in "$entry_1" "$entry_2"; do
  curl -sS -f -m 10 "$entry/v1/services/book/slots" "${auth[@]}" -H 'Idempotency-Key: kiln-7' \
    -H 'Wasabivale-Not-Repeatable: true' -d '{"id": "kiln-7"}' >>"$folder/booked" ||
    fail "the booking failed"
  echo >>"$folder/booked"
done
[[ $(grep -c '"event":"call_executed".*"id":"kiln-7"' "$folder/judge.jsonl") -eq 1 ]] ||
  fail "the booking did not run once"
[[ $(sort -u "$folder/booked" | wc -l) -eq 1 ]] || fail "two answers: $(cat "$folder/booked")"
step "a booking sent to both entries runs once, and both get its answer"

start_streams drain 18 100
sleep 0.5
[[ $(judged run_started engine-1) -gt 0 ]] || fail "engine-1 runs nothing that a drain could cut"
propose demo-drain drain engine-1
[[ $(target_state engine-1) == serving ]] || fail "engine-1 changed before the plan was confirmed"
confirm --wait --timeout 20 || fail "the drain did not end"
[[ $(target_state engine-1) == draining ]] || fail "engine-1 is $(target_state engine-1)"
runs_before=$(judged run_started engine-1)
end_streams drain 18 100
start_streams after 18 10
end_streams after 18 10
[[ $(judged run_started engine-1) -eq "$runs_before" ]] || fail "a run started on the drained engine"
[[ $(judged run_cut) -eq 0 ]] || fail "the drain cut a run"
step "an engine drains by intent, plan and confirmation; all streams are whole"

start_streams kill 18 150
sleep 0.5
propose demo-second drain engine-2
first_answer=$proposal
confirm || fail "the second drain was not confirmed"
[[ $(operate plan show "$plan" | field state) == running ]] || fail "the plan ended before the kill"
old_leader=$(leader)
old_pid=control_${old_leader#control-}_pid
kill -KILL "${!old_pid}"
wait "${!old_pid}" 2>/dev/null || true
stream "$entry_1" "A stream while there is no leader" 10 >"$folder/leaderless"
is_whole "$folder/leaderless" 10 || fail "without a leader: $(cat "$folder/leaderless")"
operate plan show "$plan" --wait --timeout 20 >/dev/null || fail "the plan did not go on"
new_leader=$(leader)
[[ "$new_leader" != "$old_leader" ]] || fail "$old_leader still leads"
end_streams kill 18 150
step "$old_leader, the leader, is killed: streams and the plan go on under $new_leader"

plans=$(operate plan list | grep -o '"plan":"[^"]*"' | sort -u | wc -l)
again=$(operate --request-id demo-second intent drain engine-2) || fail "the resend was refused"
[[ "$again" == "$first_answer" ]] || fail "another answer: $again"
[[ $(operate plan list | grep -o '"plan":"[^"]*"' | sort -u | wc -l) -eq "$plans" ]] ||
  fail "the resend made a plan"
step "a resent call gets its first answer from the new leader and does nothing"

propose demo-return return engine-1 engine-2
confirm --wait --timeout 20 || fail "the return did not end"
wait_for "all serve again" fleet_serves 8
for attempt in $(seq 10); do
  start_streams "back-$attempt" 12 10
  end_streams "back-$attempt" 12 10
  [[ $(judged run_started engine-1) -eq "$runs_before" ]] || break
done
[[ $(judged run_started engine-1) -gt "$runs_before" ]] || fail "engine-1 gets no work after its return"
step "the drained engines return and get work"

start_streams last 6 50
sleep 0.3
for entry in 1 2; do
  pid=entry_${entry}_pid
  kill -TERM "${!pid}"
done
end_streams last 6 50
for entry in 1 2; do
  pid=entry_${entry}_pid
  wait "${!pid}" || fail "entry-$entry ended with $?"
done
step "entries asked to stop finish their streams and exit with 0"

echo "demo ok"
