"""
Reviews a manifest before it is sent: errors, entries without effect, limits that contradict each
other, and what differs from the manifest in force.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any, NamedTuple

from camphorvalve.registry.manifests import find_rejection, is_newer, validation_errors

if TYPE_CHECKING:
    from collections.abc import Collection, Hashable, Iterable, Iterator

    from camphorvalve.model.routes import Manifest, Pool, Route, Tenant

UNREACHABLE_CHARACTERS = "?#"
"""Characters that end the path of a request, so that no path contains them."""


class Severity(enum.StrEnum):
    """What a finding means for the manifest."""

    ERROR = "error"
    """The manifest would be refused."""
    NO_EFFECT = "no effect"
    """The entry can never match, or changes nothing."""
    CONTRADICTION = "contradiction"
    """Two limits cannot both be used in full."""


class Finding(NamedTuple):
    """One result of a review."""

    severity: Severity
    field: str
    """The entry, such as ``routes.drafts.objective_s``."""
    message: str


class Difference(NamedTuple):
    """A field that differs between two manifests."""

    field: str
    before: Any
    """``None`` if the entry is new."""
    after: Any
    """``None`` if the entry is removed."""


def review(
    manifest: Manifest, current: Manifest | None = None, regions: Collection[str] = ()
) -> Iterator[Finding]:
    """
    Review a manifest.

    :param manifest: the manifest
    :param current: the manifest in force, ``None`` if it is unknown
    :param regions: regions that have data centres, empty if they are unknown
    :return: the findings, errors first
    """
    has_errors = False
    for problem in validation_errors(manifest):
        has_errors = True
        yield Finding(Severity.ERROR, "manifest", problem)
    if not has_errors:
        yield from _version_findings(manifest, current)
    yield from _unreachable_routes(manifest.routes)
    yield from _unused_entries(manifest)
    for route in manifest.routes:
        yield from _contradictions(route)
    yield from _bounds_findings(manifest)
    if regions:
        yield from _unknown_regions("routes", manifest.routes, regions)
        yield from _unknown_regions("tenants", manifest.tenants, regions)


def _version_findings(manifest: Manifest, current: Manifest | None) -> Iterator[Finding]:
    if current is None:
        return
    rejection = find_rejection(current, manifest)
    if rejection is not None:
        yield Finding(Severity.ERROR, "version", rejection.reason)
    elif manifest.version == current.version:
        yield Finding(Severity.NO_EFFECT, "version", "this manifest is in force already")
    elif not is_newer(current, manifest):
        message = f"version {current.version} is in force; a lower one changes nothing"
        yield Finding(Severity.NO_EFFECT, "version", message)


def _unreachable_routes(routes: Iterable[Route]) -> Iterator[Finding]:
    winners = {(route.host.lower(), route.path_prefix): route for route in routes}
    for route in routes:
        subject = f"routes.{route.name}"
        winner = winners[route.host.lower(), route.path_prefix]
        if winner is not route and winner.host != route.host:
            # Equal hosts are an error of the manifest.
            message = f"route {winner.name!r} gets its requests: host names ignore case"
            yield Finding(Severity.NO_EFFECT, f"{subject}.host", message)
        if not route.host:
            yield Finding(Severity.NO_EFFECT, f"{subject}.host", "no request has an empty host")
        elif route.host.rpartition(":")[2].isdigit() and ":" in route.host:
            message = "the port of a request's host is ignored, so that no request matches"
            yield Finding(Severity.NO_EFFECT, f"{subject}.host", message)
        if any(character in route.path_prefix for character in UNREACHABLE_CHARACTERS):
            message = f"no path contains one of {UNREACHABLE_CHARACTERS!r}"
            yield Finding(Severity.NO_EFFECT, f"{subject}.path_prefix", message)


def _unused_entries(manifest: Manifest) -> Iterator[Finding]:
    used_pools = {
        destination.pool
        for route in manifest.routes
        for destination in route.destinations
        if destination.weight > 0
    }
    for route in manifest.routes:
        for destination in route.destinations:
            if destination.weight == 0:
                field = f"routes.{route.name}.destinations.{destination.pool}"
                yield Finding(Severity.NO_EFFECT, field, "its weight of 0 gets no requests")
    for pool in manifest.pools:
        if pool.name not in used_pools:
            message = "no route sends requests to it"
            yield Finding(Severity.NO_EFFECT, f"pools.{pool.name}", message)
    for tenant in manifest.tenants:
        if not tenant.keys:
            message = "without keys none of its callers is known"
            yield Finding(Severity.NO_EFFECT, f"tenants.{tenant.name}.keys", message)
    requires_keys = manifest.lists_tenants or bool(manifest.tenants)
    has_keys = any(tenant.keys for tenant in manifest.tenants)
    for route in manifest.routes:
        if requires_keys and not has_keys and not route.public:
            message = "it needs a key, and no tenant has one"
            yield Finding(Severity.NO_EFFECT, f"routes.{route.name}.public", message)


def _unknown_regions(
    group: str, entries: Iterable[Route | Tenant], regions: Collection[str]
) -> Iterator[Finding]:
    for entry in entries:
        unknown = [region for region in entry.regions if region not in regions]
        if unknown:
            field = f"{group}.{entry.name}.regions"
            message = f"no data centre is in {', '.join(map(repr, unknown))}"
            if len(unknown) == len(entry.regions):
                message += ", so that its requests are refused"
                yield Finding(Severity.CONTRADICTION, field, message)
            else:
                yield Finding(Severity.NO_EFFECT, field, message)


def _contradictions(route: Route) -> Iterator[Finding]:
    subject = f"routes.{route.name}"
    if 0 < route.timeout_s < route.objective_s:
        message = (
            f"the objective of {route.objective_s:g} s is longer than the timeout of "
            f"{route.timeout_s:g} s"
        )
        yield Finding(Severity.CONTRADICTION, f"{subject}.objective_s", message)
    if route.objective_s <= 0:
        message = "no response can come in time"
        yield Finding(Severity.CONTRADICTION, f"{subject}.objective_s", message)
    if route.resumable and not route.streamed:
        message = "only streams are resumed"
        yield Finding(Severity.NO_EFFECT, f"{subject}.resumable", message)


def _bounds_findings(manifest: Manifest) -> Iterator[Finding]:
    bounds = manifest.bounds
    if bounds.body_bytes <= 0:
        message = "no request with a body is accepted"
        yield Finding(Severity.CONTRADICTION, "bounds.body_bytes", message)
    if bounds.idle_timeout_s <= 0:
        message = "no connection can be used twice"
        yield Finding(Severity.CONTRADICTION, "bounds.idle_timeout_s", message)
    if bounds.tokens_per_s is not None and bounds.tokens_per_s <= 0:
        message = "there is nothing to divide among the teams"
        yield Finding(Severity.CONTRADICTION, "bounds.tokens_per_s", message)
    for pool in manifest.pools:
        if pool.engine is not None and pool.engine.slots_count <= 0:
            message = "its engines take no request"
            yield Finding(Severity.CONTRADICTION, f"pools.{pool.name}.engine.slots_count", message)


def differences(before: Manifest, after: Manifest) -> Iterator[Difference]:
    """
    Compare two manifests. Keys of tenants are counted, not shown.

    :param before: the manifest in force
    :param after: the manifest that would replace it
    :return: a difference for each field, in the order of the fields
    """
    if before.version != after.version:
        yield Difference("version", before.version, after.version)
    yield from _entry_differences("routes", before.routes, after.routes)
    yield from _entry_differences("pools", before.pools, after.pools)
    yield from _tenant_differences(before.tenants, after.tenants)
    yield from _field_differences("bounds", before.bounds, after.bounds)


def _entry_differences(
    group: str, before: Iterable[Route | Pool], after: Iterable[Route | Pool]
) -> Iterator[Difference]:
    old, new = _by_name(before), _by_name(after)
    for name in dict.fromkeys((*old, *new)):
        field = f"{group}.{name}"
        if name not in new:
            yield Difference(field, "present", None)
        elif name not in old:
            yield Difference(field, None, "present")
        else:
            yield from _field_differences(field, old[name], new[name])


def _tenant_differences(before: Iterable[Tenant], after: Iterable[Tenant]) -> Iterator[Difference]:
    yield from (
        difference
        for difference in _entry_differences("tenants", before, after)
        if not difference.field.endswith(".keys")
    )
    old, new = _by_name(before), _by_name(after)
    for name in old.keys() & new.keys():
        removed = set(old[name].keys) - set(new[name].keys)
        added = set(new[name].keys) - set(old[name].keys)
        if removed or added:
            field = f"tenants.{name}.keys"
            yield Difference(field, f"{len(removed)} removed", f"{len(added)} added")


def _field_differences(prefix: str, before: Any, after: Any) -> Iterator[Difference]:
    for name in before._fields:
        old, new = getattr(before, name), getattr(after, name)
        if old != new:
            yield Difference(f"{prefix}.{name}", old, new)


def _by_name(entries: Iterable[Any]) -> dict[Hashable, Any]:
    return {entry.name: entry for entry in entries}


__all__ = ["Difference", "Finding", "Severity", "differences", "review"]
