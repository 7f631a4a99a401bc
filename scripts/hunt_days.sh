#!/bin/sh
# Plays hunted days of a deployment with the users' bench, and plays each day that broke a
# rule again with the logs of all nodes, which are kept.
#
# usage: scripts/hunt_days.sh BENCH SITE DAYS LOG_FOLDER [OPTION ...]
#
# BENCH       program of the bench
# SITE        site file of the deployment
# LOG_FOLDER  folder for the report and the logs; outside the repository
# OPTION      passed to all plays, for instance --jobs 3
set -eu

if [ $# -lt 4 ]; then
    sed -n '2,11s/^# \{0,1\}//p' "$0" >&2
    exit 2
fi
bench=$1 site=$2 days=$3 folder=$4
shift 4
mkdir -p "$folder"
report="$folder/hunt.txt"
"$bench" hunt "$site" --days "$days" "$@" | tee "$report"

# A line of a broken day: its name, perhaps with options and a seed, columns of figures,
# and BROKEN with the rules.
number=0
sed -n 's/ \{2,\}[0-9]\{1,\}\/[0-9]\{1,\} .*BROKEN:.*//p' "$report" |
while read -r name options; do
    number=$((number + 1))
    log="$folder/broken-$number.log"
    case $name in
    hunt-*) verb=replay ;;
    *) verb=run ;;
    esac
    echo "$name $options: logs in $log"
    # The options of a day are separate words.
    # shellcheck disable=SC2086
    "$bench" "$verb" "$site" "$name" $options --log all >"$log" 2>&1 </dev/null ||
        echo "$verb of $name failed with code $?"
done
grep -q 'BROKEN:' "$report" && exit 1
exit 0
