"""Fakes of a controller and a router behind the operator ports, and HTTP servers for tests."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import httpx
from hypercorn.asyncio import serve
from hypercorn.config import Config

from camphorvalve.model.errors import RequestError
from camphorvalve.registry.commands import (
    CHANGE_CODEC,
    ChangeConfiguration,
    Command,
    Conflict,
    Done,
    Invalid,
    Outcome,
    SubmitOrder,
)
from camphorvalve.registry.configuration import (
    EMPTY_CONFIGURATION,
    ChangeError,
    Configuration,
    apply_change,
)
from camphorvalve.reports.burn import BurnTracker
from tests.builders import a_finished, a_team_body, team_parameters

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable

    from camphorvalve.http.asgi import App


class FakeController:
    """
    Fake of a controller with one replica, which commits every command at once.

    Each submitted command takes the next code from ``failures`` and fails with it before it is
    committed. The code ``lost`` lets the command commit and raises ``outcome_unknown``.
    """

    def __init__(
        self, *, leads: bool = True, leader: str | None = None, failures: Iterable[str] = ()
    ) -> None:
        self.leads = leads
        self.leader = leader
        self.failures = list(failures)
        self.commands: list[Command] = []
        self.current = EMPTY_CONFIGURATION
        self._outcomes: dict[str, Outcome] = {}

    async def submit(self, command: Command) -> Outcome:
        failure = self.failures.pop(0) if self.failures else None
        if failure not in (None, "lost"):
            raise RequestError(failure, f"injected failure {failure}")
        self.commands.append(command)
        if command.operation_id not in self._outcomes:
            self._outcomes[command.operation_id] = self._apply(command)
        if failure == "lost":
            raise RequestError("outcome_unknown", "the entry may still be committed")
        return self._outcomes[command.operation_id]

    def configuration(self) -> Configuration:
        return self.current

    def status(self) -> dict[str, Any]:
        return {"host_id": "controller-1", "term": 3}

    def orders(self) -> list[Any]:
        return [command for command in self.commands if isinstance(command, SubmitOrder)]

    def leader_url(self) -> str | None:
        return self.leader

    def is_leader(self) -> bool:
        return self.leads

    def _apply(self, command: Command) -> Outcome:
        match command:
            case SubmitOrder():
                return Done(self.current.revision, len(self.commands))
            case ChangeConfiguration(_, expected, change):
                if expected != self.current.revision:
                    return Conflict(self.current.revision, "another change came first")
                try:
                    self.current = apply_change(self.current, CHANGE_CODEC.decode(change))
                except ChangeError as error:
                    return Invalid(str(error))
                return Done(self.current.revision, len(self.commands))
        raise TypeError(type(command).__name__)


class FakeRouter:
    """Fake of a router that knows one request and one team."""

    def status(self) -> dict[str, Any]:
        return {"host_id": "router-1", "revision": 4}

    def explain_request(self, request_id: str) -> Any | None:
        return {"request_id": request_id, "notes": []} if request_id == "r1" else None

    def explain_team(self, name: str) -> Any | None:
        return a_team_body(name) if name == "kalamunda" else None

    def burn(self) -> Any:
        burn = BurnTracker("router-1")
        burn.record(a_finished(team_parameters("kalamunda"), "chat"))
        return burn.report(0.0)


@asynccontextmanager
async def serve_app(app: App) -> AsyncIterator[str]:
    """Serve an ASGI application on a port that the system chooses, and yield its URL."""
    listener = socket.create_server(("127.0.0.1", 0))
    config = Config()
    config.bind = [f"fd://{listener.fileno()}"]
    config.errorlog = None
    config.graceful_timeout = 0.2
    stopped = asyncio.Event()
    server = asyncio.create_task(serve(app, config, shutdown_trigger=stopped.wait))
    try:
        yield f"http://127.0.0.1:{listener.getsockname()[1]}"
    finally:
        stopped.set()
        await server
        listener.detach()


@asynccontextmanager
async def response_dropping_proxy(url: str, lost_posts_count: int) -> AsyncIterator[str]:
    """Yield the URL of a proxy that drops the responses to the first ``lost_posts_count`` POSTs."""
    posts_to_drop = [lost_posts_count]

    async def forward(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            method, path, _ = head.split(b" ", 2)
            lengths = [
                line[15:] for line in head.lower().splitlines() if b"content-length:" in line
            ]
            body = await reader.readexactly(int(lengths[0])) if lengths else b""
            async with httpx.AsyncClient() as client:
                response = await client.request(method.decode(), url + path.decode(), content=body)
            if method == b"POST" and posts_to_drop[0] > 0:
                posts_to_drop[0] -= 1
            else:
                length = len(response.content)
                writer.write(f"HTTP/1.1 {response.status_code} -\r\n".encode())
                writer.write(f"connection: close\r\ncontent-length: {length}\r\n\r\n".encode())
                writer.write(response.content)
        writer.close()

    server = await asyncio.start_server(forward, "127.0.0.1", 0)
    async with server:
        yield f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"


__all__ = ["FakeController", "FakeRouter", "response_dropping_proxy", "serve_app"]
