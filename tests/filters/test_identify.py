"""Guards against callers that act for a team that their token is not valid for."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from camphorvalve.filters.identify import identify
from camphorvalve.model.errors import RequestError
from camphorvalve.settings.schema import CallerToken
from tests.builders import an_answer, an_exchange, team_parameters
from tests.filters.harness import response_handler, run_filter

if TYPE_CHECKING:
    from camphorvalve.model.teams import TeamParameters


def _parameters(name: str) -> TeamParameters | None:
    return team_parameters(name) if name in ("a", "b") else None


CALLERS = (CallerToken("one", ("a",)), CallerToken("two", ("a", "b")), CallerToken("old", ("x",)))


class IdentifyTest(unittest.IsolatedAsyncioTestCase):
    async def test_teams_and_rejections(self) -> None:
        cases = [
            (CALLERS, "one", None, "a"),
            (CALLERS, "one", "a", "a"),
            (CALLERS, "two", "b", "b"),
            (None, "", "b", "b"),
            (CALLERS, "one", "b", "not_allowed"),
            (CALLERS, "one", "no such team", "not_allowed"),
            (CALLERS, "two", None, "unknown_team"),
            (CALLERS, "old", None, "unknown_team"),
            (CALLERS, "", "a", "unauthorised"),
            (CALLERS, "onE", "a", "unauthorised"),
            (CALLERS, "tw\u00f6", "a", "unauthorised"),
            ((), "one", "a", "unauthorised"),
            (None, "one", None, "unknown_team"),
            (None, "one", "c", "unknown_team"),
        ]
        for callers, token, team, expected in cases:
            with self.subTest(token=token, team=team):
                exchange = an_exchange(token=token, team=team)
                try:
                    parts = await run_filter(
                        identify(callers, _parameters), exchange, response_handler(b"x")
                    )
                except RequestError as error:
                    self.assertEqual((error.code, error.run), (expected, "no"))
                else:
                    self.assertEqual(exchange.team.name, expected)
                    self.assertEqual(tuple(parts), an_answer(b"x"))
