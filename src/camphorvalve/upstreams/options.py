"""Options of one attempt: its start point, timeouts and connection."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True, slots=True)
class FromStart:
    """Send the request as the caller sent it."""


@dataclass(frozen=True, slots=True)
class ResumeStream:
    """Resume a broken stream at the engine that still runs it."""

    events_count: int
    """Number of the last event that was received."""
    text: str
    """Text of all events received so far."""


@dataclass(frozen=True, slots=True)
class ContinueText:
    """Let another engine continue from the text received so far."""

    events_count: int
    text: str


StartPoint = FromStart | ResumeStream | ContinueText


class AttemptOptions(NamedTuple):
    """Options of one attempt."""

    start_point: StartPoint = FromStart()
    fresh_connection: bool = False
    """Open a new connection; set for non-idempotent requests, and implied for repeated attempts and
    continuations. If the upstream closes a reused idle connection just as a request is sent, it is
    unknown whether the request arrived."""
    connect_timeout_s: float = 1.0
    inactivity_timeout_s: float = 60.0
    """Longest time that one read from, or write to, the upstream may take."""


__all__ = ["AttemptOptions", "StartPoint", "ContinueText", "FromStart", "ResumeStream"]
