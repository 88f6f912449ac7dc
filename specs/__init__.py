"""Specifications of the core protocols, checked exhaustively by the model checker ``minicheck``."""

from __future__ import annotations
