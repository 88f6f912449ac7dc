"""ASGI applications of the operator ports of controllers and routers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

import anyio.lowlevel
import msgspec
import structlog

from camphorvalve.http.asgi import (
    App,
    ClientDisconnectedError,
    Receive,
    Scope,
    Send,
    bearer_token,
    header,
    read_body,
    run_lifespan,
    send_json,
    tokens_equal,
)
from camphorvalve.model.errors import RequestError
from camphorvalve.registry.commands import (
    ACTION_CODEC,
    CHANGE_CODEC,
    ChangeConfiguration,
    Command,
    Conflict,
    Done,
    Invalid,
    Outcome,
    SubmitOrder,
)
from camphorvalve.settings.changes import parse_change, parse_order
from camphorvalve.settings.convert import to_json
from camphorvalve.settings.problems import FieldError

if TYPE_CHECKING:
    from camphorvalve.registry.configuration import Configuration

MAX_BODY_BYTES = 1 << 20
"""A template with 1,000 kinds is about 200 KB."""
TEAMS_PER_TURN_COUNT = 200
"""Teams converted before the loop gets a turn; all 11,000 at once took 154 ms in a trial."""

_log = structlog.get_logger(__name__)


class ControllerBackend(Protocol):
    """What a controller's operator port needs from its process."""

    async def submit(self, command: Command) -> Outcome:
        """
        Commit a command.

        :param command: the command
        :return: its outcome
        :raises RequestError: ``not_leader`` or ``no_quorum`` when nothing was appended,
            ``outcome_unknown`` when the entry may still be committed
        """

    def configuration(self) -> Configuration:
        """:return: the configuration that this controller has applied"""

    def status(self) -> dict[str, Any]:
        """:return: JSON object on members, log and leases"""

    def orders(self) -> list[Any]:
        """:return: orders to engines, as records or JSON objects"""

    def leader_url(self) -> str | None:
        """:return: operator URL of the leader, if one is known"""

    def is_leader(self) -> bool:
        """:return: whether this controller leads"""


class RouterBackend(Protocol):
    """What a router's operator port needs from its process."""

    def status(self) -> dict[str, Any]:
        """:return: JSON object on revision, queues, peers and upstreams"""

    def explain_request(self, request_id: str) -> Any | None:
        """
        Look up the trace of a request.

        :param request_id: id of the request
        :return: JSON object, or ``None`` when the trace is not kept
        """

    def explain_team(self, name: str) -> Any | None:
        """
        Explain what a team gets and why.

        :param name: name of the team
        :return: JSON object, or ``None`` for an unknown team
        """

    def burn(self) -> Any:
        """:return: JSON value on how fast kinds of work use up their objectives"""


class Answer(NamedTuple):
    """Status and JSON body."""

    status: int
    body: Any


Route = Callable[[str, list[str], Receive], Awaitable[Answer]]


def controller_app(backend: ControllerBackend, operator_token: str | None) -> App:
    """
    Build the operator port of a controller.

    :param backend: the controller process
    :param operator_token: token of operators; ``None`` admits everyone
    :return: ASGI application
    """

    async def route(method: str, segments: list[str], receive: Receive) -> Answer:
        match method, segments:
            case "POST", ["v1", "changes"]:
                return await _submit(backend, _change, await _read_json(receive))
            case "POST", ["v1", "orders"]:
                return await _submit(backend, _order, await _read_json(receive))
            case "GET", ["v1", "orders"]:
                return Answer(200, {"orders": [_order_json(order) for order in backend.orders()]})
            case "GET", ["v1", "configuration"]:
                return Answer(200, await _configuration_json(backend.configuration()))
            case "GET", ["v1", "status"]:
                return Answer(200, _controller_status(backend))
        raise _no_such_path(method, segments)

    return _application(route, operator_token)


def router_app(backend: RouterBackend, operator_token: str | None) -> App:
    """
    Build the operator port of a router.

    :param backend: the router process
    :param operator_token: token of operators; ``None`` admits everyone
    :return: ASGI application
    """

    async def route(method: str, segments: list[str], receive: Receive) -> Answer:
        match method, segments:
            case "GET", ["v1", "status"]:
                return Answer(200, to_json(backend.status()))
            case "GET", ["v1", "requests", request_id]:
                return _found("request", request_id, backend.explain_request(request_id))
            case "GET", ["v1", "teams", name]:
                return _found("team", name, backend.explain_team(name))
            case "GET", ["v1", "burn"]:
                return Answer(200, to_json(backend.burn()))
        raise _no_such_path(method, segments)

    return _application(route, operator_token)


def _application(route: Route, operator_token: str | None) -> App:
    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        match scope["type"]:
            case "lifespan":
                await run_lifespan(receive, send)
            case "http":
                await _serve(scope, receive, send)
            case "websocket":
                await send({"type": "websocket.close", "code": 1000})

    async def _serve(scope: Scope, receive: Receive, send: Send) -> None:
        try:
            token = bearer_token(header(scope, "authorization") or "")
            if operator_token is not None and not tokens_equal(token, operator_token):
                raise RequestError("unauthorised", "Authorization: expected the operator token")
            segments = scope["path"].strip("/").split("/")
            answer = await route(scope["method"], segments, receive)
        except ClientDisconnectedError:
            return
        except RequestError as error:
            answer = Answer(error.status, error.body(None))
        await send_json(send, answer.status, answer.body)

    return app


async def _read_json(receive: Receive) -> Any:
    content = await read_body(receive, MAX_BODY_BYTES)
    try:
        return msgspec.json.decode(content)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise RequestError("bad_body", f"body: expected JSON: {error}") from error


async def _submit(backend: ControllerBackend, build: Callable[[Any], Command], body: Any) -> Answer:
    try:
        command = build(body)
    except ExceptionGroup as group:
        return _wrong_fields(group)
    if not backend.is_leader():
        return _not_leader(backend, "this controller does not lead")
    try:
        outcome = await backend.submit(command)
    except RequestError as error:
        if error.code == "not_leader":
            return _not_leader(backend, error.message)
        raise
    return _answer(command, outcome)


def _change(body: Any) -> Command:
    request = parse_change(body)
    change = CHANGE_CODEC.encode(request.change)
    return ChangeConfiguration(request.operation_id, request.expected_revision, change)


def _order(body: Any) -> Command:
    request = parse_order(body)
    action = ACTION_CODEC.encode(request.action)
    return SubmitOrder(request.operation_id, request.upstream_id, action)


async def _configuration_json(configuration: Configuration) -> dict[str, Any]:
    body = to_json(configuration._replace(teams={}))
    for position, (name, team) in enumerate(configuration.teams.items()):
        body["teams"][name] = to_json(team)
        if position % TEAMS_PER_TURN_COUNT == 0:
            await anyio.lowlevel.checkpoint()
    return body


def _order_json(order: Any) -> dict[str, Any]:
    fields = to_json(order)
    match fields:
        case {"action": bytes(action)}:
            return {**fields, "action": to_json(ACTION_CODEC.decode(action))}
    return fields


def _answer(command: Command, outcome: Outcome) -> Answer:
    match command, outcome:
        case ChangeConfiguration(operation_id=operation_id), Done(revision, _):
            _log.info("change in the log", operation_id=operation_id, revision=revision)
            return Answer(200, {"revision": revision, "operation_id": operation_id})
        case SubmitOrder(operation_id=operation_id), Done(_, index):
            _log.info("order in the log", operation_id=operation_id, order_index=index)
            return Answer(200, {"order_index": index, "operation_id": operation_id})
        case _, Conflict(revision, reason):
            error = RequestError("conflict", reason)
            return Answer(error.status, {**error.body(None), "revision": revision})
        case _, Invalid(reason):
            error = RequestError("bad_body", reason)
            return Answer(error.status, error.body(None))
    raise TypeError(f"unexpected outcome {type(outcome).__name__} of {type(command).__name__}")


def _wrong_fields(group: ExceptionGroup[FieldError]) -> Answer:
    problems = [error.problem for error in group.exceptions if isinstance(error, FieldError)]
    error = RequestError("bad_body", "; ".join(str(problem) for problem in problems))
    fields = [
        {"field": problem.key_path, "got": problem.shown, "expected": problem.expected}
        for problem in problems
    ]
    return Answer(error.status, {**error.body(None), "fields": fields})


def _not_leader(backend: ControllerBackend, message: str) -> Answer:
    error = RequestError("not_leader", message, retry_after_s=1.0)
    return Answer(error.status, {**error.body(None), "leader_url": backend.leader_url()})


def _controller_status(backend: ControllerBackend) -> dict[str, Any]:
    return {
        **to_json(backend.status()),
        "revision": backend.configuration().revision,
        "leads": backend.is_leader(),
        "leader_url": backend.leader_url(),
    }


def _found(what: str, name: str, value: Any | None) -> Answer:
    if value is None:
        raise RequestError("not_found", f"{what} {name!r} is not known to this router")
    return Answer(200, to_json(value))


def _no_such_path(method: str, segments: list[str]) -> RequestError:
    return RequestError("not_found", f"{method} /{'/'.join(segments)} does not exist")


__all__ = ["ControllerBackend", "RouterBackend", "controller_app", "router_app"]
