#!/usr/bin/env bash
# Three core machines are added, the settings name them as seeds, and they are
# restarted in turn. The operator then changes the configuration, and every node
# is asked for it. With TROUBLE=0 the three are added and nothing else happens.
# Exit: 1 the rule was broken, 0 it held, 2 it could not run.
set -u
CASE=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
TROUBLE=${TROUBLE:-1}
source "$CASE/../standin-2/deployment.sh"
prepare 66

config() { # VERSION
  cat >"$WORK/config-$1" <<TEXT
{"version":$1,"routes":[{"name":"r-1","host":"shop.example","path_prefix":"/desk/","kind":"safe","timeout_ms":$2,"target_latency_ms":100,"priority":0,"service":"desk","max_attempts":2,"sticky_sessions":false,"allow_resume":false}],"services":[{"name":"desk","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
TEXT
}

# The core of the site: five machines, started together with empty disks.
for n in 11 12 13 14 15; do write_core $n true 11 12 13; done
for n in 11 12 13 14 15; do start core-$n; done
sleep 4
config 11 1000
put_config "$WORK/config-11" 11 12 13 14 15 || cannot_run "version 11 was not acknowledged: $STATUS"
record "version 11 was acknowledged by $FROM"

# Planned work: machines are added, with empty disks.
for n in 16 17 18; do write_core $n false 11 12 13; start core-$n; done
sleep 6

if [[ $TROUBLE != 0 ]]; then
  # The seeds are exchanged for other machines that serve control.
  for n in 11 12 13 14 15 16 17 18; do write_core $n false 16 17 18; done
  record "the settings of all machines name 16, 17 and 18 as seeds"
  for n in 11 12 13 14 15 16 17 18; do kill -HUP "${PID[core-$n]}"; done
  sleep 4
  # Machines are stopped and started in turn.
  for n in 16 17 18; do
    kill -TERM "${PID[core-$n]}"
    for ((i = 0; i < 80; i++)); do
      is_running core-$n || break
      sleep 0.1
    done
    is_running core-$n && { kill -KILL "${PID[core-$n]}"; record "core-$n was killed after grace_s"; }
    record "stopped core-$n"
    sleep 0.5
    start core-$n
    sleep 3
  done
  sleep 6
fi

# The operator picks any node that serves control, and moves on from those that
# answer with a 5xx.
config 12 2000
put_config "$WORK/config-12" 16 17 18 11 12 13 14 15 || cannot_run "version 12 was not acknowledged: $STATUS"
record "version 12 was acknowledged by $FROM"

# config_apply_ms is 2,000. A 5xx or no answer is no break.
sleep 3
broken=0
for n in 11 12 13 14 15 16 17 18; do
  read_version $n
  if [[ $STATUS == 200 ]]; then
    record "a read at core-$n was answered by $FROM with version $VERSION"
    if ((VERSION < 12)); then
      record "BROKEN: CONFIG: core-$n answers with version $VERSION, after version 12 was acknowledged"
      broken=1
    fi
  else
    record "a read at core-$n was answered with status $STATUS"
  fi
done
for n in 11 12 13 14 15 16 17 18; do
  is_running core-$n || record "core-$n is not running"
done
grep -h "cluster_formed\|leadership_gained" "$WORK"/core-*.log | sed 's/^/log: /' >>"$RECORD"
exit $broken
