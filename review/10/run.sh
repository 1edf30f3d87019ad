#!/usr/bin/env bash
# A request crashes each runner that begins to run it, just after the first
# event of its answer, and comes again with the same path, caller and body. With
# TROUBLE=0 the same requests come as often and crash nothing.
# Exit: 1 the rule was broken, 0 it held, 2 it could not run.
set -u
CASE=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
TROUBLE=${TROUBLE:-1}
source "$CASE/../standin-2/deployment.sh"
prepare 69

CONTACT_MS=3000
for n in 11 12 13 14 15; do write_core $n true 11 12 13; done
for n in 11 12 13; do write_front $n 11 12 13; done
for n in 11 12 13 14 15; do start core-$n; done
for n in 11 12 13; do start front-$n; done
sleep 4
cat >"$WORK/config" <<'TEXT'
{"version":11,"routes":[{"name":"r-1","host":"shop.example","path_prefix":"/note/","kind":"streaming","timeout_ms":8000,"target_latency_ms":1000,"priority":0,"service":"oracle","max_attempts":2,"sticky_sessions":true,"allow_resume":true,"target_gap_ms":200}],"services":[{"name":"oracle","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity_tokens":532678,"kv_token_bytes":163840,"link_mbps":1600000.0,"moves":true,"backups":true,"stride":7,"most":12,"handle_ttl_s":5.0,"stage_switch_s":3.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
TEXT
put_config "$WORK/config" 11 12 13 14 15 || cannot_run "the configuration was not acknowledged: $STATUS"
controls=$(for n in 11 12 13 14 15; do printf '%s,' "$(core_ip $n):$CONTROL_PORT"; done)
crash=()
[[ $TROUBLE != 0 ]] && crash=(--crash-path /note/bad --crash-after 1)
# As many runners as at the site.
for n in {11..28}; do
  stage=decode
  ((n >= 25)) && stage=prefill
  start_runner i-$n $n "${controls%,}" --service oracle --slots 64 --events 8 --gap-ms 40 --stage $stage \
    --back-after-ms 3000 "${crash[@]}"
done
for n in 11 12 13; do wait_ready $n 10 || cannot_run "front-$n is not ready"; done
sleep 3

# Other callers, so that the machines know the runners as sound.
others() {
  local i=0
  while ((i < 300)); do
    ((++i))
    "$STANDIN" call POST "http://$(front_ip $((11 + i % 3))):$FRONT_PORT/note/good" -t 8000 -H "Host: shop.example" \
      -H "Request-Id: other-$i" -H "Deadline-Ms: 8000" -H "Model: m" -H "Token-Counts: 200,80" \
      -H "Prompt-Prefix: 5c1e07a2:150,0000$i:50" -d "note $i" >"$WORK/other" 2>&1
    sleep 0.05
  done
}
others &
PID[others]=$!
disown "${PID[others]}"

for ((i = 1; i <= 15; i++)); do
  front=front-$((11 + i % 3))
  id=bad-$i
  "$STANDIN" call POST "http://$(front_ip $((11 + i % 3))):$FRONT_PORT/note/bad" -t 8000 -H "Host: shop.example" \
    -H "Request-Id: $id" -H "Deadline-Ms: 8000" -H "Model: m" -H "Token-Counts: 200,80" \
    -H "Prompt-Prefix: 5c1e07a2:150,bad0bad0:50" -d "the note that crashes" >"$WORK/answer" 2>&1
  record "answer to $id at $front: $(sed -n 's/^STATUS //p;s/^END //p' "$WORK/answer" | tr '\n' ' ')"
  sleep 2
done

cat "$WORK"/i-*.log | sort >"$WORK/runners"
grep "request=bad-" "$WORK/runners" | sed 's/^/runner: /' >>"$RECORD"
third=$(grep "CRASH" "$WORK/runners" | sed -n '3s/ .*//p')
if [[ -z $third ]]; then
  record "the request has crashed fewer than three runners"
  exit 0
fi
late=$(awk -v from=$((third + CONTACT_MS)) '/ RUN request=bad-/ && $1 > from' "$WORK/runners" | wc -l)
# Of these the ones that follow another run of the same client attempt.
again=$(awk -v from=$((third + CONTACT_MS)) '/ RUN request=bad-/ && seen[$3]++ && $1 > from' "$WORK/runners" | wc -l)
record "later than contact_ms after the third crash the request reached runners $late times, $again of them in a further try of one client attempt"
if ((again > 3)); then
  record "BROKEN: BUDGET: a request that crashes runners reached them in more than three retries"
  exit 1
fi
exit 0
