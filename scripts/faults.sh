# Faults that scripts/demo.sh injects while its callers run; sourced by that script.

find_pid() {
    grep -h " $1\$" "$RUN"/*.pids | cut -d' ' -f1
}

post() {
    $PY - "$1" "$2" "$3" <<'PYTHON'
import http.client
import sys

conn = http.client.HTTPConnection(sys.argv[1], timeout=5)
conn.request("POST", sys.argv[2], sys.argv[3])
print(sys.argv[2], conn.getresponse().status)
PYTHON
}

# Excludes the killed process from the check that all processes stop gracefully.
kill_and_untrack() {
    pid=$(find_pid "$1")
    kill -KILL "$pid"
    wait "$pid" 2>/dev/null || :
    untrack_process "$1"
}

untrack_process() {
    for file in "$RUN"/*.pids; do
        sed "/ $1\$/d" "$file" >"$file.new"
        mv "$file.new" "$file"
    done
}

freeze() {
    kill -STOP "$(find_pid "$1")"
    sleep "$2"
    kill -CONT "$(find_pid "$1")"
}

fault_entry_killed() {
    kill_and_untrack linz-entry-2
}

fault_entry_replaced() {
    kill_and_untrack linz-entry-2
    start control linz-entry-2 $PY -m primrosepitch.bin.entry \
        --settings "$CONFIG/processes/linz-entry-2.yaml"
}

fault_entry_frozen() {
    freeze linz-entry-2 6
    sleep 1
    freeze linz-entry-2 2
}

fault_entry_stopped() {
    kill -TERM "$(find_pid linz-entry-2)"
    # The demo stops all processes at the end; it must not signal a stopping one again.
    wait "$(find_pid linz-entry-2)" || fail "linz-entry-2 exited with $?"
    untrack_process linz-entry-2
}

fault_planner_killed() {
    kill_and_untrack linz-planner-1
}

fault_endpoint_killed() {
    kill_and_untrack press-slots-linz-a
    kill_and_untrack juice-lots-linz-a
}

fault_endpoint_frozen() {
    freeze press-slots-linz-a 4
}

fault_log_outage() {
    post "$PLATFORM" /control/outage '{"log": true, "list": true}'
    sleep 5
    post "$PLATFORM" /control/outage '{"log": false, "list": false}'
}

fault_answers_lost() {
    post "$PLATFORM" /control/lose_answers '{"count": 20}'
}

fault_data_centre_cut() {
    post "$PLATFORM" /control/cut '{"dc": "linz", "cut": true}'
    sleep 5
    post "$PLATFORM" /control/cut '{"dc": "linz", "cut": false}'
}

endpoint_mode() {
    address=$(awk -v name="$1" '$1 == name { print $4 ":" $5 }' "$RUN/endpoints")
    post "$address" /mode "$2"
}

fault_endpoint_failing() {
    endpoint_mode press-slots-linz-a '{"mode": "failing"}'
}

fault_answers_crossed() {
    endpoint_mode press-slots-linz-a '{"mode": "crossed", "count": 20}'
    endpoint_mode juice-lots-wels-a '{"mode": "truncated", "count": 20}'
    endpoint_mode bottling-orders-linz-a '{"mode": "closing", "count": 20}'
}

fault_connections_silent() {
    endpoint_mode press-slots-linz-a '{"mode": "stale"}'
    endpoint_mode juice-lots-wels-a '{"mode": "silent", "count": 10}'
}

fault_answers_late() {
    endpoint_mode press-slots-linz-a '{"mode": "late", "seconds": 0.1, "count": 20}'
}

fault_instance_rebooted() {
    ctl drain sundry-apps-linz-a
    if ctl drain press-slots-linz-a; then
        fail "press-slots-linz-a was drained beyond the availability budget"
    fi
}

fault_instance_moved() {
    ctl move sundry-apps-wels-a press-slots
}

# Maintains the spare pool, one instance at a time.
fault_wave() {
    ctl wave start --pool sundry-apps --max-parallel 1 --name spare-pool
}

fault_limit_lowered() {
    sed -i 's/limit: 96/limit: 10/' "$CONFIG"/20-teams.yaml
    # Publishes through the other data centre, since this one may be cut off.
    ctl publish "$CONFIG" --wait --operator fault \
        --entry "127.$NET.2.101:$http_port" >"$RUN/lowered.out" ||
        fail "the lowered limit is not in force in all processes"
    $PY -c 'import time; print(time.monotonic())' >"$RUN/lowered_at"
}

fault_outage_and_freeze() {
    post "$PLATFORM" /control/outage '{"log": true, "list": true}'
    freeze linz-entry-1 3
    post "$PLATFORM" /control/outage '{"log": false, "list": false}'
    freeze wels-entry-1 3
}
