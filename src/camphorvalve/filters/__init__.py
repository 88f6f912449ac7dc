"""The chain of filters that every request passes."""

from __future__ import annotations
