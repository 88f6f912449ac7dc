"""Validation of manifests, and the rules by which a new manifest replaces the current one."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from camphorvalve.registry.commands import Conflict, Invalid

if TYPE_CHECKING:
    from collections.abc import Iterator

    from camphorvalve.model.routes import Manifest, Route, Tenant


def validation_errors(manifest: Manifest) -> Iterator[str]:
    """
    Validate a manifest.

    :param manifest: the manifest
    :return: one text for each problem; names the route, tenant or field
    """
    pools = {pool.name for pool in manifest.pools}
    for route in manifest.routes:
        yield from _route_errors(route, pools)
    match_counts = Counter((route.host, route.path_prefix) for route in manifest.routes)
    for (host, prefix), count in match_counts.items():
        if count > 1:
            yield f"routes: {count} routes share host {host!r} and path prefix {prefix!r}"
    if shared_count := _count_shared_keys(manifest.tenants):
        yield f"tenants: {shared_count} keys belong to several tenants"


def _count_shared_keys(tenants: tuple[Tenant, ...]) -> int:
    # Unions of sets take a fraction of the time of counting key by key.
    known: set[str] = set()
    shared: set[str] = set()
    for tenant in tenants:
        shared.update(known.intersection(tenant.keys))
        known.update(tenant.keys)
    return len(shared)


def _route_errors(route: Route, pools: set[str]) -> Iterator[str]:
    subject = f"route {route.name!r}"
    if not route.path_prefix.startswith("/") or not route.path_prefix.endswith("/"):
        yield f"{subject}: path prefix {route.path_prefix!r} has to begin and end with a slash"
    for destination in route.destinations:
        if destination.pool not in pools:
            yield f"{subject}: pool {destination.pool!r} does not exist"
        if destination.weight < 0:
            yield f"{subject}: weight {destination.weight} is negative"
    if sum(destination.weight for destination in route.destinations) <= 0:
        yield f"{subject}: the weights of the destinations add up to 0"
    if route.timeout_s <= 0:
        yield f"{subject}: the timeout has to be above 0"
    if route.attempts_count < 1:
        yield f"{subject}: at least one attempt is needed"


def find_rejection(current: Manifest | None, candidate: Manifest) -> Conflict | Invalid | None:
    """
    Decide whether a manifest is rejected; one older than the current one is acknowledged.

    :param current: the manifest in force
    :param candidate: the submitted manifest
    :return: the rejection, ``None`` to acknowledge the manifest
    """
    if problem := next(validation_errors(candidate), None):
        return Invalid(problem)
    if (
        current is not None
        and current.version == candidate.version
        and current.source != candidate.source
    ):
        reason = f"version {current.version} is in force with different content"
        return Conflict(current.version, reason)
    return None


def is_newer(current: Manifest | None, candidate: Manifest) -> bool:
    """
    Tell whether a manifest replaces the current one.

    :param current: the manifest in force
    :param candidate: the submitted manifest
    :return: whether its version is higher
    """
    return current is None or candidate.version > current.version


__all__ = ["find_rejection", "is_newer", "validation_errors"]
