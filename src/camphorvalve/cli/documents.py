"""Reads templates, teams, manifests and whole configurations from operators' files."""

from __future__ import annotations

from pathlib import Path
from typing import Any, NamedTuple, TypeVar

from camphorvalve.model.routes import CallerBounds, Manifest, Pool, Route, Tenant
from camphorvalve.model.teams import Team, Template
from camphorvalve.settings.changes import check_team, check_template
from camphorvalve.settings.convert import convert
from camphorvalve.settings.loader import read_document, settings_errors
from camphorvalve.settings.problems import Problem

T = TypeVar("T")


class ManifestFile(NamedTuple):
    """A manifest as operators write it, with the fields of ``Manifest``."""

    version: int
    routes: tuple[Route, ...]
    pools: tuple[Pool, ...]
    tenants: tuple[Tenant, ...] | None = None
    """``None`` if requests need no keys."""
    bounds: CallerBounds = CallerBounds()


class ConfigurationFile(NamedTuple):
    """Templates and teams that the command ``apply`` reads from a file."""

    templates: tuple[Template, ...]
    teams: tuple[Team, ...]


def read_template(file: str) -> Template:
    """
    Read a template.

    :param file: JSON with comments
    :return: the template
    :raises ExceptionGroup: with one ``SettingsError`` for each invalid value
    """
    path = Path(file)
    template, problems = convert(Template, read_document(path))
    return _value_or_raise(path, template, [*problems, *check_template(template, "")])


def read_team(file: str) -> Team:
    """
    Read a team.

    :param file: JSON with comments
    :return: the team
    :raises ExceptionGroup: with one ``SettingsError`` for each invalid value
    """
    path = Path(file)
    team, problems = convert(Team, read_document(path))
    return _value_or_raise(path, team, [*problems, *check_team(team, "")])


def read_configuration(file: str) -> ConfigurationFile:
    """
    Read templates and teams, and check that their names are unique.

    :param file: JSON with comments
    :return: the templates and teams
    :raises ExceptionGroup: with one ``SettingsError`` for each invalid value
    """
    path = Path(file)
    document, problems = convert(ConfigurationFile, read_document(path))
    all_problems = [*problems]
    if isinstance(document, ConfigurationFile):
        for index, template in enumerate(_as_tuple(document.templates)):
            all_problems.extend(check_template(template, f"templates[{index}]."))
        for index, team in enumerate(_as_tuple(document.teams)):
            all_problems.extend(check_team(team, f"teams[{index}]."))
        all_problems.extend(_duplicate_names("templates", _as_tuple(document.templates)))
        all_problems.extend(_duplicate_names("teams", _as_tuple(document.teams)))
    return _value_or_raise(path, document, all_problems)


def read_manifest(file: str) -> Manifest:
    """
    Read a manifest.

    :param file: JSON with comments
    :return: the manifest
    :raises ExceptionGroup: with one ``SettingsError`` for each invalid value
    """
    path = Path(file)
    document, problems = convert(ManifestFile, read_document(path))
    return manifest_of(_value_or_raise(path, document, [*problems]), path.read_bytes())


def manifest_of(document: ManifestFile, source: bytes) -> Manifest:
    """
    Build the manifest that a document describes.

    :param document: the document
    :param source: the document as the operator wrote it
    :return: the manifest
    """
    return Manifest(
        document.version,
        document.routes,
        document.pools,
        document.tenants or (),
        document.bounds,
        source,
        lists_tenants=document.tenants is not None,
    )


def _as_tuple(value: Any) -> tuple[Any, ...]:
    return value if isinstance(value, tuple) else ()


def _duplicate_names(path: str, entries: tuple[Any, ...]) -> list[Problem]:
    names = [getattr(entry, "name", None) for entry in entries]
    return [
        Problem(f"{path}[{index}].name", repr(name), "a unique name")
        for index, name in enumerate(names)
        if isinstance(name, str) and name in names[:index]
    ]


def _value_or_raise(path: Path, value: T, problems: list[Problem]) -> T:
    if problems:
        raise settings_errors(path, problems)
    return value


__all__ = [
    "ConfigurationFile",
    "ManifestFile",
    "manifest_of",
    "read_configuration",
    "read_manifest",
    "read_team",
    "read_template",
]
