#!/bin/sh
# Runs the case; see claim.txt. Writes what was sent, answered and run to record.txt in
# this folder. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
# couldn't run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1 python3 review/14/case.py
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
