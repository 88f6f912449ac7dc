"""Scheduling policies; the scheduler chooses by ``match``."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FleetFair:
    """Fair shares across the whole fleet, from exchanged and extrapolated service."""

    advance_s: float = 0.5
    """How far an urgent team may run ahead, in seconds of the pool's rate."""
    debt_cap_s: float = 1.5
    """How far a team may lag before the rest of its claim is dropped."""


@dataclass(frozen=True, slots=True)
class LocalFair:
    """Fair shares by each scheduler's own service only; a baseline of the measurements."""


@dataclass(frozen=True, slots=True)
class FirstCome:
    """Oldest request first; a baseline of the measurements."""


Policy = FleetFair | LocalFair | FirstCome

__all__ = ["FirstCome", "FleetFair", "LocalFair", "Policy"]
