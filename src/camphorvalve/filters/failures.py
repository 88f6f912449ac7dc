"""Records at which upstreams the attempts of a request failed."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from camphorvalve.upstreams.errors import Declined, Misdirected

if TYPE_CHECKING:
    from camphorvalve.model.requests import Exchange
    from camphorvalve.upstreams.errors import UpstreamError

MAX_MISDIRECTED_COUNT = 3
"""Attempts of one request that may meet other upstreams without counting for its route."""


def record_failed_upstream(exchange: Exchange, upstream_id: str, error: UpstreamError) -> None:
    """
    Record a failed attempt, so that the next one goes elsewhere.

    :param exchange: the request
    :param upstream_id: where the attempt failed
    :param error: how it failed
    """
    exchange.failed_upstreams.add(upstream_id)
    match error:
        case Misdirected():
            # No upstream of the pool got the request, but its arrival counts for the retry budget.
            if exchange.misdirected_count < MAX_MISDIRECTED_COUNT:
                exchange.misdirected_count += 1
        case Declined():
            exchange.refused_at_s[upstream_id] = time.monotonic()
            return
        case _:
            pass
    exchange.refused_at_s.pop(upstream_id, None)


__all__ = ["MAX_MISDIRECTED_COUNT", "record_failed_upstream"]
