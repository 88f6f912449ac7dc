"""Rules for manifests: what makes one invalid, and which of two is in force."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from camphorvalve.registry.commands import Conflict, Invalid

if TYPE_CHECKING:
    from collections.abc import Iterator

    from camphorvalve.model.routes import Manifest, Route


def problems(manifest: Manifest) -> Iterator[str]:
    """
    Find what makes a manifest invalid.

    :param manifest: the manifest
    :return: one text for each problem, which names the route, tenant or field
    """
    pools = {pool.name for pool in manifest.pools}
    for route in manifest.routes:
        yield from _route_problems(route, pools)
    places = Counter((route.host, route.path_prefix) for route in manifest.routes)
    for (host, prefix), count in places.items():
        if count > 1:
            yield f"routes: {count} routes share host {host!r} and path prefix {prefix!r}"
    owners = Counter(key for tenant in manifest.tenants for key in set(tenant.keys))
    if shared := sum(1 for count in owners.values() if count > 1):
        yield f"tenants: {shared} keys belong to several tenants"


def _route_problems(route: Route, pools: set[str]) -> Iterator[str]:
    owner = f"route {route.name!r}"
    if not route.path_prefix.startswith("/") or not route.path_prefix.endswith("/"):
        yield f"{owner}: path prefix {route.path_prefix!r} has to begin and end with a slash"
    for destination in route.destinations:
        if destination.pool not in pools:
            yield f"{owner}: pool {destination.pool!r} does not exist"
        if destination.weight < 0:
            yield f"{owner}: weight {destination.weight} is negative"
    if sum(destination.weight for destination in route.destinations) <= 0:
        yield f"{owner}: the weights add up to 0"
    if route.timeout_s <= 0:
        yield f"{owner}: the timeout has to be above 0"
    if route.attempts_count < 1:
        yield f"{owner}: at least one attempt is needed"


def refusal(held: Manifest | None, offered: Manifest) -> Conflict | Invalid | None:
    """
    Decide whether a manifest is refused; one that is older than the held one is not.

    :param held: the manifest in force
    :param offered: another one
    :return: the refusal, ``None`` to acknowledge it
    """
    if found := next(problems(offered), None):
        return Invalid(found)
    if held is not None and held.version == offered.version and held.source != offered.source:
        reason = f"version {held.version} is in force with other content"
        return Conflict(held.version, reason)
    return None


def replaces(held: Manifest | None, offered: Manifest) -> bool:
    """
    Tell whether a manifest comes into force.

    :param held: the manifest in force
    :param offered: another one
    :return: whether its version is higher
    """
    return held is None or offered.version > held.version


__all__ = ["problems", "refusal", "replaces"]
