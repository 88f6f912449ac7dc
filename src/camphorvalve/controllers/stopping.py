"""Graceful stop of a router: removal from discovery answers, then exit after the last request."""

from __future__ import annotations

import signal
import time
from typing import TYPE_CHECKING

import anyio
import structlog

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterable
    from contextlib import AbstractContextManager

    from camphorvalve.model.requests import Exchange

ANNOUNCEMENT_S = 1.5
"""Time in which peers learn of the stop from the next ping and remove this router from their
discovery answers."""
MAX_LOGGED_COUNT = 20
"""Most requests that are logged one by one when a stop cuts them off."""

_log = structlog.get_logger(__name__)


class GracefulStop:
    """Waits for a stop signal, and then until callers should have gone elsewhere."""

    def __init__(
        self, announce: Callable[[], None], lifetime_s: float, open_s: float | None = None
    ) -> None:
        """
        Create the stop sequence.

        :param announce: announces the stop to peers
        :param lifetime_s: how long callers may cache a discovery answer
        :param open_s: time from the signal to ``shutdown``; by default until the cached discovery
            answers have expired
        """
        self._announce = announce
        self._lifetime_s = lifetime_s
        self._open_s = ANNOUNCEMENT_S + lifetime_s if open_s is None else open_s
        self.shutdown = anyio.Event()
        self.signalled_s: float | None = None
        """Monotonic time of the signal, ``None`` before it."""

    async def run(self) -> None:
        """
        Set ``shutdown`` some time after the signal.

        Runs until it is cancelled, as without a handler a second signal would end the process.
        """
        with _stop_signals() as signals:
            await _receive(signals)
            self.signalled_s = time.monotonic()
            _log.info("leaving", address_lifetime_s=self._lifetime_s)
            self._announce()
            await anyio.sleep(self._open_s)
            self.shutdown.set()
            await anyio.sleep_forever()

    def log_unfinished(self, exchanges: Iterable[Exchange]) -> None:
        """
        Log the requests that are open when the time for running requests is over.

        :param exchanges: the open requests
        """
        unfinished = list(exchanges)
        if not unfinished or self.signalled_s is None:
            return
        now_s = time.monotonic()
        _log.warning(
            "requests cut off by the stop",
            unfinished_count=len(unfinished),
            stopping_s=round(now_s - self.signalled_s, 3),
        )
        for exchange in unfinished[:MAX_LOGGED_COUNT]:
            _log.warning(
                "request cut off by the stop",
                request_id=exchange.request.request_id,
                kind=exchange.kind,
                upstream_id=exchange.upstream_id,
                attempt=exchange.attempt,
                output_started=exchange.output_started,
                # Negative for a request that arrived before the signal.
                arrived_after_signal_s=round(exchange.received_s - self.signalled_s, 3),
                age_s=round(now_s - exchange.received_s, 3),
            )


async def wait_for_signal(shutdown: anyio.Event) -> None:
    """
    Set an event when the process receives SIGTERM or SIGINT.

    Runs until it is cancelled, as without a handler a second signal would end the process.

    :param shutdown: the event
    """
    with _stop_signals() as signals:
        await _receive(signals)
        shutdown.set()
        await anyio.sleep_forever()


def _stop_signals() -> AbstractContextManager[AsyncIterator[signal.Signals]]:
    return anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT)


async def _receive(signals: AsyncIterator[signal.Signals]) -> None:
    number = await anext(signals)
    _log.info("stopping", signal=number.name)


async def wait_until(is_done: Callable[[], bool], timeout_s: float) -> bool:
    """
    Wait for a condition by polling, for conditions without a notification.

    :param is_done: the condition
    :param timeout_s: maximum wait
    :return: whether the condition became true in time
    """
    with anyio.move_on_after(timeout_s):
        while not is_done():  # noqa: ASYNC110 -- several components change the condition
            await anyio.sleep(0.1)
    return is_done()


__all__ = ["GracefulStop", "wait_for_signal", "wait_until"]
