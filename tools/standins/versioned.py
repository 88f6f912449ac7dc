"""
Simulated workers of several software versions of one service, on raw sockets.

Each event of a stream names the stream, the version and the run that wrote it, so that a text that
two versions wrote shows. The workers don't compare the versions: they continue any stream from the
event that ``Last-Event-Id`` names. The faults of a run follow from the seed, the start of its
worker, the id of its request and how often that request has arrived.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple

from tools.standins.asgi import send_json
from tools.standins.rawhttp import read_request, report_response, reset_connection
from tools.standins.serving import LOOPBACK, listening_socket

if TYPE_CHECKING:
    from tools.standins.asgi import App, Receive, Scope, Send
    from tools.standins.rawhttp import ReceivedRequest

EVENTS_COUNT = 30
"""Events of each stream."""
EVENT_PAUSE_S = 0.04
SILENCE_S = (0.8, 1.2)
"""Shortest and longest time for which a worker falls silent."""
RETRY_AFTER_S = 0.1
"""Delay that a worker without a free slot asks for."""


class VersionShares(NamedTuple):
    """Shares of the runs, from 0 to 1."""

    reset: float = 0.0
    """Runs that are reset in the middle of an event."""
    silent: float = 0.0
    """Runs that stand still once, before or after their first event, and go on."""


@dataclass(frozen=True, slots=True)
class NoFault:
    """The run is sent to its end."""


@dataclass(frozen=True, slots=True)
class MidEventReset:
    """The connection is reset inside an event."""

    number: int
    ratio: float
    """Part of the event that is sent, from 0 to 1."""


@dataclass(frozen=True, slots=True)
class Silence:
    """The run stands still once and goes on."""

    number: int
    """Event before which the worker falls silent."""
    silence_s: float


RunFault = NoFault | MidEventReset | Silence


class VersionedRun(NamedTuple):
    """Request that a worker started to process."""

    request_id: str
    run_id: str
    worker_id: str
    version: str
    stream: str
    """Name of the stream, the last part of the request's path."""
    first_number: int
    """Number of the first event."""
    started_s: float
    """Monotonic time."""
    fault: RunFault = NoFault()


class Service(NamedTuple):
    """Time for which a worker served and was listed as ready."""

    worker_id: str
    version: str
    from_s: float
    """Monotonic time."""
    until_s: float = float("inf")


class VersionRecord:
    """What all workers have run, and when each of them served."""

    def __init__(self) -> None:
        """Start without requests."""
        self.runs: defaultdict[str, list[VersionedRun]] = defaultdict(list)
        """By the id of the request."""
        self.services: list[Service] = []
        self.refusals_count = 0

    def serving_count(self, version: str, from_s: float, until_s: float) -> int:
        """
        Count the workers of a version that served the whole time.

        :param version: the software version
        :param from_s: monotonic time
        :param until_s: monotonic time
        :return: number of workers
        """
        return sum(
            service.version == version and service.from_s <= from_s and until_s <= service.until_s
            for service in self.services
        )


def versioned_event(stream: str, version: str, run_id: str, number: int) -> bytes:
    """
    Encode an event of a stream.

    :param stream: name of the stream
    :param version: software version of the worker
    :param run_id: id of the run
    :param number: number of the event, from 1
    :return: the event with the empty line that ends it
    """
    return f"id: {number}\ndata: {stream} {version} {run_id} {number}\n\n".encode()


class VersionedWorkers:
    """Serves workers, each on a port of its own, and their list, which may lag."""

    def __init__(self, service: str, seed: int, shares: VersionShares, slots_count: int) -> None:
        """
        Prepare workers without starting one.

        :param service: name of the service that all workers belong to
        :param seed: seed of all faults
        :param shares: how often each fault occurs
        :param slots_count: requests that a worker processes at a time
        """
        self.record = VersionRecord()
        self.shares = shares
        self._service = service
        self._seed = seed
        self._slots_count = slots_count
        self._workers: dict[str, _Worker] = {}
        self._entries: dict[str, dict[str, Any]] = {}
        self._snapshots: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]
        """Content of the list since each monotonic time."""

    def running_ids(self, version: str | None = None) -> list[str]:
        """
        Return the workers that run.

        :param version: the software version; ``None`` for all of them
        :return: their ids
        """
        return [
            worker_id
            for worker_id, worker in self._workers.items()
            if version in (None, worker.version)
        ]

    def version(self, worker_id: str) -> str:
        """
        Tell the software version of a running worker.

        :param worker_id: id of the worker
        :return: the version
        """
        return self._workers[worker_id].version

    async def start(self, worker_id: str, version: str, port: int = 0) -> int:
        """
        Start a worker and list it as ready.

        :param worker_id: id of the worker
        :param version: its software version
        :param port: loopback port; 0 lets the system choose
        :return: the port
        """
        worker = _Worker(worker_id, version, self._seed, self.shares, self.record)
        worker.slots_count = self._slots_count
        sock = listening_socket(port)
        port = sock.getsockname()[1]
        worker.server = await asyncio.start_server(worker.serve, sock=sock)
        self._workers[worker_id] = worker
        self.record.services.append(Service(worker_id, version, time.monotonic()))
        self._entries[worker_id] = {
            "id": worker_id,
            "service": self._service,
            "address": f"{LOOPBACK}:{port}",
            "zone": "zone-a",
            "version": version,
            "slots": self._slots_count,
            "coldRemainingMs": 0,
            "state": "ready",
            "stage": "both",
            "models": [{"name": "m"}],
            "born": worker.born_ms,
        }
        self._change_list()
        return port

    async def end(self, worker_id: str) -> int:
        """
        End a worker, whose connections are reset; it stays on the list.

        :param worker_id: id of the worker
        :return: the port that is free now
        """
        worker = self._workers.pop(worker_id)
        self._end_service(worker_id)
        port = worker.server.sockets[0].getsockname()[1]
        await worker.end()
        return port

    def announce_end(self, worker_id: str) -> None:
        """
        List a running worker as one that is about to end.

        :param worker_id: id of the worker
        """
        self._end_service(worker_id)
        self._entries[worker_id] = {**self._entries[worker_id], "state": "draining"}
        self._change_list()

    def unlist(self, worker_id: str) -> None:
        """
        Remove a worker from the list.

        :param worker_id: id of the worker
        """
        del self._entries[worker_id]
        self._change_list()

    def list_app(self, lag_s: float = 0.0) -> App:
        """
        Build the application that serves the list.

        :param lag_s: time by which the list is late
        :return: an ASGI application
        """

        async def app(scope: Scope, receive: Receive, send: Send) -> None:
            if scope["type"] == "http":
                shown_s = time.monotonic() - lag_s
                entries = [shown for since_s, shown in self._snapshots if since_s <= shown_s][-1]
                await send_json(send, {"instances": entries, "nextToken": None})

        return app

    async def refuse_list(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Respond that the list was read too often; an ASGI application."""
        if scope["type"] == "http":
            await send_json(send, {}, 429)

    async def close(self) -> None:
        """End all workers."""
        for worker_id in list(self._workers):
            await self.end(worker_id)

    def _change_list(self) -> None:
        self._snapshots.append((time.monotonic(), list(self._entries.values())))

    def _end_service(self, worker_id: str) -> None:
        for number, service in enumerate(self.record.services):
            if service.worker_id == worker_id and service.until_s == float("inf"):
                self.record.services[number] = service._replace(until_s=time.monotonic())


class _Worker:
    """One worker: its listening socket and its connections."""

    def __init__(
        self, worker_id: str, version: str, seed: int, shares: VersionShares, record: VersionRecord
    ) -> None:
        self.worker_id = worker_id
        self.version = version
        self.server: asyncio.Server
        self.slots_count = 1
        self.start_number = len(record.services)
        self.born_ms = int(time.time() * 1000)
        self._seed = seed
        self._shares = shares
        self._record = record
        self._running_count = 0
        self._arrivals: defaultdict[str, int] = defaultdict(int)
        self._connections: dict[asyncio.Task[Any], asyncio.StreamWriter] = {}
        self._ended = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        if self._ended:
            # The connection was accepted just before the end.
            reset_connection(writer)
            return
        task = asyncio.current_task()
        assert task is not None
        self._connections[task] = writer
        try:
            while (request := await read_request(reader)) is not None:
                await self._respond(request, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            reset_connection(writer)
        except asyncio.CancelledError:
            # asyncio logs a server's task that ends as cancelled as an error.
            reset_connection(writer)
        finally:
            del self._connections[task]
            writer.close()

    async def end(self) -> None:
        """Close the listening socket and reset each connection."""
        self._ended = True
        self.server.close()
        tasks = list(self._connections)
        for task, writer in self._connections.items():
            reset_connection(writer)
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _respond(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        headers = {"Attempt-Id": request.request_id}
        if request.target == "/-/report":
            load = {"running": self._running_count, "born": self.born_ms}
            await _write(writer, report_response(**load))
        elif request.headers.get("target-instance", self.worker_id) != self.worker_id:
            await _write(writer, _refusal("421 Misdirected", headers))
        elif self._running_count >= self.slots_count:
            self._record.refusals_count += 1
            headers["Retry-After"] = str(RETRY_AFTER_S)
            await _write(writer, _refusal("503 Full", headers))
        else:
            self._running_count += 1
            try:
                await self._run(request, writer)
            finally:
                self._running_count -= 1

    async def _run(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        run = self._begin(request)
        lines = (
            "HTTP/1.1 200 OK",
            f"Attempt-Id: {run.request_id}",
            f"Server-Stamp: {run.run_id}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        )
        await _write(writer, "\r\n".join([*lines, "", ""]).encode())
        next_s = asyncio.get_running_loop().time()
        for number in range(run.first_number, EVENTS_COUNT + 1):
            content = versioned_event(run.stream, run.version, run.run_id, number)
            match run.fault:
                case MidEventReset(at, ratio) if at == number:
                    await _write(writer, _chunk(content[: max(1, int(len(content) * ratio))]))
                    raise ConnectionResetError("the worker resets the connection")
                case Silence(at, silence_s) if at == number:
                    next_s += silence_s
                case _:
                    pass
            # A late event does not delay the ones after it.
            next_s += EVENT_PAUSE_S
            await asyncio.sleep(next_s - asyncio.get_running_loop().time())
            await _write(writer, _chunk(content))
        await _write(writer, b"0\r\n\r\n")

    def _begin(self, request: ReceivedRequest) -> VersionedRun:
        """Draw the fault of a run, and record the run."""
        request_id = request.request_id
        arrival = self._arrivals[request_id]
        self._arrivals[request_id] += 1
        draw = random.Random(f"{self._seed} {self.start_number} {request_id} {arrival}")
        first_number = int(request.headers.get("last-event-id", 0)) + 1
        run = VersionedRun(
            request_id,
            f"{self.worker_id}.{draw.getrandbits(32):08x}",
            self.worker_id,
            self.version,
            request.target.partition("?")[0].rpartition("/")[2],
            first_number,
            time.monotonic(),
            _draw_fault(draw, self._shares, first_number),
        )
        self._record.runs[request_id].append(run)
        return run


def _draw_fault(draw: random.Random, shares: VersionShares, first_number: int) -> RunFault:
    share = draw.random()
    last_number = max(first_number, EVENTS_COUNT)
    if share < shares.reset:
        return MidEventReset(draw.randint(first_number, last_number), draw.uniform(0, 0.99))
    if share < shares.reset + shares.silent:
        # A silence before the first event lets another attempt start beside this one.
        number = draw.choice((first_number, draw.randint(first_number, last_number)))
        return Silence(number, draw.uniform(*SILENCE_S))
    return NoFault()


def _chunk(content: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(content), content)


def _refusal(status: str, headers: dict[str, str]) -> bytes:
    fields = {**headers, "Not-Executed": "1", "Content-Length": "0"}
    lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode()


async def _write(writer: asyncio.StreamWriter, content: bytes) -> None:
    if writer.is_closing():
        raise ConnectionResetError("the connection is closed")
    writer.write(content)
    await writer.drain()


__all__ = [
    "EVENTS_COUNT",
    "MidEventReset",
    "NoFault",
    "RunFault",
    "Service",
    "Silence",
    "VersionRecord",
    "VersionShares",
    "VersionedRun",
    "VersionedWorkers",
    "versioned_event",
]
