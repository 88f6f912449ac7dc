"""Revisions of the configuration: templates, teams, drained members and the manifest."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from camphorvalve.model.routes import Manifest
from camphorvalve.model.teams import Team, TeamParameters, Template, resolve
from camphorvalve.registry.commands import (
    Change,
    DeleteTeam,
    PutManifest,
    PutTeam,
    PutTemplate,
    SetDrain,
    SetEvacuation,
    SetRoom,
)

MAX_BOUNDS_COUNT = 1024
"""Most engines with a bound; the bound of an engine that has left stays until it is lifted."""


class ChangeError(Exception):
    """A change names something that does not exist, or a value out of range."""


class Evacuation(NamedTuple):
    """Whether a data centre is evacuated, and how often that has changed."""

    in_force: bool = False
    changes_count: int = 0
    """Tells an order that was overtaken by later ones from one that is still current."""


class Configuration(NamedTuple):
    """An immutable revision of the configuration."""

    revision: int
    templates: dict[str, Template]
    teams: dict[str, Team]
    draining: frozenset[str]
    manifest: Manifest | None = None
    evacuations: dict[str, Evacuation] = {}  # noqa: RUF012 - revisions are immutable
    """By data centre; those that were never evacuated have no entry."""
    room_bounds: dict[str, int] = {}  # noqa: RUF012 - revisions are immutable
    """Most requests of an engine that is shared by its load, by its id, as operators set them."""

    def evacuated(self) -> frozenset[str]:
        """:return: data centres whose upstreams get no new work"""
        return frozenset(
            name for name, evacuation in self.evacuations.items() if evacuation.in_force
        )

    def parameters(self, team: str) -> TeamParameters | None:
        """
        Look up the effective parameters of a team.

        :param team: name of the team
        :return: the parameters, or ``None`` for an unknown team
        """
        entry = self.teams.get(team)
        return None if entry is None else resolve(entry, self.templates[entry.template])

    def total_share(self, pool: str) -> float:
        """
        Sum the shares of all teams with a kind of work in a pool.

        :param pool: name of the pool
        :return: the sum
        """
        resolved = (self.parameters(team) for team in self.teams)
        return sum(
            team.share
            for team in resolved
            if team is not None and any(kind.pool == pool for kind in team.kinds.values())
        )


EMPTY_CONFIGURATION = Configuration(0, {}, {}, frozenset())


def apply_change(configuration: Configuration, change: Change) -> Configuration:
    """
    Apply one change and increment the revision.

    :param configuration: the revision to change
    :param change: the change
    :return: the next revision
    :raises ChangeError: the change is invalid
    """
    updated = configuration._replace(revision=configuration.revision + 1)
    match change:
        case PutTemplate(template):
            _check_share(f"template {template.name!r}", template.share)
            return updated._replace(templates={**updated.templates, template.name: template})
        case PutTeam(team):
            if team.template not in updated.templates:
                raise ChangeError(f"team {team.name!r}: template {team.template!r} does not exist")
            if team.share is not None:
                _check_share(f"team {team.name!r}", team.share)
            return updated._replace(teams={**updated.teams, team.name: team})
        case DeleteTeam(name):
            if name not in updated.teams:
                raise ChangeError(f"team {name!r} does not exist")
            teams = {key: team for key, team in updated.teams.items() if key != name}
            return updated._replace(teams=teams)
        case SetDrain(member_id, draining):
            members = {member_id}
            drained = updated.draining | members if draining else updated.draining - members
            return updated._replace(draining=drained)
        case PutManifest(manifest):
            return updated._replace(manifest=manifest)
        case SetEvacuation(data_centre, evacuated):
            known = updated.evacuations.get(data_centre, Evacuation())
            evacuation = Evacuation(evacuated, known.changes_count + 1)
            return updated._replace(evacuations={**updated.evacuations, data_centre: evacuation})
        case SetRoom(upstream_id, most_count):
            bounds = {
                key: count for key, count in updated.room_bounds.items() if key != upstream_id
            }
            if most_count is not None:
                bounds[upstream_id] = most_count
            if len(bounds) > MAX_BOUNDS_COUNT:
                raise ChangeError(f"{MAX_BOUNDS_COUNT} engines have a bound; lift one first")
            return updated._replace(room_bounds=bounds)


def _check_share(subject: str, share: float) -> None:
    if not 0 < share < float("inf"):
        raise ChangeError(f"{subject}: share must be above 0, got {share}")


def encode(configuration: Configuration) -> bytes:
    """
    Encode a whole configuration.

    :param configuration: the configuration
    :return: MessagePack
    """
    return msgspec.msgpack.encode(configuration)


def decode(data: bytes) -> Configuration:
    """
    Decode a whole configuration.

    :param data: bytes from ``encode``
    :return: the configuration
    :raises msgspec.ValidationError: the bytes are not a configuration; names the field
    """
    return msgspec.msgpack.decode(data, type=Configuration)


__all__ = [
    "EMPTY_CONFIGURATION",
    "MAX_BOUNDS_COUNT",
    "ChangeError",
    "Configuration",
    "Evacuation",
    "apply_change",
    "decode",
    "encode",
]
