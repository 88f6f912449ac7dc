"""Stand-in for the Karri Lane platform's side: the list of workers, and workers that can fail."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from tools.standins.asgi import Receive, Scope, Send


class Run(NamedTuple):
    """A request that a worker began to work on."""

    worker_id: str
    request_id: str
    headers: dict[str, str]
    target: str
    body: bytes


class Workers:
    """The list of workers, and one application that plays all of them."""

    def __init__(self, service: str) -> None:
        """
        Start without workers.

        :param service: service of all workers
        """
        self.runs: list[Run] = []
        self.events_count = 3
        self.event_pause_s = 0.01
        self.cut_after: int | None = None
        """Event after which the next stream breaks off, once."""
        self._service = service
        self._entries: dict[str, dict[str, Any]] = {}

    def add(self, worker_id: str, url: str, state: str = "ready") -> None:
        """
        List a worker.

        :param worker_id: its id
        :param url: where the application is served for it
        :param state: ``ready`` or ``draining``
        """
        self._entries[worker_id] = {
            "id": worker_id,
            "service": self._service,
            "address": url.removeprefix("http://"),
            "zone": "zone-a",
            "slots": 8,
            "state": state,
            "models": [{"name": "m"}],
        }

    async def serve_list(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer with the list; an ASGI application."""
        if scope["type"] == "http":
            body = {"instances": list(self._entries.values()), "nextToken": None}
            await _send(send, 200, {"content-type": "application/json"}, json.dumps(body).encode())

    def worker(self, worker_id: str) -> Any:
        """
        Build the application of one worker.

        :param worker_id: its id
        :return: an ASGI application
        """

        async def app(scope: Scope, receive: Receive, send: Send) -> None:
            if scope["type"] == "http":
                await self._work(worker_id, scope, receive, send)

        return app

    async def _work(self, worker_id: str, scope: Scope, receive: Receive, send: Send) -> None:
        headers = {key.decode(): value.decode() for key, value in scope["headers"]}
        body = b""
        while (message := await receive())["type"] == "http.request":
            body += message["body"]
            if not message["more_body"]:
                break
        request_id = headers.get("attempt-id", "")
        if headers.get("target-instance", worker_id) != worker_id:
            await _send(send, 421, {"instance-id": worker_id}, b"")
            return
        target = scope["raw_path"].decode()
        self.runs.append(Run(worker_id, request_id, headers, target, body))
        own = {"attempt-id": request_id, "server-stamp": f"stamp of {worker_id}"}
        if not target.startswith("/stream/"):
            await _send(send, 200, own, f"run by {worker_id}".encode())
            return
        first = int(headers.get("last-event-id", 0)) + 1
        cut, self.cut_after = self.cut_after, None
        await _start(send, 200, {**own, "content-type": "text/event-stream"})
        for number in range(first, self.events_count + 1):
            if cut is not None and number > cut:
                raise ConnectionError("cut as the test asked for")
            event = f"id: {number}\ndata: token\n\n".encode()
            await send({"type": "http.response.body", "body": event, "more_body": True})
            await asyncio.sleep(self.event_pause_s)
        await send({"type": "http.response.body", "body": b""})


async def _start(send: Send, status: int, headers: dict[str, str]) -> None:
    fields = [(name.encode(), value.encode()) for name, value in headers.items()]
    await send({"type": "http.response.start", "status": status, "headers": fields})


async def _send(send: Send, status: int, headers: dict[str, str], body: bytes) -> None:
    await _start(send, status, {**headers, "content-length": str(len(body))})
    await send({"type": "http.response.body", "body": body})


__all__ = ["Run", "Workers"]
