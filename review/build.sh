#!/bin/sh
# The scripts' stand-ins are Python without packages; the project's own are not used.
# Nothing has to be built: this only checks that they can be compiled.
cd "$(dirname "$0")" || exit 1
exec python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path().rglob("*.py")):
    compile(path.read_bytes(), str(path), "exec")
PY
