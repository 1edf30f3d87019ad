# Functions for scripts that run the system's processes on loopback.
# When the script exits, every process started here is stopped by pid.

# WASABIVALE_BUILD overrides the build folder out/build.
bin=${WASABIVALE_BUILD:-$PWD/out/build}/bin
pids=()
server_options=()
steps=0
auth_options=()

# program_path NAME: path in the selected build, or in out/build if it is missing there
program_path() {
  if [[ -x "$bin/$1" ]]; then echo "$bin/$1"; else echo "$PWD/out/build/bin/$1"; fi
}

step() {
  steps=$((steps + 1))
  echo "step $steps: $1"
}

fail() {
  echo "failed: $1" >&2
  tail -n 5 "$folder"/*.log >&2 || true
  exit 1
}

stop_processes() {
  local pid
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop_processes EXIT

# start NAME COMMAND...: runs it in the background, sets last_pid and logs to $folder/NAME.log
start() {
  local name=$1
  shift
  "$@" >>"$folder/$name.log" 2>&1 &
  last_pid=$!
  pids+=("$last_pid")
}

# start_control NUMBER: starts the member, or restarts it with its data folder
start_control() {
  start "control-$1" "$(program_path wasabivale-control)" --config "$folder/control-$1.json"
  declare -g "control_${1}_pid=$last_pid"
}

# start_deployment NAME CONTROL ENTRIES FIRST_PORT [OPTION...]: starts that many control
# members and entries in out/NAME and waits until the entries are ready
start_deployment() {
  folder=$PWD/out/$1
  rm -rf "$folder"
  "$(program_path wasabivale-deployment)" --folder "$folder" --control "$2" --entries "$3" \
    --first-port "$4" "${@:5}"
  first_port=$4
  export WASABIVALE_TOKEN
  WASABIVALE_TOKEN=$(cat "$folder/operator.token")
  local i
  for i in $(seq "$2"); do
    server_options+=(--server "127.0.0.1:$(($4 + 10 * i + 1))")
    start_control "$i"
  done
  for i in $(seq "$3"); do
    start "entry-$i" "$(program_path wasabivale-entry)" --config "$folder/entry-$i.json"
    declare -g "entry_${i}_pid=$last_pid"
  done
  for i in $(seq "$3"); do
    wait_for "entry-$i is ready" curl -sf "127.0.0.1:$(($4 + 102 + 10 * i))/readyz"
  done
}

# wait_for DESCRIPTION COMMAND...: polls until the command succeeds; fails after 30 s
wait_for() {
  local description=$1 deadline=$((SECONDS + 30))
  shift
  until "$@" >/dev/null 2>&1; do
    ((SECONDS < deadline)) || fail "timed out waiting: $description"
    sleep 0.1
  done
}

# operator_cli ARGUMENT...: runs the operator command line with JSON output
operator_cli() {
  "$(program_path wasabivale)" "${server_options[@]}" --output json "$@" 2>>"$folder/operator.log"
}

# json_field NAME: value of the first member of that name in the JSON on standard input
json_field() {
  grep -o "\"$1\":\(\"[^\"]*\"\|[^],}]*\)" | head -n 1 | sed 's/^"[^"]*"://; s/^"//; s/"$//'
}

# fleet_serves COUNT: whether exactly COUNT targets are serving
fleet_serves() {
  local count
  count=$(operator_cli status | grep -o '"state":"serving"' | wc -l)
  [[ "$count" -eq "$1" ]]
}

# target_state TARGET: its state as control reports it
target_state() {
  operator_cli targets | sed 's/{"address"/\n&/g' | grep "\"id\":\"$1\"" | json_field state
}

current_leader() { operator_cli status | json_field leader; }

# entry_answers ADDRESS: whether a short completion succeeds through that entry
entry_answers() {
  curl -sf "$1/v1/completions" "${auth_options[@]}" \
    -d '{"model": "gourd-8b", "prompt": "ready?", "max_tokens": 1}'
}

# count_judge_events EVENT [TARGET]: number of such events in the targets' judge log
count_judge_events() {
  grep "\"event\":\"$1\"" "$folder/judge.jsonl" | grep -c "\"target\":\"${2:-.*}\"" || true
}
