#!/bin/sh
# Records the traces of traces/ again, for each fault of scripts/trace_outcomes.yaml or
# for those named, and replays them. A recording whose demo fails or whose stated
# outcomes do not hold is left in run/traces and does not replace the stored one.
#
# TRACE_JOBS  number of concurrent demos (2)
set -u
cd "$(dirname "$0")/.."
PY=${PY:-.venv/bin/python}
export PYTHONPATH=.
OUT=run/traces

record() {
    fault=$1
    # Requests are slow and concurrent enough that some are in progress when the
    # fault occurs and while it lasts.
    DEMO_RUN=$OUT/$fault DEMO_RECORD=1 DEMO_FAULT=$fault \
        DEMO_REQUESTS="${DEMO_REQUESTS:-600}" \
        DEMO_CALLER="--concurrency 24 --work-ms 150 --timeout-ms 4000" \
        sh scripts/demo.sh >"$OUT/$fault.out" 2>&1 || {
        echo "fault $fault: the demo failed; see $OUT/$fault.out" >&2
        return 1
    }
    $PY scripts/keep_traces.py "$fault" "$OUT/$fault" traces
}

mkdir -p "$OUT"
if [ "${1:-}" = --one ]; then
    record "$2"
    exit
fi
[ $# -gt 0 ] || set -- $(sed -n 's/^\([a-z_]*\):$/\1/p' scripts/trace_outcomes.yaml)
failed=0
printf '%s\n' "$@" | xargs -P "${TRACE_JOBS:-2}" -I{} sh "$0" --one {} || failed=1
$PY -m primrosepitch.bin.replay traces/ || failed=1
exit "$failed"
