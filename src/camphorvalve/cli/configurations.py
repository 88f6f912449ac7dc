"""The command that puts a file of templates and teams in force."""

from __future__ import annotations

from typing import Any, NamedTuple

from camphorvalve.cli.client import announce, connect
from camphorvalve.cli.documents import ConfigurationFile, read_configuration
from camphorvalve.cli.output import CommandError, print_rows, say
from camphorvalve.settings.convert import to_json


class _Step(NamedTuple):
    position: int
    """Position in the file, so that a resend gives each change the same operation id."""
    what: str
    name: str
    body: dict[str, Any]


async def apply(
    file: str,
    *,
    dry_run: bool = False,
    controller: tuple[str, ...] = (),
    operation_id: str | None = None,
    json: bool = False,
) -> None:
    """
    Put templates and teams in force, as a series of changes; what is in force is passed over.

    Teams and templates that the file doesn't name stay as they are.

    :param file: JSON with comments: templates and teams
    :param dry_run: list the changes and send none
    :param controller: operator URL of a controller; may be repeated
    :param operation_id: id of an earlier try that is sent again; drawn when absent
    :param json: print JSON
    """
    document = read_configuration(file)
    rows: list[dict[str, Any]] = []
    async with connect(controller) as ports:
        configuration = await ports.read_newest("/v1/configuration")
        steps = [step for step in _steps(document) if _differs(step, configuration)]
        revision = configuration["revision"]
        if steps and not dry_run:
            operation_id = announce(operation_id)
        for step in steps:
            row = {"change": step.what, "name": step.name, "revision": None}
            if not dry_run:
                request = {
                    "operation_id": f"{operation_id}-{step.position}",
                    "expected_revision": revision,
                    "change": step.body,
                }
                try:
                    revision = (await ports.submit("/v1/changes", request))["revision"]
                except CommandError:
                    say(f"{len(rows)} of {len(steps)} changes are in force; stopped at {step.name}")
                    raise
                row["revision"] = revision
            rows.append(row)
    print_rows(rows, json=json)


def _steps(document: ConfigurationFile) -> list[_Step]:
    templates = [
        ("put_template", one.name, {"type": "put_template", "template": to_json(one)})
        for one in document.templates
    ]
    teams = [
        ("put_team", one.name, {"type": "put_team", "team": to_json(one)}) for one in document.teams
    ]
    return [_Step(position, *step) for position, step in enumerate([*templates, *teams])]


def _differs(step: _Step, configuration: dict[str, Any]) -> bool:
    match step.body:
        case {"type": "put_template", "template": wanted}:
            return configuration["templates"].get(step.name) != wanted
        case {"type": "put_team", "team": wanted}:
            return configuration["teams"].get(step.name) != wanted
    return True


__all__ = ["apply"]
