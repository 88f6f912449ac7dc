"""The replicated state machine: configuration, records of work, orders."""

from __future__ import annotations
