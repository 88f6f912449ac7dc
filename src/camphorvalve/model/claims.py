"""Claims where streams began, while the upstream may have started again with another version."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import Callable

    from camphorvalve.model.upstreams import Upstream


@dataclass(frozen=True, slots=True)
class Open:
    """No list has shown the version of the upstream since the stream began."""


@dataclass(frozen=True, slots=True)
class Confirmed:
    """The stream began at the listed version."""


@dataclass(frozen=True, slots=True)
class Refuted:
    """The stream may have begun at another version than the listed one."""

    reason: str


ClaimState = Open | Confirmed | Refuted


@dataclass(slots=True, eq=False)
class OriginClaim:
    """That a stream began at the version with which its upstream was listed."""

    upstream: Upstream
    """As it was listed when the stream began."""
    connected_s: float
    """When the connection of the stream was established, in monotonic time."""
    state: ClaimState = field(default_factory=Open)
    _settled: anyio.Event = field(default_factory=anyio.Event)
    _listeners: list[Callable[[ClaimState], None]] = field(default_factory=list)

    def settle(self, state: Confirmed | Refuted) -> None:
        """
        Set whether the claim holds, unless that is known.

        :param state: whether it does
        """
        if not isinstance(self.state, Open):
            return
        self.state = state
        self._settled.set()
        for listener in self._listeners:
            listener(state)

    def when_settled(self, listener: Callable[[ClaimState], None]) -> None:
        """
        Call a function once it is known whether the claim holds.

        :param listener: called with the state, at once if the claim is settled
        """
        if isinstance(self.state, Open):
            self._listeners.append(listener)
        else:
            listener(self.state)

    async def wait(self) -> None:
        """Wait until the claim is settled."""
        await self._settled.wait()


__all__ = ["ClaimState", "Confirmed", "Open", "OriginClaim", "Refuted"]
