"""HTTP clients for model engines, plain services and the platform."""

from __future__ import annotations
