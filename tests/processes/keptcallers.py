"""Callers on raw sockets that keep their connections, and what they received."""

from __future__ import annotations

import asyncio
import contextlib
import random
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterator, Sequence

KINDS = ("safe", "once", "stream", "feed")
"""First parts of paths: requests that may be repeated, requests that may not, streams that may be
continued at another worker, and streams that may not."""
UNSAFE_KINDS = ("once", "feed")
STREAM_KINDS = ("stream", "feed")
DEADLINE_MS = 3000
GIVE_UP_S = 8.0
"""Time after which a caller closes the connection of a request without a whole response."""
CONNECT_TIMEOUT_S = 1.0
MAX_BETWEEN_S = 0.06
"""Longest time between two requests of one caller."""
HEAD_LIMIT_BYTES = 64 << 10
SHARED_PARTS_COUNT = 6
TIMED_OUT = "no whole response in time"
"""Error of a request whose caller gave up."""
UNREAD = "sent behind the last request of its connection"


@dataclass(frozen=True, slots=True)
class AtOnce:
    """The request is sent in one write."""


@dataclass(frozen=True, slots=True)
class InPieces:
    """The body is sent in pieces, with a pause before each."""

    pieces_count: int
    pause_s: float
    is_chunked: bool
    """Whether each piece is a chunk of a body without a length."""


Sending = AtOnce | InPieces


class Habits(NamedTuple):
    """Shares of the requests, from 0 to 1, that callers send in other ways than one by one."""

    in_pieces: float = 0.0
    chunked: float = 0.0
    """Of the requests in pieces."""
    pipelined: float = 0.0
    """Requests that are followed by another one before their response."""
    idle: float = 0.0
    """Requests before which the connection is idle for longer."""
    prompts: float = 0.0
    """Requests for a model, with a prompt of which others have a part."""
    idles_s: tuple[float, ...] = (1.0,)
    """Times for which connections are idle, of which one is drawn."""
    idle_spread_s: float = 0.02
    """Most by which such a time is shorter or longer."""
    max_piece_pause_s: float = 0.4

    def draw_idle_s(self, draw: random.Random) -> float:
        """:return: time for which a connection is idle"""
        spread_s = self.idle_spread_s
        return draw.choice(self.idles_s) + draw.uniform(-spread_s, spread_s)


class SentCall(NamedTuple):
    """Request of a caller."""

    request_id: str
    kind: str
    body: bytes
    deadline_ms: int = DEADLINE_MS
    sending: Sending = AtOnce()
    shared_part: int | None = None
    """Number of the prompt's part that other requests have, ``None`` without a prompt."""
    name: str = ""
    """Last part of the path; the id if it is empty."""
    key: str = "key-1"
    headers: tuple[tuple[str, str], ...] = ()
    """Headers besides those of each request."""

    @property
    def target(self) -> str:
        return f"/{self.kind}/{self.name or self.request_id}?part=2"

    def encode(self) -> tuple[bytes, ...]:
        """:return: the request in the pieces that are sent one after another"""
        head_lines = [
            f"POST {self.target} HTTP/1.1",
            "Host: desk.example",
            f"Attempt-Id: {self.request_id}",
            f"Deadline-Ms: {self.deadline_ms}",
            f"Credential: {self.key}",
            *(f"{name}: {value}" for name, value in self.headers),
        ]
        if self.shared_part is not None:
            part, own_part = (
                f"{self.shared_part:08x}:800",
                f"{zlib.crc32(self.request_id.encode()):08x}:50",
            )
            head_lines += ["Model: m", "Token-Count: 850,80", f"Prompt-Prefix: {part},{own_part}"]
        length_line = f"Content-Length: {len(self.body)}"
        match self.sending:
            case AtOnce():
                head = "\r\n".join([*head_lines, length_line, "", ""]).encode()
                return (head + self.body,)
            case InPieces(count, _, is_chunked):
                size = -(-len(self.body) // count)
                pieces = [self.body[at : at + size] for at in range(0, len(self.body), size)]
                if is_chunked:
                    length_line = "Transfer-Encoding: chunked"
                    pieces = [b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces]
                    pieces.append(b"0\r\n\r\n")
                return ("\r\n".join([*head_lines, length_line, "", ""]).encode(), *pieces)


class Received(NamedTuple):
    """What a caller received for a request."""

    call: SentCall
    router: str
    status: int = 0
    """0 if no head of a response arrived."""
    headers: dict[str, str] = {}  # noqa: RUF012 -- never changed in place
    content: bytes = b""
    is_whole: bool = False
    error: str = ""
    """Why the response is not whole."""
    sent_s: float = 0.0
    """Monotonic time at which the request was sent."""
    ended_s: float = 0.0
    """Monotonic time at which the response was whole, or known not to become whole."""
    last_byte_s: float | None = None
    """Monotonic time at which the last byte of the request was sent, ``None`` if it was not."""


class CallerFleet:
    """Runs callers that send one request after another, each with an id of its own."""

    def __init__(
        self,
        address: Callable[[str], tuple[str, int]],
        routers: Sequence[str],
        deadline_ms: int = DEADLINE_MS,
        habits: Habits = Habits(),  # noqa: B008 -- immutable
    ) -> None:
        """
        Prepare callers.

        :param address: returns the IP address and the port that a router accepts requests on
        :param routers: names of the routers, from which each connection takes one
        :param deadline_ms: time for which callers wait for a response
        :param habits: how requests are sent
        """
        self.received: list[Received] = []
        self.running = True
        self._address = address
        self._routers = routers
        self._deadline_ms = deadline_ms
        self._habits = habits

    async def run_caller(self, name: str, seed: int) -> None:
        """
        Send requests until ``running`` is cleared.

        :param name: name of the caller, the first part of its ids
        :param seed: seed of its requests, its pauses and its choice of routers
        """
        draw = random.Random(f"{seed} {name}")
        habit_draw = random.Random(f"{seed} {name} habits")
        calls = _calls(name, draw, self._deadline_ms)
        while self.running:
            router = draw.choice(self._routers)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(
                        *self._address(router), limit=HEAD_LIMIT_BYTES
                    )
            except OSError:
                await asyncio.sleep(draw.uniform(0.02, 0.2))
                continue
            try:
                # An open connection is used until the router closes it.
                while self.running:
                    batch = [self._with_sending(next(calls), habit_draw)]
                    if habit_draw.random() < self._habits.pipelined:
                        batch.append(next(calls))
                    received = await _exchange(reader, writer, router, batch)
                    self.received += received
                    pause_s = draw.uniform(0, MAX_BETWEEN_S)
                    if habit_draw.random() < self._habits.idle:
                        pause_s = self._habits.draw_idle_s(habit_draw)
                    await asyncio.sleep(pause_s)
                    last = received[-1]
                    if not last.is_whole or last.headers.get("connection") == "close":
                        break
            finally:
                writer.transport.abort()

    def _with_sending(self, call: SentCall, draw: random.Random) -> SentCall:
        habits = self._habits
        if draw.random() < habits.prompts:
            call = call._replace(shared_part=draw.randrange(SHARED_PARTS_COUNT))
        if draw.random() >= habits.in_pieces:
            return call
        pause_s = draw.uniform(0.01, habits.max_piece_pause_s)
        is_chunked = draw.random() < habits.chunked
        return call._replace(sending=InPieces(draw.randint(1, 4), pause_s, is_chunked))


def _calls(name: str, draw: random.Random, deadline_ms: int) -> Iterator[SentCall]:
    number = 0
    while True:
        number += 1
        request_id = f"{name}-{number}"
        body = request_id.encode() + draw.randbytes(draw.choice((0, 20, 3000)))
        # Only requests that may be repeated use kept connections of a router.
        yield SentCall(request_id, draw.choice(("safe", *KINDS)), body, deadline_ms)


async def _exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    router: str,
    batch: Sequence[SentCall],
) -> list[Received]:
    """Send one request, or several at once, and receive the responses as long as there are any."""
    sent = [_Sent(call, asyncio.get_running_loop().time()) for call in batch]
    sending = asyncio.create_task(_send(writer, sent))
    received: list[Received] = []
    has_ended = False
    try:
        for entry in sent:
            if received:
                # A router reads the next request after the response to the one before.
                entry.sent_s = received[-1].ended_s
            if has_ended:
                # The rest of a batch is not read (RFC 9112, 9.6).
                unread = Received(entry.call, router, error=UNREAD, sent_s=entry.sent_s)
                received.append(unread._replace(ended_s=entry.sent_s))
                continue
            last = await _receive(reader, router, entry)
            received.append(last)
            has_ended = not last.is_whole or last.headers.get("connection") == "close"
    finally:
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
    return received


@dataclass(slots=True)
class _Sent:
    """Request that is being sent."""

    call: SentCall
    sent_s: float
    last_byte_s: float | None = None


async def _send(writer: asyncio.StreamWriter, batch: Sequence[_Sent]) -> None:
    loop = asyncio.get_running_loop()
    for entry in batch:
        match entry.call.sending:
            case AtOnce():
                pause_s = 0.0
            case InPieces(_, pause_s, _):
                pass
        first, *pieces = entry.call.encode()
        writer.write(first)
        for piece in pieces:
            await asyncio.sleep(pause_s)
            if writer.is_closing():
                return
            writer.write(piece)
        entry.last_byte_s = loop.time()


async def _receive(reader: asyncio.StreamReader, router: str, entry: _Sent) -> Received:
    loop = asyncio.get_running_loop()
    received = Received(entry.call, router, sent_s=entry.sent_s)
    content = bytearray()
    is_whole, cause = False, ""
    try:
        async with asyncio.timeout(GIVE_UP_S):
            head = await reader.readuntil(b"\r\n\r\n")
            received = decode_head(received, head)
            async for piece in body_pieces(reader, received.headers):
                content += piece
        is_whole = True
    except TimeoutError:
        cause = TIMED_OUT
    except (OSError, EOFError, asyncio.LimitOverrunError, ValueError) as error:
        cause = f"{type(error).__name__}: {error}"
    return received._replace(
        content=bytes(content),
        is_whole=is_whole,
        error=cause,
        ended_s=loop.time(),
        last_byte_s=entry.last_byte_s,
    )


def decode_head(received: Received, head: bytes) -> Received:
    """
    Add the status and the headers of a response to what a caller received.

    :param received: the request, and where it was sent
    :param head: the head with the empty line that ends it
    :return: both
    :raises ValueError: the head is none of the protocol
    """
    status_line, *lines = head.decode("latin-1").split("\r\n")
    version, status, _ = f"{status_line} ".split(" ", 2)
    if version != "HTTP/1.1":
        raise ValueError(f"{status_line!r} is no status line")
    headers: dict[str, str] = {}
    for line in lines:
        if line:
            name, value = line.split(":", 1)
            # A header that comes twice must not look like one of its values.
            name, value = name.lower(), value.strip()
            headers[name] = f"{headers[name]}, {value}" if name in headers else value
    return received._replace(status=int(status), headers=headers)


async def body_pieces(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> AsyncIterator[bytes]:
    """
    Read the body of a response.

    :param reader: the connection
    :param headers: headers of the response
    :return: pieces of the body, as they arrive
    :raises EOFError: the connection ended inside the body
    :raises ValueError: the framing is broken
    """
    if headers.get("transfer-encoding") == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            left = size
            while left:
                piece = await reader.read(left)
                if not piece:
                    raise EOFError("the connection ended inside a chunk")
                left -= len(piece)
                yield piece
            if await reader.readexactly(2) != b"\r\n":
                raise ValueError("a chunk has no end")
        await reader.readuntil(b"\r\n")
        return
    left = int(headers["content-length"]) if "content-length" in headers else None
    while left is None or left > 0:
        piece = await reader.read(65536 if left is None else left)
        if not piece:
            if left is None:
                return
            raise EOFError(f"the connection ended {left} bytes before the end of the body")
        if left is not None:
            left -= len(piece)
        yield piece


class KeptConnection(NamedTuple):
    """A connection to a router on which requests that may be repeated are sent one by one."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @classmethod
    async def open(cls, address: tuple[str, int]) -> KeptConnection:
        """
        Connect to a router.

        :param address: its IP address and port
        :return: the connection
        """
        return cls(*await asyncio.open_connection(*address, limit=HEAD_LIMIT_BYTES))

    async def call(self, request_id: str, at_s: float = 0.0) -> Received:
        """
        Send a request.

        :param request_id: id of the request
        :param at_s: monotonic time before which it is not sent
        :return: what was received
        """
        await asyncio.sleep(at_s - asyncio.get_running_loop().time())
        call = SentCall(request_id, "safe", b"violins")
        (received,) = await _exchange(self.reader, self.writer, "", [call])
        return received


async def run_callers(fleet: CallerFleet, count: int, seed: int, duration_s: float) -> None:
    """Run callers for some seconds, and let each finish its last request."""
    tasks = [
        asyncio.create_task(fleet.run_caller(f"s{seed}-c{number}", seed)) for number in range(count)
    ]
    try:
        await asyncio.sleep(duration_s)
        fleet.running = False
        await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)


__all__ = [
    "KINDS",
    "STREAM_KINDS",
    "TIMED_OUT",
    "UNSAFE_KINDS",
    "AtOnce",
    "CallerFleet",
    "Habits",
    "InPieces",
    "KeptConnection",
    "Received",
    "SentCall",
    "body_pieces",
    "decode_head",
    "run_callers",
]
