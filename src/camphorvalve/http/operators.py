"""ASGI applications of the operator ports (admin APIs) of controllers and routers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

import anyio.lowlevel
import msgspec
import structlog

from camphorvalve.http.asgi import (
    App,
    Receive,
    Scope,
    Send,
    bearer_token,
    get_header,
    has_body,
    run_lifespan,
    send_json,
    tokens_equal,
)
from camphorvalve.http.bodies import BodyBudget, CallerLimits, RequestBody
from camphorvalve.http.decoding import decode_headers
from camphorvalve.http.sending import send_json_and_close
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
    SetRoom,
    SubmitOrder,
)
from camphorvalve.settings.changes import parse_change, parse_order
from camphorvalve.settings.convert import to_json
from camphorvalve.settings.problems import FieldError

if TYPE_CHECKING:
    from camphorvalve.registry.configuration import Configuration

MAX_BODY_BYTES = 1 << 20
"""Maximum size of a request body; a template with 1,000 kinds takes about 200 KB."""
MAX_BODIES_BYTES = 8 << 20
"""Maximum size of all request bodies of a port that are in memory."""
CONNECTIONS_COUNT = 256
"""Maximum number of connections of an operator port that are open at the same time."""
MAX_BOUND_BYTES = 4096
"""Maximum size of a body that bounds a room."""
TEAMS_PER_ITERATION_COUNT = 200
"""Number of teams that are converted to JSON before control returns to the event loop. Converting
11,000 teams without a break blocked the loop for 154 ms."""

_log = structlog.get_logger(__name__)


class ControllerBackend(Protocol):
    """Interface to the controller process that the operator port of a controller uses."""

    async def submit(self, command: Command) -> Outcome:
        """
        Commit a command.

        :param command: the command
        :return: its outcome
        :raises RequestError: ``not_leader`` or ``no_quorum`` if no log entry was appended,
            ``outcome_unknown`` if the entry may still be committed
        """

    def configuration(self) -> Configuration:
        """:return: the configuration that this controller has applied"""

    def status(self) -> dict[str, Any]:
        """:return: JSON object with the state of members, log and leases"""

    def orders(self) -> list[Any]:
        """:return: orders to engines, as records or as JSON objects"""

    def leader_url(self) -> str | None:
        """:return: operator URL of the leader, or ``None`` if no leader is known"""

    def is_leader(self) -> bool:
        """:return: whether this controller is the leader"""


class RouterBackend(Protocol):
    """Interface to the router process that the operator port of a router uses."""

    def status(self) -> dict[str, Any]:
        """:return: JSON object with configuration revision, queues, peers and upstreams"""

    def explain_request(self, request_id: str) -> Any | None:
        """
        Look up the trace of a request.

        :param request_id: id of the request
        :return: JSON object, or ``None`` if there is no trace of the request
        """

    def explain_team(self, name: str) -> Any | None:
        """
        Explain how a team is served: its parameters, share, waiting times and limits hit.

        :param name: name of the team
        :return: JSON object, or ``None`` for an unknown team
        """

    def burn(self) -> Any:
        """:return: JSON value with the error budget burn rate of each team and kind of work"""


class Response(NamedTuple):
    """HTTP status and JSON body."""

    status: int
    body: Any


class ClientDisconnectedError(Exception):
    """The client closed the connection before the request body was complete."""


ReadJson = Callable[[], Awaitable[Any]]
Route = Callable[[str, list[str], ReadJson], Awaitable[Response]]


def controller_app(backend: ControllerBackend, operator_token: str | None) -> App:
    """
    Create the ASGI application of a controller's operator port.

    :param backend: the controller process
    :param operator_token: token of operators; ``None`` disables authentication
    :return: the application
    """

    async def route(method: str, segments: list[str], read_json: ReadJson) -> Response:
        match method, segments:
            case "POST", ["v1", "changes"]:
                return await _submit(backend, _parse_change_command, await read_json())
            case "POST", ["v1", "orders"]:
                return await _submit(backend, _parse_order_command, await read_json())
            case "GET", ["v1", "orders"]:
                return Response(200, {"orders": [_order_json(order) for order in backend.orders()]})
            case "GET", ["v1", "configuration"]:
                return Response(200, await _configuration_json(backend.configuration()))
            case "GET", ["v1", "status"]:
                return Response(200, _controller_status(backend))
        raise _path_not_found(method, segments)

    return _create_app(route, operator_token)


def router_app(backend: RouterBackend, operator_token: str | None) -> App:
    """
    Create the ASGI application of a router's operator port.

    :param backend: the router process
    :param operator_token: token of operators; ``None`` disables authentication
    :return: the application
    """

    async def route(method: str, segments: list[str], read_json: ReadJson) -> Response:
        match method, segments:
            case "GET", ["v1", "status"]:
                return Response(200, to_json(backend.status()))
            case "GET", ["v1", "requests", request_id]:
                return _json_or_not_found(
                    "request", request_id, backend.explain_request(request_id)
                )
            case "GET", ["v1", "teams", name]:
                return _json_or_not_found("team", name, backend.explain_team(name))
            case "GET", ["v1", "burn"]:
                return Response(200, to_json(backend.burn()))
        raise _path_not_found(method, segments)

    return _create_app(route, operator_token)


def rooms_app(
    backend: ControllerBackend, rooms: Callable[[], list[Any]], operator_token: str | None
) -> App:
    """
    Create the ASGI application that shows operators the rooms of engines and accepts their bounds.

    :param backend: the controller process
    :param rooms: returns the engines that this controller watches, as JSON objects
    :param operator_token: token of operators; ``None`` disables authentication
    :return: the application
    """

    async def route(method: str, segments: list[str], read_json: ReadJson) -> Response:
        match method, segments:
            case "GET", ["v1", "rooms"]:
                return Response(200, {"rooms": rooms()})
            case "GET", ["v1", "status"]:
                return Response(200, _controller_status(backend))
            case "POST", ["v1", "changes"]:
                return await _submit(backend, _parse_bound_command, await read_json())
        raise _path_not_found(method, segments)

    return _create_app(route, operator_token, MAX_BOUND_BYTES)


def _create_app(route: Route, operator_token: str | None, body_bytes: int = MAX_BODY_BYTES) -> App:
    limits = CallerLimits(
        body_bytes=body_bytes, held_bytes=MAX_BODIES_BYTES, full_code="overloaded"
    )
    budget = BodyBudget(limits)

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        match scope["type"]:
            case "lifespan":
                await run_lifespan(receive, send)
            case "http":
                await _serve(scope, receive, send)
            case "websocket":
                await send({"type": "websocket.close", "code": 1000})

    async def _serve(scope: Scope, receive: Receive, send: Send) -> None:
        body = RequestBody(budget, decode_headers(scope["headers"]))

        async def read_json() -> Any:
            return _decode_json(await body.read(receive))

        try:
            response = await _respond(scope, read_json)
            if body.is_complete or not has_body(scope):
                await send_json(send, response.status, response.body)
            else:
                await send_json_and_close(receive, send, response.status, response.body)
        except ClientDisconnectedError:
            return
        finally:
            body.release()

    async def _respond(scope: Scope, read_json: ReadJson) -> Response:
        try:
            token = bearer_token(get_header(scope, "authorization") or "")
            if operator_token is not None and not tokens_equal(token, operator_token):
                raise RequestError("unauthorised", "Authorization: expected the operator token")
            segments = scope["path"].strip("/").split("/")
            return await route(scope["method"], segments, read_json)
        except RequestError as error:
            return Response(error.status, error.body(None))

    return app


def _decode_json(content: bytes | None) -> Any:
    if content is None:
        raise ClientDisconnectedError
    try:
        return msgspec.json.decode(content)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise RequestError("bad_body", f"body: expected JSON: {error}") from error


async def _submit(
    backend: ControllerBackend, parse_command: Callable[[Any], Command], body: Any
) -> Response:
    try:
        command = parse_command(body)
    except ExceptionGroup as group:
        return _invalid_fields_response(group)
    if not backend.is_leader():
        return _not_leader_response(backend, "this controller is not the leader")
    try:
        outcome = await backend.submit(command)
    except RequestError as error:
        if error.code == "not_leader":
            return _not_leader_response(backend, error.message)
        raise
    return _outcome_response(command, outcome)


def _parse_change_command(body: Any) -> Command:
    request = parse_change(body)
    change = CHANGE_CODEC.encode(request.change)
    return ChangeConfiguration(request.operation_id, request.expected_revision, change)


def _parse_bound_command(body: Any) -> Command:
    request = parse_change(body)
    if not isinstance(request.change, SetRoom):
        raise RequestError("bad_body", "change.type: expected set_room on this port")
    change = CHANGE_CODEC.encode(request.change)
    return ChangeConfiguration(request.operation_id, request.expected_revision, change)


def _parse_order_command(body: Any) -> Command:
    request = parse_order(body)
    action = ACTION_CODEC.encode(request.action)
    return SubmitOrder(request.operation_id, request.upstream_id, action)


async def _configuration_json(configuration: Configuration) -> dict[str, Any]:
    body = to_json(configuration._replace(teams={}))
    for index, (name, team) in enumerate(configuration.teams.items()):
        body["teams"][name] = to_json(team)
        if index % TEAMS_PER_ITERATION_COUNT == 0:
            await anyio.lowlevel.checkpoint()
    return body


def _order_json(order: Any) -> dict[str, Any]:
    fields = to_json(order)
    match fields:
        case {"action": bytes(action)}:
            return {**fields, "action": to_json(ACTION_CODEC.decode(action))}
    return fields


def _outcome_response(command: Command, outcome: Outcome) -> Response:
    match command, outcome:
        case ChangeConfiguration(operation_id=operation_id), Done(revision, _):
            _log.info("change committed", operation_id=operation_id, revision=revision)
            return Response(200, {"revision": revision, "operation_id": operation_id})
        case SubmitOrder(operation_id=operation_id), Done(_, index):
            _log.info("order committed", operation_id=operation_id, order_index=index)
            return Response(200, {"order_index": index, "operation_id": operation_id})
        case _, Conflict(revision, reason):
            error = RequestError("conflict", reason)
            return Response(error.status, {**error.body(None), "revision": revision})
        case _, Invalid(reason):
            error = RequestError("bad_body", reason)
            return Response(error.status, error.body(None))
    raise TypeError(f"unexpected outcome {type(outcome).__name__} of {type(command).__name__}")


def _invalid_fields_response(group: ExceptionGroup[FieldError]) -> Response:
    problems = [error.problem for error in group.exceptions if isinstance(error, FieldError)]
    error = RequestError("bad_body", "; ".join(str(problem) for problem in problems))
    fields = [
        {"field": problem.key_path, "got": problem.shown, "expected": problem.expected}
        for problem in problems
    ]
    return Response(error.status, {**error.body(None), "fields": fields})


def _not_leader_response(backend: ControllerBackend, message: str) -> Response:
    error = RequestError("not_leader", message, retry_after_s=1.0)
    return Response(error.status, {**error.body(None), "leader_url": backend.leader_url()})


def _controller_status(backend: ControllerBackend) -> dict[str, Any]:
    return {
        **to_json(backend.status()),
        "revision": backend.configuration().revision,
        "leads": backend.is_leader(),
        "leader_url": backend.leader_url(),
    }


def _json_or_not_found(resource_type: str, name: str, value: Any | None) -> Response:
    if value is None:
        raise RequestError("not_found", f"{resource_type} {name!r} is not known to this router")
    return Response(200, to_json(value))


def _path_not_found(method: str, segments: list[str]) -> RequestError:
    return RequestError("not_found", f"{method} /{'/'.join(segments)} does not exist")


__all__ = ["ControllerBackend", "RouterBackend", "controller_app", "rooms_app", "router_app"]
