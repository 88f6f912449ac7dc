#!/usr/bin/env bash
# Installs the pinned libraries and this checkout's sources under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=target/requirements
pinned=$(cat deploy/requirements.txt constraints.txt)
if [ ! -f "$stamp" ] || [ "$(cat "$stamp")" != "$pinned" ]; then
  rm -rf target
  python3 -m pip install -q --disable-pip-version-check --target target/deps \
    -r deploy/requirements.txt
  printf '%s' "$pinned" > "$stamp"
fi
# Sources change more often than requirements; the copies are always replaced.
rm -rf target/deps/camphorvalve target/deps/camphorvalve_platform
cp -R src/camphorvalve platform/camphorvalve_platform target/deps/
python3 -m compileall -q target/deps/camphorvalve target/deps/camphorvalve_platform
