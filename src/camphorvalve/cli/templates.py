"""Commands on templates."""

from __future__ import annotations

from typing import Any

from camphorvalve.cli.client import connect, send_change
from camphorvalve.cli.documents import read_template
from camphorvalve.cli.output import CommandError, ExitCode, print_fields, print_rows
from camphorvalve.settings.convert import to_json


async def put(
    file: str,
    *,
    controller: tuple[str, ...] = (),
    operation_id: str | None = None,
    expected_revision: int | None = None,
    json: bool = False,
) -> None:
    """
    Create or replace a template.

    :param file: name, share, kinds and limits, as JSON with comments
    :param controller: operator URL of a controller; may be repeated
    :param operation_id: id of an earlier attempt to repeat; generated when absent
    :param expected_revision: revision that the change is based on; the newest when absent
    :param json: print JSON
    """
    body = {"type": "put_template", "template": to_json(read_template(file))}
    async with connect(controller) as client:
        expected = await client.revision() if expected_revision is None else expected_revision
        revision = await send_change(client, body, expected, operation_id)
    print_fields({"revision": revision}, json=json)


async def list_templates(*, controller: tuple[str, ...] = (), json: bool = False) -> None:
    """
    List the templates.

    :param controller: operator URL of a controller; may be repeated
    :param json: print JSON
    """
    async with connect(controller) as client:
        configuration = await client.read_newest("/v1/configuration")
    print_rows(
        [_row(template, configuration) for template in configuration["templates"].values()],
        json=json,
    )


async def show(name: str, *, controller: tuple[str, ...] = (), json: bool = False) -> None:
    """
    Show a template.

    :param name: name of the template
    :param controller: operator URL of a controller; may be repeated
    :param json: print JSON
    """
    async with connect(controller) as client:
        configuration = await client.read_newest("/v1/configuration")
    template = configuration["templates"].get(name)
    if template is None:
        raise CommandError(ExitCode.FAILED, f"template {name!r} does not exist")
    print_fields(template, json=json)


def _row(template: dict[str, Any], configuration: dict[str, Any]) -> dict[str, Any]:
    teams = [
        team for team in configuration["teams"].values() if team["template"] == template["name"]
    ]
    return {
        "name": template["name"],
        "share": template["share"],
        "kinds": list(template["kinds"]),
        "teams_count": len(teams),
    }


__all__ = ["list_templates", "put", "show"]
