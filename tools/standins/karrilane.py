"""Simulated part of the Karri Lane platform: the list of workers, and the workers themselves."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from tools.standins.asgi import Receive, Scope, Send


class Run(NamedTuple):
    """Request that a worker started to process."""

    worker_id: str
    request_id: str
    headers: dict[str, str]
    target: str
    body: bytes


class WorkerCrashError(ConnectionError):
    """Closes the connection inside a response."""


class Workers:
    """Serves the list of workers, and the workers as ASGI applications."""

    def __init__(self, service: str) -> None:
        """
        Create an empty list of workers.

        :param service: name of the service that all workers belong to
        """
        self.runs: list[Run] = []
        self.events_count = 3
        self.event_pause_s = 0.01
        self.silences_s: dict[int, float] = {}
        """Time for which each worker falls silent after an event, by its number; 0 is the head."""
        self.cut_after: int | None = None
        """Number of the event after which the next stream is cut; later streams are complete."""
        self.leaving_ids: set[str] = set()
        """Workers that say in their answers that they are leaving."""
        self.answer_pauses_s: dict[str, float] = {}
        """Time before the answer, by target."""
        self.hold_off_s: dict[str, str] = {}
        """Workers that refuse requests, and the ``Retry-After`` of their refusals."""
        self.deadly_part: str | None = None
        """Id of a part of prompts; a worker that runs a request with it crashes, and starts again
        under a new id."""
        self.deadly_body: bytes | None = None
        """Body of requests under which a worker crashes in the same way."""
        self.crashes_count = 0
        self.list_read_s: list[float] = []
        """When the list was read, in monotonic time."""
        self.foreign_entries: list[dict[str, Any]] = []
        """Entries of another writer, behind the others."""
        self._starts_ms: dict[str, int] = {}
        """Unix time of the start of each worker that tells it, in milliseconds."""
        self._service = service
        self._entries: dict[str, dict[str, Any]] = {}

    def add(
        self,
        worker_id: str,
        url: str,
        state: str = "ready",
        service: str | None = None,
        zone: str = "zone-a",
    ) -> None:
        """
        Add a worker to the list, or list it again.

        :param worker_id: id of the worker
        :param url: URL that its application is served at
        :param state: ``ready`` or ``draining``
        :param service: name of its service; by default the one it had, or that of all workers
        :param zone: its zone
        """
        listed = self._entries.get(worker_id, {"service": self._service})
        self._entries[worker_id] = {
            "id": worker_id,
            "service": service or listed["service"],
            "address": url.removeprefix("http://"),
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "coldRemainingMs": 0,
            "state": state,
            "stage": "both",
            "models": [{"name": "m"}],
        }

    def set_version(self, worker_id: str, version: str) -> None:
        """
        List a worker with another version of its software.

        :param worker_id: id of the worker
        :param version: the version
        """
        self._entries[worker_id]["version"] = version

    def restart(self, worker_id: str, started_ms: int) -> None:
        """
        Let a worker tell another start than the listed one.

        :param worker_id: id of the worker
        :param started_ms: Unix time in milliseconds
        """
        self._starts_ms[worker_id] = started_ms

    def list_start(self, worker_id: str, version: str) -> None:
        """
        List a worker with the start that it tells, and the version that it started with.

        :param worker_id: id of the worker
        :param version: the version
        """
        self._entries[worker_id] |= {"born": self._starts_ms[worker_id], "version": version}

    def set_service(self, worker_id: str, service: str) -> None:
        """
        List a worker with another service.

        :param worker_id: id of the worker
        :param service: name of the service
        """
        self._entries[worker_id]["service"] = service

    def remove(self, worker_id: str) -> None:
        """
        Remove a worker from the list.

        :param worker_id: id of the worker
        """
        del self._entries[worker_id]

    async def serve_list(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Respond with the list of workers; an ASGI application."""
        if scope["type"] == "http":
            self.list_read_s.append(time.monotonic())
            entries = [*self._entries.values(), *self.foreign_entries]
            body = {"instances": entries, "nextToken": None}
            await _send_response(
                send, 200, {"content-type": "application/json"}, json.dumps(body).encode()
            )

    def worker(self, worker_id: str) -> Any:
        """
        Build the application of one worker.

        :param worker_id: id of the worker
        :return: an ASGI application
        """

        current_id = worker_id

        async def app(scope: Scope, receive: Receive, send: Send) -> None:
            nonlocal current_id
            if scope["type"] == "http":
                try:
                    await self._handle_request(current_id, scope, receive, send)
                except WorkerCrashError:
                    current_id = self._replace(current_id)
                    raise

        return app

    def _replace(self, worker_id: str) -> str:
        """List a worker under a new id, and return the id."""
        self.crashes_count += 1
        entry = self._entries.pop(worker_id)
        new_id = f"{worker_id}+"
        self._entries[new_id] = {**entry, "id": new_id}
        return new_id

    async def _handle_request(
        self, worker_id: str, scope: Scope, receive: Receive, send: Send
    ) -> None:
        headers = {key.decode(): value.decode() for key, value in scope["headers"]}
        body = b""
        while (message := await receive())["type"] == "http.request":
            body += message["body"]
            if not message["more_body"]:
                break
        request_id = headers.get("attempt-id", "")
        if headers.get("target-instance", worker_id) != worker_id:
            await _send_response(send, 421, {"instance-id": worker_id}, b"")
            return
        if worker_id in self.hold_off_s:
            refusal = {
                "attempt-id": request_id,
                "not-executed": "1",
                "retry-after": self.hold_off_s[worker_id],
            }
            await _send_response(send, 503, refusal, b"")
            return
        target = scope["raw_path"].decode()
        if target == "/-/report" and worker_id in self._starts_ms:
            report = {"born": self._starts_ms[worker_id], "running": 0, "queued": 0}
            await _send_response(send, 200, {}, json.dumps(report).encode())
            return
        self.runs.append(Run(worker_id, request_id, headers, target, body))
        own_headers = {"attempt-id": request_id, "server-stamp": f"stamp of {worker_id}"}
        has_deadly_part = self.deadly_part is not None and (
            self.deadly_part in headers.get("prompt-prefix", "")
        )
        if has_deadly_part or body == self.deadly_body:
            # The server would answer an error before the head with a response of its own.
            await _send_head(send, 200, {**own_headers, "content-length": "100"})
            raise WorkerCrashError("the worker crashes as it begins to answer")
        if worker_id in self.leaving_ids:
            own_headers["server-leaving"] = "1"
        await asyncio.sleep(self.answer_pauses_s.get(target, 0.0))
        if not target.startswith("/stream/"):
            await _send_response(send, 200, own_headers, f"run by {worker_id}".encode())
            return
        first_number = int(headers.get("last-event-id", 0)) + 1
        cut_after, self.cut_after = self.cut_after, None
        await _send_head(send, 200, {**own_headers, "content-type": "text/event-stream"})
        if first_number == 1:
            await asyncio.sleep(self.silences_s.get(0, 0.0))
        loop = asyncio.get_running_loop()
        next_s = loop.time()
        for number in range(first_number, self.events_count + 1):
            if cut_after is not None and number > cut_after:
                raise ConnectionError("stream cut after the event that cut_after names")
            event = f"id: {number}\ndata: token\n\n".encode()
            await send({"type": "http.response.body", "body": event, "more_body": True})
            # A late event does not delay the ones after it.
            next_s += self.event_pause_s + self.silences_s.get(number, 0.0)
            await asyncio.sleep(next_s - loop.time())
        await send({"type": "http.response.body", "body": b""})


async def _send_head(send: Send, status: int, headers: dict[str, str]) -> None:
    fields = [(name.encode(), value.encode()) for name, value in headers.items()]
    await send({"type": "http.response.start", "status": status, "headers": fields})


async def _send_response(send: Send, status: int, headers: dict[str, str], body: bytes) -> None:
    await _send_head(send, status, {**headers, "content-length": str(len(body))})
    await send({"type": "http.response.body", "body": body})


__all__ = ["Run", "WorkerCrashError", "Workers"]
