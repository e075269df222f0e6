#!/bin/bash
# Runs the whole system on loopback: stand-ins, two controllers, two gateways. Sends real requests
# with curl, prints the responses, and stops all processes that it started.
set -u
cd "$(dirname "$0")/.."
bin=${1:-build}
work=$(mktemp -d)
pids=()
failures=0

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

title() { printf '\n== %s\n' "$1"; }

expect() { # expect TEXT FILE WHAT
    if grep -qF -- "$1" "$2"; then
        echo "   ok: $3"
    else
        echo "   FAILED: $3 (no \"$1\")"
        failures=$((failures + 1))
    fi
}

wait_ready() { # wait_ready URL
    for _ in $(seq 1 100); do
        curl -sf -o /dev/null "$1" && return 0
        sleep 0.1
    done
    echo "FAILED: $1 did not become ready; logs follow"
    tail -n 5 "$work"/*.log
    exit 1
}

gateway1=http://127.0.0.1:19101
gateway2=http://127.0.0.1:19102
platform=http://127.0.0.1:19100
cp -r examples/demo/config "$work/config"

title "Start the stand-ins: platform, two engines, one service with two replicas"
start platform "$bin/balsamport-standin" platform --listen 127.0.0.1:19100 \
    --folder "$work/config" --vms examples/demo/vms.json
for engine in 1 2; do
    start "engine$engine" "$bin/balsamport-standin" engine --listen "127.0.0.1:1920$engine" \
        --id "e$engine" --slots 4 --batch 8 --load-ms 250 --token-ms 10 --check-fencing
done
start bookings1 "$bin/balsamport-standin" service --listen 127.0.0.1:19301 --id b1
start bookings2 "$bin/balsamport-standin" service --listen 127.0.0.1:19302 --id b2

title "Start three VMs: a controller and a gateway each (two gateways are used)"
for vm in 1 2 3; do
    start "controller$vm" "$bin/balsamport-controller" --config "examples/demo/vm$vm-controller.ini"
done
for vm in 1 2; do
    start "gateway$vm" "$bin/balsamport-gateway" --config "examples/demo/vm$vm-gateway.ini"
done
wait_ready $gateway1/ready
wait_ready $gateway2/ready

title "A complete response from the route burn-plan"
curl -sS -i "$gateway1/v1/chat/completions" -H 'Content-Type: application/json' \
    -d '{"model":"burn-plan","max_tokens":8,"messages":[{"role":"user","content":"Frost tonight?"}]}' \
    | tee "$work/whole.txt"
echo
expect 'burn-plan@1' "$work/whole.txt" "the adapter version of the route served the request"
expect 'Balsamport-Outcome: ran' "$work/whole.txt" "the outcome is reported"

title "A stream through the other gateway"
curl -sS -N "$gateway2/v1/chat/completions" -H 'Content-Type: application/json' \
    -d '{"model":"burn-plan","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"Burn plan, please"}]}' \
    | tee "$work/stream.txt"
expect 'data: [DONE]' "$work/stream.txt" "the stream is complete"

title "A booking, and the same booking again through the other gateway"
key=$(curl -sS -X POST "$gateway1/v1/tickets" | sed -n 's/.*"key" *: *"\([^"]*\)".*/\1/p')
echo "ticket: $key"
for gateway in $gateway1 $gateway1 $gateway2; do
    curl -sS -i "$gateway/v1/services/bookings/bookings" -H "Idempotency-Key: $key" \
        -H 'Content-Type: application/json' -d '{"lot":"candles-17"}' | tee -a "$work/booking.txt"
    echo
done
curl -sS http://127.0.0.1:19301/ledger >"$work/ledger1.txt"
curl -sS http://127.0.0.1:19302/ledger >"$work/ledger2.txt"
echo "ledgers: $(cat "$work/ledger1.txt") $(cat "$work/ledger2.txt")"
runs=$(cat "$work"/ledger?.txt | grep -oF "\"$key\":" | wc -l)
single=$(cat "$work"/ledger?.txt | grep -oE "\"$key\": ?1[,}]" | wc -l)
[ "$runs" = 1 ] && [ "$single" = 1 ] && echo "   ok: the booking ran once" \
    || { echo "   FAILED: the booking ran in $runs ledgers"; failures=$((failures + 1)); }

title "A booking without a key is refused"
curl -sS -i "$gateway1/v1/services/bookings/bookings" -d '{"lot":"candles-18"}' | tee "$work/nokey.txt"
echo
expect 'key_missing' "$work/nokey.txt" "the refusal is typed"
expect 'Balsamport-Outcome: not-run' "$work/nokey.txt" "and reports that nothing ran"

title "A configuration change: the month-end override sends burn-plan to version 2"
cp examples/demo/month-end/*.ini "$work/config/"
curl -sS -X POST $platform/admin/reload
echo
changed=no
for _ in $(seq 1 70); do
    curl -sS "$gateway1/v1/chat/completions" -d '{"model":"burn-plan","max_tokens":2,"messages":[{"role":"user","content":"hi"}]}' >"$work/c1.txt"
    curl -sS "$gateway2/v1/chat/completions" -d '{"model":"burn-plan","max_tokens":2,"messages":[{"role":"user","content":"hi"}]}' >"$work/c2.txt"
    if grep -qF 'burn-plan@2' "$work/c1.txt" && grep -qF 'burn-plan@2' "$work/c2.txt"; then
        changed=yes
        break
    fi
    sleep 0.1
done
cat "$work/c1.txt"
echo
[ $changed = yes ] && echo "   ok: in force on both gateways within 7 s" \
    || { echo "   FAILED: the change is not in force"; failures=$((failures + 1)); }

title "Status of the fleet"
"$bin/balsamportctl" status --endpoint tcp://127.0.0.1:19401 --endpoint tcp://127.0.0.1:19402 \
    | tee "$work/status.txt"
expect 'e2' "$work/status.txt" "the status lists the backend servers"

title "Stop"
if [ -n "${DEMO_KEEP_LOGS:-}" ]; then cp "$work"/*.log "$DEMO_KEEP_LOGS"/; fi
echo "$failures checks failed"
exit $((failures > 0))
