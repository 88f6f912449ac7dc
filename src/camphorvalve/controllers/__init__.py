"""State controllers: each one owns and updates one part of the state of a process."""

from __future__ import annotations
