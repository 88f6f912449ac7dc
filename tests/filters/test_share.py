"""Guards against requests beyond their team's share that displace other teams."""

from __future__ import annotations

import unittest
from contextlib import aclosing
from typing import TYPE_CHECKING

import anyio

from camphorvalve.filters.share import RESUMPTION_FLOOR_COUNT, RESUMPTION_RATIO, share
from camphorvalve.model.answers import Body, Head
from camphorvalve.model.errors import RequestError, Run
from camphorvalve.model.requests import StreamOrigin
from camphorvalve.model.teams import Limits, TeamParameters
from tests.routebuilders import a_prompt, a_routed_exchange

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from camphorvalve.filters.chain import Filter
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange

TEAM = TeamParameters("youth", 1.0, {}, Limits())


class _Shares:
    """Fake shares; either every request is within its share or none is."""

    def __init__(self, *, within: bool, congested: bool) -> None:
        self.starved: list[tuple[str, float]] = []
        self.served: list[tuple[str, float]] = []
        self.within = within
        self._congested = congested

    def detect_retry(self, kind: str, caller_timeout_s: float | None, now_s: float) -> bool:
        return False

    def within_share(
        self, team: str, tokens: float, now_s: float, *, is_retry: bool = False
    ) -> bool:
        return self.within

    def must_refuse_over_share(self, team: str, now_s: float) -> bool:
        return self._congested

    def record_served(self, team: str, tokens: float, now_s: float) -> None:
        self.served.append((team, tokens))

    def record_starved(self, team: str, tokens: float, now_s: float) -> None:
        self.starved.append((team, tokens))


class ShareTest(unittest.TestCase):
    def run_share_filter(
        self,
        shares: _Shares,
        *,
        full: bool = False,
        prompt: bool = True,
        team: TeamParameters | None = TEAM,
        origin: StreamOrigin | None = None,
        filter_: Filter | None = None,
    ) -> int:
        """Run the filter; return the status."""

        async def inner(exchange: Exchange) -> AsyncIterator[Part]:
            if full:
                raise RequestError("overloaded", "full")
            yield Head(200, ())
            yield Body(b"yes")
            yield Body(b"and more")

        async def run() -> int:
            fields = {"prompt": a_prompt("a", "own")} if prompt else {}
            exchange = a_routed_exchange(team=team, origin=origin, **fields)
            async with aclosing((filter_ or share(shares))(exchange, inner)) as parts:
                received = [part async for part in parts]
            return received[0].status

        try:
            return anyio.run(run)
        except RequestError as error:
            self.assertEqual(error.run, Run.NO)
            return error.status

    def test_public_route(self) -> None:
        """Guards against an internal error, status 500, for a request without a team that is
        refused because the upstreams are full: it was not run."""
        for prompt in (True, False):
            with self.subTest(prompt=prompt):
                shares = _Shares(within=True, congested=True)
                self.assertEqual(
                    self.run_share_filter(shares, full=True, prompt=prompt, team=None), 503
                )

    def test_rejected_only_beyond_share_and_congested(self) -> None:
        """Guards against rejections while there is room, overload while there is none, and callers
        that take the bound of their own team for a lack of upstreams."""
        cases = [
            (True, True, 200),
            (True, False, 200),
            (False, False, 200),
            (False, True, 429),
        ]
        for within, congested, status in cases:
            with self.subTest(within=within, congested=congested):
                self.assertEqual(
                    self.run_share_filter(_Shares(within=within, congested=congested)), status
                )

    def test_streams_resumed(self) -> None:
        """Guards against a caller that loses the part of a stream that it has because its team is
        over its share, and against a team that claims to resume all that it sends."""
        filter_ = share(_Shares(within=False, congested=True))
        statuses = [
            self.run_share_filter(_Shares(within=False, congested=True), origin=o, filter_=filter_)
            for o in [None, *[StreamOrigin("engines", "v1")] * (2 * RESUMPTION_FLOOR_COUNT)]
        ]
        self.assertEqual(statuses[0], 429)
        self.assertEqual(statuses.count(200), RESUMPTION_FLOOR_COUNT)

    def test_streams_resumed_by_a_flooding_team(self) -> None:
        """Guards against a team that gets a multiple of its share because the requests that it is
        refused raise the number of streams that it may claim to resume."""
        shares = _Shares(within=False, congested=True)
        filter_ = share(shares)
        for _ in range(20 * RESUMPTION_FLOOR_COUNT):
            self.assertEqual(self.run_share_filter(shares, filter_=filter_), 429)
        origin = StreamOrigin("engines", "v1")
        statuses = [
            self.run_share_filter(shares, origin=origin, filter_=filter_)
            for _ in range(2 * RESUMPTION_FLOOR_COUNT)
        ]
        self.assertEqual(statuses.count(200), RESUMPTION_FLOOR_COUNT)

    def test_streams_resumed_by_a_served_team(self) -> None:
        """Guards against a team with many streams that loses more of them than it may resume."""
        shares = _Shares(within=True, congested=True)
        filter_ = share(shares)
        for _ in range(4 * RESUMPTION_FLOOR_COUNT):
            self.assertEqual(self.run_share_filter(shares, filter_=filter_), 200)
        shares.within = False
        origin = StreamOrigin("engines", "v1")
        statuses = [
            self.run_share_filter(shares, origin=origin, filter_=filter_)
            for _ in range(4 * RESUMPTION_FLOOR_COUNT)
        ]
        self.assertEqual(statuses.count(200), RESUMPTION_RATIO * 4 * RESUMPTION_FLOOR_COUNT)

    def test_precedence_of_streams_resumed(self) -> None:
        """Guards against a team that precedes all others because it is within its share and claims
        to resume all that it sends, and against new requests without precedence."""
        filter_ = share(_Shares(within=True, congested=False))
        origin = StreamOrigin("engines", "v1")
        exchanges = [
            a_routed_exchange(team=TEAM, prompt=a_prompt("a", "own"), origin=origin)
            for _ in range(2 * RESUMPTION_FLOOR_COUNT)
        ]
        new = a_routed_exchange(team=TEAM, prompt=a_prompt("a", "own"))

        async def inner(exchange: Exchange) -> AsyncIterator[Part]:
            yield Head(200, ())

        async def run() -> None:
            for exchange in [*exchanges, new]:
                async with aclosing(filter_(exchange, inner)) as parts:
                    self.assertEqual([part async for part in parts], [Head(200, ())])

        anyio.run(run)
        self.assertEqual(
            [exchange.within_resumptions for exchange in exchanges],
            [True] * RESUMPTION_FLOOR_COUNT + [False] * RESUMPTION_FLOOR_COUNT,
        )
        self.assertTrue(new.within_resumptions)

    def test_plain_calls(self) -> None:
        """Guards against applying the shares of engines to calls of plain services."""
        shares = _Shares(within=False, congested=True)
        self.assertEqual(self.run_share_filter(shares, prompt=False), 200)

    def test_served(self) -> None:
        """Guards against service that is counted twice, or for calls that use no engine."""
        shares = _Shares(within=True, congested=False)
        self.run_share_filter(shares)
        self.run_share_filter(shares, prompt=False)
        self.run_share_filter(shares, full=True)
        self.assertEqual(shares.served, [("youth", 1200.0)])

    def test_starved(self) -> None:
        """Guards against rejections within a share that are not reported to other routers."""
        shares = _Shares(within=True, congested=False)
        self.run_share_filter(shares, full=True)
        self.assertEqual(shares.starved, [("youth", 1200.0)])
        beyond = _Shares(within=False, congested=False)
        self.run_share_filter(beyond, full=True)
        self.assertEqual(beyond.starved, [])


if __name__ == "__main__":
    unittest.main()
