"""Guards against a list of workers that is misread, or lost because of one bad entry."""

from __future__ import annotations

import json
import unittest
from typing import Any

import anyio
import httpx

from camphorvalve.model.hosts import HostState
from camphorvalve_platform import instances
from tests.platform.builders import an_entry


def read(*pages: Any) -> Any:
    """Read a list that is served in pages; a page that is no list is sent as it is."""
    left = list(pages)

    def answer(request: httpx.Request) -> httpx.Response:
        page = left.pop(0)
        match page:
            case int():
                return httpx.Response(page)
            case str() | bytes():
                return httpx.Response(200, content=page)
        token = "next" if left else None
        return httpx.Response(200, text=json.dumps({"instances": page, "nextToken": token}))

    async def run() -> Any:
        async with httpx.AsyncClient(transport=httpx.MockTransport(answer)) as client:
            return await instances.read(client, "cloud:1")

    return anyio.run(run)


class InstancesTest(unittest.TestCase):
    def test_translation(self) -> None:
        """Guards against pages that are left out and states that are misread."""
        found = read([an_entry()], [an_entry(id="i-2", state="draining")])
        self.assertEqual([one.upstream_id for one in found], ["i-1", "i-2"])
        self.assertEqual([one.state for one in found], [HostState.LIVE, HostState.LEAVING])
        self.assertEqual((found[0].pool, found[0].url), ("engines", "http://10.128.0.9:8080"))

    def test_bad_entries(self) -> None:
        """Guards against one unreadable entry that takes the others away."""
        bad = [
            an_entry(state="melting"),
            an_entry(state=None),
            an_entry(id=7),
            an_entry(address=None),
            an_entry(slots="many"),
            {},
            "text",
            None,
            [1],
        ]
        found = read([an_entry(id="i-1"), *bad, an_entry(id="i-2")])
        self.assertEqual([one.upstream_id for one in found], ["i-1", "i-2"])

    def test_entry_without_text(self) -> None:
        """Guards against bytes that are no text and take the whole list away."""
        page = json.dumps({"instances": [an_entry(), an_entry(id="i-2")], "nextToken": None})
        content = page.encode().replace(b"i-2", b"i-\xff\xfe")
        self.assertEqual(read(content)[0].upstream_id, "i-1")

    def test_bad_lists(self) -> None:
        """Guards against a list that could not be read and counts as an empty one."""
        for page in (429, 500, "{", '{"instances": 5}', "[]"):
            with self.subTest(page=page), self.assertRaises(instances.ListError):
                read(page)
        with self.assertRaises(instances.ListError):
            read([an_entry()], 500)


if __name__ == "__main__":
    unittest.main()
