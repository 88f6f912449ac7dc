"""Headers of HTTP messages that concern one connection."""

from __future__ import annotations

HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that are not passed on (RFC 9110, 7.6.1)."""


def end_to_end(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """
    Drop the headers that concern one connection.

    :param headers: names in lower case, and values
    :return: the others
    """
    named = {
        name.strip().lower()
        for key, value in headers
        if key == "connection"
        for name in value.split(",")
    }
    return [(key, value) for key, value in headers if key not in HOP_HEADERS and key not in named]


__all__ = ["HOP_HEADERS", "end_to_end"]
