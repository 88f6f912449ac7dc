"""Guards against a list of workers that is misread, or rejected because of one invalid entry."""

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
    """
    Read a list served in the given pages.

    :param pages: entries of each page; a number is sent as a status, text and bytes as the body
    :return: the upstreams
    """
    remaining = list(pages)

    def answer(request: httpx.Request) -> httpx.Response:
        page = remaining.pop(0)
        match page:
            case int():
                return httpx.Response(page)
            case str() | bytes():
                return httpx.Response(200, content=page)
        token = "next" if remaining else None
        return httpx.Response(200, text=json.dumps({"instances": page, "nextToken": token}))

    async def run() -> Any:
        async with httpx.AsyncClient(transport=httpx.MockTransport(answer)) as client:
            return await instances.read(client, "cloud:1")

    return anyio.run(run)


class InstancesTest(unittest.TestCase):
    def test_translation(self) -> None:
        """Guards against skipped pages and misread states."""
        upstreams = read([an_entry()], [an_entry(id="i-2", state="draining")])
        self.assertEqual([upstream.upstream_id for upstream in upstreams], ["i-1", "i-2"])
        self.assertEqual(
            [upstream.state for upstream in upstreams], [HostState.LIVE, HostState.LEAVING]
        )
        self.assertEqual(
            (upstreams[0].pool, upstreams[0].url), ("engines", "http://10.128.0.9:8080")
        )

    def test_bad_entries(self) -> None:
        """Guards against losing valid entries because of an invalid one."""
        bad = [
            an_entry(state="unknown"),
            an_entry(state=None),
            an_entry(id=7),
            an_entry(address=None),
            an_entry(slots="many"),
            {},
            "text",
            None,
            [1],
        ]
        upstreams = read([an_entry(id="i-1"), *bad, an_entry(id="i-2")])
        self.assertEqual([upstream.upstream_id for upstream in upstreams], ["i-1", "i-2"])

    def test_invalid_utf8(self) -> None:
        """Guards against losing the whole list because of invalid UTF-8 in one entry."""
        page = json.dumps({"instances": [an_entry(), an_entry(id="i-2")], "nextToken": None})
        content = page.encode().replace(b"i-2", b"i-\xff\xfe")
        self.assertEqual(read(content)[0].upstream_id, "i-1")

    def test_bad_lists(self) -> None:
        """Guards against treating a list that could not be read as an empty one."""
        for page in (429, 500, "{", '{"instances": 5}', "[]"):
            with self.subTest(page=page), self.assertRaises(instances.ListError):
                read(page)
        with self.assertRaises(instances.ListError):
            read([an_entry()], 500)


if __name__ == "__main__":
    unittest.main()
