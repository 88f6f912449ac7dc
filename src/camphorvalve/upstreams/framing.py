"""Tells what ends a response, and finds two that an upstream has joined."""

from __future__ import annotations

import re
from contextlib import aclosing
from typing import TYPE_CHECKING

import httpx

from camphorvalve.model.answers import Framing

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Callable

_STATUSES_WITHOUT_BODY = (204, 304)
_EVENT_STREAM_TYPE = "text/event-stream"

_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]"
_NAME_START = rb"[A-Za-z]"
"""Names of headers start with letters in practice, and the lines of a log with times."""
_VERSION = b"HTTP/1."
_MAX_REASON_LENGTH = 128
_MAX_NAME_LENGTH = 64
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5]\d\d")
_STATUS_LINE_BYTES = len(b"HTTP/1.1 200")
_FIRST_NAME = rb"%s%s{0,%d}:" % (_NAME_START, _TOKEN, _MAX_NAME_LENGTH - 1)
_INTERIM_LINE = rb"HTTP/1\.[01] 1\d\d"
_END_OF_LINE = rb"(?: [^\r\n]{0,%d}+)?\r?\n" % _MAX_REASON_LENGTH
_SECOND_HEAD = re.compile(
    _STATUS_LINE.pattern
    + rb"%s(?P<name>%s)|" % (_END_OF_LINE, _FIRST_NAME)
    + rb"%s%s\r?\n" % (_INTERIM_LINE, _END_OF_LINE)
)
"""A status line and the name of the first header (RFC 9112, 4 and 5), or an interim response, which
needs no headers (RFC 9110, 15.2)."""
_EVENT_FIELDS = frozenset({b"data:", b"event:", b"id:", b"retry:"})
"""Names in the lines of events (HTML Living Standard, 9.2.6), which may follow text that looks like
a status line."""
_UNFINISHED_HEAD = re.compile(
    rb"HTTP/1\.(?:[01](?: (?:[1-5](?:\d(?:\d(?: [^\r\n]{0,%d}+)?"
    rb"(?:\r?(?:\n(?:\r|%s%s{0,%d})?)?)?)?)?)?)?)?\Z"
    % (_MAX_REASON_LENGTH, _NAME_START, _TOKEN, _MAX_NAME_LENGTH - 1)
)
"""The first bytes of a second head, from the version on, at the end of what has arrived."""
_MAX_UNFINISHED_BYTES = _STATUS_LINE_BYTES + 1 + _MAX_REASON_LENGTH + 2 + _MAX_NAME_LENGTH


class SecondResponseError(httpx.RemoteProtocolError):
    """A body contains the start of another response."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("the body contains the start of another response")


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


def is_event_stream(response: httpx.Response) -> bool:
    """
    Tell whether a response is a stream of events.

    Other statuses have no events: their body is the text of an error, whatever its type, or empty.

    :param response: the upstream's response
    :return: whether its status is 200 and its type that of event streams
    """
    content_type = response.headers.get("content-type", "")
    return response.status_code == 200 and content_type.startswith(_EVENT_STREAM_TYPE)


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
    chunks: AsyncGenerator[bytes, None], *, are_events: bool = False
) -> AsyncGenerator[bytes, None]:
    """
    Check a body that only the end of its connection ends.

    A faulty upstream may send another response on the connection before it closes it, and nothing
    else separates the two. The bytes before the second one may be a part of a body as well as a
    whole one, so that the body is broken off instead of being ended there.

    :param chunks: the body in chunks of any size
    :param are_events: whether the body is a stream of events
    :return: the same bytes; those that may begin a second response wait for the ones after them
    :raises SecondResponseError: the head of another response, or its first bytes, follow
    """
    held = b""
    async with aclosing(chunks):
        async for chunk in chunks:
            content = held + chunk
            head_start = _second_head_start(content, are_events=are_events)
            if head_start is not None:
                if head_start:
                    yield content[:head_start]
                raise SecondResponseError
            start = _unfinished_head_start(content)
            held = content[start:]
            if start:
                yield content[:start]
    if held.startswith(_VERSION):
        raise SecondResponseError
    if held:
        yield held


async def without_restarted_response(
    chunks: AsyncGenerator[bytes, None], bytes_behind: Callable[[], bytes]
) -> AsyncGenerator[bytes, None]:
    """
    Check a body with a length.

    A faulty upstream may stop in the middle of a response and send it anew. The second one then
    fills up the body, and its rest lies behind it. A body that only mentions a response has nothing
    behind it.

    :param chunks: the body in chunks of any size
    :param bytes_behind: returns the bytes that have arrived behind the body
    :return: the same bytes; a chunk that may be the last one after the start of a response waits
        for the one after it, so that the body doesn't look complete
    :raises SecondResponseError: the body contains the start of another response and its rest
        follows
    """
    contains_response = False
    last_bytes = held = b""
    async with aclosing(chunks):
        async for chunk in chunks:
            if held:
                yield held
            content = last_bytes + chunk
            contains_response = contains_response or bool(_STATUS_LINE.search(content))
            last_bytes = content[-_STATUS_LINE_BYTES + 1 :]
            may_begin = _unfinished_head_start(last_bytes) < len(last_bytes)
            held = chunk if contains_response or may_begin else b""
            if not held:
                yield chunk
    if not held:
        return
    behind = bytes_behind()
    # The status line may begin in the body and end behind it.
    across = last_bytes + behind[: _STATUS_LINE_BYTES - 1]
    if behind and (contains_response or _STATUS_LINE.search(across)):
        raise SecondResponseError
    yield held


def _second_head_start(content: bytes, *, are_events: bool) -> int | None:
    """Return where the head of another response starts."""
    for head in _SECOND_HEAD.finditer(content):
        if not are_events or head["name"] not in _EVENT_FIELDS:
            return head.start()
    return None


def _unfinished_head_start(content: bytes) -> int:
    """Return where bytes that may begin a second head start, or the length if there are none."""
    earliest_start = max(0, len(content) - _MAX_UNFINISHED_BYTES)
    if unfinished := _UNFINISHED_HEAD.search(content, earliest_start):
        return unfinished.start()
    for length in range(len(_VERSION) - 1, 0, -1):
        if content.endswith(_VERSION[:length]):
            return len(content) - length
    return len(content)


__all__ = [
    "SecondResponseError",
    "framing",
    "has_joined_heads",
    "is_event_stream",
    "without_restarted_response",
    "without_second_response",
]
