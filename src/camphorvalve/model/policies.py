"""Scheduling policies; the scheduler selects its behaviour by ``match`` on these classes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FleetFair:
    """Fair shares across the whole fleet, based on exchanged and extrapolated service totals."""

    advance_s: float = 0.5
    """How far urgent work may put a team ahead of its share, in seconds of the pool's rate."""
    debt_cap_s: float = 1.5
    """How far a team may fall behind its share, in seconds of the pool's rate; more is dropped."""


@dataclass(frozen=True, slots=True)
class LocalFair:
    """Fair shares based on each scheduler's own service only; a baseline for measurements."""


@dataclass(frozen=True, slots=True)
class FirstCome:
    """Oldest request first; a baseline for measurements."""


Policy = FleetFair | LocalFair | FirstCome

__all__ = ["FirstCome", "FleetFair", "LocalFair", "Policy"]
