"""Logs requests that were refused on new connections, many to a line."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from collections.abc import Callable

LINE_COUNT = 25
"""Requests on one line: rendering a line takes as long as refusing one request."""
LINE_S = 1.0
"""Longest time that a refused request waits for its line."""

_log = structlog.get_logger(__name__)


class RefusalLog:
    """Collects the ids of refused requests; one line tells what decided about all of them."""

    def __init__(
        self, inputs: Callable[[], dict[str, float]], clock: Callable[[], float] = time.monotonic
    ) -> None:
        """
        Start without requests.

        :param inputs: tells what refusals are decided by
        :param clock: monotonic time
        """
        self._inputs = inputs
        self._clock = clock
        self._request_ids: list[str | None] = []
        self._first_s = 0.0

    def note(self, request_id: str | None) -> None:
        """
        Note a refused request.

        :param request_id: its id, ``None`` if it has none
        """
        if not self._request_ids:
            self._first_s = self._clock()
        self._request_ids.append(request_id)
        if len(self._request_ids) >= LINE_COUNT:
            self._write()

    def flush_due(self) -> None:
        """Write a line if the oldest request has waited long enough."""
        if self._request_ids and self._clock() - self._first_s >= LINE_S:
            self._write()

    def _write(self) -> None:
        request_ids, self._request_ids = self._request_ids, []
        _log.info("requests refused", request_ids=request_ids, **self._inputs())


__all__ = ["LINE_COUNT", "LINE_S", "RefusalLog"]
