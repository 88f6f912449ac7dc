"""Outermost filter: measures each request and passes its outcome to the reports."""

from __future__ import annotations

import time
from contextlib import aclosing
from typing import TYPE_CHECKING

import structlog

from camphorvalve.model.answers import Body, Head
from camphorvalve.model.errors import RequestError, Run
from camphorvalve.reports.outcomes import Answered, CallerLeft, Failed, Finished, outcome_name

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Sequence

    from camphorvalve.filters.chain import Filter, Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange
    from camphorvalve.reports.outcomes import Outcome

    Recorder = Callable[[Finished], None]

_log = structlog.get_logger(__name__)


def account(recorders: Sequence[Recorder], clock: Callable[[], float] = time.monotonic) -> Filter:
    """
    Build the filter.

    :param recorders: callbacks that receive each finished request
    :param clock: monotonic time
    :return: the filter
    """

    async def filter_(exchange: Exchange, inner: Handler) -> AsyncIterator[Part]:
        first_byte_s: float | None = None
        status = 0
        outcome: Outcome = CallerLeft()
        try:
            async with aclosing(inner(exchange)) as parts:
                async for part in parts:
                    match part:
                        case Head():
                            status = part.status
                        case Body() if first_byte_s is None:
                            first_byte_s = clock() - exchange.received_s
                    yield part
            outcome = Answered(status)
        except RequestError as error:
            outcome = Failed(error.code, error.run)
            raise
        except Exception:
            outcome = Failed("internal_error", Run.UNKNOWN)
            raise
        finally:
            # A caller that disconnects causes a GeneratorExit or a cancellation here.
            _record_outcome(exchange, outcome, first_byte_s, clock(), recorders)

    return filter_


def _record_outcome(
    exchange: Exchange,
    outcome: Outcome,
    first_byte_s: float | None,
    now_s: float,
    recorders: Sequence[Recorder],
) -> None:
    total_s = now_s - exchange.received_s
    if isinstance(outcome, Answered) and first_byte_s is None:
        first_byte_s = total_s
    finished = Finished(exchange, outcome, now_s, first_byte_s, total_s)
    for record in recorders:
        record(finished)
    _log_finished(finished)


def _log_finished(finished: Finished) -> None:
    exchange = finished.exchange
    _log.info(
        "request finished",
        request_id=exchange.request.request_id,
        team=exchange.team.name if exchange.team is not None else exchange.request.team,
        kind=exchange.kind or exchange.request.kind,
        pool=exchange.request.pool,
        outcome=outcome_name(finished.outcome),
        attempt=exchange.attempt,
        upstream_id=exchange.upstream_id,
        units=round(exchange.served_units, 1),
        first_byte_ms=_milliseconds(finished.first_byte_s),
        total_ms=_milliseconds(finished.total_s),
        **(exchange.source.log_fields() if exchange.source else {}),
    )


def _milliseconds(duration_s: float | None) -> float | None:
    return None if duration_s is None else round(duration_s * 1000, 1)


__all__ = ["account"]
