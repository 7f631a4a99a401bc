#!/bin/sh
# Runs a command on an earlier version and on this one, for instance a benchmark, and
# prints the output of both. Files of this version are copied to the earlier one first.
#
# usage: scripts/compare_versions.sh REVISION "FILE ..." COMMAND [ARGUMENT ...]
#
# example: scripts/compare_versions.sh d7ee838 \
#     "bench/starved.py standins/slow_scheduler.py" .venv/bin/python -m bench starved
set -eu

if [ $# -lt 3 ]; then
    sed -n '2,9s/^# \{0,1\}//p' "$0" >&2
    exit 2
fi
revision=$1 files=$2
shift 2
root=$(git rev-parse --show-toplevel)
cd "$root"
earlier=$(mktemp -d)
trap 'rm -rf "$earlier"' EXIT INT TERM
git archive "$revision" | tar xf - -C "$earlier"
# The names are separate words.
# shellcheck disable=SC2086
tar cf - $files | tar xf - -C "$earlier"
ln -s "$root/.venv" "$earlier/.venv"
export PYTHONPATH=.:platform

echo "== $revision"
(cd "$earlier" && "$@")
echo "== this version"
"$@"
