#!/usr/bin/env bash
# Measures the fleet on loopback; see docs/measures.md. --quick takes at most 50 s.
source "$(dirname "$0")/environment.sh"
exec .venv/bin/python -m tools.measure "$@"
