#!/usr/bin/env bash
# Creates or refreshes the virtual environment .venv from the pinned versions. Sourced by the others.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
stamp=.venv/.installed
pinned=$(cat constraints.txt pyproject.toml | sha256sum)
if [ ! -f "$stamp" ] || [ "$(cat "$stamp")" != "$pinned" ]; then
  python3 -m venv .venv
  .venv/bin/pip install --quiet --disable-pip-version-check -c constraints.txt setuptools wheel
  .venv/bin/pip install --quiet --disable-pip-version-check --no-build-isolation \
    -c constraints.txt -e '.[dev]'
  printf '%s' "$pinned" > "$stamp"
fi
export PYTHONPATH="$PWD/src:$PWD/platform:$PWD"
export PYTHONDONTWRITEBYTECODE=1
