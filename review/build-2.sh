#!/bin/sh
# Builds the stand-ins of the second review's scripts: the project's own and the new
# ones. They are Python, and need what the build of the deploy file puts into target/deps.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review/parts2
PYTHONPATH=.:target/deps python3 -c "import review.parts2.deployment"
