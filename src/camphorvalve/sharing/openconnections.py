"""Decides which connection of a full port is closed for a new one."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable

    Key = TypeVar("Key")

STALLED_S = 1.0
"""Time without progress after which a connection may be closed for another."""


class ConnectionState(NamedTuple):
    """What is known of a connection that no request runs on."""

    is_within_request: bool
    """Whether a part of a request has been received."""
    moved_s: float
    """When it last made progress."""


def order_connections(
    connections: Iterable[tuple[Key, ConnectionState]], now_s: float
) -> list[tuple[Key, ConnectionState]]:
    """
    Choose the connections that are closed for new ones.

    One that has stopped in the middle of a request goes before one that is idle, whose caller may
    be sending a request; of each kind the one that has stood still for longest.

    :param connections: connections that no request runs on
    :param now_s: monotonic time
    :return: those that have not moved of late, the first one to be closed first
    """
    stalled = [entry for entry in connections if now_s - entry[1].moved_s >= STALLED_S]
    stalled.sort(key=lambda entry: (not entry[1].is_within_request, entry[1].moved_s))
    return stalled


__all__ = ["STALLED_S", "ConnectionState", "order_connections"]
