"""
Divides the room that a report shows among routers that read the same report.

Each router draws a ticket for each report. Together, the routers whose tickets win send about as
many requests as there is room, without messages between them. The probability falls with the demand
as in random early detection (Floyd and Jacobson, 1993).
"""

from __future__ import annotations

import math

import xxhash

MAX_ROOM_PART = 0.5
"""Part of the room that one router may use between two reports when the room covers the demand."""


def draw_ticket(router_id: str, upstream_id: str, sequence: int) -> float:
    """
    Draw a router's ticket for a report; asking again does not change it.

    :param router_id: the router
    :param upstream_id: the upstream
    :param sequence: number of the report
    :return: a number from 0 to 1, below 1
    """
    key = f"{router_id}|{upstream_id}|{sequence}"
    return xxhash.xxh64_intdigest(key.encode()) / 2**64


def allowed_count(
    room_count: float, wanted_count: float, own_wanted_count: float, ticket: float
) -> int:
    """
    Decide how many requests this router may send until the next report.

    :param room_count: requests that the upstream can take in addition to those it had
    :param wanted_count: requests that all routers together want to send until the next report
    :param own_wanted_count: those of this router
    :param ticket: this router's ticket for the report
    :return: number of requests
    """
    if room_count < 1.0:
        return 0
    if wanted_count <= room_count:
        return math.ceil(MAX_ROOM_PART * room_count)
    return int(max(1.0, own_wanted_count) * room_count / wanted_count + ticket)


__all__ = ["allowed_count", "draw_ticket"]
