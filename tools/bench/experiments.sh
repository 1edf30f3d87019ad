#!/usr/bin/env bash
# Runs the experiments on the decision libraries in virtual time, for both
# deployments, and prints `name value unit bound verdict` for each figure.
# Reports and plots go to out/experiments. Exits 1 when a row misses its bound.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."

jobs=${JOBS:-3}
seeds=${SEEDS:-5}
first_seed=${FIRST_SEED:-1}
folder=${FOLDER:-$PWD/out/experiments}
program=$PWD/out/build/bin/wasabivale-experiment
mkdir -p "$folder"
rm -f "$folder"/*

run_experiment() { # EXPERIMENT DEPLOYMENT
  local code=0
  "$program" --experiment "$1" --deployment "$2" --seeds "$seeds" \
    --first-seed "$first_seed" --output "$folder" \
    >"$folder/$1.$2.txt" 2>"$folder/$1.$2.log" || code=$?
  echo "$code" >"$folder/$1.$2.code"
}
export -f run_experiment
export program folder seeds first_seed

# Starts the longest experiments first, to keep all CPUs busy until the end.
printf '%s\n' "mix_shift cooperative" "mix_shift malabar" "square_wave cooperative" \
  "overload cooperative" "fairness cooperative" "square_wave malabar" "overload malabar" \
  "fairness malabar" | xargs -P "$jobs" -L 1 bash -c 'run_experiment "$0" "$1"'

plot() { # NAME: rate of answers within the deadline, one curve per policy
  gnuplot <<PLOT
set terminal svg size 900,420 dynamic background "white"
set output "$folder/$1.svg"
set title "$1" noenhanced
set xlabel "seconds"
set ylabel "answers in time per second"
set yrange [0:*]
set key outside right noenhanced
stats "$folder/$1.tsv" using 1 nooutput
plot "$folder/$1.tsv" index 0 using 1:2 with lines lc rgb "grey" title "offered", \
  for [i=0:STATS_blocks-2] "$folder/$1.tsv" index i using 1:3 with lines title columnheader(1)
PLOT
}

if command -v gnuplot >/dev/null; then
  for file in "$folder"/*.tsv; do
    plot "$(basename "$file" .tsv)" 2>>"$folder/gnuplot.log" || echo "# no plot of $file"
  done
else
  echo "# gnuplot is not installed: no plots"
fi

status=0
for file in "$folder"/*.txt; do
  cat "$file"
  [[ "$(cat "${file%.txt}.code")" == 0 ]] || status=1
done
exit "$status"
