"""Stand-in of a model engine: ``python -m tools.standins.engine --id engine-1 --slots 4``."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import anyio
import defopt
import msgspec

from tools.standins.asgi import (
    HttpCall,
    read_call,
    send_head,
    send_json,
    send_part,
    until_disconnect,
)
from tools.standins.batch import DONE, Batch, BatchSettings, Run
from tools.standins.enginestate import EngineState, OrderSettings
from tools.standins.faults import BreakAfter, Faults, Garble, Hang, Refuse, SlowDown
from tools.standins.prefixes import CacheSettings, PrefixCache
from tools.standins.serving import run_until_stopped

if TYPE_CHECKING:
    from tools.standins.asgi import Receive, Scope, Send


class Engine:
    """ASGI app of one engine."""

    def __init__(
        self,
        engine_id: str = "engine-1",
        batch: BatchSettings | None = None,
        cache: CacheSettings | None = None,
        orders: OrderSettings | None = None,
        load_lag_s: float = 0.0,
    ) -> None:
        """
        Prepare an idle engine.

        :param engine_id: id of the engine, sent with every response
        :param batch: speed and size
        :param cache: prefix cache
        :param orders: treatment of orders
        :param load_lag_s: age of the load report
        """
        self.engine_id = engine_id
        self.batch = Batch(batch or BatchSettings())
        self.cache = PrefixCache(cache or CacheSettings())
        self.state = EngineState(orders or OrderSettings())
        self.faults = Faults()
        self._load_lag_s = load_lag_s
        self._loads: list[dict[str, Any]] = [self._measure()]

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection; the batch advances inside the lifespan."""
        if scope["type"] == "lifespan":
            await self._live(receive, send)
            return
        call = await read_call(scope, receive)
        match (call.method, call.path.strip("/").split("/")):
            case ("POST", ["v1", "completions"]):
                await self._complete(call, receive, send)
            case ("GET", ["v1", "streams", request_id]):
                await self._resume(call, request_id, receive, send)
            case ("POST", ["v1", "streams", request_id, "cancel"]):
                await self._cancel(call, request_id, send)
            case ("GET", ["v1", "load"]):
                await send_json(send, self._load())
            case ("GET", ["v1", "cache-events"]):
                after = int(call.query.get("after", "0"))
                await send_json(send, self.cache.feed(after, time.time()))
            case ("POST", ["v1", "orders"]):
                await self._order(call, send)
            case ("GET", ["v1", "state"]):
                await send_json(send, self.state.view(time.monotonic()))
            case ("GET", ["v1", "log"]):
                await send_json(send, {"runs": [r.record()._asdict() for r in self.batch.log]})
            case ("POST", ["v1", "faults"]):
                self.faults.replace_from_json(call.json())
                await send_json(send, {})
            case _:
                await send_json(send, {"error": "not found"}, status=404)

    async def _live(self, receive: Receive, send: Send) -> None:
        async with anyio.create_task_group() as tasks:
            while True:
                message = await receive()
                await send({"type": f"{message['type']}.complete"})
                if message["type"] == "lifespan.shutdown":
                    tasks.cancel_scope.cancel()
                    return
                tasks.start_soon(self._advance)
                tasks.start_soon(self._report)

    async def _advance(self) -> None:
        while True:
            if not self.batch.running:
                await self.batch.wait_for_work()
            now_s = time.monotonic()
            for run in self.batch.admit(now_s):
                missed_count = self.cache.use(run.prompt, time.time())
                run.ready_at_s = now_s + missed_count * self.batch.settings.prompt_token_ms / 1000
            await anyio.sleep(self.batch.step_s())
            self.batch.step(time.monotonic())

    async def _report(self) -> None:
        while True:
            self._loads.append(self._measure())
            oldest_s = time.time() - self._load_lag_s - 0.2
            self._loads = [m for m in self._loads if m["measured_at_s"] >= oldest_s]
            self.batch.forget()
            await anyio.sleep(0.05)

    def _measure(self) -> dict[str, Any]:
        return {
            "running": len(self.batch.running),
            "waiting": len(self.batch.waiting),
            "slots": self.batch.settings.slots_count,
            "measured_at_s": time.time(),
        }

    def _load(self) -> dict[str, Any]:
        if not self._load_lag_s:
            return self._measure()
        visible_s = time.time() - self._load_lag_s
        old = [m for m in self._loads if m["measured_at_s"] <= visible_s]
        return old[-1] if old else self._loads[0]

    async def _complete(self, call: HttpCall, receive: Receive, send: Send) -> None:
        if refusal := self.faults.take(Refuse):
            await send_json(send, {"error": "refused"}, status=refusal.status)
            return
        try:
            body = msgspec.convert(call.json(), dict[str, Any])
        except msgspec.MsgspecError as error:
            await send_json(send, {"error": str(error)}, status=400)
            return
        run = Run(
            call.headers.get("x-request-id", ""),
            int(call.headers.get("x-attempt", "1")),
            call.headers.get("idempotency-key"),
            body,
        )
        if slow := self.faults.take(SlowDown):
            run.slow_factor = slow.factor
        self.batch.add(run)
        await self._respond(run, receive, send, streamed=bool(body.get("stream")))

    async def _resume(self, call: HttpCall, request_id: str, receive: Receive, send: Send) -> None:
        run = self.batch.find(request_id)
        if run is None or run.outcome == "cancelled":
            await send_json(send, {"error": "no such stream"}, status=404)
            return
        after = int(call.query.get("after", "0"))
        await self._respond(run, receive, send, streamed=True, after=after)

    async def _cancel(self, call: HttpCall, request_id: str, send: Send) -> None:
        run = self.batch.find(request_id)
        attempt = call.query.get("attempt")
        found = run is not None and attempt in {None, str(run.attempt)}
        if run is not None and found:
            self.batch.cancel(run)
        await send_json(send, {"cancelled": found})

    async def _order(self, call: HttpCall, send: Send) -> None:
        if not self.state.authorised(call.headers.get("authorization")):
            await send_json(send, {"error": "unauthorised"}, status=401)
        elif self.state.order(call.json(), time.monotonic()):
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
                tasks.start_soon(until_disconnect, receive, tasks.cancel_scope)
                if self.faults.take(Hang):
                    await anyio.sleep_forever()
                if streamed:
                    await self._stream(run, send, after)
                else:
                    await self._answer(run, send)
                tasks.cancel_scope.cancel()
        finally:
            run.readers_count -= 1
            run.unread_since_s = time.monotonic()
            if run.outcome == "waiting":
                self.batch.cancel(run)

    def _headers(self, run: Run) -> dict[str, str]:
        garbled = "-of-another" if self.faults.take(Garble) else ""
        return {
            "x-request-id": run.request_id + garbled,
            "x-attempt": str(run.attempt),
            "x-engine": self.engine_id,
        }

    async def _stream(self, run: Run, send: Send, after: int) -> None:
        breaking = self.faults.take(BreakAfter)
        headers = {"content-type": "text/event-stream", **self._headers(run)}
        sent_count = max(0, after - run.first_index)
        limit = sent_count + breaking.count if breaking else None
        await send_head(send, 200, headers)
        while True:
            fresh = run.events[sent_count:limit]
            sent_count += len(fresh)
            if fresh:
                await send_part(send, b"".join(fresh))
            if sent_count == limit or run.outcome == "cancelled":
                # Returning without a last part closes the connection in the middle of the body.
                return
            if run.ended and sent_count >= len(run.events):
                await send_part(send, DONE, last=True)
                return
            if sent_count >= len(run.events):
                await run.changed.wait()

    async def _answer(self, run: Run, send: Send) -> None:
        while not run.ended:
            await run.changed.wait()
        prompt_count = len(run.prompt) // 4
        usage = {"prompt_tokens": prompt_count, "completion_tokens": len(run.texts)}
        value = {"text": "".join(run.texts), "usage": usage}
        if self.faults.take(BreakAfter):
            await send_head(send, 200, {"content-length": "100000", **self._headers(run)})
            await send_part(send, b'{"text": "')
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
    Run a stand-in engine.

    :param id: id of the engine
    :param port: port to listen on; 0 lets the system choose
    :param slots: runs at full speed
    :param batch: runs at all; twice the slots by default
    :param token_ms: time between tokens
    :param prompt_token_ms: time for each uncached prompt token
    :param orphan_s: how long a run goes on without a reader
    :param load_lag_s: age of load reports
    :param cache_blocks: size of the prefix cache
    :param cache_event_lag_s: age of cache events
    :param cache_gap_ratio: part of the cache events that is lost
    :param ignore_fencing: accept orders with stale fencing numbers
    :param order_token: bearer token that orders need
    :param load_bytes_per_s: speed of loading weights
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
