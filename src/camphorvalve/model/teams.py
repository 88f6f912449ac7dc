"""Teams, their templates, and the parameters of each kind of work."""

from __future__ import annotations

import enum
from typing import NamedTuple


class Urgency(enum.IntEnum):
    """How soon work of a kind has to be served; higher is sooner."""

    DEFERRABLE = 0
    NORMAL = 1
    URGENT = 2


class KindParameters(NamedTuple):
    """Parameters of one kind of work of a team."""

    pool: str
    urgency: Urgency = Urgency.NORMAL
    idempotent: bool = True
    objective_s: float = 10.0
    """Time to the first byte of the answer that counts as on time."""
    objective_ratio: float = 0.95
    """Part of the requests that has to meet ``objective_s``."""


class Limits(NamedTuple):
    """Bounds of what a team may keep waiting at one entry router."""

    queue_count: int = 512
    queue_bytes: int = 4 << 20
    request_bytes: int = 1 << 20


class Template(NamedTuple):
    """What a team starts from."""

    name: str
    share: float
    kinds: dict[str, KindParameters]
    limits: Limits = Limits()


class Team(NamedTuple):
    """A team: its template and the parameters that differ from it."""

    name: str
    template: str
    share: float | None = None
    kinds: dict[str, KindParameters] = {}  # noqa: RUF012 -- never changed in place
    limits: Limits | None = None


class TeamParameters(NamedTuple):
    """The parameters in force for a team, its template applied."""

    name: str
    share: float
    kinds: dict[str, KindParameters]
    limits: Limits


def resolve(team: Team, template: Template) -> TeamParameters:
    """
    Apply a team's own parameters on top of its template.

    :param team: the team
    :param template: the template that the team names
    :return: the parameters in force
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
