"""Filter that retries failed attempts where that is safe, within the retry budget."""

from __future__ import annotations

import time
from contextlib import aclosing
from dataclasses import dataclass
from typing import TYPE_CHECKING

import structlog

from camphorvalve.filters.failures import record_failed_upstream
from camphorvalve.filters.standby import SilenceWatch
from camphorvalve.model.answers import Body, Head
from camphorvalve.model.errors import RequestError, Run
from camphorvalve.model.requests import BrokenStream, shared_part_ids
from camphorvalve.upstreams.errors import (
    Broken,
    Declined,
    FailedAnswer,
    NoAnswer,
    NotSent,
    UpstreamError,
    ended_connection,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterator

    from camphorvalve.filters.chain import Handler
    from camphorvalve.filters.standby import Standby
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange
    from camphorvalve.sharing.budget import RetryBudget

_log = structlog.get_logger(__name__)

MAX_ATTEMPTS_COUNT = 4
DECLINED_RETRY_S = 0.5
"""Delay after which a caller may retry when its upstream was full; an upstream finishes several
requests in this time."""
MAX_BUFFERED_BYTES = 256 << 10
"""A larger plain response is forwarded before it is complete, and can't be retried after that."""


@dataclass(frozen=True, slots=True)
class Retry:
    """Run another attempt: from the start, or to continue a stream sent in part to the caller."""


@dataclass(frozen=True, slots=True)
class TakeOver:
    """Use the standby that was started beside the failed attempt."""

    standby: Standby


@dataclass(frozen=True, slots=True)
class Fail:
    """End the request with an error."""

    error: RequestError


@dataclass(frozen=True, slots=True)
class ForwardResponse:
    """Forward the upstream's error response to the caller, who has no part of another one."""

    answer: FailedAnswer


Decision = Retry | TakeOver | Fail | ForwardResponse


def decide(error: UpstreamError, exchange: Exchange, take_budget: Callable[[], bool]) -> Decision:
    """
    Decide what follows a failed attempt.

    :param error: how the attempt failed
    :param exchange: the request
    :param take_budget: takes one retry from the budget; called only if the retry would be made
    :return: the decision
    """
    assert exchange.parameters is not None
    idempotent = exchange.parameters.idempotent
    is_safe_to_repeat = idempotent or isinstance(error, NotSent | Declined)
    output_allows_retry = not exchange.output_started or _can_continue(exchange)
    if is_safe_to_repeat and output_allows_retry and _has_attempt_left(exchange) and take_budget():
        return Retry()
    match error:
        case NotSent() | Declined() if exchange.may_have_run:
            return Fail(RequestError("upstream_failed", f"an earlier attempt failed: {error}"))
        case NotSent():
            message = f"no upstream could be reached in {exchange.attempt} attempts"
            return Fail(RequestError("no_upstream", message, retry_after_s=1.0))
        case Declined():
            return Fail(RequestError("overloaded", str(error), retry_after_s=DECLINED_RETRY_S))
        case FailedAnswer() if not exchange.output_started:
            return ForwardResponse(error)
        case NoAnswer():
            return Fail(RequestError("upstream_failed", f"the upstream did not respond: {error}"))
        case _:
            return Fail(RequestError("stream_broken", f"the response was interrupted: {error}"))


def _has_attempt_left(exchange: Exchange) -> bool:
    if exchange.route is None:
        return exchange.attempt < MAX_ATTEMPTS_COUNT
    return not exchange.is_last_attempt


def _max_attempts_count(exchange: Exchange) -> int:
    return MAX_ATTEMPTS_COUNT if exchange.route is None else exchange.route.attempts_count


def _can_continue(exchange: Exchange) -> bool:
    return exchange.streams and exchange.broken is not None


class RetryFilter:
    """Runs the rest of the chain until an attempt succeeds or may not be retried."""

    def __init__(
        self,
        budget: RetryBudget,
        has_room: Callable[[Exchange], bool] = lambda exchange: True,
        on_silence: Callable[[Exchange], None] = lambda exchange: None,
    ) -> None:
        """
        Prepare the filter.

        :param budget: limits retries to a fraction of the first attempts
        :param has_room: tells whether another upstream has room for a request that runs at one
        :param on_silence: called with a request whose upstream is silent, if no other one can be
            tried
        """
        self._budget = budget
        self._has_room = has_room
        self._on_silence = on_silence

    async def __call__(self, exchange: Exchange, inner: Handler) -> AsyncIterator[Part]:
        """
        Run attempts until one succeeds or the decision is to give up.

        :param exchange: the request
        :param inner: the rest of the chain
        :return: parts of the response, with one head
        :raises RequestError: the last attempt failed
        """
        assert exchange.parameters is not None
        pool = exchange.parameters.pool
        self._budget.record_first_attempt(pool, time.monotonic())
        output = _OutputBuffer(exchange)
        watch = SilenceWatch(exchange, inner, self._take_retry, self._on_silence)
        exchange.gives_up = watch.gives_up
        standby: Standby | None = None
        try:
            while True:
                if standby is None:
                    exchange.attempt += 1
                    watch.start_attempt()
                try:
                    attempt = inner(exchange) if standby is None else standby.parts()
                    async with aclosing(attempt) as parts:
                        async for part in parts:
                            if watch.standby is not None:
                                await watch.withdraw()
                            if standby is not None:
                                watch.update_request()
                            for ready in output.add(part):
                                yield ready
                    for ready in output.flush():
                        yield ready
                    return
                except UpstreamError as error:
                    watch.update_request()
                    _record_failure(exchange, error)
                    decision = self._decide(error, exchange, watch)
                    _log_failure(exchange, error, decision)
                    standby = None
                    match decision:
                        case Fail(request_error):
                            raise request_error from error
                        case ForwardResponse(FailedAnswer(head=head, content=content)):
                            yield head
                            yield Body(content)
                            return
                        case TakeOver(standby):
                            output.discard()
                        case Retry():
                            await watch.withdraw()
                            output.discard()
                except RequestError as error:
                    # An attempt that was not placed gives no information about earlier ones.
                    if error.run is Run.NO and exchange.may_have_run:
                        raise RequestError("upstream_failed", error.message) from error
                    raise
        finally:
            exchange.gives_up = _keeps_waiting
            watch.update_request()
            await watch.withdraw()

    def _decide(self, error: UpstreamError, exchange: Exchange, watch: SilenceWatch) -> Decision:
        standby = watch.take()
        if standby is not None:
            return TakeOver(standby)
        pool = exchange.parameters.pool
        return decide(error, exchange, lambda: self._budget.allow(pool, time.monotonic()))

    def _take_retry(self, exchange: Exchange) -> bool:
        """Take a retry for an attempt beside the running one."""
        parameters = exchange.parameters
        return (
            parameters.idempotent
            and _has_attempt_left(exchange)
            and self._has_room(exchange)
            and self._budget.allow(parameters.pool, time.monotonic())
        )


def _keeps_waiting() -> bool:
    return False


def _record_failure(exchange: Exchange, error: UpstreamError) -> None:
    exchange.note(time.monotonic(), f"attempt {exchange.attempt} failed: {error}")
    if exchange.upstream_id is not None:
        record_failed_upstream(exchange, exchange.upstream_id, error)
    match error:
        case NotSent() | Declined():
            return
        case Broken(events_count=count, text=text) if count > 0 and exchange.streams:
            # A response that is not streamed to the caller is repeated from the start.
            exchange.broken = BrokenStream(count, text)
        case _:
            pass
    exchange.may_have_run = True


def _log_failure(exchange: Exchange, error: UpstreamError, decision: Decision) -> None:
    ended = ended_connection(error)
    is_waiting = ended and not exchange.output_started
    _log.info(
        "attempt failed",
        request_id=exchange.request.request_id,
        attempt=exchange.attempt,
        attempts_count=_max_attempts_count(exchange),
        upstream_id=exchange.upstream_id,
        reason=str(error),
        error=type(error).__name__,
        decision=type(decision).__name__,
        age_s=round(time.monotonic() - exchange.received_s, 3),
        repeatable=exchange.parameters.idempotent,
        output_started=exchange.output_started,
        connection_ended=ended,
        parts=shared_part_ids(exchange.request.call) if is_waiting else [],
        request_key=exchange.identify() if is_waiting else None,
        **(exchange.source.log_fields() if exchange.source else {}),
    )


class _OutputBuffer:
    """
    Forwards one head, and buffers a response while the whole request can still be retried.

    The head of a stream waits for the first event: without it, any attempt may start anew.
    """

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange
        self._streams = exchange.streams
        self._buffered: list[Part] = []
        self._buffered_bytes = 0

    def add(self, part: Part) -> Iterator[Part]:
        """Add a part, and yield the parts that may be sent to the caller now."""
        if isinstance(part, Head) and self._exchange.output_started:
            return
        self._buffered.append(part)
        if isinstance(part, Body):
            self._buffered_bytes += len(part.content)
        limit_bytes = 0 if self._streams else MAX_BUFFERED_BYTES
        if self._exchange.output_started or self._buffered_bytes > limit_bytes:
            yield from self.flush()

    def flush(self) -> Iterator[Part]:
        """Yield the buffered parts."""
        buffered, self._buffered = self._buffered, []
        if buffered:
            self._exchange.output_started = True
        yield from buffered

    def discard(self) -> None:
        """Discard the buffered parts of a failed attempt."""
        self._buffered.clear()
        self._buffered_bytes = 0
        if not self._exchange.output_started:
            self._exchange.stored.clear()
            self._exchange.head = None


__all__ = ["Decision", "Fail", "ForwardResponse", "Retry", "RetryFilter", "TakeOver", "decide"]
