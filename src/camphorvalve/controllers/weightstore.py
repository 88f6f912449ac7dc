"""Paces loads to the rate of the weight store; pure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.registry.commands import ChangeRole, LoadAdapter, LoadModel

if TYPE_CHECKING:
    from camphorvalve.registry.commands import EngineAction


class WeightStore:
    """A token bucket in bytes that may go into debt by one load, as loads exceed any burst."""

    def __init__(self, rate_bytes_per_s: float) -> None:
        """
        Start with an empty bucket and no debt.

        :param rate_bytes_per_s: rate at which weights may be fetched
        """
        self._rate_bytes_per_s = rate_bytes_per_s
        self._free_s = float("-inf")

    def may_start(self, action: EngineAction, now_s: float) -> bool:
        """
        Tell whether an action may start.

        :param action: the action
        :param now_s: monotonic time
        :return: True once earlier loads are paid for, and for actions that load nothing
        """
        return not size_bytes(action) or now_s >= self._free_s

    def charge(self, action: EngineAction, now_s: float) -> None:
        """
        Take an action's size from the bucket.

        :param action: an action that starts or has been found running
        :param now_s: monotonic time
        """
        took_s = size_bytes(action) / self._rate_bytes_per_s
        self._free_s = max(now_s, self._free_s) + took_s


def size_bytes(action: EngineAction) -> int:
    """
    Tell what an action fetches from the weight store.

    :param action: the action
    :return: its size
    """
    match action:
        case LoadModel(_, _, size) | LoadAdapter(_, _, size):
            return size
        case ChangeRole():
            return 0


__all__ = ["WeightStore", "size_bytes"]
