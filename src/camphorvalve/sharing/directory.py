"""Chooses the routers that a caller is told to connect to."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from camphorvalve.sharing.placement import ranked

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

MIN_NAMED_COUNT = 3
"""Routers that are named even if fewer are near, so that a caller can fail over."""


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


def choose_routers(routers: Sequence[NamedRouter], place: CallerPlace, max_count: int) -> list[str]:
    """
    Choose the routers for a caller: those near it, and as many others as of those are pressed.

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
    named, further = free_groups[0], [router for group in free_groups[1:] for router in group]
    missing_count = max(near_count, MIN_NAMED_COUNT) - len(named)
    if 2 * len(named) > near_count:
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


def _first(routers: list[NamedRouter], caller_id: str, count: int) -> list[NamedRouter]:
    """Return some of the routers; each caller gets others, so that none is left out by all."""
    if len(routers) <= count:
        return routers
    by_address = {router.address: router for router in routers}
    return [by_address[address] for address in ranked(caller_id, by_address)[: max(0, count)]]


__all__ = ["MIN_NAMED_COUNT", "CallerPlace", "NamedRouter", "choose_routers"]
