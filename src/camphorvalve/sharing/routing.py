"""Looks up the route, the pool and the team of a request in the manifest in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.model.routes import URGENT_PRIORITY
from camphorvalve.model.teams import Limits, TeamParameters

if TYPE_CHECKING:
    from collections.abc import Iterator

    from camphorvalve.model.routes import Manifest, Route


class RouteTable:
    """Lookup tables of one manifest."""

    def __init__(self, manifest: Manifest, previous: RouteTable | None = None) -> None:
        """
        Build the tables.

        :param manifest: a valid manifest
        :param previous: the tables of the manifest that it replaces
        """
        self.manifest = manifest
        self.pools = {pool.name: pool for pool in manifest.pools}
        self._routes: dict[str, dict[str, Route]] = {}
        for route in manifest.routes:
            self._routes.setdefault(route.host.lower(), {})[route.path_prefix] = route
        self._teams = {
            key: TeamParameters(tenant.name, 1.0, {}, Limits())
            for tenant in manifest.tenants
            for key in tenant.keys
        }
        self._priorities = {tenant.name: tenant.priority for tenant in manifest.tenants}
        self._team_regions = {tenant.name: tenant.regions for tenant in manifest.tenants}
        self._ranks = {pool: self._ranks_at(pool) for pool in self.pools}
        # Streams that began before the manifest keep their deadlines.
        earlier_s = {} if previous is None else previous._longest_streams_s
        self._longest_streams_s = {
            pool: longest_s for pool, longest_s in earlier_s.items() if pool in self.pools
        }
        for route in manifest.routes:
            for pool in (destination.pool for destination in route.destinations if route.streamed):
                longest_s = self._longest_streams_s.get(pool, 0.0)
                self._longest_streams_s[pool] = max(longest_s, route.timeout_s)

    def find(self, host: str, target: str) -> Route | None:
        """
        Find the route of a host whose path prefix is the longest that matches.

        :param host: the ``Host`` header
        :param target: path and query
        :return: the route, ``None`` without a matching one
        """
        by_prefix = self._routes.get(_without_port(host))
        if by_prefix is None:
            return None
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            if (route := by_prefix.get(path[: end + 1])) is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def team(self, key: str) -> TeamParameters | None:
        """
        Find the team to which an API key belongs.

        :param key: API key of the caller
        :return: the team, ``None`` for an unknown key
        """
        return self._teams.get(key)

    def moved_pools(self, previous: RouteTable) -> set[str]:
        """
        Find the pools between which the manifest moves streams.

        :param previous: the tables of the manifest that it replaces
        :return: pools that got requests of a route with streams before or get them now, of each
            route for which these differ
        """
        moved: set[str] = set()
        for host, prefix in {*self._places(), *previous._places()}:
            before, after = previous.find(host, prefix), self.find(host, prefix)
            pools_before, pools_after = _stream_pools(before), _stream_pools(after)
            if pools_before != pools_after:
                moved |= pools_before | pools_after
        return moved

    def _places(self) -> Iterator[tuple[str, str]]:
        return ((route.host, route.path_prefix) for route in self.manifest.routes)

    def longest_stream_s(self, pool: str) -> float:
        """
        Return how long a stream of a pool may last.

        :param pool: name of the pool
        :return: the longest timeout that its routes with streams have or had, 0 without any
        """
        return self._longest_streams_s.get(pool, 0.0)

    def more_urgent_ranks_count(self, route: Route, team: str | None, pool: str) -> int:
        """
        Count the priority ranks at a pool that are more urgent than a request's.

        :param route: route of the request
        :param team: name of its team, ``None`` on a public route
        :param pool: its pool
        :return: 0 for the most urgent rank; a team's priority counts before a route's
        """
        rank = (self._priorities.get(team or "", URGENT_PRIORITY), route.priority)
        return sum(other < rank for other in self._ranks[pool])

    def region_bounds(self, route: Route, team: str | None) -> tuple[tuple[str, ...], ...]:
        """
        Return the regions that bound where a request runs.

        :param route: route of the request
        :param team: name of its team, ``None`` on a public route
        :return: the regions that the route and the team allow, empty for all
        """
        return (route.regions, self._team_regions.get(team or "", ()))

    def _ranks_at(self, pool: str) -> set[tuple[int, int]]:
        routes = {
            route.priority
            for route in self.manifest.routes
            if any(destination.pool == pool for destination in route.destinations)
        }
        teams = set(self._priorities.values()) or {URGENT_PRIORITY}
        return {(team, route) for team in teams for route in routes}

    @property
    def requires_keys(self) -> bool:
        """:return: whether requests on routes that are not public need a key"""
        return self.manifest.lists_tenants or bool(self.manifest.tenants)


def _stream_pools(route: Route | None) -> set[str]:
    if route is None or not route.streamed:
        return set()
    return {destination.pool for destination in route.destinations}


def split(route: Route, position: float) -> str:
    """
    Choose a pool at random by the weights of a route.

    :param route: the route
    :param position: random number from 0 to 1
    :return: name of the pool
    """
    remaining = position * sum(destination.weight for destination in route.destinations)
    for destination in route.destinations:
        remaining -= destination.weight
        if remaining < 0:
            return destination.pool
    return next(
        destination.pool for destination in reversed(route.destinations) if destination.weight > 0
    )


def _without_port(host: str) -> str:
    name, separator, port = host.lower().rpartition(":")
    return name if separator and port.isdigit() else host.lower()


__all__ = ["RouteTable", "split"]
