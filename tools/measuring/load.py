"""Load generator: maintains backlogs of requests and sends requests on a schedule."""

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
from tools.measuring.plans import MEAN_SERVICE_MS, MEAN_TOKENS_COUNT, random_costs

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Coroutine, Iterable, Sequence
    from contextlib import AbstractAsyncContextManager

    from tools.fleet import Fleet
    from tools.measuring.plans import Kind

REFUSAL_PAUSE_S = 0.3
"""Pause of a backlog caller after a refused request."""
ROUTER_WEIGHTS = (6, 3, 1)
"""Weights with which a team's callers choose one of its routers, most used first."""


class Call(NamedTuple):
    """One request to send."""

    team: str
    kind: Kind
    router_id: str
    cost: float
    """Tokens of a completion, or milliseconds of a service call."""
    streamed: bool = True


@dataclass(slots=True)
class Result:
    """Outcome of a request, with wall-clock times."""

    call: Call
    sent_s: float
    first_s: float | None = None
    end_s: float | None = None
    status: int = 0
    request_id: str = ""

    @property
    def on_time(self) -> bool:
        """:return: whether it was served completely, the first byte within the kind's objective"""
        if self.status != 200 or self.end_s is None or self.first_s is None:
            return False
        return self.first_s - self.sent_s <= self.call.kind.objective_s


class ClientPool:
    """
    Pool of HTTP clients by router, each with one connection.

    A single client was the bottleneck: for each request its pool scans all of its connections.
    """

    def __init__(self) -> None:
        """Start with an empty pool."""
        self._context = ssl.create_default_context()
        self._idle_clients: dict[str, list[httpx.AsyncClient]] = {}
        self._all_clients: list[httpx.AsyncClient] = []

    @asynccontextmanager
    async def acquire(self, router_id: str) -> AsyncIterator[httpx.AsyncClient]:
        """
        Take a client from the pool for one request.

        :param router_id: router that the client connects to
        :return: the client
        """
        idle = self._idle_clients.setdefault(router_id, [])
        client = idle.pop() if idle else self._create()
        try:
            yield client
        finally:
            idle.append(client)

    async def close(self) -> None:
        """Close every connection."""
        for client in self._all_clients:
            await client.aclose()

    def _create(self) -> httpx.AsyncClient:
        client = httpx.AsyncClient(timeout=120.0, trust_env=False, verify=self._context)
        self._all_clients.append(client)
        return client


class Load:
    """Sends requests to a fleet and records the results."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        """
        Prepare the load.

        :param fleet: the running fleet
        :param seed: seed of the random costs, kinds and routers
        """
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._clients = ClientPool()
        self._tasks: set[asyncio.Task[None]] = set()
        self.results: list[Result] = []

    async def close(self) -> None:
        """Cancel every request and close the connections."""
        await self.cancel_requests()
        await self._clients.close()

    async def cancel_requests(self) -> None:
        """Cancel every request, as callers that disconnect."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def send(self, call: Call) -> None:
        """
        Send a request in the background.

        :param call: the request
        """
        self._start(self._send(call))

    def maintain_backlog(
        self, team: str, kinds: Sequence[Kind], router_ids: Sequence[str], count: int
    ) -> None:
        """
        Keep a number of requests of a team in the fleet until ``cancel_requests``.

        :param team: name of the team
        :param kinds: one is chosen at random for each request; the first one follows a refusal
        :param router_ids: routers that the team's callers use, most used first
        :param count: number of requests that wait or run
        """
        for _ in range(count):
            rng = random.Random(self._rng.random())
            self._start(self._repeat_requests(team, kinds, router_ids, rng))

    async def send_schedule(self, schedule: Iterable[tuple[float, Call]]) -> None:
        """
        Send requests at scheduled times.

        :param schedule: seconds from now, ascending, each with a request
        """
        started_s = time.monotonic()
        for at_s, call in schedule:
            await asyncio.sleep(max(0.0, started_s + at_s - time.monotonic()))
            self.send(call)

    def _start(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _repeat_requests(
        self, team: str, kinds: Sequence[Kind], router_ids: Sequence[str], rng: random.Random
    ) -> None:
        costs = {kind.name: random_costs(rng, mean_cost(kind)) for kind in kinds}
        kind = rng.choice(kinds)
        while True:
            weights = ROUTER_WEIGHTS[: len(router_ids)]
            router_id = rng.choices(router_ids, weights)[0]
            status = await self._send(Call(team, kind, router_id, next(costs[kind.name])))
            kind = rng.choice(kinds)
            if status != 200:
                kind = kinds[0]
                await asyncio.sleep(REFUSAL_PAUSE_S)

    async def _send(self, call: Call) -> int:
        result = Result(call, time.time())
        self.results.append(result)
        try:
            async with (
                self._clients.acquire(call.router_id) as client,
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
        if call.kind.uses_model:
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
    Return the mean cost of a request.

    :param kind: kind of the request
    :return: tokens of a completion, or milliseconds of a service call
    """
    return MEAN_TOKENS_COUNT if kind.uses_model else MEAN_SERVICE_MS


def select_routers(team_index: int, router_ids: Sequence[str]) -> list[str]:
    """
    Select three routers for a team, so that load is uneven and teams next to each other share some.

    :param team_index: index of the team in the configuration
    :param router_ids: all routers
    :return: the team's routers, most used first
    """
    # Teams of odd index start at half their index, so that some routers carry far more load.
    first = team_index // 2 if team_index % 2 else team_index
    return [router_ids[(first + step) % len(router_ids)] for step in (0, 1, 3)]


__all__ = ["Call", "Load", "Result", "mean_cost", "select_routers"]
