"""Parts of an answer, in the order in which the filter chain yields them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Head:
    """Status and headers; always the first part."""

    status: int
    headers: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Body:
    """Bytes of the answer's body."""

    content: bytes


Part = Head | Body

__all__ = ["Body", "Head", "Part"]
