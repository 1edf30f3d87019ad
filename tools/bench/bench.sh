#!/usr/bin/env bash
# ./build.sh bench [NAME...]: runs the named measurements, or all of them, and
# prints their rows. Exits non-zero when a row misses its bound. all_measurements
# lists the names. --capacity (or capacity) measures the slopes of docs/CAPACITY.md,
# copies them to docs/capacity/slopes.json and regenerates the tables of the pages.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
bin=$PWD/out/build/bin
mkdir -p out/bench

bench_decisions() { "$bin/wasabivale-decision-bench" --json out/bench/decisions.json; }
bench_commits() {
  rm -rf out/bench/commits
  "$bin/wasabivale-commit-bench" --folder out/bench/commits
}
bench_relay() { tools/bench/relay.sh; }
bench_experiments() { tools/bench/experiments.sh; }
bench_leaders() { tools/bench/leaders.sh; }
bench_malformed() { tools/bench/malformed.sh; }
bench_capacity() {
  tools/bench/entry-cost.sh out/bench/entry.json
  "$bin/wasabivale-slopes" --out out/bench/capacity.json --scratch out/bench/scratch \
    --add out/bench/entry.json
  cp out/bench/capacity.json docs/capacity/slopes.json
  "$bin/wasabivale-capacity"
}

all_measurements=(decisions commits relay malformed leaders experiments capacity)
names=("${@#--}")
[[ ${#names[@]} -gt 0 ]] || names=("${all_measurements[@]}")
missed=()
for name in "${names[@]}"; do
  declare -F "bench_$name" >/dev/null ||
    { echo "unknown measurement: $name (known: ${all_measurements[*]})" >&2; exit 2; }
  echo "== $name"
  "bench_$name" || missed+=("$name")
done
if [[ ${#missed[@]} -gt 0 ]]; then
  echo "bounds missed in: ${missed[*]}"
  exit 1
fi
echo "all bounds met"
