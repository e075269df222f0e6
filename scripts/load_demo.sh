#!/bin/bash
# Starts the fleet of the demo, sends it a steady load, and writes the report and its plot.
# Usage: scripts/load_demo.sh BUILD-FOLDER OUTPUT-FOLDER [KEY=VALUE of balsamport-load ...]
# PORT_PREFIX replaces the first two digits, 19, of the demo's ports.
set -u
cd "$(dirname "$0")/.."
bin=$1
output=$2
shift 2
prefix=${PORT_PREFIX:-19}
work=$(mktemp -d)
pids=()

stop_all() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
    rm -rf "$work"
}
trap stop_all EXIT

start() { # start NAME COMMAND...
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids+=($!)
}

wait_ready() { # wait_ready URL
    for _ in $(seq 1 100); do
        curl -sf -o /dev/null "$1" && return 0
        sleep 0.1
    done
    echo "$1 did not become ready"
    tail -n 3 "$work"/*.log
    exit 1
}

cp -r examples/demo/. "$work"
find "$work" -type f -exec sed -i "s/127\.0\.0\.1:19/127.0.0.1:$prefix/g" {} +
at=127.0.0.1:$prefix
start platform "$bin/balsamport-standin" platform --listen "${at}100" \
    --folder "$work/config" --vms "$work/vms.json"
for engine in 1 2; do
    start "engine$engine" "$bin/balsamport-standin" engine --listen "${at}20$engine" \
        --id "e$engine" --slots 4 --batch 8 --load-ms 250 --token-ms 10 --check-fencing
done
for service in 1 2; do
    start "bookings$service" "$bin/balsamport-standin" service --listen "${at}30$service" \
        --id "b$service"
done
for vm in 1 2 3; do
    start "controller$vm" "$bin/balsamport-controller" --config "$work/vm$vm-controller.ini"
    start "gateway$vm" "$bin/balsamport-gateway" --config "$work/vm$vm-gateway.ini"
done
for vm in 1 2 3; do
    wait_ready "http://${at}10$vm/ready"
done

sleep 12 # A witness waits for the handover and the clock skew before it accepts its first claim.

# The first value of a setting takes precedence over later ones.
settings=()
for setting in "$@" "load.gateways=${at}101,${at}102,${at}103" "load.engines=${at}201,${at}202" \
    "load.ledgers=${at}301,${at}302" "load.models=burn-plan=burn-plan@1" \
    load.adapter-prefix=member- load.adapters=6 load.rate=30 load.seconds=30 \
    "load.output=$output"; do
    settings+=(--set "$setting")
done
"$bin/balsamport-load" "${settings[@]}"
result=$?
(cd "$output" && gnuplot load.gp) || result=1
[ -z "${LOAD_KEEP_LOGS:-}" ] || cp "$work"/*.log "$LOAD_KEEP_LOGS"/
exit $result
