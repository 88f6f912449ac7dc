"""Error messages about invalid values in settings files and requests; they hide secrets."""

from __future__ import annotations

from typing import Any, NamedTuple

SECRET_FIELDS = frozenset({"secret", "token", "operator_token", "order_token", "keys", "callers"})
"""Names of fields whose values error messages replace by their type."""
SHOWN_CHARACTERS = 80
"""Longer values are truncated in error messages."""


class Problem(NamedTuple):
    """An invalid value and what is expected in its place."""

    key_path: str
    """Where the value is, such as ``controllers[0].host_id``; empty for the document itself."""
    shown: str
    """Printable form of the value, truncated and without secrets."""
    expected: str

    def __str__(self) -> str:
        """:return: one line for an error message"""
        return f"{self.key_path or 'top level'}: got {self.shown}, expected {self.expected}"


class FieldError(ValueError):
    """A JSON value that its field does not accept."""

    def __init__(self, problem: Problem) -> None:
        """
        Create the error.

        :param problem: key path, actual value and expected value
        """
        super().__init__(str(problem))
        self.problem = problem


def problem_at(key_path: str, value: Any, expected: str) -> Problem:
    """
    Describe an invalid value; long values are truncated and secrets are hidden.

    :param key_path: key path of the value
    :param value: the invalid value
    :param expected: description of valid values
    :return: the problem
    """
    return Problem(key_path, _printable(key_path, value), expected)


def _printable(path: str, value: Any) -> str:
    match value:
        case dict():
            return "an object"
        case list():
            return "a list"
        case None:
            return "null"
    last_field = path.rpartition(".")[2].partition("[")[0]
    if last_field in SECRET_FIELDS:
        return f"a hidden {type(value).__name__}"
    text = repr(value)
    return text if len(text) <= SHOWN_CHARACTERS else f"{text[:SHOWN_CHARACTERS]}..."


__all__ = ["FieldError", "Problem", "problem_at"]
