"""The graceful stop of a router: leave the discovery answers first, end when all is served."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import anyio
import structlog

if TYPE_CHECKING:
    from collections.abc import Callable

NOTICE_S = 1.5
"""Peers hear of the stop with the next ping, so that their answers stop naming this router."""

_log = structlog.get_logger(__name__)


class Stopping:
    """Waits for a signal and then for the lifetime of the discovery answers."""

    def __init__(self, announce: Callable[[], None], lifetime_s: float) -> None:
        """
        Prepare the stop.

        :param announce: announces the stop to peers
        :param lifetime_s: how long callers may keep a discovery answer
        """
        self._announce = announce
        self._lifetime_s = lifetime_s
        self.shutdown = anyio.Event()

    async def run(self) -> None:
        """Set ``shutdown`` once no caller can hold an answer that names this router."""
        await _signal()
        _log.info("leaving", address_lifetime_s=self._lifetime_s)
        self._announce()
        await anyio.sleep(NOTICE_S + self._lifetime_s)
        self.shutdown.set()


async def wait_for_signal(shutdown: anyio.Event) -> None:
    """
    Set an event when the process is told to stop.

    :param shutdown: the event
    """
    await _signal()
    shutdown.set()


async def _signal() -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            _log.info("stopping", signal=number.name)
            return


async def wait_until(is_done: Callable[[], bool], timeout_s: float) -> bool:
    """
    Wait for a condition that nothing announces.

    :param is_done: the condition
    :param timeout_s: longest wait
    :return: whether it came true in time
    """
    with anyio.move_on_after(timeout_s):
        while not is_done():  # noqa: ASYNC110 -- the condition has several owners
            await anyio.sleep(0.1)
    return is_done()


__all__ = ["Stopping", "wait_for_signal", "wait_until"]
