"""Parts of a response, in the order in which the filter chain yields them."""

from __future__ import annotations

from dataclasses import dataclass


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

__all__ = ["Body", "Head", "Part"]
