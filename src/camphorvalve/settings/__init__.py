"""Settings files: their shape and the checks before anything starts."""

from __future__ import annotations
