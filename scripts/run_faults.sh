#!/bin/sh
# Runs the demo once for each fault, or for those named, and prints one line for each.
set -u
cd "$(dirname "$0")/.."
export DEMO_REQUESTS="${DEMO_REQUESTS:-4000}"
export DEMO_CALLER="--concurrency 96 --work-ms 40 --timeout-ms 4000"
[ $# -gt 0 ] || set -- $(sed -n 's/^fault_\([a-z_]*\)() {$/\1/p' scripts/faults.sh)
failed=0
mkdir -p run/faults
for fault in "$@"; do
    if DEMO_FAULT=$fault sh scripts/demo.sh >"run/faults/$fault.out" 2>&1; then
        result=held
    else
        result=FAILED
        failed=$((failed + 1))
    fi
    line=$(sed -n 's/^caller: //p' "run/faults/$fault.out")
    echo "fault $fault: $result $line $(grep '^violations' "run/faults/$fault.out")"
done
echo "faults: $# run, $failed failed"
[ "$failed" -eq 0 ]
