"""Routes requests to models and services, whose capacity it divides fairly between teams."""

from __future__ import annotations

__version__ = "0.1.0"

__all__ = ["__version__"]
