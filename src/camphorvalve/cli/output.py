"""Exit codes, errors and listings of the command line."""

from __future__ import annotations

import enum
import sys
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import msgspec


class ExitCode(enum.IntEnum):
    """What the command line returns to the shell."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    """Bad usage, settings or body; nothing was changed."""
    CONFLICT = 3
    """Another change came first; nothing was changed by this one."""
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


def say(text: str) -> None:
    """
    Print a line for the operator, apart from the listing.

    :param text: the line
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
    Print a listing, as a table or as JSON.

    :param rows: rows; the table has the columns of all of them
    :param json: print JSON
    """
    if json:
        print_json(rows)
        return
    columns = list(dict.fromkeys(column for row in rows for column in row))
    lines = [columns, *([_cell(row.get(column)) for column in columns] for row in rows)]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    for line in lines:
        padded = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print("  ".join(padded).rstrip())


def print_fields(value: Any, *, json: bool) -> None:
    """
    Print one object, a line for each field or as JSON.

    :param value: the object
    :param json: print JSON
    """
    if json or not isinstance(value, Mapping):
        print_json(value)
        return
    for line in _lines(value, ""):
        print(line)


def _lines(value: Mapping[str, Any], indent: str) -> Iterable[str]:
    for name, one in value.items():
        if isinstance(one, Mapping) and one:
            yield f"{indent}{name}:"
            yield from _lines(one, f"{indent}  ")
        elif isinstance(one, list) and any(isinstance(item, (Mapping, list)) for item in one):
            yield f"{indent}{name}:"
            yield from (f"{indent}  - {_cell(item)}" for item in one)
        else:
            yield f"{indent}{name}: {_cell(one)}"


def _cell(value: Any) -> str:
    match value:
        case None:
            return "-"
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:.6g}"
        case Mapping():
            return " ".join(f"{key}={_cell(one)}" for key, one in value.items()) or "-"
        case list() | tuple():
            return ", ".join(_cell(one) for one in value) or "-"
    return str(value)


__all__ = ["CommandError", "ExitCode", "print_fields", "print_json", "print_rows", "say"]
