"""Loads settings files: JSON with comments, checked as a whole."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any, TypeVar

import json5

from camphorvalve.settings.checks import check
from camphorvalve.settings.convert import convert
from camphorvalve.settings.problems import Problem
from camphorvalve.settings.schema import ControllerSettings, RouterSettings

S = TypeVar("S", RouterSettings, ControllerSettings)


class SettingsError(ValueError):
    """One thing that is wrong with a settings file."""

    def __init__(self, path: Path, problem: Problem) -> None:
        """
        Create the error.

        :param path: the file
        :param problem: key path, value and expectation
        """
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


def load_router(path: str | Path) -> RouterSettings:
    """
    Load the settings of a router.

    :param path: the file
    :return: the settings
    :raises ExceptionGroup: of one ``SettingsError`` for each thing that is wrong
    """
    return _load(RouterSettings, Path(path))


def load_controller(path: str | Path) -> ControllerSettings:
    """
    Load the settings of a controller.

    :param path: the file
    :return: the settings
    :raises ExceptionGroup: of one ``SettingsError`` for each thing that is wrong
    """
    return _load(ControllerSettings, Path(path))


def load_either(path: str | Path) -> RouterSettings | ControllerSettings:
    """
    Load settings of either kind; only a controller's have a ``data_folder``.

    :param path: the file
    :return: the settings
    :raises ExceptionGroup: of one ``SettingsError`` for each thing that is wrong
    """
    document = read_document(Path(path))
    if isinstance(document, dict) and "data_folder" in document:
        return load_controller(path)
    return load_router(path)


def read_document(path: Path) -> Any:
    """
    Read JSON with comments and trailing commas.

    :param path: the file
    :return: the JSON value
    :raises ExceptionGroup: of a ``SettingsError`` when the file is unreadable or malformed
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise failed(path, [Problem("", str(error), "a readable file in UTF-8")]) from error
    try:
        return json5.loads(text, allow_duplicate_keys=False, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        shown = str(error).replace("<string>", "line ")
        raise failed(path, [Problem("", shown, "JSON with comments")]) from error


def failed(path: Path, problems: Iterable[Problem]) -> ExceptionGroup[SettingsError]:
    """
    Gather everything that is wrong with a file.

    :param path: the file
    :param problems: what is wrong
    :return: the group to raise
    """
    errors = [SettingsError(path, problem) for problem in problems]
    return ExceptionGroup(f"{path}: {len(errors)} wrong values", errors)


def _load(kind: type[S], path: Path) -> S:
    settings, problems = convert(kind, read_document(path))
    found = [*problems]
    if isinstance(settings, kind):
        found.extend(check(settings))
    if found:
        raise failed(path, found)
    return settings


def _reject_constant(text: str) -> Any:
    raise ValueError(f"{text} is not a JSON number")


__all__ = [
    "SettingsError",
    "failed",
    "load_controller",
    "load_either",
    "load_router",
    "read_document",
]
