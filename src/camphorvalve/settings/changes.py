"""Validates operators' configuration changes and engine orders before they are replicated."""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from camphorvalve.model.teams import KindParameters, Limits, Team, Template
from camphorvalve.registry.commands import (
    Change,
    ChangeRole,
    DeleteTeam,
    EngineAction,
    LoadAdapter,
    LoadModel,
    PutTeam,
    PutTemplate,
    SetDrain,
    SetEvacuation,
    SetRoom,
)
from camphorvalve.settings.convert import convert
from camphorvalve.settings.problems import FieldError, Problem, problem_at

MAX_COUNT = 1 << 50
"""Exceeds every revision and size in use, and is exact in JSON parsers that use doubles."""

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_ID = re.compile(r"[!-~]{1,128}")
_LABEL = re.compile(r"[!-~]{1,256}")


class ChangeRequest(NamedTuple):
    """Body of a request that changes the configuration."""

    operation_id: str
    expected_revision: int
    change: Change


class OrderRequest(NamedTuple):
    """Body of a request that gives an order to an engine."""

    operation_id: str
    upstream_id: str
    action: EngineAction


def parse_change(body: Any) -> ChangeRequest:
    """
    Convert and validate the body of a change request.

    :param body: JSON value
    :return: the validated request
    :raises ExceptionGroup: of one ``FieldError`` for each invalid value
    """
    request, problems = convert(ChangeRequest, body)
    all_problems = [*problems]
    if isinstance(request, ChangeRequest):
        all_problems.extend(_check_id("operation_id", request.operation_id))
        all_problems.extend(
            _check_range("expected_revision", request.expected_revision, 0, MAX_COUNT)
        )
        all_problems.extend(check_change(request.change, "change"))
    _raise_problems(all_problems)
    return request


def parse_order(body: Any) -> OrderRequest:
    """
    Convert and validate the body of an order request.

    :param body: JSON value
    :return: the validated request
    :raises ExceptionGroup: of one ``FieldError`` for each invalid value
    """
    request, problems = convert(OrderRequest, body)
    all_problems = [*problems]
    if isinstance(request, OrderRequest):
        all_problems.extend(_check_id("operation_id", request.operation_id))
        all_problems.extend(_check_id("upstream_id", request.upstream_id))
        all_problems.extend(_check_action(request.action))
    _raise_problems(all_problems)
    return request


def check_change(change: Any, path: str) -> Iterator[Problem]:
    """
    Validate a converted change; values that failed the conversion are skipped.

    :param change: the change
    :param path: key path of the change
    :return: the problems found
    """
    match change:
        case PutTemplate(template):
            yield from check_template(template, f"{path}.template.")
        case PutTeam(team):
            yield from check_team(team, f"{path}.team.")
        case DeleteTeam(name):
            yield from _check_name(f"{path}.name", name)
        case SetDrain(member_id, _):
            yield from _check_id(f"{path}.member_id", member_id)
        case SetEvacuation(data_centre, _):
            yield from _check_name(f"{path}.data_centre", data_centre)
        case SetRoom(upstream_id, most_count):
            yield from _check_id(f"{path}.upstream_id", upstream_id)
            if most_count is not None:
                yield from _check_range(f"{path}.most_count", most_count, 1, MAX_COUNT)


def check_template(template: Any, prefix: str) -> Iterator[Problem]:
    """
    Validate a template; values that failed the conversion are skipped.

    :param template: the template
    :param prefix: prepended to the key paths of its fields, such as ``change.template.``
    :return: the problems found
    """
    if not isinstance(template, Template):
        return
    yield from _check_name(f"{prefix}name", template.name)
    yield from _check_share(f"{prefix}share", template.share)
    yield from _check_kinds(f"{prefix}kinds", template.kinds)
    if isinstance(template.kinds, Mapping) and not template.kinds:
        yield Problem(f"{prefix}kinds", "no kinds", "at least one kind of work")
    yield from _check_limits(f"{prefix}limits", template.limits)


def check_team(team: Any, prefix: str) -> Iterator[Problem]:
    """
    Validate a team; values that failed the conversion are skipped.

    :param team: the team
    :param prefix: prepended to the key paths of its fields, such as ``change.team.``
    :return: the problems found
    """
    if not isinstance(team, Team):
        return
    yield from _check_name(f"{prefix}name", team.name)
    yield from _check_name(f"{prefix}template", team.template)
    yield from _check_share(f"{prefix}share", team.share)
    yield from _check_kinds(f"{prefix}kinds", team.kinds)
    yield from _check_limits(f"{prefix}limits", team.limits)


def _check_action(action: EngineAction) -> Iterator[Problem]:
    match action:
        case LoadModel(model, version, size_bytes):
            yield from _check_label("action.model", model)
            yield from _check_label("action.version", version)
            yield from _check_range("action.size_bytes", size_bytes, 1, MAX_COUNT)
        case LoadAdapter(model, adapter, size_bytes):
            yield from _check_label("action.model", model)
            yield from _check_label("action.adapter", adapter)
            yield from _check_range("action.size_bytes", size_bytes, 1, MAX_COUNT)
        case ChangeRole(role):
            yield from _check_label("action.role", role)


def _check_kinds(path: str, kinds: Any) -> Iterator[Problem]:
    if not isinstance(kinds, Mapping):
        return
    for name, kind in kinds.items():
        yield from _check_name(f"{path} key", name)
        if isinstance(kind, KindParameters):
            yield from _check_name(f"{path}.{name}.pool", kind.pool)
            yield from _check_range(f"{path}.{name}.objective_s", kind.objective_s, 0.001, 86400)
            yield from _check_range(f"{path}.{name}.objective_ratio", kind.objective_ratio, 0.01, 1)


def _check_limits(path: str, limits: Any) -> Iterator[Problem]:
    if not isinstance(limits, Limits):
        return
    for field, value in limits._asdict().items():
        yield from _check_range(f"{path}.{field}", value, 1, 1 << 31)
    sizes = [limits.request_bytes, limits.queue_bytes]
    if all(isinstance(value, int) for value in sizes) and sizes != sorted(sizes):
        expected = f"at most queue_bytes ({limits.queue_bytes}), as the queue holds whole requests"
        yield problem_at(f"{path}.request_bytes", limits.request_bytes, expected)


def _check_share(path: str, share: Any) -> Iterator[Problem]:
    yield from _check_range(path, share, 1e-6, 1e6)


def _check_name(path: str, value: Any) -> Iterator[Problem]:
    if isinstance(value, str) and not _NAME.fullmatch(value):
        yield problem_at(path, value, "1 to 63 letters, digits, '.', '_' or '-'")


def _check_id(path: str, value: Any) -> Iterator[Problem]:
    if isinstance(value, str) and not _ID.fullmatch(value):
        yield problem_at(path, value, "1 to 128 printable ASCII characters without spaces")


def _check_label(path: str, value: Any) -> Iterator[Problem]:
    if isinstance(value, str) and not _LABEL.fullmatch(value):
        yield problem_at(path, value, "1 to 256 printable ASCII characters without spaces")


def _check_range(path: str, value: Any, low: float, high: float) -> Iterator[Problem]:
    if isinstance(value, (int, float)) and not low <= value <= high:
        yield problem_at(path, value, f"{low:g} to {high:g}")


def _raise_problems(problems: list[Problem]) -> None:
    if problems:
        errors = [FieldError(problem) for problem in problems]
        raise ExceptionGroup(f"{len(errors)} invalid values", errors)


__all__ = [
    "ChangeRequest",
    "OrderRequest",
    "check_change",
    "check_team",
    "check_template",
    "parse_change",
    "parse_order",
]
