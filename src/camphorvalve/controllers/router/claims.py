"""Settles where streams began whose upstream may have started again since it was listed."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from camphorvalve.controllers.router.upstreamrecords import LIST_LAG_S
from camphorvalve.model.claims import Confirmed, Open, OriginClaim, Refuted
from camphorvalve.sharing.origins import MAX_STREAMS_COUNT

if TYPE_CHECKING:
    from camphorvalve.controllers.router.upstreamlist import UpstreamList
    from camphorvalve.model.upstreams import Upstream


class OriginClaims:
    """
    Owns the claims that the list has not settled.

    The list lags by up to ``LIST_LAG_S``. A connection ends with the process at its other end, so
    that a list which was read that much later than the connection was established shows the version
    at its other end. An earlier one that shows another version refutes the claim, too: it does not
    tell which of the two began the stream.
    """

    def __init__(self, listed: UpstreamList) -> None:
        """
        Start without claims.

        :param listed: the list of upstreams
        """
        self._listed = listed
        self._open: deque[OriginClaim] = deque()

    def add(self, upstream: Upstream, connected_s: float) -> OriginClaim:
        """
        Claim that a stream began at the listed version of an upstream.

        :param upstream: the upstream as it was listed when the stream began
        :param connected_s: when the stream's connection was established, in monotonic time
        :return: the claim, which may be settled
        """
        claim = OriginClaim(upstream, connected_s)
        self._compare(claim)
        if isinstance(claim.state, Open):
            self._open.append(claim)
            if len(self._open) > MAX_STREAMS_COUNT:
                self._open.popleft().settle(Refuted("too many streams wait for a list"))
        return claim

    def compare(self) -> None:
        """Settle the claims that the list proves or disproves, after it was read."""
        for claim in self._open:
            self._compare(claim)
        self._open = deque(claim for claim in self._open if isinstance(claim.state, Open))

    def _compare(self, claim: OriginClaim) -> None:
        began_at = claim.upstream
        listed = self._listed.upstreams.get(began_at.upstream_id)
        if listed is not None and listed.software != began_at.software:
            claim.settle(Refuted(f"its upstream is listed with version {listed.software!r}"))
        elif self._listed.read_s - LIST_LAG_S >= claim.connected_s:
            claim.settle(Confirmed())


__all__ = ["OriginClaims"]
