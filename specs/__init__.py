"""Small specifications of the core protocols for the model checker ``minicheck``."""

from __future__ import annotations
