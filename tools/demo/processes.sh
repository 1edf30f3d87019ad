# Functions for scripts that run the system's processes on loopback.
# Processes are started here and ended by pid when the script ends.

# WASABIVALE_BUILD selects another build folder than out/build.
bin=${WASABIVALE_BUILD:-$PWD/out/build}/bin
pids=()
servers=()
steps=0
auth=()

# program NAME: its path in the selected build, or in out/build when that lacks it
program() {
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

end_all() {
  local pid
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap end_all EXIT

# start NAME COMMAND...: sets last_pid; the log is $folder/NAME.log
start() {
  local name=$1
  shift
  "$@" >>"$folder/$name.log" 2>&1 &
  last_pid=$!
  pids+=("$last_pid")
}

# start_control NUMBER: also again after its end, with its data folder
start_control() {
  start "control-$1" "$(program wasabivale-control)" --config "$folder/control-$1.json"
  declare -g "control_${1}_pid=$last_pid"
}

# start_deployment NAME CONTROL ENTRIES FIRST_PORT [OPTION...]
start_deployment() {
  folder=$PWD/out/$1
  rm -rf "$folder"
  "$(program wasabivale-deployment)" --folder "$folder" --control "$2" --entries "$3" \
    --first-port "$4" "${@:5}"
  first_port=$4
  export WASABIVALE_TOKEN
  WASABIVALE_TOKEN=$(cat "$folder/operator.token")
  local i
  for i in $(seq "$2"); do
    servers+=(--server "127.0.0.1:$(($4 + 10 * i + 1))")
    start_control "$i"
  done
  for i in $(seq "$3"); do
    start "entry-$i" "$(program wasabivale-entry)" --config "$folder/entry-$i.json"
    declare -g "entry_${i}_pid=$last_pid"
  done
  for i in $(seq "$3"); do
    wait_for "entry-$i is ready" curl -sf "127.0.0.1:$(($4 + 102 + 10 * i))/readyz"
  done
}

# wait_for WHAT COMMAND...: until the command succeeds, 30 s at most
wait_for() {
  local what=$1 end=$((SECONDS + 30))
  shift
  until "$@" >/dev/null 2>&1; do
    ((SECONDS < end)) || fail "timed out waiting: $what"
    sleep 0.1
  done
}

# operate ARGUMENT...: the operators' command line, with JSON output
operate() {
  "$(program wasabivale)" "${servers[@]}" --output json "$@" 2>>"$folder/operator.log"
}

# field NAME: the first member of this name in the JSON on standard input
field() {
  grep -o "\"$1\":\(\"[^\"]*\"\|[^],}]*\)" | head -n 1 | sed 's/^"[^"]*"://; s/^"//; s/"$//'
}

fleet_serves() {
  local count
  count=$(operate status | grep -o '"state":"serving"' | wc -l)
  [[ "$count" -eq "$1" ]]
}

# target_state TARGET
target_state() {
  operate targets | sed 's/{"address"/\n&/g' | grep "\"id\":\"$1\"" | field state
}

leader() { operate status | field leader; }

# answers ENTRY: whether a short completion succeeds there
answers() {
  curl -sf "$1/v1/completions" "${auth[@]}" \
    -d '{"model": "gourd-8b", "prompt": "ready?", "max_tokens": 1}'
}

# judged EVENT [TARGET]: how often the targets' judge log has it
judged() {
  grep "\"event\":\"$1\"" "$folder/judge.jsonl" | grep -c "\"target\":\"${2:-.*}\"" || true
}
