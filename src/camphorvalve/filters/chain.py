"""Composes filters into one handler."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from functools import partial
from typing import TYPE_CHECKING

from camphorvalve.model.answers import Part
from camphorvalve.model.requests import Exchange

if TYPE_CHECKING:
    from collections.abc import Sequence

Handler = Callable[[Exchange], AsyncIterator[Part]]
"""Processes an exchange and yields the parts of the response, the head first."""

Filter = Callable[[Exchange, Handler], AsyncIterator[Part]]
"""Processes an exchange; calls the handler to run the rest of the chain."""


def compose(filters: Sequence[Filter], terminal: Handler) -> Handler:
    """
    Build one handler from filters.

    :param filters: outermost first
    :param terminal: handler that the last filter calls
    :return: the whole chain
    """
    handler = terminal
    for filter_ in reversed(filters):
        handler = partial(filter_, inner=handler)
    return handler


__all__ = ["Filter", "Handler", "compose"]
