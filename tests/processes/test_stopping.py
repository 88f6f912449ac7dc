"""Guards against requests that a stopping router takes and cannot finish."""

from __future__ import annotations

import asyncio
import signal
import time
import unittest
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

import httpx

from tests.processes.joinedcase import ROUTES, JoinedFleetCase
from tests.routebuilders import a_manifest_document

if TYPE_CHECKING:
    from collections.abc import Iterable

EVENTS_COUNT = 50
EVENT_PAUSE_S = 0.1
"""A stream lasts five seconds, of the eight seconds of a stop."""
SENT_S = (0.3, 1.0, 1.7, 2.4, 2.7, 3.0, 3.4, 3.6, 4.5)
"""Moments after the signal at which requests are sent."""
STREAM = "/stream/1"
QUICK = "/once/quick"
SLOW = "/once/slow"
HANGING = "/once/hanging"
ENDINGS = ("answered", "refused", "unconnected", "closed")
"""Endings that leave no doubt whether the request ran."""
HELD_S = 1.0
"""Time after which a connection that is closed without an answer has held the request up; only one
that crosses the close of an idle connection may get none."""


class Sent(NamedTuple):
    """A request that was sent to the stopping router, and how it ended."""

    target: str
    sent_s: float
    """Time after the signal."""
    connection: str
    """``new`` or ``open``."""
    request_id: str
    ending: str
    """``answered`` and ``refused`` are complete responses, ``failed`` says that the request may
    have run; ``cut`` ended within a response, ``closed`` without one, ``unconnected`` had none."""
    ended_s: float


class StoppingRouterTest(JoinedFleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.workers.events_count, self.workers.event_pause_s = EVENTS_COUNT, EVENT_PAUSE_S
        self.workers.answer_pauses_s = {SLOW: 1.5, HANGING: 60.0}
        self.signalled_s = float("inf")
        self.number = 0
        self.prepared_count = 0
        """Number of callers that wait for their moment, on an open connection if they need one."""
        await self.fleet.wait_until(lambda: self.accepts_long_requests())

    def document(self, version: int) -> bytes:
        routes = [{**route, "timeoutMs": 9000} for route in ROUTES]
        return a_manifest_document(version=version, routes=routes)

    async def accepts_long_requests(self) -> bool:
        return await self.accepted("controller-4", 7)

    async def send(self, target: str, client: httpx.AsyncClient, connection: str) -> Sent:
        self.number += 1
        request_id = f"{target}-{self.number}"
        headers = {
            "host": "desk.example",
            "credential": "key-1",
            "attempt-id": request_id,
            "deadline-ms": "9000",
        }
        url = self.fleet.url("router-1", self.fleet.ports.front) + target
        sent_s = time.monotonic() - self.signalled_s
        try:
            response = await client.post(url, content=b"violins", headers=headers)
            ending = _ending(target, response)
        except httpx.ConnectError:
            ending = "unconnected"
        except httpx.RemoteProtocolError as error:
            ending = "cut" if "complete" in str(error) else "closed"
        except httpx.ReadError:
            ending = "closed"
        ended_s = time.monotonic() - self.signalled_s
        return Sent(target, sent_s, connection, request_id, ending, ended_s)

    async def send_later(self, target: str, at_s: float, *, opened: bool) -> Sent:
        """Send a request at a moment after the signal, on a new or on an open connection."""
        async with httpx.AsyncClient(timeout=12.0, trust_env=False) as client:
            if opened:
                await self.send(QUICK, client, "open")
            self.prepared_count += 1
            while time.monotonic() < self.signalled_s + at_s:  # noqa: ASYNC110 -- set by the test
                await asyncio.sleep(0.01)
            return await self.send(target, client, "open" if opened else "new")

    async def stop_under_load(self, targets: Iterable[str]) -> list[Sent]:
        """Stop a router while requests are sent to it; return the requests."""
        async with asyncio.TaskGroup() as tasks:
            sending = [
                tasks.create_task(self.send_later(target, at_s, opened=opened))
                for target in targets
                for at_s in SENT_S
                for opened in (True, False)
            ]
            while self.prepared_count < len(sending):  # noqa: ASYNC110 -- set by the callers
                await asyncio.sleep(0.01)
            self.signalled_s = time.monotonic()
            self.assertEqual(await self.fleet.stop("router-1", signal.SIGTERM), 0)
            self.assertLess(time.monotonic() - self.signalled_s, 8.0)
        return [task.result() for task in sending]

    def run_ids(self) -> set[str]:
        return {run.request_id for run in self.workers.runs}

    async def test_late_request_is_not_cut(self) -> None:
        """Guards against a stopping router that takes a request which it cannot finish: its caller
        gets no answer, though another router would have served it."""
        await asyncio.gather(*(self.call(STREAM, deadline_ms="9000") for _ in range(3)))
        sent = await self.stop_under_load([STREAM, SLOW, QUICK])
        run_ids = self.run_ids()
        self.assertEqual([request for request in sent if request.ending not in ENDINGS], [])
        held = [request for request in sent if request.ending == "closed" and _is_held(request)]
        self.assertEqual(held, [])
        self.assertEqual(
            [
                request
                for request in sent
                if (request.request_id in run_ids) != (request.ending == "answered")
            ],
            [],
        )
        # The check proves nothing unless some were served, and others refused.
        endings = Counter(request.ending for request in sent)
        self.assertGreater(endings["answered"], 5, sent)
        self.assertGreater(endings["refused"], 5, sent)

    async def test_unanswered_request_gets_a_final_answer(self) -> None:
        """Guards against a stop that ends a request without an answer because its upstream is
        silent."""
        sent = await self.stop_under_load([HANGING])
        taken = [request for request in sent if request.request_id in self.run_ids()]
        self.assertGreater(len(taken), 2)
        self.assertEqual({request.ending for request in taken}, {"failed"})

    async def test_body_that_arrives_during_the_stop(self) -> None:
        """Guards against a request that was begun in time and is run after its router refuses
        others, and against one that gets no answer."""
        head = (
            "POST /stream/late HTTP/1.1\r\nHost: desk.example\r\nCredential: key-1\r\n"
            "Attempt-Id: late-body\r\nDeadline-Ms: 9000\r\nContent-Length: 7\r\n\r\n"
        )
        ip, port = self.fleet.ip("router-1"), self.fleet.ports.front
        reader, writer = await asyncio.open_connection(ip, port)
        writer.write(head.encode() + b"vio")
        async with asyncio.TaskGroup() as tasks:
            stop = tasks.create_task(self.fleet.stop("router-1", signal.SIGTERM))
            await asyncio.sleep(3.2)
            writer.write(b"lins")
            received = await asyncio.wait_for(reader.read(), 4.0)
        writer.close()
        self.assertEqual(stop.result(), 0)
        self.assertTrue(received.startswith(b"HTTP/1.1 503"), received)
        self.assertIn(b'"leaving"', received)
        self.assertNotIn("late-body", self.run_ids())

    async def test_repeated_signals(self) -> None:
        """Guards against a second signal that ends a stopping process at once, and with it the
        requests that it has taken."""
        processes = [self.fleet.process(name) for name in ("router-1", "controller-5")]
        stream = asyncio.create_task(self.call(STREAM, deadline_ms="9000"))
        await self.fleet.wait_until(lambda: self.has_run(STREAM))
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            for process in processes:
                process.send_signal(number)
            await asyncio.sleep(0.1)
        self.assertEqual(_ending(STREAM, await stream), "answered")
        self.assertEqual([await process.wait() for process in processes], [0, 0])

    async def test_short_grace(self) -> None:
        """Guards against a router that is killed with its requests, because its graceful stop lasts
        longer than the platform allows."""
        self.fleet.grace_s = 4
        await self.fleet.stop("router-1")
        await self.fleet.start("router-1")
        await self.fleet.wait_until(lambda: self.fleet.is_ready("router-1"))
        async with httpx.AsyncClient(timeout=12.0, trust_env=False) as client:
            request = asyncio.create_task(self.send(HANGING, client, "new"))
            await self.fleet.wait_until(lambda: self.has_run(HANGING))
            self.signalled_s = time.monotonic()
            self.assertEqual(await self.fleet.stop("router-1", signal.SIGTERM), 0)
            self.assertLess(time.monotonic() - self.signalled_s, self.fleet.grace_s)
            self.assertEqual((await request).ending, "failed")

    async def has_run(self, target: str) -> bool:
        return any(run.target == target for run in self.workers.runs)


def _is_held(request: Sent) -> bool:
    return request.ended_s - request.sent_s > HELD_S


def _ending(target: str, response: httpx.Response) -> str:
    match response.status_code:
        case 200:
            is_whole = not target.startswith("/stream/") or (
                response.text.count("data:") == EVENTS_COUNT
            )
            return "answered" if is_whole else "cut"
        case 503 if response.json()["error"]["code"] == "leaving":
            return "refused"
        case 504 if response.json()["error"]["run"] == "unknown":
            return "failed"
        case status:
            return f"status {status}"


if __name__ == "__main__":
    unittest.main()
