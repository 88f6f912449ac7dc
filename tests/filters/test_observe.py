"""Guards against open requests that can't be looked up, or that are kept after they have ended."""

from __future__ import annotations

import unittest
from contextlib import aclosing
from typing import TYPE_CHECKING

from camphorvalve.filters.observe import ObserveFilter
from tests.builders import a_head, an_exchange

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange


async def _answer(exchange: Exchange) -> AsyncIterator[Part]:
    yield a_head()


class ObserveTest(unittest.IsolatedAsyncioTestCase):
    async def test_open_until_the_end(self) -> None:
        observe = ObserveFilter()
        request, work = an_exchange(), an_exchange()
        request_id = request.request.request_id
        async with aclosing(observe(request, _answer)) as parts:
            await anext(parts)
            self.assertIs(observe.find(request_id), request)
            async with aclosing(observe(work, _answer)) as inner_parts:
                await anext(inner_parts)
                # The request ends while the work that it submitted runs under the same id.
                await parts.aclose()
                self.assertIs(observe.find(request_id), work)
        self.assertIsNone(observe.find(request_id))
