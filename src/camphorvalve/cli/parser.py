"""The tree of commands and the argument parser."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import defopt

from camphorvalve import __version__
from camphorvalve.cli import (
    configurations,
    daemons,
    explain,
    fleet,
    orders,
    reviews,
    teams,
    templates,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

DESCRIPTION = """\
Starts the processes of a camphorvalve fleet and controls them through their operator ports.

Operator URLs come from --controller and --router, or from CAMPHORVALVE_CONTROLLERS and
CAMPHORVALVE_ROUTERS (separated by spaces or commas). The operator token comes from
CAMPHORVALVE_TOKEN. Exit codes: 0 done, 1 failed, 2 bad usage or settings, 3 conflict,
4 not reachable. The groups template, team, order and explain have their own --help.
"""

COMMANDS: dict[str, Any] = {
    "router": daemons.router,
    "controller": daemons.controller,
    "bootstrap": daemons.bootstrap,
    "keys": daemons.keys,
    "check": daemons.check,
    "check-configuration": reviews.check_configuration,
    "template": {
        "put": templates.put,
        "list": templates.list_templates,
        "show": templates.show,
    },
    "team": {
        "put": teams.put,
        "set-kind": teams.set_kind,
        "delete": teams.delete,
        "list": teams.list_teams,
        "show": teams.show,
    },
    "apply": configurations.apply,
    "status": fleet.status,
    "drain": fleet.drain,
    "evacuate": fleet.evacuate,
    "bound-room": fleet.bound_room,
    "order": {
        "load-model": orders.load_model,
        "load-adapter": orders.load_adapter,
        "change-role": orders.change_role,
        "list": orders.list_orders,
    },
    "explain": {"request": explain.request, "team": explain.team, "log": explain.log},
    "burn": explain.burn,
}

_REPEATABLE_OPTIONS = ("--controller", "--router")


def parse(argv: Sequence[str]) -> Any:
    """
    Parse the arguments and call the command; a coroutine function only returns its coroutine.

    :param argv: arguments
    :return: a coroutine to await, or ``None``
    """
    return defopt.run(
        COMMANDS,
        argv=list(_merge_repeated_options(argv)),
        short={},
        no_negated_flags=True,
        version=__version__,
        argparse_kwargs={"prog": "camphorvalve", "description": DESCRIPTION},
    )


def _merge_repeated_options(argv: Sequence[str]) -> Iterator[str]:
    """Merge a repeated option into one with several values, as defopt expects lists."""
    values: dict[str, list[str]] = {option: [] for option in _REPEATABLE_OPTIONS}
    remaining = iter(argv)
    for argument in remaining:
        option, equals, value = argument.partition("=")
        if option not in values:
            yield argument
        else:
            values[option].append(value if equals else next(remaining, ""))
    for option, urls in values.items():
        if urls:
            yield from (option, *urls)


__all__ = ["COMMANDS", "parse"]
