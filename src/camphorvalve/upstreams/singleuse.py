"""Origins that sent bytes of no request lately, whose connections carry one request each."""

from __future__ import annotations

import time

import structlog

SINGLE_USE_S = 30.0
"""How long connections to an origin carry one request each after it sent such bytes."""

_log = structlog.get_logger(__name__)


class SingleUseOrigins:
    """
    Origins that responded to another request than the current one, or more than once.

    An origin leaves by itself when its time is over. Their number is bounded by that of the origins
    in use.
    """

    def __init__(self) -> None:
        """Start without any."""
        self._ends_s: dict[str, float] = {}

    def __contains__(self, origin: object) -> bool:
        """
        Tell whether connections to an origin carry one request each.

        :param origin: scheme, host and port
        :return: whether the origin was added in the last ``SINGLE_USE_S``
        """
        return origin in self._ends_s and time.monotonic() < self._ends_s[origin]  # type: ignore[index]

    def __len__(self) -> int:
        """:return: number of origins, some of whose times may be over"""
        return len(self._ends_s)

    def add(self, origin: str, reason: str) -> None:
        """
        Add an origin, or let its time start anew.

        :param origin: scheme, host and port
        :param reason: what was received from it
        """
        now_s = time.monotonic()
        self._ends_s = {other: end_s for other, end_s in self._ends_s.items() if end_s > now_s}
        if origin not in self._ends_s:
            _log.warning(
                "connections limited to one request",
                origin=origin,
                reason=reason,
                duration_s=SINGLE_USE_S,
            )
        self._ends_s[origin] = now_s + SINGLE_USE_S


__all__ = ["SINGLE_USE_S", "SingleUseOrigins"]
