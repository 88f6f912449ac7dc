"""Hop-by-hop headers of HTTP messages."""

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
"""Hop-by-hop headers, which are not forwarded (RFC 9110, 7.6.1)."""


def end_to_end(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """
    Remove the hop-by-hop headers, including those that ``connection`` names.

    :param headers: names in lower case, and values
    :return: the end-to-end headers
    """
    connection_options = {
        name.strip().lower()
        for key, value in headers
        if key == "connection"
        for name in value.split(",")
    }
    return [
        (key, value)
        for key, value in headers
        if key not in HOP_HEADERS and key not in connection_options
    ]


__all__ = ["HOP_HEADERS", "end_to_end"]
