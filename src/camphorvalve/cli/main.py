"""Runs one command and maps its errors to exit codes."""

from __future__ import annotations

import inspect
import sys
from typing import TYPE_CHECKING, Any

from camphorvalve import loop
from camphorvalve.cli import daemons
from camphorvalve.cli.output import CommandError, ExitCode, print_message
from camphorvalve.settings.loader import SettingsError

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence


def main(argv: Sequence[str] | None = None) -> int:
    """
    Run one command.

    :param argv: arguments; those of the process when absent
    :return: exit code
    """
    arguments = sys.argv[1:] if argv is None else argv
    try:
        return loop.run(execute, arguments)
    except KeyboardInterrupt:
        return ExitCode.FAILED


async def execute(argv: Sequence[str]) -> ExitCode:
    """
    Run one command on the running event loop.

    :param argv: arguments
    :return: exit code
    :raises SystemExit: raised by the argument parser for help and invalid usage
    """
    try:
        command = _command(argv)
        if inspect.isawaitable(command):
            await command
    except CommandError as error:
        print_message(f"camphorvalve: {error}")
        return error.code
    except ExceptionGroup as group:
        settings_errors, others = group.split(SettingsError)
        for message in _messages(settings_errors):
            print_message(f"camphorvalve: {message}")
        if others is not None:
            raise others from group
        return ExitCode.USAGE
    return ExitCode.DONE


def _command(argv: Sequence[str]) -> Any:
    """Call the command; daemons skip the argument parser, which takes time and stays in memory."""
    match argv:
        case ["router", path] if not path.startswith("-"):
            return daemons.router(path)
        case ["controller", path] if not path.startswith("-"):
            return daemons.controller(path)
    from camphorvalve.cli.parser import parse

    return parse(argv)


def _messages(group: ExceptionGroup[Any] | None) -> Iterator[str]:
    for error in () if group is None else group.exceptions:
        if isinstance(error, ExceptionGroup):
            yield from _messages(error)
        else:
            yield str(error)


__all__ = ["execute", "main"]
