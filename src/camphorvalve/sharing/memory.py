"""Divides a process's memory among the bodies that it receives; decides which one gives way."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MEMORY_RATIO = 0.15
"""Part of a machine's memory for bodies of requests: the code and the tables of a process take 50
of 160 MB, and its connections and responses take as much as the bodies."""
MIN_ACCOUNT_BYTES = 8 << 20
"""Smallest account, in which a body of the largest usual size leaves room for others."""
SHORT_BYTES = 64 << 10
"""Size up to which a body may use the room that is kept for short ones."""
SHORT_ROOM_RATIO = 1 / 8
"""Part of the account that is kept for short bodies."""
STALLED_S = 2.0
"""Time without progress after which a body may be given up for others."""
PROGRESS_BYTES = 4096
"""Bytes that count as progress: a body that gets fewer in ``STALLED_S`` is hardly moving."""


class Holder:
    """What one request holds of the account."""

    def __init__(self, now_s: float, give_way: Callable[[], None]) -> None:
        """
        Create a holder of nothing.

        :param now_s: monotonic time
        :param give_way: ends the request for the sake of others
        """
        self.give_way = give_way
        self.held_bytes = 0
        self.moved_s = now_s
        """When the last progress was made."""
        self.is_complete = False
        """Whether the body has arrived, so that its request may run and is not given up."""
        self.is_given_up = False
        self._unmarked_bytes = 0

    def record_progress(self, size_bytes: int, now_s: float) -> None:
        """
        Record bytes that have arrived.

        :param size_bytes: their number
        :param now_s: monotonic time
        """
        self._unmarked_bytes += size_bytes
        if self._unmarked_bytes >= PROGRESS_BYTES:
            self._unmarked_bytes = 0
            self.moved_s = now_s


@dataclass(frozen=True, slots=True)
class Granted:
    """The bytes are reserved."""


@dataclass(frozen=True, slots=True)
class GrantedInstead:
    """The bytes are reserved, and other holders have to give way for them."""

    given_up: tuple[Holder, ...]


@dataclass(frozen=True, slots=True)
class Denied:
    """There is no room, and nothing that stands still."""

    held_bytes: int
    limit_bytes: int


Decision = Granted | GrantedInstead | Denied


class MemoryAccount:
    """Reserves memory for bodies up to a limit."""

    def __init__(self, limit_bytes: int) -> None:
        """
        Create an account with nothing reserved.

        :param limit_bytes: most bytes of all bodies together
        """
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.denied_count = 0
        """Requests refused since the start because there was no room."""
        self.given_up_count = 0
        """Bodies given up since the start for the sake of others."""
        self._holders: dict[Holder, None] = {}

    def reserve(self, holder: Holder, size_bytes: int, now_s: float) -> Decision:
        """
        Reserve memory for a holder, at the cost of others that stand still if need be.

        :param holder: gets the memory
        :param size_bytes: bytes in addition to those that it holds
        :param now_s: monotonic time
        :return: the decision, which has taken effect on the account
        """
        is_short = holder.held_bytes + size_bytes <= SHORT_BYTES
        is_alone = self.held_bytes == holder.held_bytes
        limit_bytes = self.limit_bytes
        # A single body may take the whole account, so that one inside the limits is served in calm.
        if not is_short and not is_alone:
            limit_bytes -= int(SHORT_ROOM_RATIO * limit_bytes)
        missing_bytes = self.held_bytes + size_bytes - limit_bytes
        given_up: tuple[Holder, ...] = ()
        if missing_bytes > 0:
            given_up = self._choose(holder, missing_bytes, now_s)
            if not given_up:
                self.denied_count += 1
                return Denied(self.held_bytes, limit_bytes)
        for other in given_up:
            other.is_given_up = True
            self.release(other)
        self.given_up_count += len(given_up)
        holder.held_bytes += size_bytes
        self.held_bytes += size_bytes
        self._holders[holder] = None
        return GrantedInstead(given_up) if given_up else Granted()

    def release(self, holder: Holder) -> None:
        """
        Release all that a holder has reserved.

        :param holder: the holder
        """
        self.held_bytes -= holder.held_bytes
        holder.held_bytes = 0
        self._holders.pop(holder, None)

    def _choose(self, asking: Holder, missing_bytes: int, now_s: float) -> tuple[Holder, ...]:
        """Choose those that hold most for longest without moving; none if they are too few."""
        stalled = [
            holder
            for holder in self._holders
            if holder is not asking
            and not holder.is_complete
            and now_s - holder.moved_s >= STALLED_S
        ]
        stalled.sort(key=lambda holder: holder.held_bytes * (now_s - holder.moved_s), reverse=True)
        chosen: list[Holder] = []
        for holder in stalled:
            chosen.append(holder)
            missing_bytes -= holder.held_bytes
            if missing_bytes <= 0:
                return tuple(chosen)
        return ()


def account_bytes(memory_bytes: float, largest_body_bytes: int) -> int:
    """
    Derive the size of the account from the memory of the machine.

    :param memory_bytes: memory of the machine
    :param largest_body_bytes: largest body that has to fit
    :return: limit of the account
    """
    least_bytes = max(MIN_ACCOUNT_BYTES, int(largest_body_bytes / (1 - SHORT_ROOM_RATIO)) + 1)
    return max(least_bytes, int(MEMORY_RATIO * memory_bytes))


__all__ = [
    "Decision",
    "Denied",
    "Granted",
    "GrantedInstead",
    "Holder",
    "MemoryAccount",
    "account_bytes",
]
