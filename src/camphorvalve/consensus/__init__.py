"""The replicated log: decisions, and files of the log."""

from __future__ import annotations
