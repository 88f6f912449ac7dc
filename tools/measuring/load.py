"""Load generator: backlogs that are kept up, and schedules that are sent in time."""

from __future__ import annotations

import asyncio
import random
import ssl
import time
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple

import httpx

from tools.fleet import CALLER_TOKEN
from tools.measuring.plans import MEAN_SERVICE_MS, MEAN_TOKENS_COUNT, costs

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Coroutine, Iterable, Sequence
    from contextlib import AbstractAsyncContextManager

    from tools.fleet import Fleet
    from tools.measuring.plans import Kind

REFUSED_PAUSE_S = 0.3
"""Pause of a caller that keeps up a backlog after a refusal."""
ROUTER_WEIGHTS = (6, 3, 1)
"""How a team's callers are spread over its routers."""


class Call(NamedTuple):
    """One request to send."""

    team: str
    kind: Kind
    router_id: str
    cost: float
    """Tokens, or milliseconds of a service."""
    streamed: bool = True


@dataclass(slots=True)
class Result:
    """What became of a request; times are those of the wall clock."""

    call: Call
    sent_s: float
    first_s: float | None = None
    end_s: float | None = None
    status: int = 0
    request_id: str = ""

    @property
    def on_time(self) -> bool:
        """:return: whether it was served whole and began within the kind's objective"""
        if self.status != 200 or self.end_s is None or self.first_s is None:
            return False
        return self.first_s - self.sent_s <= self.call.kind.objective_s


class Clients:
    """
    Idle clients by router, each with one connection.

    One client for all was the bottleneck: for each request its pool looks at every connection.
    """

    def __init__(self) -> None:
        """Start without clients."""
        self._context = ssl.create_default_context()
        self._idle: dict[str, list[httpx.AsyncClient]] = {}
        self._all: list[httpx.AsyncClient] = []

    @asynccontextmanager
    async def lend(self, router_id: str) -> AsyncIterator[httpx.AsyncClient]:
        """
        Lend a client for one request.

        :param router_id: router that it will connect to
        :return: the client
        """
        idle = self._idle.setdefault(router_id, [])
        client = idle.pop() if idle else self._create()
        try:
            yield client
        finally:
            idle.append(client)

    async def close(self) -> None:
        """Close every connection."""
        for client in self._all:
            await client.aclose()

    def _create(self) -> httpx.AsyncClient:
        client = httpx.AsyncClient(timeout=120.0, trust_env=False, verify=self._context)
        self._all.append(client)
        return client


class Load:
    """Sends requests to a fleet and keeps the results."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        """
        Prepare the load.

        :param fleet: the running fleet
        :param seed: seed of costs and choices
        """
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._clients = Clients()
        self._tasks: set[asyncio.Task[None]] = set()
        self.results: list[Result] = []

    async def close(self) -> None:
        """Leave every request and close the connections."""
        await self.leave()
        await self._clients.close()

    async def leave(self) -> None:
        """Leave every request, as callers that go away."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def send(self, call: Call) -> None:
        """
        Send a request in the background.

        :param call: the request
        """
        self._start(self._run(call))

    def keep_backlog(
        self, team: str, kinds: Sequence[Kind], router_ids: Sequence[str], count: int
    ) -> None:
        """
        Keep a number of requests of a team in the fleet until ``leave``.

        :param team: name of the team
        :param kinds: drawn from for each request; the first one follows a refusal
        :param router_ids: routers of the team's callers, most used first
        :param count: requests that wait or run
        """
        for _ in range(count):
            rng = random.Random(self._rng.random())
            self._start(self._keep_one(team, kinds, router_ids, rng))

    async def follow(self, schedule: Iterable[tuple[float, Call]]) -> None:
        """
        Send requests at their times.

        :param schedule: seconds from now, in order, and requests
        """
        started_s = time.monotonic()
        for at_s, call in schedule:
            await asyncio.sleep(max(0.0, started_s + at_s - time.monotonic()))
            self.send(call)

    def _start(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _keep_one(
        self, team: str, kinds: Sequence[Kind], router_ids: Sequence[str], rng: random.Random
    ) -> None:
        sizes = {one.name: costs(rng, mean_cost(one)) for one in kinds}
        kind = rng.choice(kinds)
        while True:
            weights = ROUTER_WEIGHTS[: len(router_ids)]
            router_id = rng.choices(router_ids, weights)[0]
            status = await self._run(Call(team, kind, router_id, next(sizes[kind.name])))
            kind = rng.choice(kinds)
            if status != 200:
                kind = kinds[0]
                await asyncio.sleep(REFUSED_PAUSE_S)

    async def _run(self, call: Call) -> int:
        result = Result(call, time.time())
        self.results.append(result)
        try:
            async with (
                self._clients.lend(call.router_id) as client,
                self._open(client, call) as answer,
            ):
                result.status = answer.status_code
                result.request_id = answer.headers.get("x-request-id", "")
                async for _ in answer.aiter_raw():
                    result.first_s = result.first_s or time.time()
            result.end_s = time.time()
            result.first_s = result.first_s or result.end_s
        except httpx.HTTPError:
            result.status = -1
        return result.status

    def _open(
        self, client: httpx.AsyncClient, call: Call
    ) -> AbstractAsyncContextManager[httpx.Response]:
        url = self._fleet.members[call.router_id].url
        headers = {
            "authorization": f"Bearer {CALLER_TOKEN}",
            "x-team": call.team,
            "x-kind": call.kind.name,
        }
        if call.kind.model:
            body = {
                "model": "chorale",
                "prompt": f"Work of {call.team}.",
                "max_tokens": round(call.cost),
                "stream": call.streamed,
            }
            return client.stream("POST", f"{url}/v1/completions", json=body, headers=headers)
        path = f"{url}/v1/services/{call.kind.pool}/{call.team}?service_ms={call.cost:.0f}"
        return client.stream("GET", path, headers=headers)


def mean_cost(kind: Kind) -> float:
    """
    Tell the mean cost of a kind.

    :param kind: the kind
    :return: tokens, or milliseconds
    """
    return MEAN_TOKENS_COUNT if kind.model else MEAN_SERVICE_MS


def routers_of(place: int, router_ids: Sequence[str]) -> list[str]:
    """
    Spread teams unevenly: each uses three routers, and neighbours share some.

    :param place: place of the team in the configuration
    :param router_ids: all routers
    :return: its routers, most used first
    """
    # Every second team starts at the first half of the routers, so that some carry far more.
    first = place // 2 if place % 2 else place
    return [router_ids[(first + step) % len(router_ids)] for step in (0, 1, 3)]


__all__ = ["Call", "Load", "Result", "mean_cost", "routers_of"]
