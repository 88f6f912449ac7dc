"""A router fleet for teams that share model and service capacity fairly."""

from __future__ import annotations

__version__ = "0.1.0"

__all__ = ["__version__"]
