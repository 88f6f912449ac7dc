"""Loads settings files, which are JSON with comments, and reports all problems at once."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any, TypeVar

import json5

from camphorvalve.settings.checks import check
from camphorvalve.settings.convert import convert
from camphorvalve.settings.problems import Problem
from camphorvalve.settings.schema import ControllerSettings, RouterSettings

SettingsT = TypeVar("SettingsT", RouterSettings, ControllerSettings)


class SettingsError(ValueError):
    """One problem in a settings file."""

    def __init__(self, path: Path, problem: Problem) -> None:
        """
        Create the error.

        :param path: path of the settings file
        :param problem: key path, actual value and expected value
        """
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


def load_router(path: str | Path) -> RouterSettings:
    """
    Load the settings of a router.

    :param path: path of the settings file
    :return: the validated settings
    :raises ExceptionGroup: of one ``SettingsError`` for each problem
    """
    return _load(RouterSettings, Path(path))


def load_controller(path: str | Path) -> ControllerSettings:
    """
    Load the settings of a controller.

    :param path: path of the settings file
    :return: the validated settings
    :raises ExceptionGroup: of one ``SettingsError`` for each problem
    """
    return _load(ControllerSettings, Path(path))


def load_settings(path: str | Path) -> RouterSettings | ControllerSettings:
    """
    Load the settings of a router or a controller; only a controller's have a ``data_folder``.

    :param path: path of the settings file
    :return: the validated settings
    :raises ExceptionGroup: of one ``SettingsError`` for each problem
    """
    document = read_document(Path(path))
    if isinstance(document, dict) and "data_folder" in document:
        return load_controller(path)
    return load_router(path)


def read_document(path: Path) -> Any:
    """
    Read a file of JSON with comments and trailing commas.

    :param path: path of the file
    :return: the JSON value
    :raises ExceptionGroup: of one ``SettingsError`` when the file is unreadable or malformed
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise settings_errors(path, [Problem("", str(error), "a readable UTF-8 file")]) from error
    try:
        return json5.loads(text, allow_duplicate_keys=False, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        shown = str(error).replace("<string>", "line ")
        raise settings_errors(path, [Problem("", shown, "JSON with comments")]) from error


def settings_errors(path: Path, problems: Iterable[Problem]) -> ExceptionGroup[SettingsError]:
    """
    Create the exception that reports all problems in a file.

    :param path: path of the file
    :param problems: the problems found
    :return: the exception group to raise
    """
    errors = [SettingsError(path, problem) for problem in problems]
    return ExceptionGroup(f"{path}: {len(errors)} invalid values", errors)


def _load(settings_type: type[SettingsT], path: Path) -> SettingsT:
    settings, problems = convert(settings_type, read_document(path))
    all_problems = [*problems]
    if isinstance(settings, settings_type):
        all_problems.extend(check(settings))
    if all_problems:
        raise settings_errors(path, all_problems)
    return settings


def _reject_constant(text: str) -> Any:
    raise ValueError(f"{text} is not a JSON number")


__all__ = [
    "SettingsError",
    "load_controller",
    "load_router",
    "load_settings",
    "read_document",
    "settings_errors",
]
