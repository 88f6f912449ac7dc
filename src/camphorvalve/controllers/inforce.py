"""Holds the manifest that a router currently applies, as a route table for its requests."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import structlog

from camphorvalve.model.routes import CallerBounds
from camphorvalve.sharing.routing import RouteTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from camphorvalve.model.routes import ColdStart
    from camphorvalve.registry.configuration import Configuration
    from camphorvalve.sharing.versions import VersionHistory

_log = structlog.get_logger(__name__)


class ManifestInForce:
    """Owns the route table and replaces it when the configuration has a newer manifest."""

    def __init__(
        self, versions: VersionHistory, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """
        Start without a manifest.

        :param versions: told which pools a manifest moves streams to, or away from
        :param clock: monotonic time
        """
        self._versions = versions
        self._clock = clock
        self._table: RouteTable | None = None

    def table(self) -> RouteTable | None:
        """:return: the current routes, ``None`` before the first manifest"""
        return self._table

    def version(self) -> int:
        """:return: version of the current manifest, 0 before the first one"""
        return 0 if self._table is None else self._table.manifest.version

    def bounds(self) -> CallerBounds:
        """:return: limits on what callers may send"""
        return CallerBounds() if self._table is None else self._table.manifest.bounds

    def cold_start(self, pool: str) -> ColdStart | None:
        """
        Return how the upstreams of a pool start.

        :param pool: name of the pool
        :return: ``None`` if they are never cold, or the pool is unknown
        """
        definition = None if self._table is None else self._table.pools.get(pool)
        return None if definition is None else definition.cold

    def engine_pools(self) -> frozenset[str]:
        """:return: the pools of model engines"""
        pools = {} if self._table is None else self._table.pools
        return frozenset(name for name, pool in pools.items() if pool.engine is not None)

    def apply(self, configuration: Configuration) -> None:
        """
        Apply the manifest of a configuration, if its version differs from the current one.

        :param configuration: the current configuration, whose revision never decreases
        """
        manifest = configuration.manifest
        if manifest is None or manifest.version == self.version():
            return
        previous, self._table = self._table, RouteTable(manifest, self._table)
        moved = None if previous is None else self._table.moved_pools(previous)
        self._versions.apply_manifest(manifest.version, moved, self._clock())
        _log.info(
            "manifest in force",
            version=manifest.version,
            routes_count=len(manifest.routes),
            tokens_per_s=manifest.bounds.tokens_per_s,
        )


__all__ = ["ManifestInForce"]
