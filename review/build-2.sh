#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are Python and run inside the case; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib

for path in (pathlib.Path("fleet2.py"), *sorted(pathlib.Path().glob("[6-9]/*.py")),
             *sorted(pathlib.Path().glob("10/*.py"))):
    compile(path.read_text(), str(path), "exec")
CHECK
