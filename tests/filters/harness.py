"""Runs a single filter in front of a given terminal handler."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.builders import an_answer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from camphorvalve.filters.chain import Filter, Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange


def response_handler(
    *contents: bytes, status: int = 200, error: Exception | None = None
) -> Handler:
    async def handler(exchange: Exchange) -> AsyncIterator[Part]:
        for part in an_answer(*contents, status=status):
            yield part
        if error is not None:
            raise error

    return handler


def error_handler(error: Exception) -> Handler:
    async def handler(exchange: Exchange) -> AsyncIterator[Part]:
        raise error
        yield

    return handler


async def run_filter(filter_: Filter, exchange: Exchange, inner: Handler) -> list[Part]:
    return [part async for part in filter_(exchange, inner)]


__all__ = ["error_handler", "response_handler", "run_filter"]
