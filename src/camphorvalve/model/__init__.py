"""Core types: requests, answers, teams, upstreams, policies, hosts and errors."""

from __future__ import annotations
