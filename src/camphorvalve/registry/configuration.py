"""Configuration in force: templates, teams and drains under one revision."""

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
)


class ChangeError(Exception):
    """A change names something that does not exist, or a value out of range."""


class Configuration(NamedTuple):
    """One revision of the configuration; never changed in place."""

    revision: int
    templates: dict[str, Template]
    teams: dict[str, Team]
    draining: frozenset[str]
    manifest: Manifest | None = None

    def parameters(self, team: str) -> TeamParameters | None:
        """
        Look up a team's parameters in force.

        :param team: name of the team
        :return: the parameters, or ``None`` for an unknown team
        """
        found = self.teams.get(team)
        return None if found is None else resolve(found, self.templates[found.template])

    def total_share(self, pool: str) -> float:
        """
        Sum the shares of all teams with a kind of work in a pool.

        :param pool: name of the pool
        :return: the sum
        """
        resolved = (self.parameters(team) for team in self.teams)
        return sum(
            one.share
            for one in resolved
            if one is not None and any(kind.pool == pool for kind in one.kinds.values())
        )


EMPTY = Configuration(0, {}, {}, frozenset())


def apply_change(configuration: Configuration, change: Change) -> Configuration:
    """
    Apply one change; the revision grows by one.

    :param configuration: revision before
    :param change: the change
    :return: revision after
    :raises ChangeError: the change is invalid
    """
    following = configuration._replace(revision=configuration.revision + 1)
    match change:
        case PutTemplate(template):
            _check_share(f"template {template.name!r}", template.share)
            return following._replace(templates={**following.templates, template.name: template})
        case PutTeam(team):
            if team.template not in following.templates:
                raise ChangeError(f"team {team.name!r}: template {team.template!r} does not exist")
            if team.share is not None:
                _check_share(f"team {team.name!r}", team.share)
            return following._replace(teams={**following.teams, team.name: team})
        case DeleteTeam(name):
            if name not in following.teams:
                raise ChangeError(f"team {name!r} does not exist")
            teams = {key: team for key, team in following.teams.items() if key != name}
            return following._replace(teams=teams)
        case SetDrain(member_id, draining):
            members = {member_id}
            drained = following.draining | members if draining else following.draining - members
            return following._replace(draining=drained)
        case PutManifest(manifest):
            return following._replace(manifest=manifest)


def _check_share(owner: str, share: float) -> None:
    if not 0 < share < float("inf"):
        raise ChangeError(f"{owner}: share must be above 0, got {share}")


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


__all__ = ["EMPTY", "ChangeError", "Configuration", "apply_change", "decode", "encode"]
