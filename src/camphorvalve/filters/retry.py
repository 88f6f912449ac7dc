"""Tries a request again where that is safe, within the retry budget."""

from __future__ import annotations

import time
from contextlib import aclosing
from dataclasses import dataclass
from typing import TYPE_CHECKING

import structlog

from camphorvalve.model.answers import Body, Head
from camphorvalve.model.errors import RequestError, Run
from camphorvalve.model.requests import BrokenStream
from camphorvalve.upstreams.errors import (
    Broken,
    Declined,
    FailedAnswer,
    NoAnswer,
    NotSent,
    UpstreamError,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterator

    from camphorvalve.filters.chain import Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange
    from camphorvalve.sharing.budget import RetryBudget

_log = structlog.get_logger(__name__)

MAX_ATTEMPTS_COUNT = 4
DECLINED_RETRY_S = 0.5
"""When a caller may try again whose upstream was full; several requests end there in this time."""
HELD_BYTES = 256 << 10
"""A longer plain answer is passed on before it is whole, and can't be tried again then."""


@dataclass(frozen=True, slots=True)
class Again:
    """Try from the start, or continue a stream that the caller has got a part of."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer with an error."""

    error: RequestError


@dataclass(frozen=True, slots=True)
class PassOn:
    """Answer with what the upstream answered."""

    answer: FailedAnswer


Decision = Again | GiveUp | PassOn


def decide(error: UpstreamError, exchange: Exchange, has_budget: Callable[[], bool]) -> Decision:
    """
    Decide what follows a failed attempt.

    :param error: how the attempt failed
    :param exchange: the request
    :param has_budget: takes one try from the retry budget; asked only when it would be used
    :return: the decision
    """
    assert exchange.parameters is not None
    idempotent = exchange.parameters.idempotent
    may_repeat = idempotent or isinstance(error, NotSent | Declined)
    can_go_on = not exchange.output_started or _can_continue(exchange)
    if may_repeat and can_go_on and exchange.attempt < _attempts_count(exchange) and has_budget():
        return Again()
    match error:
        case NotSent() | Declined() if exchange.may_have_run:
            return GiveUp(RequestError("upstream_failed", f"an earlier attempt failed: {error}"))
        case NotSent():
            message = f"no upstream could be reached in {exchange.attempt} attempts"
            return GiveUp(RequestError("no_upstream", message, retry_after_s=1.0))
        case Declined():
            return GiveUp(RequestError("overloaded", str(error), retry_after_s=DECLINED_RETRY_S))
        case FailedAnswer():
            return PassOn(error)
        case NoAnswer():
            return GiveUp(RequestError("upstream_failed", f"the upstream gave no answer: {error}"))
        case _:
            return GiveUp(RequestError("stream_broken", f"the answer broke off: {error}"))


def _attempts_count(exchange: Exchange) -> int:
    return MAX_ATTEMPTS_COUNT if exchange.route is None else exchange.route.attempts_count


def _can_continue(exchange: Exchange) -> bool:
    return exchange.streams and exchange.broken is not None


class RetryFilter:
    """Runs the rest of the chain up to ``MAX_ATTEMPTS_COUNT`` times."""

    def __init__(self, budget: RetryBudget) -> None:
        """
        Prepare the filter.

        :param budget: keeps retries to a part of the first tries
        """
        self._budget = budget

    async def __call__(self, exchange: Exchange, inner: Handler) -> AsyncIterator[Part]:
        """
        Run attempts until one succeeds or the decision is to give up.

        :param exchange: the request
        :param inner: the rest of the chain
        :return: parts of the answer, with one head
        :raises RequestError: the last attempt failed
        """
        assert exchange.parameters is not None
        pool = exchange.parameters.pool
        self._budget.first_try(pool, time.monotonic())
        output = _Output(exchange)
        while True:
            exchange.attempt += 1
            try:
                async with aclosing(inner(exchange)) as parts:
                    async for part in parts:
                        for ready in output.take(part):
                            yield ready
                for ready in output.rest():
                    yield ready
                return
            except UpstreamError as error:
                self._note_failure(exchange, error)
                match decide(error, exchange, lambda: self._budget.allow(pool, time.monotonic())):
                    case GiveUp(answer):
                        raise answer from error
                    case PassOn(FailedAnswer(head=head, content=content)):
                        yield head
                        yield Body(content)
                        return
                    case Again():
                        output.restart()
            except RequestError as error:
                # An attempt that could not be placed says nothing about the ones before it.
                if error.run is Run.NO and exchange.may_have_run:
                    raise RequestError("upstream_failed", error.message) from error
                raise

    def _note_failure(self, exchange: Exchange, error: UpstreamError) -> None:
        _log.info(
            "attempt failed",
            request_id=exchange.request.request_id,
            attempt=exchange.attempt,
            upstream_id=exchange.upstream_id,
            reason=str(error),
            error=type(error).__name__,
            repeatable=exchange.parameters.idempotent,
            output_started=exchange.output_started,
        )
        exchange.note(time.monotonic(), f"attempt {exchange.attempt} failed: {error}")
        if exchange.upstream_id is not None:
            exchange.failed_upstreams.add(exchange.upstream_id)
        match error:
            case NotSent() | Declined():
                return
            case Broken(events_count=events_count, text=text) if events_count > 0:
                exchange.broken = BrokenStream(events_count, text)
            case _:
                pass
        exchange.may_have_run = True


class _Output:
    """Passes on one head, and holds an answer back while it could still be tried again whole."""

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange
        self._streams = exchange.streams
        self._held: list[Part] = []
        self._held_bytes = 0

    def take(self, part: Part) -> Iterator[Part]:
        """Yield what may go out now that ``part`` has arrived."""
        if isinstance(part, Head) and self._exchange.output_started:
            return
        self._held.append(part)
        if isinstance(part, Body):
            self._held_bytes += len(part.content)
        if self._streams or self._exchange.output_started or self._held_bytes > HELD_BYTES:
            yield from self.rest()

    def rest(self) -> Iterator[Part]:
        """Yield what is held."""
        held, self._held = self._held, []
        if held:
            self._exchange.output_started = True
        yield from held

    def restart(self) -> None:
        """Drop what is held of a failed attempt."""
        self._held.clear()
        self._held_bytes = 0
        if not self._exchange.output_started:
            self._exchange.stored.clear()
            self._exchange.head = None


__all__ = ["Again", "Decision", "GiveUp", "PassOn", "RetryFilter", "decide"]
