"""Raft consensus: the replicated log, the protocol decisions, and their storage on disk."""

from __future__ import annotations
