"""State controllers: each owns one part of the state of a process."""

from __future__ import annotations
