"""Guards against a team that reads the deferred work of another team."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING

from camphorvalve.filters.identify import Tokens
from camphorvalve.http.lookups import RouterLookups
from camphorvalve.model.errors import RequestError
from camphorvalve.registry.commands import Done, Finished, Invalid, Lost, Running
from camphorvalve.settings.schema import CallerToken

if TYPE_CHECKING:
    from camphorvalve.registry.commands import Outcome


class FakeRecordClient:
    """Returns the same outcome for each record."""

    def __init__(self, outcome: Outcome) -> None:
        self.outcome = outcome

    async def look_up(self, record_id: str) -> Outcome:
        return self.outcome


def _lookups(outcome: Outcome) -> RouterLookups:
    tokens = Tokens([CallerToken("token-of-north", ("north",)), CallerToken("token-of-b", ("b",))])
    records = FakeRecordClient(outcome)
    return RouterLookups(None, records, random.Random(1), lifetime_s=2.0, tokens=tokens)


class DeferredTest(unittest.IsolatedAsyncioTestCase):
    async def test_only_the_team_of_the_work_may_read_it(self) -> None:
        cases = {
            "unknown token": ("x.north", "token", "unauthorised"),
            "another team": ("x.north", "token-of-b", "not_found"),
            "no team in the id": ("x", "token-of-north", "not_found"),
        }
        for name, (work_id, token, code) in cases.items():
            with self.subTest(name), self.assertRaises(RequestError) as caught:
                await _lookups(Done(1, 1)).deferred(work_id, token)
            self.assertEqual(caught.exception.code, code)

    async def test_response_contains_the_state(self) -> None:
        finished = Finished("x.north", 1, 200, (("x-a", "b"),), b"text")
        cases = {
            "waiting": Done(1, 1),
            "running": Running("router-1", 1, 1),
            "unknown": Lost(1),
            "done": finished,
        }
        for state, outcome in cases.items():
            with self.subTest(state):
                response = await _lookups(outcome).deferred("x.north", "token-of-north")
                self.assertEqual(response.body["state"], state)
        with self.assertRaises(RequestError) as caught:
            await _lookups(Invalid("none")).deferred("x.north", "token-of-north")
        self.assertEqual(caught.exception.code, "not_found")
