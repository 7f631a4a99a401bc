#!/bin/sh
# Builds the stand-ins of the third review's scripts: the project's own and the new ones.
# They are Python, and need what the build of the deploy file puts into target/deps.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review/standins3
PYTHONPATH=target/deps:.:review/standins3 python3 -c "import advice, cloud, late_store, worker"
