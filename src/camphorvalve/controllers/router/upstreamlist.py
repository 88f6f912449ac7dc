"""The list of upstreams as this router has read it, by pool and by prefix."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from camphorvalve.model.hosts import HostState
from camphorvalve.model.upstreams import PlainService
from camphorvalve.sharing.placement import ranked
from camphorvalve.sharing.regions import allowed_upstreams

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from camphorvalve.model.requests import Exchange, StreamOrigin
    from camphorvalve.model.upstreams import Upstream

CACHED_PREFIXES_COUNT = 4096
"""Prefixes whose ranked upstreams are cached; ranking takes 1 us for each upstream."""

_log = structlog.get_logger(__name__)


class UpstreamList:
    """Owns the list of upstreams, and which of them may get new requests."""

    def __init__(self, data_centre: str) -> None:
        """
        Start without upstreams.

        :param data_centre: data centre of this router
        """
        self._data_centre = data_centre
        self.upstreams: Mapping[str, Upstream] = {}
        """All upstreams by id, leaving ones included."""
        self._entries: tuple[Upstream, ...] = ()
        """The list as it was read; several entries may have one id."""
        self._engine_pools: frozenset[str] = frozenset()
        self.read_s = float("-inf")
        """When the list was read last, in monotonic time."""
        self._by_pool: dict[str, list[str]] = {}
        """Upstreams that may get new requests: live ones in data centres that are not evacuated."""
        self._evacuated: frozenset[str] = frozenset()
        self._ranked_upstreams: dict[tuple[str, str], list[str]] = {}

    def apply(self, upstreams: Iterable[Upstream], read_s: float) -> Mapping[str, Upstream]:
        """
        Replace the list.

        :param upstreams: all upstreams, leaving ones included
        :param read_s: when the list was read, in monotonic time
        :return: the list used before, by id
        """
        self.read_s = read_s
        self._entries = tuple(upstreams)
        return self._use_entries()

    def set_engine_pools(self, pools: frozenset[str]) -> Mapping[str, Upstream] | None:
        """
        Use only model engines in some pools: another upstream that is listed there is none.

        :param pools: all pools of model engines
        :return: the list used before, by id; ``None`` if nothing changed
        """
        if pools == self._engine_pools:
            return None
        self._engine_pools = pools
        return self._use_entries()

    def evacuate(self, data_centres: frozenset[str]) -> frozenset[str] | None:
        """
        Send no new requests to the upstreams of these data centres, and to all others again.

        :param data_centres: all that are evacuated
        :return: those that no longer are, ``None`` if nothing changed
        """
        if data_centres == self._evacuated:
            return None
        returned = self._evacuated - data_centres
        self._evacuated = data_centres
        self._group_by_pool()
        return returned

    def usable_count(self) -> int:
        """:return: number of upstreams that may get new requests"""
        return sum(map(len, self._by_pool.values()))

    def for_request(self, exchange: Exchange) -> Sequence[str]:
        """
        Return the upstreams of a request's pool; those that began its stream, if it has one.

        :param exchange: the request
        :return: upstreams that may get new requests
        """
        if exchange.origin is None:
            listed = self._by_pool.get(exchange.parameters.pool, [])
        else:
            listed = self.of_version(exchange.origin)
        return allowed_upstreams(listed, self.upstreams, exchange.allowed_data_centres)

    def of_version(self, origin: StreamOrigin) -> list[str]:
        """
        Return the upstreams at which a stream can go on.

        :param origin: where it began
        :return: upstreams of that pool and version that may get new requests
        """
        return [
            upstream_id
            for upstream_id in self._by_pool.get(origin.pool, [])
            if self.upstreams[upstream_id].software == origin.software
        ]

    def ranked(self, pool: str, key: str, usable: Sequence[str]) -> list[str]:
        """
        Rank upstreams for a key; cached, as waiting requests repeat the choice many times.

        :param pool: their pool
        :param key: of the prefix
        :param usable: upstreams of the pool
        :return: the usable ones, the preferred one first
        """
        ranked_ids = self._ranked_upstreams.get((pool, key))
        if ranked_ids is None:
            if len(self._ranked_upstreams) >= CACHED_PREFIXES_COUNT:
                self._ranked_upstreams.clear()
            ranked_ids = self._ranked_upstreams[pool, key] = ranked(key, self._by_pool[pool])
        if len(usable) == len(ranked_ids):
            return ranked_ids
        usable_ids = set(usable)
        return [upstream_id for upstream_id in ranked_ids if upstream_id in usable_ids]

    def is_local(self, upstream_id: str) -> bool:
        """
        Tell whether an upstream is in the data centre of this router.

        :param upstream_id: a listed upstream
        :return: whether it is
        """
        return self.upstreams[upstream_id].data_centre == self._data_centre

    def log_changes(self, previous: Mapping[str, Upstream]) -> None:
        """
        Log how the list differs from an earlier one.

        :param previous: the earlier list, by id
        """
        for upstream in self.upstreams.values():
            if previous.get(upstream.upstream_id) != upstream:
                _log.info(
                    "upstream listed",
                    upstream_id=upstream.upstream_id,
                    pool=upstream.pool,
                    url=upstream.url,
                    state=upstream.state.value,
                    software=upstream.software,
                )
        for removed_id in previous.keys() - self.upstreams.keys():
            _log.info("upstream gone", upstream_id=removed_id, pool=previous[removed_id].pool)

    def _use_entries(self) -> Mapping[str, Upstream]:
        previous = self.upstreams
        # An entry that is left out does not replace another one of its id.
        self.upstreams = {
            upstream.upstream_id: upstream
            for upstream in self._entries
            if not self._lacks_engine(upstream)
        }
        self._group_by_pool()
        return previous

    def _lacks_engine(self, upstream: Upstream) -> bool:
        match upstream.interface:
            case PlainService():
                return upstream.pool in self._engine_pools
            case _:
                return False

    def _group_by_pool(self) -> None:
        self._by_pool = {}
        self._ranked_upstreams.clear()
        for upstream in self.upstreams.values():
            if upstream.state is HostState.LIVE and upstream.data_centre not in self._evacuated:
                self._by_pool.setdefault(upstream.pool, []).append(upstream.upstream_id)


__all__ = ["UpstreamList"]
