#!/usr/bin/env bash
# Starts a small fleet on loopback with stand-in upstreams, serves requests, prints what came back.
# --keep leaves the fleet running until interrupted.
source "$(dirname "$0")/environment.sh"
exec .venv/bin/python -m tools.quickstart "$@"
