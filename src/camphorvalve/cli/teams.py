"""Commands on teams."""

from __future__ import annotations

from typing import Any

from camphorvalve.cli.client import connect, send_change
from camphorvalve.cli.documents import read_team
from camphorvalve.cli.output import CommandError, ExitCode, print_fields, print_rows
from camphorvalve.settings.convert import to_json


async def put(
    name: str,
    *,
    template: str | None = None,
    share: float | None = None,
    file: str | None = None,
    controller: tuple[str, ...] = (),
    operation_id: str | None = None,
    expected_revision: int | None = None,
    json: bool = False,
) -> None:
    """
    Create a team, or change some of its own parameters and keep the others.

    :param name: name of the team
    :param template: template that the team takes its parameters from
    :param share: the team's own share, instead of the template's
    :param file: the whole team, as JSON with comments; replaces all of its own parameters
    :param controller: operator URL of a controller; may be repeated
    :param operation_id: id of an earlier attempt to repeat; generated when absent
    :param expected_revision: revision that the change is based on; the newest when absent
    :param json: print JSON
    """
    options = {"template": template, "share": share}
    changed = {key: value for key, value in options.items() if value is not None}
    from_file = to_json(read_team(file)) if file is not None else None
    if from_file is not None and from_file["name"] != name:
        message = f"{file}: name: got {from_file['name']!r}, expected {name!r}"
        raise CommandError(ExitCode.USAGE, message)
    async with connect(controller) as client:
        configuration = await client.read_newest("/v1/configuration")
        team = from_file or configuration["teams"].get(name, {"name": name})
        team = {**team, **changed}
        if "template" not in team:
            raise CommandError(ExitCode.USAGE, f"team {name!r} does not exist yet: pass --template")
        expected = configuration["revision"] if expected_revision is None else expected_revision
        body = {"type": "put_team", "team": team}
        revision = await send_change(client, body, expected, operation_id)
    print_fields({"revision": revision}, json=json)


async def set_kind(
    name: str,
    kind: str,
    *,
    pool: str | None = None,
    urgency: str | None = None,
    idempotent: bool = False,
    non_idempotent: bool = False,
    objective_s: float | None = None,
    objective_ratio: float | None = None,
    controller: tuple[str, ...] = (),
    operation_id: str | None = None,
    expected_revision: int | None = None,
    json: bool = False,
) -> None:
    """
    Set the team's own parameters of one kind of work; others keep the value that is in force.

    :param name: name of the team
    :param kind: kind of work
    :param pool: pool that serves the kind
    :param urgency: deferrable, normal or urgent
    :param idempotent: a request may be run more than once
    :param non_idempotent: a request runs at most once
    :param objective_s: objective for the time to the first byte
    :param objective_ratio: ratio of the requests that have to meet the objective
    :param controller: operator URL of a controller; may be repeated
    :param operation_id: id of an earlier attempt to repeat; generated when absent
    :param expected_revision: revision that the change is based on; the newest when absent
    :param json: print JSON
    """
    if idempotent and non_idempotent:
        raise CommandError(ExitCode.USAGE, "pass --idempotent or --non-idempotent, not both")
    options = {
        "pool": pool,
        "urgency": urgency,
        "idempotent": idempotent if idempotent or non_idempotent else None,
        "objective_s": objective_s,
        "objective_ratio": objective_ratio,
    }
    changed = {key: value for key, value in options.items() if value is not None}
    async with connect(controller) as client:
        configuration = await client.read_newest("/v1/configuration")
        team = _find_team(configuration, name)
        parameters = {**_parameters_in_force(configuration, team)["kinds"].get(kind, {}), **changed}
        body = {
            "type": "put_team",
            "team": {**team, "kinds": {**team["kinds"], kind: parameters}},
        }
        expected = configuration["revision"] if expected_revision is None else expected_revision
        revision = await send_change(client, body, expected, operation_id)
    print_fields({"revision": revision, kind: parameters}, json=json)


async def delete(
    name: str,
    *,
    controller: tuple[str, ...] = (),
    operation_id: str | None = None,
    expected_revision: int | None = None,
    json: bool = False,
) -> None:
    """
    Delete a team; its waiting requests are still served.

    :param name: name of the team
    :param controller: operator URL of a controller; may be repeated
    :param operation_id: id of an earlier attempt to repeat; generated when absent
    :param expected_revision: revision that the change is based on; the newest when absent
    :param json: print JSON
    """
    async with connect(controller) as client:
        expected = await client.revision() if expected_revision is None else expected_revision
        body = {"type": "delete_team", "name": name}
        revision = await send_change(client, body, expected, operation_id)
    print_fields({"revision": revision}, json=json)


async def list_teams(*, controller: tuple[str, ...] = (), json: bool = False) -> None:
    """
    List the teams with their shares in force.

    :param controller: operator URL of a controller; may be repeated
    :param json: print JSON
    """
    async with connect(controller) as client:
        configuration = await client.read_newest("/v1/configuration")
    print_rows([_row(configuration, team) for team in configuration["teams"].values()], json=json)


async def show(name: str, *, controller: tuple[str, ...] = (), json: bool = False) -> None:
    """
    Show a team's own parameters, and those in force with its template.

    :param name: name of the team
    :param controller: operator URL of a controller; may be repeated
    :param json: print JSON
    """
    async with connect(controller) as client:
        configuration = await client.read_newest("/v1/configuration")
    team = _find_team(configuration, name)
    print_fields({"own": team, "in_force": _parameters_in_force(configuration, team)}, json=json)


def _find_team(configuration: dict[str, Any], name: str) -> dict[str, Any]:
    team = configuration["teams"].get(name)
    if team is None:
        raise CommandError(ExitCode.FAILED, f"team {name!r} does not exist")
    return team


def _parameters_in_force(configuration: dict[str, Any], team: dict[str, Any]) -> dict[str, Any]:
    template = configuration["templates"][team["template"]]
    return {
        "share": template["share"] if team["share"] is None else team["share"],
        "kinds": {**template["kinds"], **team["kinds"]},
        "limits": team["limits"] or template["limits"],
    }


def _row(configuration: dict[str, Any], team: dict[str, Any]) -> dict[str, Any]:
    parameters = _parameters_in_force(configuration, team)
    return {
        "name": team["name"],
        "template": team["template"],
        "share": parameters["share"],
        "kinds": list(parameters["kinds"]),
        "own": [field for field in ("share", "kinds", "limits") if team[field]],
    }


__all__ = ["delete", "list_teams", "put", "set_kind", "show"]
