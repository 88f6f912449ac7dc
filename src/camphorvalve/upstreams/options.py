"""How an attempt begins and how long it may take."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True, slots=True)
class FromStart:
    """Send the request as the caller sent it."""


@dataclass(frozen=True, slots=True)
class ResumeStream:
    """Read on in a stream that broke, at the engine that runs it."""

    events_count: int
    """Number of the last event that was received."""
    text: str


@dataclass(frozen=True, slots=True)
class ContinueText:
    """Let another engine go on from the text so far."""

    events_count: int
    text: str


Begin = FromStart | ResumeStream | ContinueText


class AttemptOptions(NamedTuple):
    """Options of one attempt."""

    begin: Begin = FromStart()
    fresh_connection: bool = False
    """Open a new connection. An idle connection that the upstream closes at the same moment
    leaves it unknown whether the request arrived; non-idempotent requests set this."""
    connect_timeout_s: float = 1.0
    silence_timeout_s: float = 60.0
    """Longest time without a byte from the upstream."""


__all__ = ["AttemptOptions", "Begin", "ContinueText", "FromStart", "ResumeStream"]
