#!/bin/sh
# Runs the steady cells of the policy bench and plots load stall and batch fill against demand.
# Usage: bench/plot-policy.sh [BUILD-FOLDER] [DATA-FILE]; with a data file the bench is not run.
set -eu
cd "$(dirname "$0")/.."
build="${1:-build}"
data="${2:-$build/policy-plot.dat}"
if [ $# -lt 2 ]; then
  # The bench ends with 1 where bounds are missed; the plot is drawn nevertheless.
  "$build/bench-policy" --only shared --plot-data "$data" >/dev/null || [ $? -eq 1 ]
fi
gnuplot <<EOF
set terminal svg size 960,420 background "white" font "sans,12"
set output "docs/policy.svg"
set multiplot layout 1,2 title "Skew 1.1, shared reads from the store, steady traffic"
set key top left
set xlabel "load demand, of the store's rate"
set xrange [0.4:1.6]
set grid
set logscale y
set yrange [100:60000]
set ylabel "load stall p95 (ms; refused counts 30,000)"
series = "random least-loaded rendezvous ours-w0 ours-w100"
plot for [i=0:4] "< awk '\$2 == 1.1' $data" using 1:(column(3 + 2 * i) + 1) with linespoints lw 2 title word(series, i + 1)
unset logscale y
set yrange [0:0.25]
set ylabel "batch fill (mean running / batch width while busy)"
plot for [i=0:4] "< awk '\$2 == 1.1' $data" using 1:(column(4 + 2 * i)) with linespoints lw 2 title word(series, i + 1)
unset multiplot
EOF
