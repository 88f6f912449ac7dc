"""Decisions on sharing capacity; no input or output."""

from __future__ import annotations
