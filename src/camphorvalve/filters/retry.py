"""Tries a request again where that is safe, within the retry budget."""

from __future__ import annotations

import time
from contextlib import aclosing
from dataclasses import dataclass
from typing import TYPE_CHECKING

from camphorvalve.model.answers import Head
from camphorvalve.model.errors import RequestError
from camphorvalve.model.requests import Completion
from camphorvalve.upstreams.errors import BrokenError, NoAnswerError, NotSentError, UpstreamError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from camphorvalve.filters.chain import Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange
    from camphorvalve.sharing.budget import RetryBudget

MAX_ATTEMPTS_COUNT = 4


@dataclass(frozen=True, slots=True)
class Again:
    """Try from the start, or continue a stream that the caller has got a part of."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer with an error."""

    error: RequestError


Decision = Again | GiveUp


def decide(error: UpstreamError, exchange: Exchange, *, has_budget: bool) -> Decision:
    """
    Decide what follows a failed attempt.

    :param error: how the attempt failed
    :param exchange: the request
    :param has_budget: whether the retry budget allows one more try
    :return: the decision
    """
    assert exchange.parameters is not None
    idempotent = exchange.parameters.idempotent
    last = exchange.attempt >= MAX_ATTEMPTS_COUNT or not has_budget
    match error:
        case NotSentError() if last:
            message = f"no upstream could be reached in {exchange.attempt} attempts"
            return GiveUp(RequestError("no_upstream", message, retry_after_s=1.0))
        case NotSentError():
            return Again()
        case NoAnswerError() if idempotent and not last:
            return Again()
        case NoAnswerError():
            return GiveUp(RequestError("upstream_failed", f"the upstream gave no answer: {error}"))
        case BrokenError() if idempotent and not last and _can_continue(exchange):
            return Again()
        case _:
            return GiveUp(RequestError("stream_broken", f"the answer broke off: {error}"))


def _can_continue(exchange: Exchange) -> bool:
    if not exchange.delivered:
        return True
    match exchange.request.call:
        case Completion(streamed=True):
            return True
        case _:
            return False


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
        has_head = False
        while True:
            exchange.attempt += 1
            try:
                async with aclosing(inner(exchange)) as parts:
                    async for part in parts:
                        if isinstance(part, Head) and has_head:
                            continue
                        has_head = True
                        yield part
                return
            except UpstreamError as error:
                self._note_failure(exchange, error)
                has_budget = self._budget.allow(pool, time.monotonic())
                match decide(error, exchange, has_budget=has_budget):
                    case GiveUp(answer):
                        raise answer from error
                    case Again():
                        continue

    def _note_failure(self, exchange: Exchange, error: UpstreamError) -> None:
        exchange.note(time.monotonic(), f"attempt {exchange.attempt} failed: {error}")
        if exchange.upstream_id is not None:
            exchange.failed_upstreams.add(exchange.upstream_id)


__all__ = ["Again", "Decision", "GiveUp", "RetryFilter", "decide"]
