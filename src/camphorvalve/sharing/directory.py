"""Chooses the routers that a caller is told to connect to."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

from camphorvalve.sharing.placement import ranked

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

MIN_NAMED_COUNT = 3
"""Routers that are named even if fewer are near, so that a caller can fail over."""


MAX_EQUAL_SIZE_RATIO = 1.25
"""Largest router, as a multiple of the smallest, up to which all get the same number of callers."""
HASH_RANGE = 1 << 64


class CallerPlace(NamedTuple):
    """Who looks up routers, and from where."""

    caller_id: str
    """Distinguishes callers; the same caller gets the same routers while these stay the same."""
    near: tuple[frozenset[str], ...]
    """Data centres around the caller, nearest first."""


class NamedRouter(NamedTuple):
    """A router that accepts callers."""

    address: str
    """IP address and port that listen for callers."""
    data_centre: str
    is_pressed: bool
    """Whether it has too much to do to take more callers."""
    cores: float = 0.0
    """Ordinary cores that it may use; 0 if unknown."""


def choose_routers(routers: Sequence[NamedRouter], place: CallerPlace, max_count: int) -> list[str]:
    """
    Choose the routers for a caller: those near it, and as many others as of those are pressed.

    Of routers of unequal size, each is named to a part of the callers that follows its cores, since
    a caller picks one at random.

    Half of the near routers pressed means that the callers there ask for more than these can serve;
    all other routers that are not pressed are named then.

    :param routers: all routers that accept callers
    :param place: the caller
    :param max_count: greatest number of routers to name
    :return: addresses in a stable order; empty only without routers
    """
    groups = list(_by_distance(routers, place))
    if not groups:
        return []
    near_count = len(groups[0])
    free_groups = [[router for router in group if not router.is_pressed] for group in groups]
    free_near = free_groups[0]
    named, further = (
        _by_size(free_near, place.caller_id),
        [router for group in free_groups[1:] for router in group],
    )
    missing_count = max(near_count, MIN_NAMED_COUNT) - len(free_near)
    if 2 * len(free_near) > near_count:
        further = _first(further, place.caller_id, missing_count)
    chosen = [*named, *further] or list(routers)
    return [router.address for router in _first(chosen, place.caller_id, max_count)]


def _by_distance(routers: Sequence[NamedRouter], place: CallerPlace) -> Iterator[list[NamedRouter]]:
    remaining = list(routers)
    for data_centres in place.near:
        group = [router for router in remaining if router.data_centre in data_centres]
        remaining = [router for router in remaining if router.data_centre not in data_centres]
        if group:
            yield group
    if remaining:
        yield remaining


def _by_size(routers: list[NamedRouter], caller_id: str) -> list[NamedRouter]:
    """Leave out some of the smaller routers; each caller is told others."""
    sizes = [router.cores for router in routers]
    if not sizes or not min(sizes) or max(sizes) <= MAX_EQUAL_SIZE_RATIO * min(sizes):
        return routers
    largest = max(sizes)
    chosen = [
        router
        for router in routers
        if _hash_ratio(caller_id, router.address) < router.cores / largest
    ]
    return chosen if len(chosen) >= MIN_NAMED_COUNT else routers


def _hash_ratio(caller_id: str, address: str) -> float:
    return xxhash.xxh64_intdigest(f"{caller_id} {address}".encode()) / HASH_RANGE


def _first(routers: list[NamedRouter], caller_id: str, count: int) -> list[NamedRouter]:
    """Return some of the routers; each caller gets others, so that none is left out by all."""
    if len(routers) <= count:
        return routers
    by_address = {router.address: router for router in routers}
    return [by_address[address] for address in ranked(caller_id, by_address)[: max(0, count)]]


__all__ = ["MIN_NAMED_COUNT", "CallerPlace", "NamedRouter", "choose_routers"]
