"""Filter that keeps requests away from upstreams if they, or parts of their prompts, crash them."""

from __future__ import annotations

import random
import time
from contextlib import aclosing
from typing import TYPE_CHECKING

import structlog

from camphorvalve.model.answers import Body, Framing, Head
from camphorvalve.model.errors import RequestError
from camphorvalve.model.requests import shared_part_ids
from camphorvalve.sharing.suspectends import SharedPart, WholeRequest, kind_of
from camphorvalve.sharing.suspects import Condemned, Suspected
from camphorvalve.upstreams.errors import UpstreamError, ended_connection

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterable

    from camphorvalve.controllers.runtime import Outgoing
    from camphorvalve.controllers.suspects import SuspectsFollower
    from camphorvalve.filters.chain import Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange
    from camphorvalve.model.upstreams import Upstream

UNDER_WAY_S = 0.25
"""Time after the beginning of an answer for which its upstream has to live on: it crashes when the
answer begins."""
CONDEMNED_RETRY_S = 60.0
SUSPECTED_RETRY_S = 0.5
"""Delay after which a caller may retry while a suspected request is tried elsewhere."""
FRESH_S = 1.0
"""Time after the newest end in which other ends of the same moment, or answers at other routers,
may still acquit what it condemns."""
TRIAL_RATIO = 1 / 8
"""Part of the attempts that are made of a suspected whole request: all that run until the first of
them ends an upstream may end others."""

_log = structlog.get_logger(__name__)


class QuarantineFilter:
    """Refuses what is condemned, runs suspects one at a time, and records how attempts end."""

    def __init__(
        self,
        suspects: SuspectsFollower,
        upstream_of: Callable[[str], Upstream | None],
        send: Callable[[Iterable[Outgoing]], None],
        clock: Callable[[], float] = time.monotonic,
        draw: Callable[[], float] = random.random,
    ) -> None:
        """
        Prepare the filter.

        :param suspects: the parts of prompts and the requests that crash upstreams
        :param upstream_of: looks up an upstream by its id
        :param send: sends messages to the controllers
        :param clock: monotonic time
        :param draw: draws a random number from 0 to 1
        """
        self._suspects = suspects
        self._upstream_of = upstream_of
        self._send = send
        self._clock = clock
        self._draw = draw
        self._running_alone: set[str] = set()
        """Suspects with a request in flight."""

    async def __call__(self, exchange: Exchange, inner: Handler) -> AsyncIterator[Part]:
        """
        Run one attempt, unless the request or a part of its prompt forbids it.

        :param exchange: the request
        :param inner: the rest of the chain
        :return: parts of the response
        :raises RequestError: ``quarantined``, if the attempt must not be made
        """
        keys = _keys(exchange)
        if keys:
            await self._suspects.wait_for_first_answers(self._clock())
        alone_keys = self._admit(exchange, keys) if keys else ()
        attempt = _Attempt(exchange.streams)
        self._running_alone.update(alone_keys)
        try:
            async with aclosing(inner(exchange)) as parts:
                async for part in parts:
                    if keys and not attempt.recorded:
                        attempt.add(part, self._clock())
                        self._record_answer(exchange, attempt, keys, UNDER_WAY_S)
                    yield part
            # The crash of an upstream may close the connection as the end of an answer does.
            source = exchange.source
            is_ambiguous = source is not None and source.framing is Framing.CLOSE
            min_age_s = UNDER_WAY_S if is_ambiguous else 0.0
            self._record_answer(exchange, attempt, keys, min_age_s)
        except UpstreamError as error:
            if keys and ended_connection(error):
                self._record_end(exchange, error.upstream_id, attempt, keys)
            raise
        finally:
            self._running_alone.difference_update(alone_keys)

    def _admit(self, exchange: Exchange, keys: tuple[str, ...]) -> tuple[str, ...]:
        """Return the suspects because of which this request has to run alone."""
        match self._suspects.judge(keys):
            case Condemned(key):
                reason = f"{_described(key)} crashes upstreams"
                raise self._refusal(exchange, reason, self._condemned_retry_s(key))
            case Suspected(alone_keys):
                reason = f"{_described(alone_keys[0])} may crash upstreams"
                if exchange.attempt > 1:
                    raise self._refusal(exchange, reason, SUSPECTED_RETRY_S)
                if not self._running_alone.isdisjoint(alone_keys) or not self._is_trial(alone_keys):
                    reason += " and runs one at a time"
                    raise self._refusal(exchange, reason, SUSPECTED_RETRY_S)
                return alone_keys
            case _:
                return ()

    def _condemned_retry_s(self, key: str) -> float:
        now_s = self._clock()
        newest_s, forgotten_s = self._suspects.condemned_between_s(key)
        if now_s - newest_s < FRESH_S:
            return SUSPECTED_RETRY_S
        match kind_of(key):
            case SharedPart():
                # Sound requests may have the part; their answers clear it sooner.
                return CONDEMNED_RETRY_S
            case WholeRequest():
                return max(CONDEMNED_RETRY_S, forgotten_s - now_s)

    def _is_trial(self, keys: tuple[str, ...]) -> bool:
        """Draw whether a suspected request is tried."""
        is_whole = any(kind_of(key) == WholeRequest() for key in keys)
        return not is_whole or self._draw() < TRIAL_RATIO

    def _refusal(self, exchange: Exchange, reason: str, retry_after_s: float) -> RequestError:
        exchange.note(self._clock(), f"not attempted: {reason}")
        _log.info(
            "request quarantined",
            request_id=exchange.request.request_id,
            attempt=exchange.attempt,
            reason=reason,
            retry_after_s=retry_after_s,
        )
        return RequestError("quarantined", reason, retry_after_s=retry_after_s)

    def _record_answer(
        self, exchange: Exchange, attempt: _Attempt, keys: tuple[str, ...], min_age_s: float
    ) -> None:
        now_s = self._clock()
        if attempt.recorded or attempt.begun_s is None or now_s - attempt.begun_s < min_age_s:
            return
        attempt.recorded = True
        start = self._start_of(exchange.upstream_id or "")
        self._send(self._suspects.record_answer(keys, start, attempt.begun_s, now_s))

    def _record_end(
        self, exchange: Exchange, upstream_id: str, attempt: _Attempt, keys: tuple[str, ...]
    ) -> None:
        now_s = self._clock()
        start = self._start_of(upstream_id)
        if attempt.begun_s is not None and now_s - attempt.begun_s >= UNDER_WAY_S:
            self._send(self._suspects.record_end((), start, now_s))
            return
        _log.info(
            "upstream ended before an answer was under way",
            request_id=exchange.request.request_id,
            upstream_id=start,
            parts=shared_part_ids(exchange.request.call),
            request_key=exchange.identify(),
        )
        self._send(self._suspects.record_end(keys, start, now_s))

    def _start_of(self, upstream_id: str) -> str:
        """Identify the start of an upstream, which may start again under the same id."""
        upstream = self._upstream_of(upstream_id)
        if upstream is None or upstream.started_ms is None:
            return upstream_id
        return f"{upstream_id}/{upstream.started_ms}"


def _keys(exchange: Exchange) -> tuple[str, ...]:
    """Return the shared parts of the prompt and the key of the request, if it is a routed call."""
    key = exchange.identify()
    return () if key is None else (*shared_part_ids(exchange.request.call), key)


def _described(key: str) -> str:
    match kind_of(key):
        case SharedPart():
            return f"part {key!r} of the prompt"
        case WholeRequest():
            return f"a request with this caller, path and body ({key})"


class _Attempt:
    """When the answer of an attempt began, and whether that has been recorded."""

    def __init__(self, streams: bool) -> None:
        self._streams = streams
        self._is_success = False
        self.begun_s: float | None = None
        self.recorded = False

    def add(self, part: Part, now_s: float) -> None:
        """Note the beginning: the first event of a stream, the head of another answer."""
        match part:
            case Head(status=status):
                self._is_success = 200 <= status < 300
                is_begin = not self._streams
            case Body(content=content):
                is_begin = bool(content)
        if is_begin and self._is_success and self.begun_s is None:
            self.begun_s = now_s


__all__ = ["FRESH_S", "UNDER_WAY_S", "QuarantineFilter"]
