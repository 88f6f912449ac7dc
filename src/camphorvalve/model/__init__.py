"""Core types: requests, responses, teams, upstreams, policies, hosts and errors."""

from __future__ import annotations
