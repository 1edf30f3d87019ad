#!/usr/bin/env bash
# Kills the control leader 20 times (SIGKILL, then a restart with its data
# folder) and pauses it 20 times (SIGSTOP for 2 to 4 s) during role shifts and
# configuration changes, with engines that check fences and engines that ignore
# them. Checks the engines' logs and the answers to operators, and prints
# `name value unit bound verdict` for each figure. Exits 1 when a row misses its
# bound. ROUNDS sets the number of kills and of pauses.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
source tools/demo/processes.sh

rounds=${ROUNDS:-20}
port=23000
plan_limit_s=60
recent_plan_limit=100 # Control keeps only the last 128 ended plans.
bound_ms=8000 # A change must be in force everywhere within 8 s.

now_ms() { date +%s%3N; }

# --- Role shifts: one worker per engine -------------------------------------

# call_until_answered REQUEST_ID OUTPUT ARGUMENT...: resends the call while no
# leader answers. Returns 1 when the call is refused.
call_until_answered() {
  local id=$1 output=$2 code
  shift 2
  while true; do
    code=0
    operator_cli --request-id "$id" "$@" >"$output" || code=$?
    [[ "$code" -eq 3 ]] || return "$code"
    echo "$id" >>"$folder/resent"
  done
}

# run_role_shift KIND ENGINE NUMBER: proposes and confirms a role shift and follows it
# to its end. It is refused when another plan is confirmed between the two calls.
run_role_shift() {
  local kind=$1 id="$1-$2-$3" roles=(decode mixed prefill mixed)
  local role=${roles[$(($3 % 4))]} proposal="$folder/calls/$1-$2-$3" plan
  local intent_call=(intent role "$kind-engine-$2" --role "$role")
  call_until_answered "$id" "$proposal" "${intent_call[@]}" || return 1
  echo "$id ${intent_call[*]}" >>"$folder/told.$kind"
  plan=$(json_field plan <"$proposal")
  local confirm_call=(confirm "$plan" --revision "$(json_field revision <"$proposal")"
    --digest "$(json_field digest <"$proposal")")
  call_until_answered "$id-confirm" "$proposal-confirm" "${confirm_call[@]}" || return 1
  echo "$id-confirm ${confirm_call[*]}" >>"$folder/told.$kind"
  follow_plan "$plan" >>"$folder/plans.$kind"
}

# follow_plan PLAN: prints the plan with `done`, or with `lost` when it is unknown, has
# another final state or does not end within plan_limit_s
follow_plan() {
  local code shown deadline=$((SECONDS + plan_limit_s))
  while ((SECONDS < deadline)); do
    code=0
    shown=$(operator_cli plan show "$1") || code=$?
    [[ "$code" -ne 1 ]] || break
    case "$(json_field state <<<"$shown")" in
    done) echo "$1 done" && return ;;
    failed | cancelled | proposed) break ;;
    esac
    sleep 0.2
  done
  echo "$1 lost"
}

# run_worker KIND ENGINE: requests role shifts until the run ends
run_worker() {
  local number=0
  until [[ -e "$folder/enough" ]]; do
    run_role_shift "$1" "$2" "$number" || echo "$1-$2-$number" >>"$folder/refused"
    number=$((number + 1))
    sleep 0.5
  done
}

# --- Configuration changes, which also measure the time without a leader ----

revision=0

# set_configuration MEMBER...: resends one call to these members in turn until it
# is accepted
set_configuration() {
  local request="configuration-$((revision + 1))" member status
  local response="$folder/calls/$request"
  local body="{\"request_id\": \"$request\", \"kind\": \"config\", \"expected_revision\": $revision,
    \"body\": {\"callers\": [{\"id\": \"caller-$((revision + 1))\", \"key_hashes\": []}],
    \"models\": [{\"id\": \"gourd-8b\"}], \"services\": []}}"
  while true; do
    for member in "$@"; do
      status=$(curl -s -m 1 -o "$response" -w '%{http_code}' -H "Authorization: Bearer $WASABIVALE_TOKEN" \
        "127.0.0.1:$((port + 10 * member + 1))/operator/v1/call" -d "$body" || true)
      [[ "$status" != 200 ]] || break 2
      [[ "$status" != 409 && "$status" != 422 ]] || fail "$request: $(cat "$response")"
    done
    sleep 0.02
  done
  echo "$body" | tr -d '\n' >"$response.body"
  revision=$((revision + 1))
}

other_members() { seq 3 | grep -v "$1"; }

# wait_for_leader: sets leader_number
wait_for_leader() {
  local name deadline=$((SECONDS + 60))
  until name=$(current_leader) && [[ -n "$name" ]]; do
    ((SECONDS < deadline)) || fail "no leader within 60 s"
    sleep 0.1
  done
  leader_number=${name#control-}
}

# sleep_between_rounds ROUND: 2 to 4 s, so that leaders are lost at every stage of an order
sleep_between_rounds() { sleep "$((2 + $1 * 7 % 20 / 10)).$(($1 * 7 % 10))"; }

# signal_leader SIGNAL: records the time from the signal to the next accepted change
signal_leader() {
  local pid start_ms
  wait_for_leader
  pid=control_${leader_number}_pid
  start_ms=$(now_ms)
  kill "-$1" "${!pid}"
  [[ "$1" == STOP ]] || wait "${!pid}" 2>/dev/null || true
  set_configuration $(other_members "$leader_number")
  echo $(($(now_ms) - start_ms)) >>"$folder/$1.ms"
}

# kill_leader ROUND
kill_leader() {
  signal_leader KILL
  start_control "$leader_number"
  sleep_between_rounds "$1"
  set_configuration 1 2 3
}

# pause_leader ROUND
pause_leader() {
  local pid pause_ms=$((2000 + 100 * ($1 % 21))) start_ms remaining_ms
  start_ms=$(now_ms)
  signal_leader STOP
  remaining_ms=$((start_ms + pause_ms - $(now_ms)))
  ((remaining_ms <= 0)) || sleep "$(printf '%d.%03d' $((remaining_ms / 1000)) $((remaining_ms % 1000)))"
  pid=control_${leader_number}_pid
  kill -CONT "${!pid}"
  set_configuration 1 2 3
  sleep_between_rounds "$1"
}

# --- Checks -----------------------------------------------------------------

# count_conflicts FILE: orders that an engine accepted after a newer one, with the
# fence of another one, or while another one was running
count_conflicts() {
  grep -E '"event":"(order_accepted|order_done|target_crashed)"' "$1" | awk '
    function field(name,    found) {
      if (!match($0, "\"" name "\":(\"[^\"]*\"|[^,}]*)")) return ""
      found = substr($0, RSTART + length(name) + 3, RLENGTH - length(name) - 3)
      gsub("\"", "", found)
      return found
    }
    {
      incarnation = field("incarnation"); order = field("order"); event = field("event")
      if (event != "order_accepted") { running[incarnation] = ""; next }
      term = field("term") + 0; sequence = field("sequence") + 0
      stale = term < last_term[incarnation] ||
        (term == last_term[incarnation] && sequence < last_sequence[incarnation])
      reused = term == last_term[incarnation] && sequence == last_sequence[incarnation] &&
        order != last_order[incarnation]
      overlapping = running[incarnation] != "" && running[incarnation] != order
      if (stale || reused || overlapping) { conflicts += 1; print > "/dev/stderr" }
      if (order != last_order[incarnation]) running[incarnation] = order
      last_term[incarnation] = term; last_sequence[incarnation] = sequence; last_order[incarnation] = order
    }
    END { print conflicts + 0 }' 2>>"$folder/conflicts"
}

# count_inconsistent_resends KIND: resent calls whose answer differs from the first one
count_inconsistent_resends() {
  local id arguments differing=0
  while read -r id arguments; do
    # shellcheck disable=SC2086
    operator_cli --request-id "$id" $arguments | cmp -s - "$folder/calls/$id" ||
      differing=$((differing + 1))
  done <"$folder/told.$1"
  echo "$differing"
}

count_inconsistent_configurations() {
  local number differing=0
  for number in $(seq "$revision"); do
    curl -s -m 5 -H "Authorization: Bearer $WASABIVALE_TOKEN" \
      "127.0.0.1:$((port + 10 * leader_number + 1))/operator/v1/call" \
      -d "@$folder/calls/configuration-$number.body" |
      cmp -s - "$folder/calls/configuration-$number" || differing=$((differing + 1))
  done
  echo "$differing"
}

# count_lost_configurations: accepted revisions missing from the history, plus one if the
# configuration in force is not the last accepted one
count_lost_configurations() {
  local stored newest_in_force
  stored=$(operator_cli config history | grep -o '"revision":[0-9]*' | sort -u | wc -l)
  newest_in_force=$(operator_cli config get | grep -c "\"caller-$revision\"" || true)
  echo $((revision - stored + 1 - newest_in_force))
}

# count_lost_plans: confirmed plans that did not complete, and recent ones missing from
# the list
count_lost_plans() {
  local lost newest number
  lost=$(cat "$folder"/plans.* | grep -c ' lost$' || true)
  operator_cli plan list | grep -o '"plan":"plan-[0-9]*"' >"$folder/listed"
  newest=$(grep -o '[0-9]*' "$folder/listed" | sort -n | tail -n 1)
  for number in $(cat "$folder"/plans.* | sed -n 's/^plan-\([0-9]*\) done$/\1/p'); do
    ((number <= newest - recent_plan_limit)) || grep -q "\"plan-$number\"" "$folder/listed" ||
      lost=$((lost + 1))
  done
  echo "$lost"
}

missed=0

row() { # NAME VALUE UNIT BOUND
  local verdict=pass
  if [[ "$4" != - ]] && (($2 > $4)); then
    verdict=MISS
    missed=1
  fi
  printf '%-38s %8s %-6s %6s %s\n' "$1" "$2" "$3" "$4" "$verdict"
}

median() { sort -n "$1" | awk '{all[NR] = $1} END {print all[int((NR + 1) / 2)]}'; }
worst() { sort -n "$1" | tail -n 1; }

# --- The run ----------------------------------------------------------------

start_deployment leaders 3 2 "$port" --allow-anonymous
mkdir -p "$folder/calls"
touch "$folder/resent" "$folder/refused"
for kind in checked unchecked; do
  checks=$([[ "$kind" == checked ]] && echo true || echo false)
  first=$([[ "$kind" == checked ]] && echo 23300 || echo 23350)
  start "targets-$kind" "$bin/wasabivale-fake-targets" --engines 4 --id-prefix "$kind-" \
    --checks-fence "$checks" --first-port "$first" --role-change-ms 700 \
    --announce 127.0.0.1:23111 --announce 127.0.0.1:23121 --judge-log "$folder/judge.$kind.jsonl"
done
wait_for "8 engines serve" fleet_serves 8
set_configuration 1 2 3

workers=()
for kind in checked unchecked; do
  for engine in 1 2 3 4; do
    run_worker "$kind" "$engine" &
    workers+=("$!")
  done
done
for round in $(seq "$rounds"); do kill_leader "$round"; done
for round in $(seq "$rounds"); do pause_leader "$round"; done
touch "$folder/enough"
for worker in "${workers[@]}"; do wait "$worker" || fail "an order worker ended with an error"; done
wait_for_leader

row leader_kill_to_next_change_median "$(median "$folder/KILL.ms")" ms "$bound_ms"
row leader_kill_to_next_change_worst "$(worst "$folder/KILL.ms")" ms "$bound_ms"
row leader_pause_to_next_change_median "$(median "$folder/STOP.ms")" ms "$bound_ms"
row leader_pause_to_next_change_worst "$(worst "$folder/STOP.ms")" ms "$bound_ms"
row orders_taken "$(cat "$folder"/judge.*.jsonl | grep -c '"event":"order_accepted"')" count -
row stale_orders_refused "$(cat "$folder"/judge.*.jsonl | grep -c '"stale":true' || true)" count -
row conflicting_orders_checked "$(count_conflicts "$folder/judge.checked.jsonl")" count 0
row conflicting_orders_unchecked "$(count_conflicts "$folder/judge.unchecked.jsonl")" count 0
row plans_followed_to_their_end "$(cat "$folder"/plans.* | grep -c ' done$')" count -
row shifts_refused "$(wc -l <"$folder/refused")" count -
row plans_lost "$(count_lost_plans)" count 0
row configurations_accepted "$revision" count -
row configurations_lost "$(count_lost_configurations)" count 0
row calls_without_an_answer_resent "$(wc -l <"$folder/resent")" count -
row resends_answered_differently \
  "$(($(count_inconsistent_resends checked) + $(count_inconsistent_resends unchecked) +
    $(count_inconsistent_configurations)))" count 0
exit "$missed"
