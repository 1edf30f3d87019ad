#!/usr/bin/env bash
# Kills the control leader 20 times (SIGKILL, then restarted with its data
# folder) and pauses it 20 times (SIGSTOP for 2 to 4 s) while role shifts and
# configuration changes are made, with engines that check fences and engines
# that ignore them. Judges the engines' logs and what operators were told, and
# prints `name value unit bound verdict` for each figure.
# Exits 1 when a row misses its bound. ROUNDS sets the number of each.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
source tools/demo/processes.sh

rounds=${ROUNDS:-20}
port=23000
plan_limit_s=60
plans_listed=100 # Control keeps the last 128 plans that have ended.
bound_ms=8000 # A change is in force everywhere within 8 s.

now_ms() { date +%s%3N; }

# --- Orders: one worker for each engine -------------------------------------

# call_until_told REQUEST_ID OUTPUT ARGUMENT...: resends the call while no leader
# answers. Returns 1 when it was refused.
call_until_told() {
  local id=$1 output=$2 code
  shift 2
  while true; do
    code=0
    operate --request-id "$id" "$@" >"$output" || code=$?
    [[ "$code" -eq 3 ]] || return "$code"
    echo "$id" >>"$folder/resent"
  done
}

# order_one KIND ENGINE NUMBER: one confirmed role shift, followed to its end.
# A shift is refused when another plan was confirmed between the two calls.
order_one() {
  local kind=$1 id="$1-$2-$3" roles=(decode mixed prefill mixed)
  local role=${roles[$(($3 % 4))]} made="$folder/calls/$1-$2-$3" plan
  local propose=(intent role "$kind-engine-$2" --role "$role")
  call_until_told "$id" "$made" "${propose[@]}" || return 1
  echo "$id ${propose[*]}" >>"$folder/told.$kind"
  plan=$(field plan <"$made")
  local confirm=(confirm "$plan" --revision "$(field revision <"$made")" --digest "$(field digest <"$made")")
  call_until_told "$id-confirm" "$made-confirm" "${confirm[@]}" || return 1
  echo "$id-confirm ${confirm[*]}" >>"$folder/told.$kind"
  follow "$plan" >>"$folder/plans.$kind"
}

# follow PLAN: prints it with `done`, or with `lost` when it is unknown, has
# ended otherwise or does not end
follow() {
  local code shown end=$((SECONDS + plan_limit_s))
  while ((SECONDS < end)); do
    code=0
    shown=$(operate plan show "$1") || code=$?
    [[ "$code" -ne 1 ]] || break
    case "$(field state <<<"$shown")" in
    done) echo "$1 done" && return ;;
    failed | cancelled | proposed) break ;;
    esac
    sleep 0.2
  done
  echo "$1 lost"
}

# order_all KIND ENGINE
order_all() {
  local number=0
  until [[ -e "$folder/enough" ]]; do
    order_one "$1" "$2" "$number" || echo "$1-$2-$number" >>"$folder/refused"
    number=$((number + 1))
    sleep 0.5
  done
}

# --- Configuration changes, which also measure the time without a leader ---

revision=0

# set_configuration MEMBER...: asks these members in turn, by resends of one
# call, until it is accepted
set_configuration() {
  local request="configuration-$((revision + 1))" member status
  local told="$folder/calls/$request"
  local body="{\"request_id\": \"$request\", \"kind\": \"config\", \"expected_revision\": $revision,
    \"body\": {\"callers\": [{\"id\": \"caller-$((revision + 1))\", \"key_hashes\": []}],
    \"models\": [{\"id\": \"gourd-8b\"}], \"services\": []}}"
  while true; do
    for member in "$@"; do
      status=$(curl -s -m 1 -o "$told" -w '%{http_code}' -H "Authorization: Bearer $WASABIVALE_TOKEN" \
        "127.0.0.1:$((port + 10 * member + 1))/operator/v1/call" -d "$body" || true)
      [[ "$status" != 200 ]] || break 2
      [[ "$status" != 409 && "$status" != 422 ]] || fail "$request: $(cat "$told")"
    done
    sleep 0.02
  done
  echo "$body" | tr -d '\n' >"$told.body"
  revision=$((revision + 1))
}

others() { seq 3 | grep -v "$1"; }

# wait_for_leader: sets leading to its number
wait_for_leader() {
  local name end=$((SECONDS + 60))
  until name=$(leader) && [[ -n "$name" ]]; do
    ((SECONDS < end)) || fail "no leader within 60 s"
    sleep 0.1
  done
  leading=${name#control-}
}

# settle ROUND: 2 to 4 s, so that a leader is lost at every stage of an order
settle() { sleep "$((2 + $1 * 7 % 20 / 10)).$(($1 * 7 % 10))"; }

# disturb SIGNAL: to the leader; adds the time to the next change
disturb() {
  local pid begin
  wait_for_leader
  pid=control_${leading}_pid
  begin=$(now_ms)
  kill "-$1" "${!pid}"
  [[ "$1" == STOP ]] || wait "${!pid}" 2>/dev/null || true
  set_configuration $(others "$leading")
  echo $(($(now_ms) - begin)) >>"$folder/$1.ms"
}

# kill_leader ROUND
kill_leader() {
  disturb KILL
  start_control "$leading"
  settle "$1"
  set_configuration 1 2 3
}

# pause_leader ROUND
pause_leader() {
  local pid span_ms=$((2000 + 100 * ($1 % 21))) begin left
  begin=$(now_ms)
  disturb STOP
  left=$((begin + span_ms - $(now_ms)))
  ((left <= 0)) || sleep "$(printf '%d.%03d' $((left / 1000)) $((left % 1000)))"
  pid=control_${leading}_pid
  kill -CONT "${!pid}"
  set_configuration 1 2 3
  settle "$1"
}

# --- Judges -----------------------------------------------------------------

# conflicts FILE: orders taken by an engine although it had taken a newer one,
# or while another was running
conflicts() {
  grep -E '"event":"(order_accepted|order_done|target_crashed)"' "$1" | awk '
    function field(name,    found) {
      if (!match($0, "\"" name "\":(\"[^\"]*\"|[^,}]*)")) return ""
      found = substr($0, RSTART + length(name) + 3, RLENGTH - length(name) - 3)
      gsub("\"", "", found)
      return found
    }
    {
      life = field("incarnation"); order = field("order"); event = field("event")
      if (event != "order_accepted") { running[life] = ""; next }
      term = field("term") + 0; sequence = field("sequence") + 0
      older = term < last_term[life] || (term == last_term[life] && sequence < last_sequence[life])
      twice = term == last_term[life] && sequence == last_sequence[life] && order != last_order[life]
      beside = running[life] != "" && running[life] != order
      if (older || twice || beside) { found += 1; print > "/dev/stderr" }
      if (order != last_order[life]) running[life] = order
      last_term[life] = term; last_sequence[life] = sequence; last_order[life] = order
    }
    END { print found + 0 }' 2>>"$folder/conflicts"
}

# inconsistent_resends KIND: resent calls whose answer is not the first one
inconsistent_resends() {
  local id arguments differing=0
  while read -r id arguments; do
    # shellcheck disable=SC2086
    operate --request-id "$id" $arguments | cmp -s - "$folder/calls/$id" ||
      differing=$((differing + 1))
  done <"$folder/told.$1"
  echo "$differing"
}

inconsistent_configurations() {
  local number differing=0
  for number in $(seq "$revision"); do
    curl -s -m 5 -H "Authorization: Bearer $WASABIVALE_TOKEN" \
      "127.0.0.1:$((port + 10 * leading + 1))/operator/v1/call" \
      -d "@$folder/calls/configuration-$number.body" |
      cmp -s - "$folder/calls/configuration-$number" || differing=$((differing + 1))
  done
  echo "$differing"
}

# lost_configurations: accepted revisions that the history lacks, and one if the
# document in force is not the last accepted
lost_configurations() {
  local held newest
  held=$(operate config history | grep -o '"revision":[0-9]*' | sort -u | wc -l)
  newest=$(operate config get | grep -c "\"caller-$revision\"" || true)
  echo $((revision - held + 1 - newest))
}

# lost_plans: confirmed plans that did not reach their end, and recent ones that
# the list lacks
lost_plans() {
  local lost newest number
  lost=$(cat "$folder"/plans.* | grep -c ' lost$' || true)
  operate plan list | grep -o '"plan":"plan-[0-9]*"' >"$folder/listed"
  newest=$(grep -o '[0-9]*' "$folder/listed" | sort -n | tail -n 1)
  for number in $(cat "$folder"/plans.* | sed -n 's/^plan-\([0-9]*\) done$/\1/p'); do
    ((number <= newest - plans_listed)) || grep -q "\"plan-$number\"" "$folder/listed" ||
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
    order_all "$kind" "$engine" &
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
row conflicting_orders_checked "$(conflicts "$folder/judge.checked.jsonl")" count 0
row conflicting_orders_unchecked "$(conflicts "$folder/judge.unchecked.jsonl")" count 0
row plans_followed_to_their_end "$(cat "$folder"/plans.* | grep -c ' done$')" count -
row shifts_refused "$(wc -l <"$folder/refused")" count -
row plans_lost "$(lost_plans)" count 0
row configurations_accepted "$revision" count -
row configurations_lost "$(lost_configurations)" count 0
row calls_without_an_answer_resent "$(wc -l <"$folder/resent")" count -
row resends_answered_differently \
  "$(($(inconsistent_resends checked) + $(inconsistent_resends unchecked) + $(inconsistent_configurations)))" count 0
exit "$missed"
