"""Promises of room to refused callers, and what became of them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from camphorvalve.model.requests import RoutedCall
from camphorvalve.sharing.homes import cost_tokens
from camphorvalve.sharing.returns import Kept, Open, ReturnBook

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping

    from camphorvalve.model.requests import Exchange
    from camphorvalve.sharing.returns import Promise


@dataclass(slots=True)
class ReturnCounts:
    """Events since the start."""

    promises_count: int = 0
    open_refusals_count: int = 0
    """Refused callers that were promised no room."""
    returns_count: int = 0
    """Callers that came back after a refusal, as far as they were recognised."""
    returns_served_count: int = 0
    kept_returns_count: int = 0
    """Of the returns, those to room that was promised here or at another router."""
    kept_returns_served_count: int = 0


class Returns:
    """Owns the promises of this router, which recognises those of the others."""

    def __init__(self, rng: random.Random, longest_s: Callable[[str], float | None]) -> None:
        """
        Start without totals.

        :param rng: source of random choices
        :param longest_s: returns the longest caller timeout of a kind of requests
        """
        self._book = ReturnBook(rng)
        self._longest_s = longest_s
        self.counts = ReturnCounts()

    def set_totals(
        self, asked: Mapping[str, float], served: Mapping[str, float], now_s: float
    ) -> None:
        """
        Apply totals of the fleet.

        :param asked: demand by team
        :param served: its part that was served
        :param now_s: monotonic time
        """
        self._book.set_totals(asked, served, now_s)

    def recognise(self, exchange: Exchange, now_s: float) -> None:
        """
        Record that a caller came back, and whether room is kept for it.

        :param exchange: its request
        :param now_s: monotonic time
        """
        exchange.is_return = True
        self.counts.returns_count += 1
        key = exchange.identify()
        if key is not None and self._book.is_kept(exchange.team.name, key, now_s):
            exchange.is_kept_return = True
            self.counts.kept_returns_count += 1

    def record_served(self, exchange: Exchange) -> None:
        """
        Record that the answer to a request has started.

        :param exchange: the request
        """
        self.counts.returns_served_count += exchange.is_return
        self.counts.kept_returns_served_count += exchange.is_kept_return

    def promise(self, exchange: Exchange) -> Promise | None:
        """
        Decide when the caller of a refused request is told to return.

        :param exchange: the request
        :return: the promise, ``None`` if the usual time applies: for calls without a prompt, of no
            team, or of callers that set no time
        """
        call = exchange.request.call
        match call:
            case RoutedCall(caller_timeout_s=float(left_s)) if exchange.team is not None:
                longest_s, key = self._longest_s(exchange.route.name), exchange.identify()
            case _:
                return None
        if longest_s is None or key is None or not cost_tokens(call):
            return None
        promise = self._book.promise(exchange.team.name, key, longest_s, left_s)
        match promise:
            case Kept():
                self.counts.promises_count += 1
            case Open():
                self.counts.open_refusals_count += 1
        return promise


def log_fields(exchange: Exchange, promise: Promise | None) -> dict[str, Any]:
    """
    Describe a refusal for its log line.

    :param exchange: the request
    :param promise: what its caller was promised, ``None`` if promises are not made
    :return: fields, none without a promise
    """
    if promise is None:
        return {}
    return {
        "promise": type(promise).__name__.lower(),
        "is_return": exchange.is_return,
        "is_kept_return": exchange.is_kept_return,
    }


__all__ = ["ReturnCounts", "Returns", "log_fields"]
