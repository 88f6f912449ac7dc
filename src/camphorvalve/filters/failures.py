"""Records at which upstreams the attempts of a request failed."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from camphorvalve.upstreams.errors import Declined, Misdirected

if TYPE_CHECKING:
    from camphorvalve.model.requests import Exchange
    from camphorvalve.upstreams.errors import UpstreamError


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
            pass
        case Declined():
            exchange.refused_at_s[upstream_id] = time.monotonic()
            return
        case _:
            pass
    exchange.refused_at_s.pop(upstream_id, None)


__all__ = ["record_failed_upstream"]
