"""Stand-in of a plain service: ``python -m tools.standins.service --id orders-1 --slots 4``."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

import anyio
import defopt

from camphorvalve.http.asgi import run_lifespan
from tools.standins.asgi import (
    HttpCall,
    read_call,
    send_head,
    send_json,
    send_part,
    until_disconnect,
)
from tools.standins.faults import BreakAfter, Faults, Garble, Hang, Refuse, SlowDown
from tools.standins.serving import run_until_stopped

if TYPE_CHECKING:
    from tools.standins.asgi import Receive, Scope, Send


class ServiceSettings(NamedTuple):
    """Speed and size of a service."""

    slots_count: int = 4
    """Calls that are worked on at a time; further ones wait in arrival order."""
    service_ms: float = 20.0
    """Time of a call without ``service_ms`` in its query."""


class CallRecord(NamedTuple):
    """One entry of ``GET /v1/log``."""

    request_id: str
    attempt: int
    idempotency_key: str | None
    method: str
    path: str
    start_s: float
    end_s: float | None


class Service:
    """ASGI app of one service."""

    def __init__(
        self, service_id: str = "service-1", settings: ServiceSettings | None = None
    ) -> None:
        """
        Prepare an idle service.

        :param service_id: id of the service, sent with every response
        :param settings: speed and size
        """
        self.service_id = service_id
        self.settings = settings or ServiceSettings()
        self.faults = Faults()
        self.log: list[CallRecord] = []
        self._runs: Counter[str] = Counter()
        self._key_runs: Counter[str] = Counter()
        self._slots = anyio.Semaphore(self.settings.slots_count, fast_acquire=True)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection."""
        if scope["type"] == "lifespan":
            await run_lifespan(receive, send)
            return
        call = await read_call(scope, receive)
        match (call.method, call.path):
            case ("GET", "/v1/log"):
                await send_json(send, {"runs": [record._asdict() for record in self.log]})
            case ("POST", "/v1/faults"):
                self.faults.replace_from_json(call.json())
                await send_json(send, {})
            case _:
                await self._work(call, receive, send)

    async def _work(self, call: HttpCall, receive: Receive, send: Send) -> None:
        if refusal := self.faults.take(Refuse):
            await send_json(send, {"error": "refused"}, status=refusal.status)
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(until_disconnect, receive, tasks.cancel_scope)
            async with self._slots:
                # A call that has started is finished even if its client goes away.
                with anyio.CancelScope(shield=True):
                    record = await self._run(call)
            if self.faults.take(Hang):
                await anyio.sleep_forever()
            await self._respond(call, record, send)
            tasks.cancel_scope.cancel()

    async def _run(self, call: HttpCall) -> CallRecord:
        slow = self.faults.take(SlowDown)
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
        place = len(self.log)
        self.log.append(record)
        self._runs[record.request_id] += 1
        self._key_runs[record.idempotency_key or ""] += 1
        await anyio.sleep(service_ms * (slow.factor if slow else 1.0) / 1000)
        self.log[place] = record._replace(end_s=time.time())
        return record

    async def _respond(self, call: HttpCall, record: CallRecord, send: Send) -> None:
        garbled = "-of-another" if self.faults.take(Garble) else ""
        key = record.idempotency_key
        value = {
            "service": self.service_id,
            "method": call.method,
            "path": call.path,
            "query": call.query,
            "body": call.body.decode(errors="replace"),
            "runs_count": self._runs[record.request_id],
            "key_runs_count": self._key_runs[key] if key else 0,
        }
        headers = {
            "x-request-id": record.request_id + garbled,
            "x-attempt": str(record.attempt),
        }
        if breaking := self.faults.take(BreakAfter):
            await send_head(send, 200, {"content-length": "100000", **headers})
            await send_part(send, b" " * breaking.count)
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
    Run a stand-in service.

    :param id: id of the service
    :param port: port to listen on; 0 lets the system choose
    :param slots: calls that are worked on at a time
    :param service_ms: time of a call
    """
    service = Service(id, ServiceSettings(slots, service_ms))
    anyio.run(lambda: run_until_stopped(service, port, id=id))


if __name__ == "__main__":
    defopt.run(main)


__all__ = ["CallRecord", "Service", "ServiceSettings", "main"]
