"""The chain of filters that processes every request."""

from __future__ import annotations
