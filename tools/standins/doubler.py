"""HTTP forwarder in front of one simulated upstream, which sends many of its responses twice."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

import h11

from tools.standins.serving import LOOPBACK, listening_socket

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

READ_BYTES = 64 << 10
LONGEST_PAUSE_S = 0.4
"""Longest time between a response and the second one."""
FORMS = ("same write", "later", "two pieces", "next")
"""``next`` sends the second response in front of the one to the next request."""
FRAMINGS = ("length", "chunks", "close")
_FRAMING_HEADERS = {b"content-length", b"transfer-encoding", b"connection"}
_NAMES = {b"x-request-id", b"x-attempt"}


class DoublerSettings(NamedTuple):
    """How often an upstream misbehaves, as fractions of its responses."""

    twice_ratio: float = 0.3
    cut_ratio: float = 0.0
    """Responses whose connection is closed inside their body, of those with a length or chunks."""
    unnamed_ratio: float = 0.0
    """Responses without the id of their request and the number of the attempt."""


class _Call(NamedTuple):
    """A request or a response with its whole body."""

    head: h11.Request | h11.Response
    body: bytes


class Doubler:
    """Listening port whose requests are forwarded to one upstream."""

    def __init__(self, port: int, seed: int, settings: DoublerSettings | None = None) -> None:
        """
        Create a forwarder that does not listen yet.

        :param port: loopback port of the upstream
        :param seed: seed of everything that is drawn
        :param settings: how often the upstream misbehaves
        """
        self.counts: Counter[str] = Counter()
        """Responses by form, and requests."""
        self._target_port = port
        self._settings = settings or DoublerSettings()
        self._rng = random.Random(seed)

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[str]:
        """
        Listen on a free port of the running event loop.

        :return: the URL
        """
        sock = listening_socket()
        url = f"http://{LOOPBACK}:{sock.getsockname()[1]}"
        server = await asyncio.start_server(self._serve, sock=sock)
        try:
            yield url
        finally:
            server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = _ServedConnection(reader, writer)
        try:
            while (request := await connection.next_request()) is not None:
                self.counts["requests"] += 1
                response = await connection.unless_closed(self._forward(request))
                if response is None or not await self._respond(connection, response):
                    return
        except (OSError, h11.ProtocolError):
            self.counts["broken connections"] += 1
        finally:
            connection.close()

    async def _forward(self, request: _Call) -> _Call:
        reader, writer = await asyncio.open_connection(LOOPBACK, self._target_port)
        peer = h11.Connection(h11.CLIENT)
        try:
            headers = [pair for pair in request.head.headers if pair[0] not in _FRAMING_HEADERS]
            headers += [(b"content-length", b"%d" % len(request.body)), (b"connection", b"close")]
            head = h11.Request(
                method=request.head.method, target=request.head.target, headers=headers
            )
            content = (peer.send(head) or b"") + (peer.send(h11.Data(request.body)) or b"")
            writer.write(content + (peer.send(h11.EndOfMessage()) or b""))
            response = await _read_call(peer, reader)
        finally:
            writer.close()
        if response is None:
            raise ConnectionResetError("the upstream closed the connection without a response")
        return response

    async def _respond(self, connection: _ServedConnection, response: _Call) -> bool:
        """Send a response in the form that is drawn; return whether the connection stays open."""
        rng, settings = self._rng, self._settings
        framing = rng.choice(FRAMINGS)
        unnamed = rng.random() < settings.unnamed_ratio
        content = _encoded(response, framing, unnamed=unnamed)
        form = rng.choice(FORMS) if rng.random() < settings.twice_ratio else "once"
        if framing != "close" and response.body and rng.random() < settings.cut_ratio:
            form = "cut"
        pauses_s = [rng.uniform(0, LONGEST_PAUSE_S) for _ in range(2)]
        self.counts[form] += 1
        self.counts["unnamed"] += unnamed
        closes = framing == "close"
        match form:
            case "cut":
                await connection.send(content[: -rng.randint(1, len(response.body))])
                return False
            case "same write":
                await connection.send(content * 2)
            case "later":
                await connection.send(content)
                await connection.send_later([content], pauses_s, wait=closes)
            case "two pieces":
                place = rng.randrange(1, len(content))
                await connection.send(content)
                pieces = [content[:place], content[place:]]
                await connection.send_later(pieces, pauses_s, wait=closes)
            case _:
                await connection.send(content)
                connection.due = content if form == "next" else b""
        return not closes


class _ServedConnection:
    """A connection of a router, on which responses may still be due."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.due = b""
        """Sent in front of the next response."""
        self._reader = reader
        self._writer = writer
        self._peer = h11.Connection(h11.SERVER)
        self._lock = asyncio.Lock()
        self._late_tasks: set[asyncio.Task[None]] = set()
        self._reading: asyncio.Task[bytes] | None = None

    async def next_request(self) -> _Call | None:
        if self._peer.their_state is h11.DONE:
            # Responses are encoded elsewhere; only the requests are parsed here.
            trailing, _ = self._peer.trailing_data
            self._peer = h11.Connection(h11.SERVER)
            if trailing:
                self._peer.receive_data(trailing)
        if self._reading is not None:
            content, self._reading = await self._reading, None
            self._peer.receive_data(content)
            if not content:
                return None
        return await _read_call(self._peer, self._reader)

    async def unless_closed(self, forwarding: asyncio.Future[_Call] | object) -> _Call | None:
        """Wait for a response; return none if the router closes the connection before."""
        task = asyncio.ensure_future(forwarding)
        self._reading = asyncio.create_task(self._reader.read(READ_BYTES))
        await asyncio.wait({task, self._reading}, return_when=asyncio.FIRST_COMPLETED)
        if self._reading.done() and not self._reading.result():
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError, h11.ProtocolError):
                await task
            return None
        return await task

    async def send(self, content: bytes) -> None:
        async with self._lock:
            self._writer.write(self.due + content)
            self.due = b""
            await self._writer.drain()

    async def send_later(self, pieces: list[bytes], pauses_s: list[float], *, wait: bool) -> None:
        task = asyncio.create_task(self._send_pieces(pieces, pauses_s))
        self._late_tasks.add(task)
        task.add_done_callback(self._late_tasks.discard)
        if wait:
            await asyncio.wait({task})

    async def _send_pieces(self, pieces: list[bytes], pauses_s: list[float]) -> None:
        with contextlib.suppress(OSError):
            await asyncio.sleep(pauses_s[0])
            async with self._lock:
                for piece, pause_s in zip(pieces, pauses_s, strict=False):
                    self._writer.write(piece)
                    await self._writer.drain()
                    await asyncio.sleep(pause_s / 4 if len(pieces) > 1 else 0)

    def close(self) -> None:
        for task in self._late_tasks:
            task.cancel()
        if self._reading is not None:
            self._reading.cancel()
        self._writer.close()


async def _read_call(peer: h11.Connection, reader: asyncio.StreamReader) -> _Call | None:
    """Read one request or response; return none if the connection ends before it."""
    head, body = None, bytearray()
    while True:
        match peer.next_event():
            case h11.NEED_DATA:
                peer.receive_data(await reader.read(READ_BYTES))
            case h11.Request() | h11.Response() as event:
                head = event
            case h11.Data(data=data):
                body += data
            case h11.EndOfMessage():
                return _Call(head, bytes(body))
            case h11.ConnectionClosed():
                return None


def _encoded(response: _Call, framing: str, *, unnamed: bool) -> bytes:
    dropped = _FRAMING_HEADERS | (_NAMES if unnamed else set())
    lines = [b"HTTP/1.1 %d Sent" % response.head.status_code]
    lines += [b"%s: %s" % pair for pair in response.head.headers if pair[0] not in dropped]
    body = response.body
    match framing:
        case "length":
            lines.append(b"content-length: %d" % len(body))
        case "chunks":
            lines.append(b"transfer-encoding: chunked")
            parts = [body[: len(body) // 2], body[len(body) // 2 :]]
            chunks = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts if part]
            body = b"".join(chunks) + b"0\r\n\r\n"
        case _:
            lines.append(b"connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


__all__ = ["FORMS", "FRAMINGS", "DoublerSettings", "Doubler"]
