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
"""Takes an exchange and yields the parts of the answer, the head first."""

Filter = Callable[[Exchange, Handler], AsyncIterator[Part]]
"""Takes an exchange and the rest of the chain."""


def compose(filters: Sequence[Filter], terminal: Handler) -> Handler:
    """
    Build one handler from filters.

    :param filters: outermost first
    :param terminal: what stands after the last filter
    :return: the whole chain
    """
    handler = terminal
    for one in reversed(filters):
        handler = partial(one, inner=handler)
    return handler


__all__ = ["Filter", "Handler", "compose"]
