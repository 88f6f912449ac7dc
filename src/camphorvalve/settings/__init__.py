"""Schema, loading and validation of settings files, and validation of operators' requests."""

from __future__ import annotations
