"""Tells what ends a response, and finds two that an upstream has joined."""

from __future__ import annotations

import re
from contextlib import aclosing
from typing import TYPE_CHECKING

import httpx

from camphorvalve.model.answers import Framing

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

_STATUSES_WITHOUT_BODY = (204, 304)

_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]"
_NAME_START = rb"[A-Za-z]"
"""Names of headers start with letters in practice, and the lines of a log with times."""
_VERSION = b"HTTP/1."
_MAX_REASON_LENGTH = 128
_MAX_NAME_LENGTH = 64
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5]\d\d")
# The lines of an event may follow text that looks like a status line (HTML Living Standard, 9.2.6).
_SECOND_HEAD = re.compile(
    _STATUS_LINE.pattern
    + rb"(?: [^\r\n]{0,%d})?\r?\n(?!(?:data|event|id|retry):)%s%s{0,%d}:"
    % (_MAX_REASON_LENGTH, _NAME_START, _TOKEN, _MAX_NAME_LENGTH - 1)
)
"""A status line and the name of the first header (RFC 9112, 4 and 5)."""
_UNFINISHED_HEAD = re.compile(
    rb"HTTP/1\.(?:[01](?: (?:[1-5](?:\d(?:\d(?: [^\r\n]{0,%d})?"
    rb"(?:\r?(?:\n(?:%s%s{0,%d})?)?)?)?)?)?)?)?\Z"
    % (_MAX_REASON_LENGTH, _NAME_START, _TOKEN, _MAX_NAME_LENGTH - 1)
)
"""The first bytes of a second head, from the version on, at the end of what has arrived."""


class SecondResponseError(httpx.RemoteProtocolError):
    """Another response follows in a body that only the end of its connection ends."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("another response follows in a body that ends with its connection")


def framing(response: httpx.Response) -> Framing:
    """
    Tell what ends the body of a response.

    :param response: the upstream's response
    :return: the framing; a response without a body has a length
    """
    if response.request.method == "HEAD" or response.status_code in _STATUSES_WITHOUT_BODY:
        return Framing.LENGTH
    if "transfer-encoding" in response.headers:
        return Framing.CHUNKS
    return Framing.LENGTH if "content-length" in response.headers else Framing.CLOSE


def has_joined_heads(response: httpx.Response) -> bool:
    """
    Tell whether the head of a response consists of those of two.

    An upstream that stops in the middle of a head leaves the reason or a header open, which the
    status line of the next response on the connection completes.

    :param response: the upstream's response
    :return: whether another status line is part of its head
    """
    fields = (value for _, value in response.headers.raw)
    reason = response.extensions.get("reason_phrase", b"")
    return any(_STATUS_LINE.search(field) for field in (reason, *fields))


async def without_second_response(
    chunks: AsyncGenerator[bytes, None],
) -> AsyncGenerator[bytes, None]:
    """
    Check a body that only the end of its connection ends.

    A faulty upstream may send another response on the connection before it closes it, and nothing
    else separates the two. The bytes before the second one may be a part of a body as well as a
    whole one, so that the body is broken off instead of being ended there.

    :param chunks: the body in chunks of any size
    :return: the same bytes; those that may begin a second response wait for the ones after them
    :raises SecondResponseError: the head of another response, or its first bytes, follow
    """
    held = b""
    async with aclosing(chunks):
        async for chunk in chunks:
            content = held + chunk
            if head := _SECOND_HEAD.search(content):
                if head.start():
                    yield content[: head.start()]
                raise SecondResponseError
            start = _unfinished_head_start(content)
            held = content[start:]
            if start:
                yield content[:start]
    if held.startswith(_VERSION):
        raise SecondResponseError
    if held:
        yield held


def _unfinished_head_start(content: bytes) -> int:
    """Return where bytes that may begin a second head start, or the length if there are none."""
    if unfinished := _UNFINISHED_HEAD.search(content):
        return unfinished.start()
    for length in range(len(_VERSION) - 1, 0, -1):
        if content.endswith(_VERSION[:length]):
            return len(content) - length
    return len(content)


__all__ = ["SecondResponseError", "framing", "has_joined_heads", "without_second_response"]
