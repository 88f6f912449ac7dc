"""Times that are stored on disk and compared after a restart of the process or of its machine."""

from __future__ import annotations

import time
from typing import NamedTuple


class Stamp(NamedTuple):
    """A moment, by two clocks that go on while the process is down."""

    boot_s: float
    """Time since the machine was started, which includes suspension."""
    wall_s: float
    """Unix time, which may jump."""


class Elapsed(NamedTuple):
    """Bounds on the time since a moment, in seconds."""

    least_s: float
    most_s: float


def take_stamp() -> Stamp:
    """:return: the current moment"""
    return Stamp(time.clock_gettime(time.CLOCK_BOOTTIME), time.time())


def elapsed(since: Stamp, now: Stamp) -> Elapsed:
    """
    Bound the time since a stored moment.

    The clocks agree after a restart of the process. The first one starts anew with the machine, and
    the second one may have been set, so that neither is trusted alone.

    :param since: the stored moment
    :param now: the current moment
    :return: bounds on the time between them
    """
    by_wall_s = now.wall_s - since.wall_s
    by_boot_s = now.boot_s - since.boot_s
    if by_boot_s >= 0:
        return Elapsed(max(0.0, min(by_boot_s, by_wall_s)), max(by_boot_s, by_wall_s))
    return Elapsed(0.0, by_wall_s if by_wall_s >= 0 else float("inf"))


__all__ = ["Elapsed", "Stamp", "elapsed", "take_stamp"]
