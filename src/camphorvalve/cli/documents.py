"""Reads templates, teams and whole configurations that operators keep in files."""

from __future__ import annotations

from pathlib import Path
from typing import Any, NamedTuple, TypeVar

from camphorvalve.model.teams import Team, Template
from camphorvalve.settings.changes import check_team, check_template
from camphorvalve.settings.convert import convert
from camphorvalve.settings.loader import failed, read_document
from camphorvalve.settings.problems import Problem

T = TypeVar("T")


class ConfigurationFile(NamedTuple):
    """Templates and teams that ``apply`` puts in force."""

    templates: tuple[Template, ...]
    teams: tuple[Team, ...]


def read_template(file: str) -> Template:
    """
    Read a template.

    :param file: JSON with comments
    :return: the template
    :raises ExceptionGroup: of one ``SettingsError`` for each wrong value
    """
    path = Path(file)
    template, problems = convert(Template, read_document(path))
    return _checked(path, template, [*problems, *check_template(template, "")])


def read_team(file: str) -> Team:
    """
    Read a team.

    :param file: JSON with comments
    :return: the team
    :raises ExceptionGroup: of one ``SettingsError`` for each wrong value
    """
    path = Path(file)
    team, problems = convert(Team, read_document(path))
    return _checked(path, team, [*problems, *check_team(team, "")])


def read_configuration(file: str) -> ConfigurationFile:
    """
    Read templates and teams, and check that they fit together.

    :param file: JSON with comments
    :return: the templates and teams
    :raises ExceptionGroup: of one ``SettingsError`` for each wrong value
    """
    path = Path(file)
    document, problems = convert(ConfigurationFile, read_document(path))
    found = [*problems]
    if isinstance(document, ConfigurationFile):
        for index, template in enumerate(_entries(document.templates)):
            found.extend(check_template(template, f"templates[{index}]."))
        for index, team in enumerate(_entries(document.teams)):
            found.extend(check_team(team, f"teams[{index}]."))
        found.extend(_repeated("templates", _entries(document.templates)))
        found.extend(_repeated("teams", _entries(document.teams)))
    return _checked(path, document, found)


def _entries(value: Any) -> tuple[Any, ...]:
    return value if isinstance(value, tuple) else ()


def _repeated(path: str, entries: tuple[Any, ...]) -> list[Problem]:
    names = [getattr(entry, "name", None) for entry in entries]
    return [
        Problem(f"{path}[{index}].name", repr(name), "a name that is used once")
        for index, name in enumerate(names)
        if isinstance(name, str) and name in names[:index]
    ]


def _checked(path: Path, value: T, problems: list[Problem]) -> T:
    if problems:
        raise failed(path, problems)
    return value


__all__ = ["ConfigurationFile", "read_configuration", "read_team", "read_template"]
