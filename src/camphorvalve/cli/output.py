"""Exit codes, errors and output of the command line."""

from __future__ import annotations

import enum
import sys
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import msgspec


class ExitCode(enum.IntEnum):
    """Exit codes of the command line."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    """Invalid usage, settings or request; nothing was changed."""
    CONFLICT = 3
    """Another change was committed first; this one changed nothing."""
    UNREACHABLE = 4


class CommandError(Exception):
    """Ends a command with an exit code and a message."""

    def __init__(self, code: ExitCode, message: str) -> None:
        """
        Create the error.

        :param code: exit code
        :param message: text for the operator
        """
        super().__init__(message)
        self.code = code


def print_message(text: str) -> None:
    """
    Print a message to standard error, apart from the output of the command.

    :param text: the message
    """
    print(text, file=sys.stderr)


def print_json(value: Any) -> None:
    """
    Print a JSON value.

    :param value: the value
    """
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_rows(rows: Sequence[Mapping[str, Any]], *, json: bool) -> None:
    """
    Print rows, as a table or as JSON.

    :param rows: rows; the table has every column that any of them has
    :param json: print JSON
    """
    if json:
        print_json(rows)
        return
    columns = list(dict.fromkeys(column for row in rows for column in row))
    lines = [columns, *([_format_cell(row.get(column)) for column in columns] for row in rows)]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    for line in lines:
        padded = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print("  ".join(padded).rstrip())


def print_fields(value: Any, *, json: bool) -> None:
    """
    Print one object, as a line for each field or as JSON.

    :param value: the object
    :param json: print JSON
    """
    if json or not isinstance(value, Mapping):
        print_json(value)
        return
    for line in _field_lines(value, ""):
        print(line)


def _field_lines(value: Mapping[str, Any], indent: str) -> Iterable[str]:
    for name, field in value.items():
        if isinstance(field, Mapping) and field:
            yield f"{indent}{name}:"
            yield from _field_lines(field, f"{indent}  ")
        elif isinstance(field, list) and any(isinstance(item, (Mapping, list)) for item in field):
            yield f"{indent}{name}:"
            yield from (f"{indent}  - {_format_cell(item)}" for item in field)
        else:
            yield f"{indent}{name}: {_format_cell(field)}"


def _format_cell(value: Any) -> str:
    match value:
        case None:
            return "-"
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:.6g}"
        case Mapping():
            return " ".join(f"{key}={_format_cell(field)}" for key, field in value.items()) or "-"
        case list() | tuple():
            return ", ".join(_format_cell(item) for item in value) or "-"
    return str(value)


__all__ = ["CommandError", "ExitCode", "print_fields", "print_json", "print_message", "print_rows"]
