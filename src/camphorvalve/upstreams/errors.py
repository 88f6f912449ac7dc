"""What can go wrong in one attempt, by what is known of the upstream's part in it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from camphorvalve.model.answers import Head


class UpstreamError(Exception):
    """An attempt failed; the text names the upstream and the cause."""

    def __init__(self, upstream_id: str, cause: str) -> None:
        """
        Create the error.

        :param upstream_id: id of the upstream
        :param cause: what happened
        """
        super().__init__(f"upstream {upstream_id!r}: {cause}")
        self.upstream_id = upstream_id


class NotSent(UpstreamError):  # noqa: N818 -- states what is known, as callers report it
    """No byte of the request went out; the upstream did not run it."""


class Declined(UpstreamError):  # noqa: N818 -- as above
    """The upstream states that it did not run the request and will not."""


class NoAnswer(UpstreamError):  # noqa: N818 -- as above
    """The request may have arrived, and no usable answer started."""


class WrongAnswer(NoAnswer):
    """The answer carries the id or the attempt of another request and was dropped."""


class FailedAnswer(UpstreamError):  # noqa: N818 -- as above
    """The upstream ran the request and answered with an error of its own."""

    def __init__(self, upstream_id: str, head: Head, content: bytes) -> None:
        """
        Keep the answer, which is passed on unless another upstream does better.

        :param upstream_id: id of the upstream
        :param head: status and headers
        :param content: the whole body
        """
        super().__init__(upstream_id, f"status {head.status}")
        self.head = head
        self.content = content


class Broken(UpstreamError):  # noqa: N818 -- as above
    """The answer started and ended before it was complete."""

    def __init__(self, upstream_id: str, cause: str, events_count: int = 0, text: str = "") -> None:
        """
        Create the error.

        :param upstream_id: id of the upstream
        :param cause: what happened
        :param events_count: number of the last whole event of the stream, over all attempts
        :param text: text of all events so far
        """
        super().__init__(upstream_id, f"{cause} after {events_count} events")
        self.events_count = events_count
        self.text = text


__all__ = [
    "Broken",
    "Declined",
    "FailedAnswer",
    "NoAnswer",
    "NotSent",
    "UpstreamError",
    "WrongAnswer",
]
