"""Limits the rate at which engines load weights from the weight store; does no input or output."""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.registry.commands import ChangeRole, LoadAdapter, LoadModel

if TYPE_CHECKING:
    from camphorvalve.registry.commands import EngineAction


class LoadPacer:
    """Token bucket in bytes; it may go into debt by one load, as a load exceeds any burst size."""

    def __init__(self, rate_bytes_per_s: float) -> None:
        """
        Start with an empty bucket and no debt.

        :param rate_bytes_per_s: average rate at which weights may be fetched
        """
        self._rate_bytes_per_s = rate_bytes_per_s
        self._next_start_s = float("-inf")

    def may_start(self, action: EngineAction, now_s: float) -> bool:
        """
        Check whether an action may start.

        :param action: the action
        :param now_s: monotonic time
        :return: whether the debt of earlier loads is paid off, or the action loads nothing
        """
        return not size_bytes(action) or now_s >= self._next_start_s

    def charge(self, action: EngineAction, now_s: float) -> None:
        """
        Charge the size of an action to the bucket.

        :param action: an action that starts or has been found running
        :param now_s: monotonic time
        """
        duration_s = size_bytes(action) / self._rate_bytes_per_s
        self._next_start_s = max(now_s, self._next_start_s) + duration_s


def size_bytes(action: EngineAction) -> int:
    """
    Return the number of bytes that an action fetches from the weight store.

    :param action: the action
    :return: size in bytes
    """
    match action:
        case LoadModel(_, _, size) | LoadAdapter(_, _, size):
            return size
        case ChangeRole():
            return 0


__all__ = ["LoadPacer", "size_bytes"]
