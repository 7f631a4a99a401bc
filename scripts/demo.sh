#!/bin/sh
# Runs the whole system on this machine: a platform stand-in, endpoint stand-ins, two
# data centres with two entries and a planner each, and callers of several teams.
#
# DEMO_NET       second number of the loopback addresses 127.N.x.y (a free one)
# DEMO_SHIFT     added to the ports 8070 8080 8090 9080 (0)
# DEMO_REQUESTS  requests of the callers (1500)
# DEMO_RECORD    if not empty, entries and planners record their traces
# DEMO_FAULT     name of a fault of scripts/faults.sh to inject while callers run, or
#                two joined by a plus sign; only the second one may start processes
# DEMO_IDLE_S    seconds for which idle processes are measured at the end
# DEMO_CALLER    further options of the caller stand-in
# DEMO_RUN       folder of logs and traces (run/demo)
set -eu
cd "$(dirname "$0")/.."
PY=${PY:-.venv/bin/python}
export PYTHONPATH=.
RUN=${DEMO_RUN:-run/demo}
START_TIMEOUT_S=30
STOP_TIMEOUT_S=60
REQUESTS=${DEMO_REQUESTS:-1500}
SHIFT=${DEMO_SHIFT:-0}
CONFIG=$RUN/config

fail() {
    echo "demo: $*" >&2
    exit 1
}

# start GROUP NAME COMMAND...: starts a process and records its id in GROUP.
start() {
    group=$1 name=$2
    shift 2
    "$@" >"$RUN/$name.out" 2>"$RUN/$name.log" &
    echo "$! $name" >>"$RUN/$group.pids"
}

# wait_until WHAT COMMAND...: repeats a command until it succeeds.
wait_until() {
    what=$1
    shift
    tries=$((START_TIMEOUT_S * 5))
    until "$@"; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || fail "timed out waiting for $what; see $RUN"
        sleep 0.2
    done
}

listening() {
    grep -q '^listening' "$RUN/$1.out"
}

ctl() {
    $PY -m primrosepitch.bin.ctl "$@"
}

# stop_group GROUP: sends SIGTERM, kills what remains after STOP_TIMEOUT_S, and counts
# the processes that did not exit with 0.
stop_group() {
    [ -f "$RUN/$1.pids" ] || return 0
    pids=$(cut -d' ' -f1 "$RUN/$1.pids")
    # shellcheck disable=SC2086
    kill -TERM $pids 2>/dev/null || :
    (
        trap 'kill "$sleep_pid"; exit 0' TERM
        sleep "$STOP_TIMEOUT_S" &
        sleep_pid=$!
        wait "$sleep_pid"
        # shellcheck disable=SC2086
        kill -KILL $pids 2>/dev/null
    ) &
    watchdog=$!
    while read -r pid name; do
        code=0
        wait "$pid" || code=$?
        [ "$code" -eq 0 ] && continue
        echo "demo: $name exited with $code" >&2
        unclean=$((unclean + 1))
    done <"$RUN/$1.pids"
    kill -TERM "$watchdog" 2>/dev/null || :
    wait "$watchdog" 2>/dev/null || :
    rm -f "$RUN/$1.pids"
}

stop_all() {
    for group in caller control endpoint platform; do
        stop_group "$group"
    done
}

LOST_ALLOWED=0
. scripts/faults.sh

unclean=0
on_exit() {
    exit_code=$?
    trap - EXIT
    trap '' INT TERM
    stop_all
    exit "$exit_code"
}

rm -rf "$RUN"
mkdir -p "$CONFIG"
trap on_exit EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# Prints a net whose addresses and ports are free, so that demos can run in parallel.
free_net() {
    $PY - "$@" <<'PYTHON'
import os
import socket
import sys

ports = [int(p) for p in sys.argv[1:]]
for i in range(100):
    net = 21 + (os.getppid() + i) % 200
    try:
        for port in ports:
            socket.create_server((f"127.{net}.0.1", port)).close()
    except OSError:
        continue
    print(net)
    sys.exit()
sys.exit("no free loopback net; set DEMO_NET or DEMO_SHIFT")
PYTHON
}
platform_port=$((8070 + SHIFT))
http_port=$((8080 + SHIFT))
peer_port=$((8090 + SHIFT))
endpoint_port=$((9080 + SHIFT))
NET=${DEMO_NET:-$(free_net $platform_port $http_port $peer_port $endpoint_port)}

# Copies the example with the addresses and ports of this run.
cp -R examples/granatapfel/. "$CONFIG"
rm -f "$CONFIG/.primrosepitch-base.json"
for file in "$CONFIG"/*.yaml "$CONFIG"/processes/*.yaml; do
    sed -e "s/127\.21\./127.$NET./g" -e "s/8070/$platform_port/g" \
        -e "s/8080/$http_port/g" -e "s/8090/$peer_port/g" \
        -e "s/9080/$endpoint_port/g" "$file" >"$file.new"
    mv "$file.new" "$file"
done
PLATFORM=127.$NET.0.1:$platform_port
ENTRY=127.$NET.1.101:$http_port
export PRIMROSE_ENTRY="$ENTRY"

echo "demo: platform at $PLATFORM, entries at 127.$NET.{1,2}.{101,102}:$http_port"
start platform platform $PY -m standins.platform --address "127.$NET.0.1" \
    --port "$platform_port" --list-lag-s 1
wait_until "the platform" listening platform

# Starts an endpoint for each instance of the two data centres that have processes.
$PY - "$CONFIG" >"$RUN/endpoints" <<'PYTHON'
import sys
from pathlib import Path

from primrosepitch.config.loader import load_folder
from primrosepitch.config.model import merge

for name, spec in merge(load_folder(Path(sys.argv[1]))).instances.items():
    print(name, spec.dc, spec.rack, spec.address, spec.port)
PYTHON
endpoints=
while read -r name dc rack address port; do
    [ -f "$CONFIG/processes/$dc-entry-1.yaml" ] || continue
    start endpoint "$name" $PY -m standins.endpoint --instance "$name" --dc "$dc" \
        --rack "$rack" --address "$address" --port "$port" --platform "$PLATFORM"
    endpoints="$endpoints --endpoint $address:$port"
done <"$RUN/endpoints"
while read -r _ name; do
    wait_until "endpoint $name" listening "$name"
done <"$RUN/endpoint.pids"

processes=0
for file in "$CONFIG"/processes/*.yaml; do
    name=$(basename "$file" .yaml)
    case $name in
    *-planner-*) program=planner ;;
    *) program=entry ;;
    esac
    record=
    [ -z "${DEMO_RECORD:-}" ] || record="--record $RUN/$name.trace"
    # shellcheck disable=SC2086
    start control "$name" $PY -m "primrosepitch.bin.$program" --settings "$file" $record
    processes=$((processes + 1))
done

sessions_open() {
    [ "$(ctl status 2>/dev/null | grep -cE ' (entry|planner) ')" -ge "$processes" ]
}
wait_until "$processes open sessions" sessions_open
ctl publish "$CONFIG" --wait --operator demo >"$RUN/publish.out" ||
    fail "publishing failed: $(tail -n 3 "$RUN/publish.out")"
tail -n 2 "$RUN/publish.out"

pools_available() {
    ctl status >"$RUN/status.out" 2>/dev/null || return 1
    awk '$1 == "POOL" { on = 1; next } on && NF == 0 { exit bad }
         on && $2 < 4 { bad = 1 } END { exit bad }' "$RUN/status.out"
}
wait_until "four available instances in each pool" pools_available

# new_key TEAM: sets the variable key.
new_key() {
    ctl key give "$1" >"$RUN/key.out" || fail "no key was issued to team $1"
    key=$(tail -n 1 "$RUN/key.out")
}

# add_caller TEAM QUEUES WEIGHT: gives the team a key and adds it to the callers' plan.
add_caller() {
    new_key "$1"
    echo "$1 $2 $key $3" >>"$RUN/plan"
}
add_caller growers-ring press-slots,juice-lots,bottling-orders,grower-settlement 4
add_caller press-house press-slots,juice-lots 4
add_caller bottling-hall bottling-orders 2
add_caller settlement-office grower-settlement 1
add_caller laboratory juice-lots 1
new_key field-service
ctl key withdraw "${key%%.*}" >"$RUN/withdraw.out" ||
    fail "the key of team field-service was not withdrawn"
head -n 1 "$RUN/withdraw.out"
echo "withdrawn-key press-slots $key 0.5" >>"$RUN/plan"
echo "without-key press-slots - 0.5" >>"$RUN/plan"
echo "open-queue sundry-apps - 1" >>"$RUN/plan"

# shellcheck disable=SC2086
start caller caller $PY -m standins.caller --plan "$RUN/plan" \
    --entry "$ENTRY,127.$NET.1.102:$http_port" \
    --entry "127.$NET.2.101:$http_port,127.$NET.2.102:$http_port" \
    --requests "$REQUESTS" --json "$RUN/caller.json" ${DEMO_CALLER:-} $endpoints
if [ -n "${DEMO_FAULT:-}" ]; then
    sleep 1
    first=${DEMO_FAULT%%+*}
    second=${DEMO_FAULT#*+}
    if [ "$first" = "$DEMO_FAULT" ]; then
        "fault_$first"
    else
        "fault_$first" &
        first_pid=$!
        "fault_$second"
        wait "$first_pid" || fail "fault $first could not be injected"
    fi
    # Killing an entry closes its callers' connections without a response.
    case $DEMO_FAULT in
    *entry_killed* | *entry_replaced*) LOST_ALLOWED=1 ;;
    esac
fi
caller_code=0
wait "$(cut -d' ' -f1 "$RUN/caller.pids")" || caller_code=$?
rm -f "$RUN/caller.pids"
cat "$RUN/caller.out"
ctl status
check_code=0
$PY scripts/check_run.py "$CONFIG" "$RUN/caller.json" "$LOST_ALLOWED" || check_code=$?

if [ -n "${DEMO_IDLE_S:-}" ]; then
    stop_group endpoint
    ss -tinpH state established >"$RUN/sockets.before" || :
    $PY scripts/measure_processes.py --seconds "$DEMO_IDLE_S" "$RUN/control.pids"
    ss -tinpH state established >"$RUN/sockets.after" || :
    $PY scripts/socket_bytes.py "$RUN/sockets.before" "$RUN/sockets.after" \
        "$DEMO_IDLE_S" "$RUN/control.pids"
fi

# The platform stops last, since entries close their sessions in its log.
stop_all
[ "$unclean" -eq 0 ] || fail "$unclean processes did not stop gracefully"
line=$(sed -n 's/^caller: //p' "$RUN/caller.out")
[ -n "$line" ] || fail "the callers did not finish: $(tail -n 1 "$RUN/caller.log")"
echo "demo: $line"
[ "$check_code" -eq 0 ] || exit "$check_code"
[ -z "${DEMO_FAULT:-}" ] || exit 0
exit "$caller_code"
