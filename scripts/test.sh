#!/usr/bin/env bash
# Checks format and lint, then runs every test. Arguments are passed to tools/runner.py.
source "$(dirname "$0")/environment.sh"
.venv/bin/ruff format --check .
.venv/bin/ruff check .
.venv/bin/python -m tools.runner "$@"
