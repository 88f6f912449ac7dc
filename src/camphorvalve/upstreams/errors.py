"""Errors of one attempt, by what is known of whether the upstream ran the request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from camphorvalve.model.answers import Head


class UpstreamError(Exception):
    """An attempt failed; the message names the upstream and the cause."""

    def __init__(self, upstream_id: str, cause: str) -> None:
        """
        Create the error.

        :param upstream_id: id of the upstream
        :param cause: what happened
        """
        super().__init__(f"upstream {upstream_id!r}: {cause}")
        self.upstream_id = upstream_id


class NotSent(UpstreamError):  # noqa: N818 -- named after what is known of the request
    """No byte of the request was sent; the upstream did not run it."""


class NotReached(NotSent):
    """No connection was established in time."""


class Declined(UpstreamError):  # noqa: N818 -- see NotSent
    """The upstream reports that it did not and will not run the request."""


class Misdirected(Declined):
    """Another upstream listens on the address now, and did not run the request."""


class NoAnswer(UpstreamError):  # noqa: N818 -- see NotSent
    """The request may have arrived, but no usable response started."""

    def __init__(self, upstream_id: str, cause: str, *, connection_ended: bool = False) -> None:
        """
        Create the error.

        :param upstream_id: id of the upstream
        :param cause: what happened
        :param connection_ended: whether the upstream's side closed or reset the connection
        """
        super().__init__(upstream_id, cause)
        self.connection_ended = connection_ended


class WrongAnswer(NoAnswer):
    """The response does not belong to this request and attempt, and was discarded."""


class FailedAnswer(UpstreamError):  # noqa: N818 -- see NotSent
    """The upstream ran the request and responded with an error."""

    def __init__(self, upstream_id: str, head: Head, content: bytes) -> None:
        """
        Keep the response, which the caller gets unless another upstream succeeds.

        :param upstream_id: id of the upstream
        :param head: status and headers
        :param content: the complete body
        """
        super().__init__(upstream_id, f"status {head.status}")
        self.head = head
        self.content = content


class Broken(UpstreamError):  # noqa: N818 -- see NotSent
    """The response started but ended before it was complete."""

    def __init__(
        self,
        upstream_id: str,
        cause: str,
        events_count: int = 0,
        text: str = "",
        *,
        connection_ended: bool = False,
    ) -> None:
        """
        Create the error.

        :param upstream_id: id of the upstream
        :param cause: what happened
        :param events_count: number of the last complete event of the stream, over all attempts
        :param text: text of all events received so far
        :param connection_ended: whether the upstream's side closed or reset the connection
        """
        super().__init__(upstream_id, f"{cause} after {events_count} events")
        self.events_count = events_count
        self.text = text
        self.connection_ended = connection_ended


def ended_connection(error: UpstreamError) -> bool:
    """
    Tell whether an attempt failed because the upstream's side closed or reset the connection.

    :param error: how the attempt failed
    :return: false as well for timeouts, refused connections and unusable responses
    """
    match error:
        case NoAnswer(connection_ended=ended) | Broken(connection_ended=ended):
            return ended
        case _:
            return False


__all__ = [
    "Broken",
    "Declined",
    "FailedAnswer",
    "Misdirected",
    "NoAnswer",
    "NotReached",
    "NotSent",
    "UpstreamError",
    "WrongAnswer",
    "ended_connection",
]
