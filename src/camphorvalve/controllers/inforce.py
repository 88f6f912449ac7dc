"""The manifest in force on a router, indexed for its requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from camphorvalve.model.routes import CallerBounds
from camphorvalve.sharing.routing import RouteTable

if TYPE_CHECKING:
    from camphorvalve.registry.configuration import Configuration

_log = structlog.get_logger(__name__)


class ManifestInForce:
    """Owns the route table; follows the configuration, which never steps back."""

    def __init__(self) -> None:
        """Start without a manifest."""
        self._table: RouteTable | None = None

    def table(self) -> RouteTable | None:
        """:return: the routes in force, ``None`` before the first manifest"""
        return self._table

    def version(self) -> int:
        """:return: version of the manifest, 0 before the first one"""
        return 0 if self._table is None else self._table.manifest.version

    def bounds(self) -> CallerBounds:
        """:return: what callers may send"""
        return CallerBounds() if self._table is None else self._table.manifest.bounds

    def apply(self, configuration: Configuration) -> None:
        """
        Put the manifest of a configuration in force.

        :param configuration: the configuration in force
        """
        manifest = configuration.manifest
        if manifest is None or manifest.version == self.version():
            return
        self._table = RouteTable(manifest)
        _log.info(
            "manifest in force",
            version=manifest.version,
            routes_count=len(manifest.routes),
            tokens_per_s=manifest.bounds.tokens_per_s,
        )


__all__ = ["ManifestInForce"]
