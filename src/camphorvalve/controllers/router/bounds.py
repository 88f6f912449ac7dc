"""What limits the requests to an upstream beside their number, as pools ask for it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from camphorvalve.model.upstreams import Upstream


class ColdStarts(Protocol):
    """Bounds the requests to upstreams that are cold."""

    def apply(
        self, previous: Mapping[str, Upstream], current: Mapping[str, Upstream], read_s: float
    ) -> None:
        """
        Apply a list of upstreams.

        :param previous: the list used before, by id
        :param current: the new list, by id
        :param read_s: when it was read, in monotonic time
        """

    def confirm(self, read_s: float) -> bool:
        """
        Record that the list was read again without changes.

        :param read_s: when it was read, in monotonic time
        :return: whether an upstream no longer counts as cold by it
        """

    def suspect(self, upstreams: Iterable[Upstream], cause: str) -> None:
        """
        Count upstreams as cold until the list shows whether they are.

        :param upstreams: upstreams that may have become cold just before
        :param cause: why, for the log
        """

    def usable(self, upstream_ids: Sequence[str], now_s: float) -> Sequence[str]:
        """
        Leave out the cold upstreams that may get nothing from this router now.

        :param upstream_ids: upstreams of one pool
        :param now_s: monotonic time
        :return: the others
        """

    def cold_ids(self, upstream_ids: Sequence[str], now_s: float) -> Sequence[str]:
        """
        Return which upstreams are cold or may be.

        :param upstream_ids: upstreams of one pool
        :param now_s: monotonic time
        :return: these upstreams
        """

    def record_request(self, upstream_id: str, now_s: float) -> None:
        """
        Record that this router sends a request to an upstream.

        :param upstream_id: the upstream
        :param now_s: monotonic time
        """


class NeverCold:
    """Upstreams that bear their full load at once."""

    def apply(
        self, previous: Mapping[str, Upstream], current: Mapping[str, Upstream], read_s: float
    ) -> None:
        """Do nothing."""

    def confirm(self, read_s: float) -> bool:
        """:return: false, as none was cold"""
        return False

    def suspect(self, upstreams: Iterable[Upstream], cause: str) -> None:
        """Do nothing."""

    def usable(self, upstream_ids: Sequence[str], now_s: float) -> Sequence[str]:
        """:return: all upstreams"""
        return upstream_ids

    def cold_ids(self, upstream_ids: Sequence[str], now_s: float) -> Sequence[str]:
        """:return: none"""
        return ()

    def record_request(self, upstream_id: str, now_s: float) -> None:
        """Do nothing."""


class Rooms(Protocol):
    """Knows how many requests this router may send to engines."""

    def apply(self, upstreams: Iterable[Upstream]) -> None:
        """
        Replace the list of upstreams.

        :param upstreams: all upstreams, leaving ones included
        """

    def shares_loads(self, pool: str) -> bool:
        """
        Tell whether routers share the engines of a pool by their reported load.

        :param pool: the pool
        :return: whether they do
        """

    def loads_count(self) -> int:
        """:return: number of engines whose load is known and recent"""

    def left_count(self, upstream_id: str, ratio: float) -> int | None:
        """
        Return how many more requests this router may send to an engine now.

        :param upstream_id: the engine
        :param ratio: part of its room that the request may use
        :return: the number, ``None`` if it is not known
        """

    def record_sent(self, upstream_id: str) -> None:
        """
        Count a request that was sent to an engine.

        :param upstream_id: the engine
        """

    def record_denied(self, upstream_id: str) -> None:
        """
        Count a request that found no room at an engine.

        :param upstream_id: the engine
        """

    def record_answer(self, upstream_id: str, objective_s: float) -> None:
        """
        Count an answer that began.

        :param upstream_id: the engine
        :param objective_s: objective for the time to its first event
        """


class EvenParts:
    """Engines that routers share in even parts, whatever their load."""

    def apply(self, upstreams: Iterable[Upstream]) -> None:
        """Do nothing."""

    def shares_loads(self, pool: str) -> bool:
        """:return: false"""
        return False

    def loads_count(self) -> int:
        """:return: none"""
        return 0

    def left_count(self, upstream_id: str, ratio: float) -> int | None:
        """:return: ``None``, as it is not known"""
        return None

    def record_sent(self, upstream_id: str) -> None:
        """Do nothing."""

    def record_denied(self, upstream_id: str) -> None:
        """Do nothing."""

    def record_answer(self, upstream_id: str, objective_s: float) -> None:
        """Do nothing."""


__all__ = ["ColdStarts", "EvenParts", "NeverCold", "Rooms"]
