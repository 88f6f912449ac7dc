"""Callers on raw sockets that keep their connections, and what they received."""

from __future__ import annotations

import asyncio
import contextlib
import random
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


class SentCall(NamedTuple):
    """Request of a caller."""

    request_id: str
    kind: str
    body: bytes
    deadline_ms: int = DEADLINE_MS
    name: str = ""
    """Last part of the path; the id if it is empty."""
    key: str = "key-1"
    headers: tuple[tuple[str, str], ...] = ()
    """Headers besides those of each request."""

    @property
    def target(self) -> str:
        return f"/{self.kind}/{self.name or self.request_id}?part=2"

    def encode(self) -> bytes:
        lines = (
            f"POST {self.target} HTTP/1.1",
            "Host: desk.example",
            f"Attempt-Id: {self.request_id}",
            f"Deadline-Ms: {self.deadline_ms}",
            f"Credential: {self.key}",
            f"Content-Length: {len(self.body)}",
            *(f"{name}: {value}" for name, value in self.headers),
        )
        return "\r\n".join([*lines, "", ""]).encode() + self.body


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


class CallerFleet:
    """Runs callers that send one request after another, each with an id of its own."""

    def __init__(
        self,
        address: Callable[[str], tuple[str, int]],
        routers: Sequence[str],
        deadline_ms: int = DEADLINE_MS,
    ) -> None:
        """
        Prepare callers.

        :param address: returns the IP address and the port that a router accepts requests on
        :param routers: names of the routers, from which each connection takes one
        :param deadline_ms: time for which callers wait for a response
        """
        self.received: list[Received] = []
        self.running = True
        self._address = address
        self._routers = routers
        self._deadline_ms = deadline_ms

    async def run_caller(self, name: str, seed: int) -> None:
        """
        Send requests until ``running`` is cleared.

        :param name: name of the caller, the first part of its ids
        :param seed: seed of its requests, its pauses and its choice of routers
        """
        draw = random.Random(f"{seed} {name}")
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
                    received = await _exchange(reader, writer, router, next(calls))
                    self.received.append(received)
                    await asyncio.sleep(draw.uniform(0, MAX_BETWEEN_S))
                    if not received.is_whole or received.headers.get("connection") == "close":
                        break
            finally:
                writer.transport.abort()


def _calls(name: str, draw: random.Random, deadline_ms: int) -> Iterator[SentCall]:
    number = 0
    while True:
        number += 1
        request_id = f"{name}-{number}"
        body = request_id.encode() + draw.randbytes(draw.choice((0, 20, 3000)))
        # Only requests that may be repeated use kept connections of a router.
        yield SentCall(request_id, draw.choice(("safe", *KINDS)), body, deadline_ms)


async def _exchange(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, router: str, call: SentCall
) -> Received:
    loop = asyncio.get_running_loop()
    received = Received(call, router, sent_s=loop.time())
    content = bytearray()
    is_whole, cause = False, ""
    try:
        async with asyncio.timeout(GIVE_UP_S):
            writer.write(call.encode())
            head = await reader.readuntil(b"\r\n\r\n")
            received = decode_head(received, head)
            async for piece in body_pieces(reader, received.headers):
                content += piece
        is_whole = True
    except TimeoutError:
        cause = "no whole response in time"
    except (OSError, EOFError, asyncio.LimitOverrunError, ValueError) as error:
        cause = f"{type(error).__name__}: {error}"
    return received._replace(
        content=bytes(content), is_whole=is_whole, error=cause, ended_s=loop.time()
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
    "UNSAFE_KINDS",
    "CallerFleet",
    "Received",
    "SentCall",
    "body_pieces",
    "decode_head",
    "run_callers",
]
