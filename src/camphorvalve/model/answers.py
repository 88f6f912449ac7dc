"""Parts of a response, in the order in which the filter chain yields them."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Framing(enum.Enum):
    """What ends the body of an upstream's response (RFC 9112, 6.3)."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"
    """Only the end of the connection."""


@dataclass(frozen=True, slots=True)
class Head:
    """Status code and headers of a response; always its first part."""

    status: int
    headers: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Body:
    """A chunk of the response body."""

    content: bytes


Part = Head | Body

__all__ = ["Body", "Framing", "Head", "Part"]
