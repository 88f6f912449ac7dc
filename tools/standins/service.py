"""Simulated service: ``python -m tools.standins.service --id orders-1 --slots 4``."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

import anyio
import defopt

from camphorvalve.http.asgi import run_lifespan
from tools.standins.asgi import (
    HttpRequest,
    cancel_on_disconnect,
    read_request,
    request_names,
    send_chunk,
    send_head,
    send_json,
)
from tools.standins.faults import BreakAfter, Faults, Hang, Refuse, SlowDown, WrongRequestId
from tools.standins.serving import run_until_stopped

if TYPE_CHECKING:
    from tools.standins.asgi import Receive, Scope, Send


class ServiceSettings(NamedTuple):
    """Speed and capacity of a service."""

    slots_count: int = 4
    """Largest number of concurrent calls; further calls wait in arrival order."""
    service_ms: float = 20.0
    """Processing time of a call that has no ``service_ms`` in its query."""


class CallRecord(NamedTuple):
    """Entry of ``GET /v1/log``."""

    request_id: str
    attempt: int
    idempotency_key: str | None
    method: str
    path: str
    start_s: float
    end_s: float | None


class Service:
    """ASGI application of one simulated service."""

    def __init__(
        self, service_id: str = "service-1", settings: ServiceSettings | None = None
    ) -> None:
        """
        Create an idle service.

        :param service_id: id of the service, sent in the body of responses
        :param settings: speed and capacity
        """
        self.service_id = service_id
        self.settings = settings or ServiceSettings()
        self.faults = Faults()
        self.log: list[CallRecord] = []
        self._runs_by_request: Counter[str] = Counter()
        self._runs_by_key: Counter[str] = Counter()
        self._slots = anyio.Semaphore(self.settings.slots_count, fast_acquire=True)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI scope."""
        if scope["type"] == "lifespan":
            await run_lifespan(receive, send)
            return
        call = await read_request(scope, receive)
        match (call.method, call.path):
            case ("GET", "/v1/log"):
                await send_json(send, {"runs": [record._asdict() for record in self.log]})
            case ("POST", "/v1/faults"):
                self.faults.replace_from_json(call.json())
                await send_json(send, {})
            case _:
                await self._handle_call(call, receive, send)

    async def _handle_call(self, call: HttpRequest, receive: Receive, send: Send) -> None:
        if refuse := self.faults.take(Refuse):
            headers = request_names(call)
            await send_json(send, {"error": "refused"}, status=refuse.status, headers=headers)
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cancel_on_disconnect, receive, tasks.cancel_scope)
            async with self._slots:
                # A call that has started is completed even if its client disconnects.
                with anyio.CancelScope(shield=True):
                    record = await self._execute(call)
            if self.faults.take(Hang):
                await anyio.sleep_forever()
            await self._respond(call, record, send)
            tasks.cancel_scope.cancel()

    async def _execute(self, call: HttpRequest) -> CallRecord:
        slow_down = self.faults.take(SlowDown)
        service_ms = float(call.query.get("service_ms", self.settings.service_ms))
        record = CallRecord(
            request_id=call.headers.get("x-request-id", ""),
            attempt=int(call.headers.get("x-attempt", "1")),
            idempotency_key=call.headers.get("idempotency-key"),
            method=call.method,
            path=call.path,
            start_s=time.time(),
            end_s=None,
        )
        index = len(self.log)
        self.log.append(record)
        self._runs_by_request[record.request_id] += 1
        self._runs_by_key[record.idempotency_key or ""] += 1
        await anyio.sleep(service_ms * (slow_down.factor if slow_down else 1.0) / 1000)
        self.log[index] = record._replace(end_s=time.time())
        return record

    async def _respond(self, call: HttpRequest, record: CallRecord, send: Send) -> None:
        id_suffix = "-of-another" if self.faults.take(WrongRequestId) else ""
        key = record.idempotency_key
        value = {
            "service": self.service_id,
            "method": call.method,
            "path": call.path,
            "query": call.query,
            "body": call.body.decode(errors="replace"),
            "runs_count": self._runs_by_request[record.request_id],
            "key_runs_count": self._runs_by_key[key] if key else 0,
        }
        headers = {
            "x-request-id": record.request_id + id_suffix,
            "x-attempt": str(record.attempt),
        }
        if break_after := self.faults.take(BreakAfter):
            await send_head(send, 200, {"content-length": "100000", **headers})
            await send_chunk(send, b" " * break_after.count)
            return
        await send_json(send, value, headers=headers)


def main(
    *,
    id: str = "service-1",  # noqa: A002 -- name of the command-line option
    port: int = 0,
    slots: int = 4,
    service_ms: float = 20.0,
) -> None:
    """
    Run a simulated service.

    :param id: id of the service
    :param port: port to listen on; 0 lets the system choose
    :param slots: largest number of concurrent calls
    :param service_ms: processing time of a call
    """
    service = Service(id, ServiceSettings(slots, service_ms))
    anyio.run(lambda: run_until_stopped(service, port, id=id))


if __name__ == "__main__":
    defopt.run(main)


__all__ = ["CallRecord", "Service", "ServiceSettings", "main"]
