"""Callers that resume a broken stream at another router, and what they received of each text."""

from __future__ import annotations

import asyncio
import random
import re
from collections import defaultdict, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from tools.standins.versioned import EVENTS_COUNT

from tests.processes.keptcallers import (
    CONNECT_TIMEOUT_S,
    HEAD_LIMIT_BYTES,
    Received,
    SentCall,
    body_pieces,
    decode_head,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

MAX_RESUMPTIONS_COUNT = 3
MAX_ANEW_COUNT = 2
"""Times that a caller begins a stream anew after refusals."""
DEADLINE_MS = 6000
MAX_GAP_S = 2.5
"""Time without an event after which a caller gives a stream up."""
MAX_BETWEEN_S = 0.1
"""Longest time between two streams of one caller."""
MAX_RETRY_AFTER_S = 2.0
CONNECT_PAUSE_S = (0.3, 4.0)
"""Shortest and longest time after which a caller connects again to routers that don't listen; they
need some time until they accept requests."""
RECONNECT_S = 30.0
"""Time within which some router has to accept a connection."""
REFUSALS = (408, 421, 429, 503)
"""Statuses that promise that the request has not run."""
NAMED_COUNT = 50
"""Streams of other callers that one may name."""
_EVENT_ID = re.compile(rb"(?:\A|\n\n)id: (\d+)\n")


@dataclass(frozen=True, slots=True)
class NamesFirst:
    """A resumption names the attempt that brought the first event."""


@dataclass(frozen=True, slots=True)
class NamesNothing:
    """A resumption names no attempt."""


@dataclass(frozen=True, slots=True)
class NamesUnknown:
    """A resumption names an attempt that never was."""


@dataclass(frozen=True, slots=True)
class NamesOtherRoute:
    """A resumption names an attempt of another route."""


@dataclass(frozen=True, slots=True)
class NamesOtherTeam:
    """A resumption names an attempt of another team."""


Naming = NamesFirst | NamesNothing | NamesUnknown | NamesOtherRoute | NamesOtherTeam


class Habits(NamedTuple):
    """What callers do."""

    drop_share: float = 0.0
    """Share of the answers inside which the caller drops the connection."""
    naming: Naming = NamesFirst()
    naming_share: float = 0.5
    """Share of the resumptions that name an attempt in that way; the others name the first one."""
    kinds: tuple[str, ...] = ("stream",)
    """First parts of paths."""
    keys: tuple[str, ...] = ("key-1",)


class Try(NamedTuple):
    """One request for a part of a text, and what came back."""

    received: Received
    last_event_id: int = 0
    """Last event that the caller had; 0 begins the stream."""
    is_dropped: bool = False
    """Whether the caller dropped the connection."""

    @property
    def is_refused(self) -> bool:
        return self.received.is_whole and self.received.status in REFUSALS

    @property
    def last_number(self) -> int:
        """Last event that the caller has after this request."""
        if self.received.status != 200:
            return self.last_event_id
        content = self.received.content
        numbers = _EVENT_ID.findall(content[: content.rfind(b"\n\n") + 2])
        return int(numbers[-1]) if numbers else self.last_event_id


class Text(NamedTuple):
    """Stream of a caller from its beginning, over all requests for it."""

    stream: str
    kind: str
    tries: tuple[Try, ...]


class ResumingCallers:
    """Runs callers that ask for one stream after another, each on a connection of its own."""

    def __init__(
        self,
        address: Callable[[str], tuple[str, int]],
        routers: Sequence[str],
        habits: Habits,
        seed: int,
    ) -> None:
        """
        Prepare callers.

        :param address: returns the IP address and the port that a router accepts requests on
        :param routers: names of the routers
        :param habits: what the callers do
        :param seed: seed of all callers
        """
        self.texts: list[Text] = []
        self.running = True
        self._address = address
        self._routers = routers
        self._habits = habits
        self._seed = seed
        self._named: defaultdict[tuple[str, str], deque[str]] = defaultdict(
            lambda: deque(maxlen=NAMED_COUNT)
        )
        """Attempts that brought a first event lately, by the kind and the key of their requests."""

    async def run_caller(self, name: str) -> None:
        """
        Ask for streams until ``running`` is cleared.

        :param name: name of the caller, the first part of its ids
        """
        draw = random.Random(f"{self._seed} {name}")
        number = 0
        while self.running:
            number += 1
            await self._read_stream(f"s{self._seed}-{name}-{number}", draw)
            await asyncio.sleep(draw.uniform(0, MAX_BETWEEN_S))

    async def _read_stream(self, stream: str, draw: random.Random) -> None:
        """Ask for a stream until it is whole, its tries are over, or it is given up."""
        call = SentCall(
            "",
            draw.choice(self._habits.kinds),
            stream.encode(),
            DEADLINE_MS,
            name=stream,
            key=draw.choice(self._habits.keys),
        )
        router = draw.choice(self._routers)
        tries: list[Try] = []
        resumptions_count = anew_count = requests_count = 0
        while True:
            requests_count += 1
            last_event_id = tries[-1].last_number if tries else 0
            headers = self._resumption_headers(call, tries, last_event_id, draw)
            request = call._replace(request_id=f"{stream}-{requests_count}", headers=headers)
            one = await self._try(router, request, last_event_id, draw)
            tries.append(one)
            if one.last_number and not last_event_id:
                self._named[call.kind, call.key].append(request.request_id)
            is_complete = one.last_number == EVENTS_COUNT or (
                one.received.is_whole and one.received.status == 200
            )
            is_answer = one.received.is_whole and not one.is_refused
            if is_complete or (is_answer and one.received.status < 500):
                break
            if one.is_refused and anew_count < MAX_ANEW_COUNT:
                anew_count += 1
                self._close_text(call, tries)
                tries = []
                await _wait_as_told(one.received)
            elif not one.is_refused and resumptions_count < MAX_RESUMPTIONS_COUNT:
                resumptions_count += 1
                if one.last_number == 0:
                    # Nothing can be resumed, and the request may have run.
                    self._close_text(call, tries)
                    tries = []
            else:
                break
            router = self._other(one.received.router)
        self._close_text(call, tries)

    def _close_text(self, call: SentCall, tries: list[Try]) -> None:
        self.texts.append(Text(call.name, call.kind, tuple(tries)))

    def _resumption_headers(
        self, call: SentCall, tries: list[Try], last_event_id: int, draw: random.Random
    ) -> tuple[tuple[str, str], ...]:
        if not last_event_id:
            return ()
        first_id = next(one for one in tries if one.last_number).received.call.request_id
        named = first_id
        if draw.random() < self._habits.naming_share:
            named = self._name_attempt(call, first_id, draw)
        position = ("Last-Event-Id", str(last_event_id))
        return (position,) if named is None else (("Resumes", named), position)

    def _name_attempt(self, call: SentCall, first_id: str, draw: random.Random) -> str | None:
        match self._habits.naming:
            case NamesFirst():
                return first_id
            case NamesNothing():
                return None
            case NamesUnknown():
                return f"unknown-{draw.getrandbits(32):08x}"
            case NamesOtherRoute():
                keys = [key for key in self._named if key[0] != call.kind and key[1] == call.key]
            case NamesOtherTeam():
                keys = [key for key in self._named if key[0] == call.kind and key[1] != call.key]
        named = [request_id for key in keys for request_id in self._named[key]]
        return draw.choice(named) if named else None

    async def _connect(
        self, router: str, draw: random.Random
    ) -> tuple[str, asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect to a router, or to the next one that listens; return its name as well."""
        async with asyncio.timeout(RECONNECT_S):
            while True:
                try:
                    async with asyncio.timeout(CONNECT_TIMEOUT_S):
                        connection = await asyncio.open_connection(
                            *self._address(router), limit=HEAD_LIMIT_BYTES
                        )
                except OSError:
                    await asyncio.sleep(draw.uniform(*CONNECT_PAUSE_S))
                    router = self._other(router)
                else:
                    return router, *connection

    def _other(self, router: str) -> str:
        position = self._routers.index(router) + 1
        return self._routers[position % len(self._routers)]

    async def _try(
        self, router: str, call: SentCall, last_event_id: int, draw: random.Random
    ) -> Try:
        """Send a request, and drop the connection inside some answers."""
        loop = asyncio.get_running_loop()
        drop_after = draw.randint(1, 20) if draw.random() < self._habits.drop_share else None
        router, reader, writer = await self._connect(router, draw)
        received = Received(call, router, sent_s=loop.time())
        content = bytearray()
        is_whole, is_dropped, cause = False, False, ""
        try:
            async with asyncio.timeout(call.deadline_ms / 1000) as gap:
                writer.writelines(call.encode())
                received = decode_head(received, await reader.readuntil(b"\r\n\r\n"))
                async for piece in body_pieces(reader, received.headers):
                    content += piece
                    gap.reschedule(loop.time() + MAX_GAP_S)
                    if drop_after is not None and content.count(b"\n\n") >= drop_after:
                        is_dropped = True
                        break
            is_whole = not is_dropped
        except TimeoutError:
            cause = "no whole response in time"
        except (OSError, EOFError, asyncio.LimitOverrunError, ValueError) as error:
            cause = f"{type(error).__name__}: {error}"
        finally:
            writer.transport.abort()
        received = received._replace(
            content=bytes(content), is_whole=is_whole, error=cause, ended_s=loop.time()
        )
        return Try(received, last_event_id, is_dropped)


async def _wait_as_told(received: Received) -> None:
    """Wait as long as a refusal says."""
    try:
        told_s = float(received.headers.get("retry-after", 0.05))
    except ValueError:
        told_s = 0.05
    await asyncio.sleep(min(told_s, MAX_RETRY_AFTER_S))


async def run_resuming_callers(callers: ResumingCallers, count: int, duration_s: float) -> None:
    """Run callers for some seconds, and let each finish its last stream."""
    async with asyncio.TaskGroup() as tasks:
        for number in range(count):
            tasks.create_task(callers.run_caller(f"c{number}"))
        await asyncio.sleep(duration_s)
        callers.running = False


__all__ = [
    "REFUSALS",
    "Habits",
    "Naming",
    "NamesFirst",
    "NamesNothing",
    "NamesOtherRoute",
    "NamesOtherTeam",
    "NamesUnknown",
    "ResumingCallers",
    "Text",
    "Try",
    "run_resuming_callers",
]
