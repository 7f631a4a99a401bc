#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule broke.
set -eu
cd "$(dirname "$0")/../.."
PYTHONPATH=.:target/deps exec python3 review/10/case.py
