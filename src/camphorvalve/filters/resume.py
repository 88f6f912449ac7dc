"""Filter that lets a stream go on only at the pool and software version that began it."""

from __future__ import annotations

import time
from contextlib import aclosing
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
import structlog

from camphorvalve.controllers.listing import SECOND_CONTROLLER_AGE_S
from camphorvalve.model.answers import Body
from camphorvalve.model.claims import Open, Refuted
from camphorvalve.model.errors import RequestError
from camphorvalve.model.requests import UNKNOWN_ORIGIN, Resumption, RoutedCall, StreamOrigin
from camphorvalve.sharing.budget import RetryBudget
from camphorvalve.sharing.origins import RESUMPTION_S, stream_key

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Iterable

    from camphorvalve.controllers.origins import OriginQuestion, OriginsFollower
    from camphorvalve.controllers.router.pools import Pools
    from camphorvalve.controllers.runtime import Outgoing
    from camphorvalve.filters.chain import Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.claims import ClaimState, OriginClaim
    from camphorvalve.model.requests import Exchange

QUERY_INTERVAL_S = 0.15
"""Time after which controllers are asked again that have not answered: a connection that was reset
is back by then."""
QUERIES_COUNT = 4
MIN_QUERIES_COUNT = 2
"""Queries that controllers are sent of which nothing was heard lately: one that this router has not
met before has to connect back before its answers arrive."""
QUESTIONS_COUNT = 200
"""Streams of a team of which the controllers are asked in 10 s: any request can name one."""
MAX_LIST_AGE_S = SECOND_CONTROLLER_AGE_S
"""Age of the list above which this router may be cut off."""
LIST_WAIT_S = 1.5
"""Longest time to wait for a newer list."""
CLAIM_WAIT_S = QUERIES_COUNT * QUERY_INTERVAL_S
"""Longest time to wait until a claimed origin is certain, as long as controllers are asked."""
BEGIN_ANEW_S = 0.05
"""Delay after which a caller whose stream cannot go on may send the request anew."""

_log = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class Known:
    """The stream began there."""

    origin: StreamOrigin
    source: str
    """Who says so: ``router``, ``controllers`` or ``list``."""


@dataclass(frozen=True, slots=True)
class Unknown:
    """Nothing tells where the stream began."""

    reason: str


Finding = Known | Unknown


class ResumeFilter:
    """Finds where a stream began that a caller resumes, and records where each stream begins."""

    def __init__(
        self,
        origins: OriginsFollower,
        pools: Pools,
        sole_origin: Callable[[str, float], StreamOrigin | None],
        wait_for_list: Callable[[float], Awaitable[None]],
        send: Callable[[Iterable[Outgoing]], None],
        assign_pool: Callable[[Exchange, str], None],
        settle: Callable[[OriginClaim, float], Awaitable[None]],
    ) -> None:
        """
        Prepare the filter.

        :param origins: where streams began
        :param pools: tells which versions serve
        :param sole_origin: returns the only origin that streams of a pool may have, at a time
        :param wait_for_list: waits for a list that was read at a time or later
        :param send: sends messages to the controllers
        :param assign_pool: changes the pool of a request
        :param settle: waits until a claim is settled, for some seconds at most
        """
        self._origins = origins
        self._pools = pools
        self._sole_origin = sole_origin
        self._wait_for_list = wait_for_list
        self._send = send
        self._assign_pool = assign_pool
        self._settle = settle
        # Counted for each team.
        self._open_claims: dict[int, OriginClaim] = {}
        """Claims that are not settled, by the key of the stream."""
        self._questions = RetryBudget(ratio=0.0, floor_count=lambda: QUESTIONS_COUNT)
        self.resumed_count = 0
        """Streams that went on."""
        self.not_resumed_count = 0
        """Streams that were refused because nothing could go on with them."""

    async def __call__(self, exchange: Exchange, inner: Handler) -> AsyncIterator[Part]:
        """
        Run a request; one that resumes a stream runs only where that began.

        :param exchange: the request, with its route
        :param inner: the rest of the chain
        :return: parts of the response
        :raises RequestError: ``not_resumed``, if the stream has to begin anew
        """
        resumption = _resumption(exchange)
        if resumption is not None:
            await self._bind(exchange, resumption)
        recorded = not exchange.streams
        async with aclosing(inner(exchange)) as parts:
            async for part in parts:
                if not recorded and isinstance(part, Body):
                    recorded = True
                    self._record(exchange, resumption)
                yield part

    async def _bind(self, exchange: Exchange, resumption: Resumption) -> None:
        """Bind a request to the origin of the stream that it resumes, or refuse it."""
        match await self._find(exchange, resumption):
            case Known(origin, source):
                pools = {destination.pool for destination in exchange.route.destinations}
                if origin.pool not in pools:
                    raise self._refusal(exchange, resumption, f"its route left {origin.pool!r}")
                if not self._pools.has_version(origin):
                    message = f"no upstream of {_described(origin)} is left"
                    raise self._refusal(exchange, resumption, message)
            case Unknown(reason):
                raise self._refusal(exchange, resumption, reason)
        if origin.pool != exchange.parameters.pool:
            self._assign_pool(exchange, origin.pool)
        exchange.origin = origin
        self.resumed_count += 1
        exchange.note(time.monotonic(), f"the stream began at {_described(origin)}: {source}")
        _log.info(
            "stream resumed",
            request_id=exchange.request.request_id,
            first_request_id=resumption.first_request_id,
            events_count=resumption.events_count,
            pool=origin.pool,
            software=origin.software,
            source=source,
        )

    async def _find(self, exchange: Exchange, resumption: Resumption) -> Finding:
        arrived_s = time.monotonic()
        if resumption.first_request_id is not None:
            key = stream_key(exchange, resumption.first_request_id)
            if (claim := self._open_claims.get(key)) is not None:
                await self._settle(claim, CLAIM_WAIT_S)
                if isinstance(claim.state, Open):
                    return Unknown("no list was read since it began")
            kept = self._origins.find(key, time.monotonic())
            if kept is not None:
                if kept.origin is None:
                    return Unknown("its origin is not known, or several streams have its id")
                return Known(kept.origin, "router")
            team = "" if exchange.team is None else exchange.team.name
            if not self._questions.allow(team, time.monotonic()):
                return Unknown("its team resumes too many streams")
            question = await self._ask(key)
            if question.origin == UNKNOWN_ORIGIN:
                return Unknown("no controller knows its only origin")
            if question.origin is not None:
                return Known(question.origin, "controllers")
            if not question.is_denied:
                return Unknown("the controllers did not answer where it began")
            return await self._conclude(exchange, arrived_s - MAX_LIST_AGE_S)
        # No controller was asked, so that the list has to show all versions that may have begun it.
        return await self._conclude(exchange, arrived_s)

    async def _ask(self, key: int) -> OriginQuestion:
        """Ask the controllers about a stream, and wait for their answers."""
        question = self._origins.ask(key)
        try:
            for count in range(1, QUERIES_COUNT + 1):
                queries = question.queries()
                if not queries:
                    break
                self._send(queries)
                with anyio.move_on_after(QUERY_INTERVAL_S):
                    await question.settled.wait()
                    break
                if count >= MIN_QUERIES_COUNT and question.has_live_answers:
                    break
        finally:
            self._origins.close(question)
        return question

    async def _conclude(self, exchange: Exchange, since_s: float) -> Finding:
        """Conclude from a list that was read since some time where a stream began."""
        if len(exchange.route.destinations) > 1:
            return Unknown("its route leads to several pools")
        pool = exchange.parameters.pool
        in_doubt = Unknown(f"pool {pool!r} had several versions lately")
        if self._sole_origin(pool, time.monotonic()) is None:
            return in_doubt
        with anyio.move_on_after(LIST_WAIT_S) as scope:
            await self._wait_for_list(since_s)
        if scope.cancelled_caught:
            return Unknown("this router's list of upstreams is too old")
        origin = self._sole_origin(pool, time.monotonic())
        return in_doubt if origin is None else Known(origin, "list")

    def _record(self, exchange: Exchange, resumption: Resumption | None) -> None:
        if exchange.origin is None:
            return
        request_ids = [exchange.request.request_id]
        if resumption is not None and resumption.first_request_id is not None:
            request_ids.append(resumption.first_request_id)
        now_s = time.monotonic()
        until_s = max(now_s, exchange.deadline_s or now_s) + RESUMPTION_S
        is_split = exchange.route is not None and len(exchange.route.destinations) > 1
        for request_id in request_ids:
            key = stream_key(exchange, request_id)
            self._send(
                self._origins.record(key, exchange.origin, until_s, now_s, is_split=is_split)
            )
            if exchange.claim is not None:
                self._follow_claim(key, exchange.claim, until_s)

    def _follow_claim(self, key: int, claim: OriginClaim, until_s: float) -> None:
        """Keep a claim until it is settled; record that the origin is unknown if it is refuted."""
        self._open_claims[key] = claim

        def settle(state: ClaimState) -> None:
            if self._open_claims.get(key) is claim:
                del self._open_claims[key]
            match state:
                case Refuted():
                    now_s = time.monotonic()
                    self._send(self._origins.record(key, UNKNOWN_ORIGIN, until_s, now_s))
                case _:
                    pass

        claim.when_settled(settle)

    def _refusal(self, exchange: Exchange, resumption: Resumption, reason: str) -> RequestError:
        self.not_resumed_count += 1
        message = f"the stream can't go on and has to begin anew: {reason}"
        exchange.note(time.monotonic(), message)
        _log.info(
            "stream not resumed",
            request_id=exchange.request.request_id,
            first_request_id=resumption.first_request_id,
            events_count=resumption.events_count,
            reason=reason,
        )
        return RequestError("not_resumed", message, retry_after_s=BEGIN_ANEW_S)


def _resumption(exchange: Exchange) -> Resumption | None:
    match exchange.request.call:
        case RoutedCall(resumption=Resumption() as resumption) if exchange.streams:
            return resumption
        case _:
            return None


def _described(origin: StreamOrigin) -> str:
    return f"version {origin.software!r} of pool {origin.pool!r}"


__all__ = ["ResumeFilter"]
