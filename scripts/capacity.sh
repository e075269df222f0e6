#!/bin/sh
# Runs the benchmarks that print capacity lines, and prints them with the budgets of the target
# size. Usage: scripts/capacity.sh BUILD-FOLDER. Exits with 1 where a budget is missed or a
# benchmark fails; a benchmark that is not built is reported as NOT RUN. Takes about five minutes.
set -u
bin=${1:-build}
here=$(dirname "$0")
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

for bench in config grants routing claims membership gateway; do
    program=$bin/bench-$bench
    if [ ! -x "$program" ]; then
        echo "NOT RUN: bench-$bench is not built"
        continue
    fi
    echo "running bench-$bench" >&2
    if ! "$program" >"$work/$bench.txt" 2>"$work/$bench.err"; then
        echo "FAILED: bench-$bench"
        tail -n 5 "$work/$bench.txt" "$work/$bench.err"
        failed=1
    fi
    grep '^capacity: ' "$work/$bench.txt" >&2
    grep '^capacity: ' "$work/$bench.txt" | sed "s/^capacity: /bench=bench-$bench /" >>"$work/lines.txt"
done
touch "$work/lines.txt"

awk '
    FNR == NR {
        if ($0 !~ /^#/ && NF > 2) {
            count++
            pattern[count] = $1
            limit[count] = $2
            reason[count] = $0
            sub(/^[^ ]+ +[^ ]+ +/, "", reason[count])
        }
        next
    }
    {
        for (i = 1; i <= NF; i++) {
            split($i, pair, "=")
            field[pair[1]] = substr($i, length(pair[1]) + 2)
        }
        budget = "-"
        margin = "-"
        why = ""
        for (i = 1; i <= count; i++) {
            if (field["name"] ~ pattern[i]) {
                budget = limit[i]
                why = reason[i]
                margin = sprintf("%.1fx", field["value"] + 0 > 0 ? budget / field["value"] : 999)
                if (field["value"] + 0 > budget + 0) {
                    margin = "MISSED"
                    missed = 1
                }
            }
        }
        printf "%-18s %-34s %12.3f %-24s %10s %8s  %s\n", field["bench"], field["name"],
            field["value"], field["unit"], budget, margin, why
    }
    BEGIN {
        printf "%-18s %-34s %12s %-24s %10s %8s  %s\n", "command", "measurement", "value", "unit",
            "budget", "margin", "reason"
    }
    END { exit missed }
' "$here/capacity_budgets.txt" "$work/lines.txt" || failed=1
exit $failed
