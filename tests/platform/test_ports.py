"""Guards against look-ups that are answered for another place, or not at all."""

from __future__ import annotations

import json
import unittest
from typing import Any

import anyio

from camphorvalve.sharing.directory import CallerPlace
from camphorvalve.wiring.platforms import RouterView
from camphorvalve_platform.ports import MAX_ADDRESSES_COUNT, directory_app

REGIONS = {"perth-a": "perth", "perth-b": "perth", "recife-a": "nordeste"}


class DirectoryTest(unittest.TestCase):
    def look_up(self, query: bytes, client: Any = ("100.64.0.5", 32769)) -> dict[str, Any]:
        sent: list[dict[str, Any]] = []

        async def send(message: dict[str, Any]) -> None:
            sent.append(message)

        def addresses(place: CallerPlace, max_count: int) -> list[str]:
            self.place, self.max_count = place, max_count
            return ["10.1.0.35:8783"]

        view = RouterView(addresses, lambda: True, lambda *_: None)
        scope = {"path": "/-/resolve", "query_string": query, "client": client}
        anyio.run(directory_app(view, 2.0, REGIONS), scope, None, send)
        self.assertEqual(sent[0]["status"], 200)
        return json.loads(sent[1]["body"])

    def test_place(self) -> None:
        """Guards against an answer for another zone or region than the caller's."""
        answer = self.look_up(b"name=a.example&region=perth&zone=perth-a")
        self.assertEqual(answer, {"addresses": ["10.1.0.35:8783"], "ttlS": 2.0})
        near = (frozenset({"perth-a"}), frozenset({"perth-a", "perth-b"}))
        self.assertEqual(self.place, CallerPlace("100.64.0.5", near))
        self.assertEqual(self.max_count, MAX_ADDRESSES_COUNT)

    def test_odd_queries(self) -> None:
        """Guards against a caller that gets no answer because its place is unknown."""
        for query in (b"", b"zone=%ff%fe&&=&zone", b"zone=" + b"a&" * 5000, b"\xff=\xfe"):
            with self.subTest(query[:20]):
                self.look_up(query, client=None)
                self.assertEqual(self.place.caller_id, "")


if __name__ == "__main__":
    unittest.main()
