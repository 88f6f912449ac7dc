"""Logs requests that were refused on new connections, many requests per line."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from collections.abc import Callable

BATCH_COUNT = 25
"""Requests per line. They share lines, since rendering a line takes as long as a refusal."""
BATCH_DELAY_S = 1.0
"""Longest delay until a refused request is logged."""

_log = structlog.get_logger(__name__)


class RefusalLog:
    """Collects ids of refused requests and logs them together, with the inputs of the decision."""

    def __init__(
        self,
        read_inputs: Callable[[], dict[str, float]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """
        Create a log without pending requests.

        :param read_inputs: returns the values that refusals are decided by
        :param clock: monotonic time
        """
        self._read_inputs = read_inputs
        self._clock = clock
        self._request_ids: list[str | None] = []
        self._oldest_added_s = 0.0

    def add(self, request_id: str | None) -> None:
        """
        Add a refused request.

        :param request_id: its id, ``None`` if it has none
        """
        if not self._request_ids:
            self._oldest_added_s = self._clock()
        self._request_ids.append(request_id)
        if len(self._request_ids) >= BATCH_COUNT:
            self._write()

    def flush_due(self) -> None:
        """Write a line if the oldest pending request is due."""
        if self._request_ids and self._clock() - self._oldest_added_s >= BATCH_DELAY_S:
            self._write()

    def _write(self) -> None:
        request_ids, self._request_ids = self._request_ids, []
        _log.info("requests refused", request_ids=request_ids, **self._read_inputs())


__all__ = ["BATCH_COUNT", "BATCH_DELAY_S", "RefusalLog"]
