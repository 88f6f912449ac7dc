"""
Simulated workers on raw sockets that send responses twice, reset them, or fall silent for a while.

The faults of a response follow from the seed, the id of its request and how often that request has
arrived, whatever the order in which requests arrive.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from tools.standins.karrilane import Workers
from tools.standins.rawhttp import ReceivedRequest, read_request, report_response, reset_connection
from tools.standins.serving import listening_socket

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_PAUSE_S = 0.4
"""Longest time between a response and its copy."""
MIN_PART_BYTES = len(b"HTTP/1.")
"""Fewer bytes of a copy can't be told from a body that ends with its connection."""
BODY_BYTES = (0, 60, 1_500, 40_000)
"""Bytes that the body of a response has besides its own first line."""
MAX_RUN_S = 0.03
MAX_EVENT_PAUSE_S = 0.01
MAX_EVENTS_COUNT = 8
SILENCE_S = (1.0, 1.6)
"""Shortest and longest time for which a worker falls silent."""
PLACES = ("head", "first", "body")
"""Where a worker falls silent: before the head, before the first byte of the body, or inside it."""
REASONS = {200: "OK", 421: "Misdirected", 429: "Busy", 500: "Oops", 503: "Full"}


class Shares(NamedTuple):
    """Shares of the responses, from 0 to 1."""

    second: float = 0.3
    """Responses that are followed by a second one or a part of one."""
    reset: float = 0.04
    """Responses that are reset before their last byte."""
    failure: float = 0.1
    """Requests that are not streams and are run and answered with status 500."""
    refusal: float = 0.05
    """Requests that are refused without being run."""
    framings: tuple[str, ...] = ("length", "chunks", "close")
    """What may end a body; one of them is drawn for each response."""
    silent: float = 0.0
    """Responses that stand still once and go on."""


@dataclass(frozen=True, slots=True)
class Once:
    """The response is sent once."""


@dataclass(frozen=True, slots=True)
class SameWrite:
    """A second response is sent in the same write."""


@dataclass(frozen=True, slots=True)
class Late:
    """A second response is sent after a pause, and paused once more inside."""

    pause_s: float
    first_ratio: float = 1.0
    """Part of the second response that is sent before the second pause."""
    second_pause_s: float = 0.0


@dataclass(frozen=True, slots=True)
class InPlace:
    """A second response is sent where the response to the next request is due."""

    swallows_next: bool
    """Whether the response to the next request is left out."""


@dataclass(frozen=True, slots=True)
class FirstPart:
    """Only the first part of a second response is sent, after a pause."""

    pause_s: float
    ratio: float


@dataclass(frozen=True, slots=True)
class Reset:
    """The connection is reset before the last byte of the response."""

    ratio: float
    pause_s: float


@dataclass(frozen=True, slots=True)
class Silent:
    """The response stands still once and goes on."""

    place: str
    """One of ``PLACES``."""
    silence_s: float
    ratio: float
    """Part of the body that is sent before a silence inside it."""

    def offset_bytes(self, content: bytes) -> int:
        """
        Tell how much of a response is sent before the silence.

        :param content: the encoded response
        :return: number of bytes
        """
        head_bytes = content.index(b"\r\n\r\n") + 4
        match self.place:
            case "head":
                return 0
            case "first":
                return head_bytes
            case _:
                inner_bytes = len(content) - head_bytes - 2
                return head_bytes + max(0, 1 + int(inner_bytes * self.ratio))


Fault = Once | SameWrite | Late | InPlace | FirstPart | Reset | Silent


class StampedRun(NamedTuple):
    """Request that a worker started to process."""

    worker_id: str
    request_id: str
    target: str
    body: bytes
    stamp: str
    first_number: int
    """Number of the first event of a stream."""
    last_number: int


class Reply(NamedTuple):
    """Response to a request as the worker sent it the first time."""

    worker_id: str
    request_id: str
    status: int
    stamp: str
    """Empty for a refusal."""
    content: bytes
    framing: str
    fault: Fault
    connection_number: int
    position: int
    """Responses that the connection had carried before."""

    @property
    def is_whole(self) -> bool:
        """:return: whether the worker sent each byte before the connection ended"""
        return not isinstance(self.fault, Reset)


class WorkerRecord:
    """What all workers have run and replied, by the id of the request."""

    def __init__(self) -> None:
        """Start without requests."""
        self.runs: defaultdict[str, list[StampedRun]] = defaultdict(list)
        self.replies: defaultdict[str, list[Reply]] = defaultdict(list)
        self.connections_count = 0

    def earlier(self, reply: Reply) -> list[Reply]:
        """
        Return what the connection of a response had carried before.

        :param reply: the response
        :return: the responses to earlier requests, oldest first
        """
        all_replies = (reply for replies in self.replies.values() for reply in replies)
        key = (reply.worker_id, reply.connection_number)
        return sorted(
            (
                other
                for other in all_replies
                if (other.worker_id, other.connection_number) == key
                and other.position < reply.position
            ),
            key=lambda other: other.position,
        )


class _Plan(NamedTuple):
    """Response to one request, in the pieces that are written one after another."""

    reply: Reply
    pieces: tuple[bytes, ...]
    pause_s: float
    """Time between two pieces."""
    run_s: float
    repeats_older: bool
    """Whether the second response is a copy of an earlier refusal or failure."""
    ending_pause_s: float
    """Time between the last byte and the close of a connection that ends the body."""

    @property
    def content(self) -> bytes:
        return b"".join(self.pieces)


def event(request_id: str, stamp: str, number: int) -> bytes:
    """
    Encode an event of a stream.

    :param request_id: id of the request
    :param stamp: stamp of the run
    :param number: number of the event, from 1
    :return: the event with the empty line that ends it
    """
    return f"id: {number}\ndata: {request_id} {stamp} {number}\n\n".encode()


def events_count(request_id: str) -> int:
    """
    Tell how many events the stream of a request has.

    :param request_id: id of the request
    :return: the number of the last event
    """
    return random.Random(request_id).randint(3, MAX_EVENTS_COUNT)


class StutteringWorkers:
    """Serves several workers of one service, each on a port of its own, and their list."""

    def __init__(self, service: str, seed: int, shares: Shares) -> None:
        """
        Prepare workers without starting one.

        :param service: name of the service that all workers belong to
        :param seed: seed of all faults
        :param shares: how often each fault occurs
        """
        self.listed = Workers(service)
        self.record = WorkerRecord()
        self.shares = shares
        self._seed = seed
        self._workers: dict[str, _Worker] = {}

    @property
    def running_ids(self) -> list[str]:
        """:return: ids of the workers that run"""
        return list(self._workers)

    async def start(self, worker_id: str, port: int = 0, service: str | None = None) -> int:
        """
        Start a worker and list it.

        :param worker_id: id of the worker
        :param port: loopback port; 0 lets the system choose
        :param service: name of its service, if it is not that of all workers
        :return: the port
        """
        worker = _Worker(worker_id, self._seed, self.shares, self.record)
        sock = listening_socket(port)
        port = sock.getsockname()[1]
        worker.server = await asyncio.start_server(worker.serve, sock=sock)
        self._workers[worker_id] = worker
        self.listed.add(worker_id, f"http://127.0.0.1:{port}", service=service)
        return port

    async def end(self, worker_id: str) -> int:
        """
        End a worker, whose connections are reset; it stays on the list.

        :param worker_id: id of the worker
        :return: the port that is free now
        """
        worker = self._workers.pop(worker_id)
        port = worker.server.sockets[0].getsockname()[1]
        await worker.end()
        return port

    def announce_end(self, worker_id: str) -> None:
        """
        List a running worker as one that is about to end.

        :param worker_id: id of the worker
        """
        port = self._workers[worker_id].server.sockets[0].getsockname()[1]
        self.listed.add(worker_id, f"http://127.0.0.1:{port}", "draining")

    async def close(self) -> None:
        """End all workers."""
        for worker_id in list(self._workers):
            await self.end(worker_id)


class _Worker:
    """One worker: its listening socket and its connections."""

    def __init__(self, worker_id: str, seed: int, shares: Shares, record: WorkerRecord) -> None:
        self.worker_id = worker_id
        self.server: asyncio.Server
        self.record = record
        self._seed = seed
        self._shares = shares
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._arrivals: defaultdict[str, int] = defaultdict(int)
        self._ended = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        self.record.connections_count += 1
        connection = _Connection(self, reader, writer, self.record.connections_count)
        if self._ended:
            # The connection was accepted just before the end.
            connection.abort()
            return
        self._connections.add(connection)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await connection.serve()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            connection.abort()
        except asyncio.CancelledError:
            # asyncio logs a server's task that ends as cancelled as an error.
            connection.abort()
        finally:
            self._connections.discard(connection)
            self._tasks.discard(task)

    async def end(self) -> None:
        """Close the listening socket and reset each connection."""
        self._ended = True
        self.server.close()
        for connection in self._connections:
            connection.abort()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def plan(self, request: ReceivedRequest, connection_number: int, position: int) -> _Plan:
        """Draw the response to a request, and record the run and the response."""
        request_id = request.request_id
        arrival = self._arrivals[request_id]
        self._arrivals[request_id] += 1
        draw = random.Random(f"{self._seed} {self.worker_id} {request_id} {arrival}")
        framing = draw.choice(self._shares.framings)
        fault = _draw_fault(draw, self._shares)
        status, headers, contents = self._draw_response(draw, request, arrival)
        stamp = headers.get("Server-Stamp", "")
        reply = Reply(
            self.worker_id,
            request_id,
            status,
            stamp,
            b"".join(contents),
            framing,
            fault,
            connection_number,
            position,
        )
        self.record.replies[request_id].append(reply)
        return _Plan(
            reply,
            tuple(_encode(status, headers, contents, framing)),
            draw.uniform(0, MAX_EVENT_PAUSE_S) if len(contents) > 1 else 0.0,
            draw.uniform(0, MAX_RUN_S) if stamp else 0.0,
            draw.random() < 0.3,
            draw.choice((0.0, draw.uniform(0, 0.05))),
        )

    def _draw_response(
        self, draw: random.Random, request: ReceivedRequest, arrival: int
    ) -> tuple[int, dict[str, str], list[bytes]]:
        """Return the status, the headers and the body in pieces; record the run if there is one."""
        request_id = request.request_id
        if request.headers.get("target-instance", self.worker_id) != self.worker_id:
            return 421, {"Attempt-Id": request_id, "Not-Executed": "1"}, [b""]
        if draw.random() < self._shares.refusal:
            headers = {"Attempt-Id": request_id, "Not-Executed": "1"}
            if draw.random() < 0.5:
                headers["Retry-After"] = "0.05"
            return draw.choice((429, 503)), headers, [b""]
        stamp = f"{self.worker_id}.{arrival}.{draw.getrandbits(32):08x}"
        headers = {"Attempt-Id": request_id, "Server-Stamp": stamp}
        is_stream = request.target.startswith(("/stream/", "/feed/"))
        first_number = int(request.headers.get("last-event-id", 0)) + 1
        last_number = events_count(request_id)
        self.record.runs[request_id].append(
            StampedRun(
                self.worker_id,
                request_id,
                request.target,
                request.body,
                stamp,
                first_number,
                last_number,
            )
        )
        if is_stream:
            numbers = range(first_number, last_number + 1)
            events = [event(request_id, stamp, number) for number in numbers]
            return 200, {**headers, "Content-Type": "text/event-stream"}, events
        status = 500 if draw.random() < self._shares.failure else 200
        filler = draw.randbytes(draw.choice(BODY_BYTES)).hex().encode()
        return status, headers, [f"{status} {request_id} {stamp}\n".encode() + filler]


class _Connection:
    """Serves one request at a time; no second response is written inside another one."""

    def __init__(
        self,
        worker: _Worker,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        number: int,
    ) -> None:
        self._worker = worker
        self._reader = reader
        self._writer = writer
        self._number = number
        self._writing = asyncio.Lock()
        self._position = 0
        self._older: list[bytes] = []
        """Refusals and failures that this connection carried."""
        self._due: tuple[bytes, InPlace] | None = None
        self._late: set[asyncio.Task[None]] = set()

    async def serve(self) -> None:
        """Serve requests until the connection ends."""
        try:
            while (request := await read_request(self._reader)) is not None:
                if request.target == "/-/report":
                    await self._write(report_response())
                else:
                    await self._respond(request)
                if self._writer.is_closing():
                    break
        finally:
            for task in self._late:
                task.cancel()
            self._writer.close()

    def abort(self) -> None:
        """Reset the connection."""
        reset_connection(self._writer)

    async def _respond(self, request: ReceivedRequest) -> None:
        plan = self._worker.plan(request, self._number, self._position)
        self._position += 1
        await asyncio.sleep(plan.run_s)
        async with self._writing:
            if self._due is not None:
                content, fault = self._due
                self._due = None
                await self._write(content)
                if fault.swallows_next:
                    return
            await self._send(plan)
        if plan.reply.status != 200:
            self._older.append(plan.content)

    async def _send(self, plan: _Plan) -> None:
        second = plan.content
        if plan.repeats_older and self._older:
            second = self._older[-1]
        ends = plan.reply.framing == "close"
        match plan.reply.fault:
            case Reset(ratio, pause_s):
                content = plan.content
                await self._write(content[: max(1, int(len(content) * ratio))])
                await asyncio.sleep(pause_s)
                self.abort()
                return
            case SameWrite():
                await self._write_pieces(plan, second)
            case Once():
                await self._write_pieces(plan)
            case Silent() as fault:
                await self._write_with_silence(plan, fault)
            case Late() | FirstPart() as fault:
                await self._write_pieces(plan)
                if ends:
                    await asyncio.sleep(fault.pause_s)
                    await self._write_late(second, fault)
                else:
                    task = asyncio.create_task(self._write_between(second, fault))
                    self._late.add(task)
                    task.add_done_callback(self._late.discard)
            case InPlace() as fault:
                await self._write_pieces(plan)
                if ends:
                    await self._write(second)
                else:
                    self._due = (second, fault)
        if ends:
            await asyncio.sleep(plan.ending_pause_s)
            self._writer.close()

    async def _write_pieces(self, plan: _Plan, second: bytes = b"") -> None:
        *firsts, last = plan.pieces
        for piece in firsts:
            await self._write(piece)
            await asyncio.sleep(plan.pause_s)
        await self._write(last + second)

    async def _write_with_silence(self, plan: _Plan, fault: Silent) -> None:
        left_bytes = fault.offset_bytes(plan.content)
        for number, piece in enumerate(plan.pieces):
            if number:
                await asyncio.sleep(plan.pause_s)
            rest = piece
            if 0 <= left_bytes < len(piece):
                if left_bytes:
                    await self._write(piece[:left_bytes])
                await asyncio.sleep(fault.silence_s)
                rest = piece[left_bytes:]
            left_bytes -= len(piece)
            await self._write(rest)

    async def _write_between(self, second: bytes, fault: Late | FirstPart) -> None:
        """Write a late response, or its first part, between two others."""
        await asyncio.sleep(fault.pause_s)
        with contextlib.suppress(ConnectionError):
            async with self._writing:
                await self._write_late(second, fault)

    async def _write_late(self, second: bytes, fault: Late | FirstPart) -> None:
        match fault:
            case Late(_, first_ratio, second_pause_s):
                first_bytes = int(len(second) * first_ratio)
                await self._write(second[:first_bytes])
                if first_bytes < len(second):
                    await asyncio.sleep(second_pause_s)
                    await self._write(second[first_bytes:])
            case FirstPart(_, ratio):
                last = len(second) - 1
                await self._write(second[: min(last, max(MIN_PART_BYTES, int(last * ratio)))])

    async def _write(self, content: bytes) -> None:
        if self._writer.is_closing():
            raise ConnectionResetError("the connection is closed")
        self._writer.write(content)
        await self._writer.drain()


def _draw_fault(draw: random.Random, shares: Shares) -> Fault:
    number = draw.random()
    if number < shares.reset:
        return Reset(draw.uniform(0, 0.9999), draw.choice((0.0, 0.005)))
    if number >= 1 - shares.silent:
        return Silent(draw.choice(PLACES), draw.uniform(*SILENCE_S), draw.random())
    if number >= shares.reset + shares.second:
        return Once()
    pause_s = draw.uniform(0, MAX_PAUSE_S)
    # Short parts end inside the head.
    ratio = draw.choice((draw.random(), draw.uniform(0, 0.1)))
    return draw.choice(
        (
            SameWrite(),
            Late(pause_s),
            Late(pause_s / 2, ratio, pause_s / 2),
            InPlace(draw.random() < 0.3),
            FirstPart(draw.choice((0.0, pause_s)), ratio),
        )
    )


def _encode(
    status: int, headers: dict[str, str], contents: list[bytes], framing: str
) -> Iterator[bytes]:
    """Yield the head, joined with the body unless that comes in pieces, and the body's pieces."""
    fields = dict(headers)
    match framing:
        case "length":
            fields["Content-Length"] = str(sum(map(len, contents)))
        case "chunks":
            fields["Transfer-Encoding"] = "chunked"
            contents = [b"%x\r\n%s\r\n" % (len(piece), piece) for piece in contents if piece]
            contents = (
                [*contents, b"0\r\n\r\n"] if len(contents) != 1 else [contents[0] + b"0\r\n\r\n"]
            )
        case _:
            fields["Connection"] = "close"
    lines = [f"HTTP/1.1 {status} {REASONS[status]}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    head = "\r\n".join([*lines, "", ""]).encode()
    if len(contents) == 1:
        yield head + contents[0]
        return
    yield head
    yield from contents


__all__ = [
    "PLACES",
    "SILENCE_S",
    "FirstPart",
    "InPlace",
    "Late",
    "Once",
    "Reply",
    "Reset",
    "SameWrite",
    "Shares",
    "Silent",
    "StampedRun",
    "StutteringWorkers",
    "WorkerRecord",
    "event",
    "events_count",
]
