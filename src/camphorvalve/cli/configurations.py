"""The command that applies a file of templates and teams."""

from __future__ import annotations

from typing import Any, NamedTuple

from camphorvalve.cli.client import connect, resolve_operation_id
from camphorvalve.cli.documents import ConfigurationFile, read_configuration
from camphorvalve.cli.output import CommandError, print_message, print_rows
from camphorvalve.settings.convert import to_json


class _Step(NamedTuple):
    position: int
    """Position in the file, so that a repeated run gives each change the same operation id."""
    change_type: str
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
    Apply templates and teams as a series of changes; those already in force are skipped.

    Teams and templates that the file does not name are left unchanged.

    :param file: templates and teams, as JSON with comments
    :param dry_run: list the changes without sending them
    :param controller: operator URL of a controller; may be repeated
    :param operation_id: id of an earlier attempt to repeat; generated when absent
    :param json: print JSON
    """
    document = read_configuration(file)
    rows: list[dict[str, Any]] = []
    async with connect(controller) as client:
        configuration = await client.read_newest("/v1/configuration")
        steps = [step for step in _change_steps(document) if _differs(step, configuration)]
        revision = configuration["revision"]
        if steps and not dry_run:
            operation_id = resolve_operation_id(operation_id)
        for step in steps:
            row = {"change": step.change_type, "name": step.name, "revision": None}
            if not dry_run:
                request = {
                    "operation_id": f"{operation_id}-{step.position}",
                    "expected_revision": revision,
                    "change": step.body,
                }
                try:
                    revision = (await client.submit("/v1/changes", request))["revision"]
                except CommandError:
                    print_message(
                        f"applied {len(rows)} of {len(steps)} changes; stopped at {step.name}"
                    )
                    raise
                row["revision"] = revision
            rows.append(row)
    print_rows(rows, json=json)


def _change_steps(document: ConfigurationFile) -> list[_Step]:
    templates = [
        ("put_template", template.name, {"type": "put_template", "template": to_json(template)})
        for template in document.templates
    ]
    teams = [
        ("put_team", team.name, {"type": "put_team", "team": to_json(team)})
        for team in document.teams
    ]
    return [_Step(position, *step) for position, step in enumerate([*templates, *teams])]


def _differs(step: _Step, configuration: dict[str, Any]) -> bool:
    match step.body:
        case {"type": "put_template", "template": expected}:
            return configuration["templates"].get(step.name) != expected
        case {"type": "put_team", "team": expected}:
            return configuration["teams"].get(step.name) != expected
    return True


__all__ = ["apply"]
