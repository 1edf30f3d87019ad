# A small deployment on loopback addresses, for the scripts of the second
# review. It is sourced by them with CASE set to the folder of the case.
# Machines are loopback addresses of their own; ports are the same on all.

ROOT=$(cd "$CASE/../.." && pwd)
STANDIN=$ROOT/target/review-2/standin
ENTRY=$ROOT/target/bin/wasabivale-entry
CONTROL=$ROOT/target/bin/wasabivale-control
RECORD=$CASE/record.txt
WORK=
declare -A PID=()       # Of each process, by its name.

cannot_run() {
  echo "cannot run: $*" | tee -a "$RECORD" >&2
  exit 2
}

record() {
  printf '%s %s\n' "$(date +%s.%3N)" "$*" | tee -a "$RECORD"
}

prepare() { # NET: the second part of the loopback addresses
  NET=127.$1
  : >"$RECORD"
  for each in "$STANDIN" "$ENTRY" "$CONTROL"; do
    [[ -x $each ]] || cannot_run "$each is not built"
  done
  cd "$ROOT" || cannot_run "no repository"
  WORK=$(mktemp -d) || cannot_run "no temporary folder"
  trap clean_up EXIT
  trap 'exit 2' INT TERM
  mapfile -t ports < <("$STANDIN" ports 4)
  CONTROL_PORT=${ports[0]} FRONT_PORT=${ports[1]} READY_PORT=${ports[2]} RUNNER_PORT=${ports[3]}
  # Internal ports stand in a row, from below the range that systems hand out.
  HUB_PORT=$((20000 + RANDOM % 8000))
  ADMIN_PORT=$((HUB_PORT + 8))
}

clean_up() {
  local name
  for name in "${!PID[@]}"; do kill -KILL "${PID[$name]}" 2>/dev/null; done
  wait 2>/dev/null
  [[ -n $WORK ]] && rm -rf "$WORK"
}

# The third part of a core machine's address is 0, of a front's 1, of a
# runner's 2.
core_ip() { echo "$NET.0.$1"; }
front_ip() { echo "$NET.1.$1"; }
runner_ip() { echo "$NET.2.$1"; }

seeds_json() { # NUMBER...: of core machines
  local out= each
  for each in "$@"; do out+="${out:+, }\"$(core_ip "$each"):$CONTROL_PORT\""; done
  echo "[$out]"
}

# As deploy/control.json, filled in as for a core machine of the site.
write_core() { # NUMBER BOOTSTRAP SEED...
  local ip; ip=$(core_ip "$1")
  local bootstrap=$2 number=$1
  shift 2
  mkdir -p "$WORK/disk-$number"
  cat >"$WORK/core-$number.json.new" <<TEXT
{
  "id": "$ip",
  "region": "attiki",
  "zone": "attiki-a",
  "listen": "$ip:$HUB_PORT",
  "admin": {"listen": "$ip:$ADMIN_PORT"},
  "data_folder": "$WORK/disk-$number",
  "cluster_id": "wasabivale",
  "discovery": {
    "hub_port": $HUB_PORT,
    "seeds": $(seeds_json "$@"),
    "may_form": $bootstrap,
    "losses": 2
  },
  "registry": {"listen": "$ip:$CONTROL_PORT", "zones": {"attiki-a": "attiki"}, "change_roles": true }
}
TEXT
  mv "$WORK/core-$number.json.new" "$WORK/core-$number.json"
}

# As deploy/entry.json, filled in as for a front machine of the site.
write_front() { # NUMBER SEED...
  local ip; ip=$(front_ip "$1")
  local number=$1
  shift
  cat >"$WORK/front-$number.json.new" <<TEXT
{
  "id": "$ip",
  "region": "attiki",
  "zone": "attiki-a",
  "admin": {"listen": "$ip:$ADMIN_PORT"},
  "discovery": {"hub_port": $HUB_PORT, "seeds": $(seeds_json "$@") },
  "routes": {
    "listen": "$ip:$FRONT_PORT",
    "readiness": "$ip:$READY_PORT",
    "retry_share": 0.2,
    "retry_reserve": 52
  },
  "stop_within_s": 8
}
TEXT
  mv "$WORK/front-$number.json.new" "$WORK/front-$number.json"
}

start() { # NAME: core-N or front-N
  local program=$CONTROL
  [[ $1 == front-* ]] && program=$ENTRY
  WASABIVALE_CONFIG=$WORK/$1.json "$program" >>"$WORK/$1.log" 2>&1 &
  PID[$1]=$!
  disown "${PID[$1]}"
  record "started $1"
}

is_running() { # NAME
  [[ -n ${PID[$1]:-} ]] && kill -0 "${PID[$1]}" 2>/dev/null
}

start_runner() { # NAME NUMBER CONTROLS OPTION...
  local name=$1 number=$2 controls=$3
  shift 3
  "$STANDIN" runner --id "$name" --listen "$(runner_ip "$number"):$RUNNER_PORT" --zone attiki-a \
    --control "$controls" "$@" >>"$WORK/$name.log" 2>&1 &
  PID[$name]=$!
  disown "${PID[$name]}"
  record "started runner $name"
}

# Sends an order as the operator does: to one node after the other, from the
# given one on, until a clear answer comes. Sets STATUS and FROM.
put_config() { # FILE NUMBER...
  local file=$1 each pause=0.1 round
  shift
  for round in 1 2 3 4 5 6 7 8; do
    for each in "$@"; do
      "$STANDIN" call PUT "http://$(core_ip "$each"):$CONTROL_PORT/config" -d "$(cat "$file")" -r 2 >"$WORK/answer" 2>&1
      STATUS=$(sed -n 's/^STATUS //p' "$WORK/answer") FROM=$(sed -n 's/^FROM //p' "$WORK/answer")
      case $STATUS in
        200) return 0 ;;
        400 | 409 | 412 | 413 | 422) return 1 ;;
      esac
      sleep "$pause"
    done
    pause=0.4
  done
  return 1
}

# The version that a node answers a read with, or the status if it has none.
read_version() { # NUMBER
  "$STANDIN" call GET "http://$(core_ip "$1"):$CONTROL_PORT/config" -r 2 >"$WORK/answer" 2>&1
  STATUS=$(sed -n 's/^STATUS //p' "$WORK/answer") FROM=$(sed -n 's/^FROM //p' "$WORK/answer")
  VERSION=$(sed -n 's/^BODY .*"version": *\([0-9]*\).*/\1/p' "$WORK/answer")
}

wait_ready() { # NUMBER of a front, SECONDS
  local until=$((SECONDS + $2))
  while ((SECONDS < until)); do
    "$STANDIN" call GET "http://$(front_ip "$1"):$READY_PORT/ready" >"$WORK/ready" 2>&1
    grep -q '^STATUS 200' "$WORK/ready" && return 0
    sleep 0.2
  done
  return 1
}
