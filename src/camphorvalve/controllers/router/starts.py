"""Asks upstreams when they started, as the list shows later that one has started again."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
import structlog

from camphorvalve.model.claims import Confirmed, Open

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from camphorvalve.controllers.router.pools import Pools
    from camphorvalve.model.claims import OriginClaim
    from camphorvalve.model.upstreams import Upstream

    ReadStart = Callable[[Upstream], Awaitable[int | None]]
    """Asks an upstream for the Unix time of its start in milliseconds; ``None`` if it can't be
    read."""

QUESTIONS_COUNT = 3
"""Most questions for one confirmation: an earlier one that is under way, and two of its own."""

_log = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class Told:
    """What the upstream said of its start."""

    started_ms: int
    """Unix time in milliseconds."""


@dataclass(frozen=True, slots=True)
class Untold:
    """The upstream did not tell its start."""


Answer = Told | Untold


class UpstreamStarts:
    """Owns the questions under way; all requests that wait for the same answer share one."""

    def __init__(
        self, pools: Pools, read_start: ReadStart, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """
        Start without questions.

        :param pools: the listed upstreams, and what is known of their starts
        :param read_start: asks an upstream for its start
        :param clock: monotonic time
        """
        self._pools = pools
        self._read_start = read_start
        self._clock = clock
        self._questions: dict[str, asyncio.Task[Answer]] = {}

    async def has_restarted(self, upstream: Upstream) -> bool:
        """
        Ask an upstream whether it has started again since it was listed.

        :param upstream: the upstream as it is listed
        :return: whether it says so; without an answer, a request shows whether it can be used
        """
        match await self._ask(upstream):
            case Told(started_ms):
                return started_ms != upstream.started_ms
            case Untold():
                return False

    async def confirm(self, upstream: Upstream, since_s: float) -> bool:
        """
        Find out whether an upstream had its listed start at some time or later.

        :param upstream: the upstream as it was listed
        :param since_s: monotonic time, not in the future
        :return: whether that is certain
        """
        for _ in range(QUESTIONS_COUNT):
            if self._pools.is_start_confirmed(upstream, since_s):
                return True
            match await self._ask(upstream):
                case Told(started_ms) if started_ms != upstream.started_ms:
                    return False
                case Told() | Untold():
                    # The question may have been asked before that time.
                    pass
        return self._pools.is_start_confirmed(upstream, since_s)

    async def settle(self, claim: OriginClaim, wait_s: float) -> None:
        """
        Wait until a claim is settled, by the list or by its upstream, which may not have ended.

        :param claim: the claim
        :param wait_s: longest wait
        """
        if not isinstance(claim.state, Open):
            return
        question = asyncio.create_task(self._confirm_claim(claim))
        try:
            with anyio.move_on_after(wait_s):
                await claim.wait()
        finally:
            question.cancel()

    async def _confirm_claim(self, claim: OriginClaim) -> None:
        if await self.confirm(claim.upstream, claim.connected_s):
            claim.settle(Confirmed())

    async def _ask(self, upstream: Upstream) -> Answer:
        upstream_id = upstream.upstream_id
        question = self._questions.get(upstream_id)
        if question is None:
            question = asyncio.create_task(self._ask_anew(upstream))
            self._questions[upstream_id] = question
            question.add_done_callback(lambda _: self._questions.pop(upstream_id, None))
        # The other requests still wait for it if this one is cancelled.
        return await asyncio.shield(question)

    async def _ask_anew(self, upstream: Upstream) -> Answer:
        asked_s = self._clock()
        started_ms = await self._read_start(upstream)
        if started_ms is None:
            return Untold()
        if started_ms == upstream.started_ms:
            self._pools.record_same_start(upstream, asked_s)
        else:
            _log.info(
                "upstream has started again",
                upstream_id=upstream.upstream_id,
                listed_ms=upstream.started_ms,
                started_ms=started_ms,
            )
            # Its next streams are preceded by a question until the list shows this start.
            self._pools.record_end(upstream.upstream_id, self._clock())
        return Told(started_ms)


__all__ = ["UpstreamStarts"]
