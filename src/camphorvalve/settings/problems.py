"""What is wrong with a JSON value, worded for operators."""

from __future__ import annotations

from typing import Any, NamedTuple

SECRET_FIELDS = frozenset({"secret", "token", "operator_token", "order_token", "keys", "callers"})
"""Plain values of these fields never appear in an error."""
SHOWN_CHARACTERS = 80


class Problem(NamedTuple):
    """One wrong value."""

    key_path: str
    shown: str
    """The value as it may be printed."""
    expected: str

    def __str__(self) -> str:
        """:return: one line for operators"""
        return f"{self.key_path or 'top level'}: got {self.shown}, expected {self.expected}"


class FieldError(ValueError):
    """A JSON value is not what a field takes."""

    def __init__(self, problem: Problem) -> None:
        """
        Create the error.

        :param problem: key path, value and expectation
        """
        super().__init__(str(problem))
        self.problem = problem


def problem_at(key_path: str, value: Any, expected: str) -> Problem:
    """
    Describe a wrong value; long values are cut and secrets are hidden.

    :param key_path: where the value stands
    :param value: the value
    :param expected: what is expected instead
    :return: the problem
    """
    return Problem(key_path, _shown(key_path, value), expected)


def _shown(path: str, value: Any) -> str:
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
