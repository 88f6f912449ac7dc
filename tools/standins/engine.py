"""Simulated model engine: ``python -m tools.standins.engine --id engine-1 --slots 4``."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import anyio
import defopt
import msgspec

from tools.standins.asgi import (
    HttpRequest,
    cancel_on_disconnect,
    read_request,
    request_names,
    send_chunk,
    send_head,
    send_json,
)
from tools.standins.batch import DONE_EVENT, Batch, BatchSettings, Run
from tools.standins.enginestate import EngineState, OrderSettings
from tools.standins.faults import BreakAfter, Faults, Hang, Refuse, SlowDown, WrongRequestId
from tools.standins.prefixes import CacheSettings, PrefixCache
from tools.standins.serving import run_until_stopped

if TYPE_CHECKING:
    from tools.standins.asgi import Receive, Scope, Send


class Engine:
    """ASGI application of one simulated engine."""

    def __init__(
        self,
        engine_id: str = "engine-1",
        batch: BatchSettings | None = None,
        cache: CacheSettings | None = None,
        orders: OrderSettings | None = None,
        load_lag_s: float = 0.0,
    ) -> None:
        """
        Create an idle engine.

        :param engine_id: id of the engine, sent in the ``x-engine`` header of responses
        :param batch: speed and capacity
        :param cache: settings of the prefix cache
        :param orders: how orders are checked and executed
        :param load_lag_s: age of the load that ``GET /v1/load`` reports
        """
        self.engine_id = engine_id
        self.batch = Batch(batch or BatchSettings())
        self.cache = PrefixCache(cache or CacheSettings())
        self.state = EngineState(orders or OrderSettings())
        self.faults = Faults()
        self._load_lag_s = load_lag_s
        self._load_history: list[dict[str, Any]] = [self._measure_load()]

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI scope; tokens are generated for the duration of the lifespan scope."""
        if scope["type"] == "lifespan":
            await self._run_lifespan(receive, send)
            return
        request = await read_request(scope, receive)
        match (request.method, request.path.strip("/").split("/")):
            case ("POST", ["v1", "completions"]):
                await self._handle_completion(request, receive, send)
            case ("GET", ["v1", "streams", request_id]):
                await self._handle_resume(request, request_id, receive, send)
            case ("POST", ["v1", "streams", request_id, "cancel"]):
                await self._handle_cancel(request, request_id, send)
            case ("GET", ["v1", "load"]):
                await send_json(send, self._reported_load())
            case ("GET", ["v1", "cache-events"]):
                after = int(request.query.get("after", "0"))
                await send_json(send, self.cache.feed(after, time.time()))
            case ("POST", ["v1", "orders"]):
                await self._handle_order(request, send)
            case ("GET", ["v1", "state"]):
                await send_json(send, self.state.view(time.monotonic()))
            case ("GET", ["v1", "log"]):
                await send_json(send, {"runs": [r.record()._asdict() for r in self.batch.log]})
            case ("POST", ["v1", "faults"]):
                self.faults.replace_from_json(request.json())
                await send_json(send, {})
            case _:
                await send_json(send, {"error": "not found"}, status=404)

    async def _run_lifespan(self, receive: Receive, send: Send) -> None:
        async with anyio.create_task_group() as tasks:
            while (await receive())["type"] != "lifespan.shutdown":
                await send({"type": "lifespan.startup.complete"})
                tasks.start_soon(self._run_batch)
                tasks.start_soon(self._record_load)
            tasks.cancel_scope.cancel()
        # The server cancels this task after the shutdown.
        await send({"type": "lifespan.shutdown.complete"})

    async def _run_batch(self) -> None:
        while True:
            if not self.batch.running:
                await self.batch.wait_for_work()
            now_s = time.monotonic()
            for run in self.batch.admit(now_s):
                missed_count = self.cache.use(run.prompt, time.time())
                run.ready_at_s = now_s + missed_count * self.batch.settings.prompt_token_ms / 1000
            await anyio.sleep(self.batch.step_s())
            self.batch.step(time.monotonic())

    async def _record_load(self) -> None:
        while True:
            self._load_history.append(self._measure_load())
            oldest_s = time.time() - self._load_lag_s - 0.2
            self._load_history = [
                load for load in self._load_history if load["measured_at_s"] >= oldest_s
            ]
            self.batch.drop_expired()
            await anyio.sleep(0.05)

    def _measure_load(self) -> dict[str, Any]:
        return {
            "running": len(self.batch.running),
            "waiting": len(self.batch.waiting),
            "slots": self.batch.settings.slots_count,
            "measured_at_s": time.time(),
        }

    def _reported_load(self) -> dict[str, Any]:
        if not self._load_lag_s:
            return self._measure_load()
        visible_s = time.time() - self._load_lag_s
        visible = [load for load in self._load_history if load["measured_at_s"] <= visible_s]
        return visible[-1] if visible else self._load_history[0]

    async def _handle_completion(self, request: HttpRequest, receive: Receive, send: Send) -> None:
        if refuse := self.faults.take(Refuse):
            headers = request_names(request)
            await send_json(send, {"error": "refused"}, status=refuse.status, headers=headers)
            return
        try:
            body = msgspec.convert(request.json(), dict[str, Any])
        except msgspec.MsgspecError as error:
            await send_json(send, {"error": str(error)}, status=400)
            return
        run = Run(
            request.headers.get("x-request-id", ""),
            int(request.headers.get("x-attempt", "1")),
            request.headers.get("idempotency-key"),
            body,
        )
        if slow_down := self.faults.take(SlowDown):
            run.slow_factor = slow_down.factor
        self.batch.add(run)
        await self._respond(run, receive, send, streamed=bool(body.get("stream")))

    async def _handle_resume(
        self, request: HttpRequest, request_id: str, receive: Receive, send: Send
    ) -> None:
        run = self.batch.find(request_id)
        if run is None or run.outcome == "cancelled":
            await send_json(send, {"error": "no such stream"}, status=404)
            return
        after = int(request.query.get("after", "0"))
        await self._respond(run, receive, send, streamed=True, after=after)

    async def _handle_cancel(self, request: HttpRequest, request_id: str, send: Send) -> None:
        run = self.batch.find(request_id)
        attempt = request.query.get("attempt")
        is_match = run is not None and attempt in {None, str(run.attempt)}
        if run is not None and is_match:
            self.batch.cancel(run)
        await send_json(send, {"cancelled": is_match})

    async def _handle_order(self, request: HttpRequest, send: Send) -> None:
        if not self.state.authorised(request.headers.get("authorization")):
            await send_json(send, {"error": "unauthorised"}, status=401)
        elif self.state.accept_order(request.json(), time.monotonic()):
            await send_json(send, {"accepted": True})
        else:
            highest = self.state.highest_fencing_number
            await send_json(send, {"error": "stale", "fencing_number": highest}, status=409)

    async def _respond(
        self, run: Run, receive: Receive, send: Send, *, streamed: bool, after: int = 0
    ) -> None:
        run.readers_count += 1
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(cancel_on_disconnect, receive, tasks.cancel_scope)
                if self.faults.take(Hang):
                    await anyio.sleep_forever()
                if streamed:
                    await self._send_stream(run, send, after)
                else:
                    await self._send_completion(run, send)
                tasks.cancel_scope.cancel()
        finally:
            run.readers_count -= 1
            run.unread_since_s = time.monotonic()
            if run.outcome == "waiting":
                self.batch.cancel(run)

    def _headers(self, run: Run) -> dict[str, str]:
        id_suffix = "-of-another" if self.faults.take(WrongRequestId) else ""
        return {
            "x-request-id": run.request_id + id_suffix,
            "x-attempt": str(run.attempt),
            "x-engine": self.engine_id,
        }

    async def _send_stream(self, run: Run, send: Send, after: int) -> None:
        break_after = self.faults.take(BreakAfter)
        headers = {"content-type": "text/event-stream", **self._headers(run)}
        sent_count = max(0, after - run.previous_tokens_count)
        limit = sent_count + break_after.count if break_after else None
        await send_head(send, 200, headers)
        while True:
            new_events = run.events[sent_count:limit]
            sent_count += len(new_events)
            if new_events:
                await send_chunk(send, b"".join(new_events))
            if sent_count == limit or run.outcome == "cancelled":
                # Returning without a last chunk closes the connection before the end of the body.
                return
            if run.ended and sent_count >= len(run.events):
                await send_chunk(send, DONE_EVENT, last=True)
                return
            if sent_count >= len(run.events):
                await run.changed.wait()

    async def _send_completion(self, run: Run, send: Send) -> None:
        while not run.ended:
            await run.changed.wait()
        prompt_tokens_count = len(run.prompt) // 4
        usage = {"prompt_tokens": prompt_tokens_count, "completion_tokens": len(run.texts)}
        value = {"text": "".join(run.texts), "usage": usage}
        if self.faults.take(BreakAfter):
            await send_head(send, 200, {"content-length": "100000", **self._headers(run)})
            await send_chunk(send, b'{"text": "')
            return
        await send_json(send, value, headers=self._headers(run))


def main(
    *,
    id: str = "engine-1",  # noqa: A002 -- name of the command-line option
    port: int = 0,
    slots: int = 4,
    batch: int | None = None,
    token_ms: float = 10.0,
    prompt_token_ms: float = 0.0,
    orphan_s: float = 5.0,
    load_lag_s: float = 0.0,
    cache_blocks: int = 256,
    cache_event_lag_s: float = 0.5,
    cache_gap_ratio: float = 0.0,
    ignore_fencing: bool = False,
    order_token: str | None = None,
    load_bytes_per_s: float = 1e9,
) -> None:
    """
    Run a simulated model engine.

    :param id: id of the engine
    :param port: port to listen on; 0 lets the system choose
    :param slots: number of concurrent runs at full speed
    :param batch: largest number of concurrent runs; twice the slots by default
    :param token_ms: time between two tokens of a run
    :param prompt_token_ms: processing time of each uncached prompt token
    :param orphan_s: how long a run continues without a reader
    :param load_lag_s: age of load reports
    :param cache_blocks: capacity of the prefix cache in blocks
    :param cache_event_lag_s: age of cache events
    :param cache_gap_ratio: fraction of the cache events that is never delivered
    :param ignore_fencing: accept orders with stale fencing numbers
    :param order_token: bearer token that is required for orders
    :param load_bytes_per_s: speed at which weights are loaded
    """
    engine = Engine(
        id,
        BatchSettings(slots, batch or 2 * slots, token_ms, prompt_token_ms, orphan_s),
        CacheSettings(cache_blocks, cache_event_lag_s, cache_gap_ratio),
        OrderSettings(not ignore_fencing, order_token, load_bytes_per_s),
        load_lag_s,
    )
    anyio.run(lambda: run_until_stopped(engine, port, id=id))


if __name__ == "__main__":
    defopt.run(main)


__all__ = ["Engine", "main"]
