"""Filter that tracks open requests, so that operators can look them up."""

from __future__ import annotations

from contextlib import aclosing
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

    from camphorvalve.filters.chain import Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange


class ObserveFilter:
    """Tracks open requests by id; accepted work is found by the id returned to its caller."""

    def __init__(self) -> None:
        """Start without requests."""
        self._open: dict[str, Exchange] = {}

    def open_count(self) -> int:
        """:return: number of open requests"""
        return len(self._open)

    def open_exchanges(self) -> list[Exchange]:
        """:return: the open requests in order of arrival"""
        return list(self._open.values())

    def find(self, request_id: str) -> Exchange | None:
        """
        Look up an open request.

        :param request_id: id of the request or of the accepted work
        :return: the request, ``None`` if it is not open
        """
        return self._open.get(request_id)

    def of_team(self, team: str) -> Iterator[Exchange]:
        """
        Find the open requests of a team.

        :param team: name of the team
        :return: requests in order of arrival
        """
        for exchange in self._open.values():
            if exchange.team is not None and exchange.team.name == team:
                yield exchange

    async def __call__(self, exchange: Exchange, inner: Handler) -> AsyncIterator[Part]:
        """
        Track the request while the rest of the chain runs.

        :param exchange: the request
        :param inner: the rest of the chain
        :return: parts of the response
        """
        request_id = exchange.request.request_id
        self._open[request_id] = exchange
        try:
            async with aclosing(inner(exchange)) as parts:
                async for part in parts:
                    yield part
        finally:
            # Accepted work may start before the request that submitted it has ended.
            if self._open.get(request_id) is exchange:
                del self._open[request_id]


__all__ = ["ObserveFilter"]
