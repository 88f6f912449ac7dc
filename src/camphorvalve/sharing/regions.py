"""Decides in which data centres a request may run, by the regions that its route and team allow."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping, Sequence

    from camphorvalve.model.upstreams import Upstream


def allowed_data_centres(
    regions: Mapping[str, str], bounds: Iterable[Collection[str]]
) -> frozenset[str] | None:
    """
    Find the data centres that all bounds on a request allow.

    A data centre whose region is unknown is allowed by no bound.

    :param regions: region by data centre
    :param bounds: for each of route and team the regions that it allows, empty for all
    :return: the data centres, ``None`` for all
    """
    binding = [frozenset(bound) for bound in bounds if bound]
    if not binding:
        return None
    allowed = frozenset.intersection(*binding)
    return frozenset(name for name, region in regions.items() if region in allowed)


def allowed_upstreams(
    upstream_ids: Sequence[str],
    upstreams: Mapping[str, Upstream],
    data_centres: frozenset[str] | None,
) -> Sequence[str]:
    """
    Leave out the upstreams in other data centres.

    :param upstream_ids: ids of listed upstreams
    :param upstreams: all upstreams by id
    :param data_centres: those that a request may run in, ``None`` for all
    :return: the ids that are left, in the same order
    """
    if data_centres is None:
        return upstream_ids
    return [
        upstream_id
        for upstream_id in upstream_ids
        if upstreams[upstream_id].data_centre in data_centres
    ]


def describe(data_centres: frozenset[str] | None) -> str:
    """
    Describe a bound in an error message.

    :param data_centres: the data centres, ``None`` for all
    :return: text that follows the name of a pool
    """
    if data_centres is None:
        return ""
    return f" in the data centres that route and team allow ({', '.join(sorted(data_centres))})"


__all__ = ["allowed_data_centres", "allowed_upstreams", "describe"]
