"""Teams, their templates, and the parameters of each kind of work."""

from __future__ import annotations

import enum
from typing import NamedTuple


class Urgency(enum.IntEnum):
    """Scheduling urgency of a kind of work; a higher value is served sooner."""

    DEFERRABLE = 0
    NORMAL = 1
    URGENT = 2


class KindParameters(NamedTuple):
    """Parameters of one kind of work of a team."""

    pool: str
    urgency: Urgency = Urgency.NORMAL
    idempotent: bool = True
    objective_s: float = 10.0
    """Latency objective: time to the first byte of the response."""
    objective_ratio: float = 0.95
    """Fraction of the requests that has to meet ``objective_s``."""


class Limits(NamedTuple):
    """Limits on a team's waiting requests at one entry router."""

    queue_count: int = 512
    queue_bytes: int = 4 << 20
    request_bytes: int = 1 << 20


class Template(NamedTuple):
    """Default parameters for the teams that name this template."""

    name: str
    share: float
    kinds: dict[str, KindParameters]
    limits: Limits = Limits()


class Team(NamedTuple):
    """A team: its template and the parameters that override it."""

    name: str
    template: str
    share: float | None = None
    kinds: dict[str, KindParameters] = {}  # noqa: RUF012 -- never mutated
    limits: Limits | None = None


class TeamParameters(NamedTuple):
    """Effective parameters of a team, with its template applied."""

    name: str
    share: float
    kinds: dict[str, KindParameters]
    limits: Limits


def resolve(team: Team, template: Template) -> TeamParameters:
    """
    Override the parameters of a template with those of a team.

    :param team: the team
    :param template: the template that the team names
    :return: the effective parameters
    """
    return TeamParameters(
        name=team.name,
        share=template.share if team.share is None else team.share,
        kinds={**template.kinds, **team.kinds},
        limits=team.limits or template.limits,
    )


__all__ = [
    "KindParameters",
    "Limits",
    "Team",
    "TeamParameters",
    "Template",
    "Urgency",
    "resolve",
]
