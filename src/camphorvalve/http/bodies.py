"""Reads request bodies, with limits on each body and on the total size of all bodies in memory."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import anyio

from camphorvalve.model.errors import RequestError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from camphorvalve.http.asgi import Receive


class CallerLimits(NamedTuple):
    """Limits on the request bodies of a caller port."""

    body_bytes: int = 4 << 20
    """Maximum size of one body for any team; the filter chain checks the limit of each team."""
    held_bytes: int = 24 << 20
    """Maximum total size of all bodies in memory, each counted from its first byte to the end of
    the response."""
    body_timeout_s: float = 30.0
    """Maximum time to receive a body."""


class BodyBudget:
    """Limits the total size of the request bodies that a caller port keeps in memory."""

    def __init__(self, limits: CallerLimits) -> None:
        """
        Create a budget with nothing reserved.

        :param limits: limits on bodies
        """
        self.limits = limits
        self._held_bytes = 0

    def reserve(self, size_bytes: int) -> None:
        """
        Reserve memory for a part of a body.

        :param size_bytes: bytes to reserve; a negative number releases them
        :raises RequestError: ``queue_full`` if the total would exceed ``held_bytes``
        """
        if size_bytes > 0 and self._held_bytes + size_bytes > self.limits.held_bytes:
            raise RequestError(
                "queue_full",
                f"the request bodies in memory take {self._held_bytes} bytes, "
                f"the limit is {self.limits.held_bytes}",
                retry_after_s=1.0,
            )
        self._held_bytes += size_bytes


class RequestBody:
    """Reads the body of one request and keeps its memory reserved until ``release``."""

    def __init__(self, budget: BodyBudget, headers: Mapping[str, str]) -> None:
        """
        Create a reader.

        :param budget: reserves the memory of the body
        :param headers: request headers by lower-case name
        """
        self._budget = budget
        self._content_length = headers.get("content-length", "")
        self._reserved_bytes = 0

    async def read(self, receive: Receive) -> bytes | None:
        """
        Read the complete body.

        :param receive: ASGI receive function
        :return: the body, or ``None`` if the caller disconnected
        :raises RequestError: ``too_large``, ``queue_full``, or ``bad_body`` on a timeout
        """
        if self._content_length.isdigit():
            self._check_size(int(self._content_length))
        timeout_s = self._budget.limits.body_timeout_s
        try:
            with anyio.fail_after(timeout_s):
                return await self._read_chunks(receive)
        except TimeoutError:
            message = f"the body did not arrive within {timeout_s:g} s"
            raise RequestError("bad_body", message) from None

    async def _read_chunks(self, receive: Receive) -> bytes | None:
        chunks: list[bytes] = []
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return None
            chunk = message.get("body", b"")
            self._check_size(self._reserved_bytes + len(chunk))
            self._budget.reserve(len(chunk))
            self._reserved_bytes += len(chunk)
            chunks.append(chunk)
            if not message.get("more_body", False):
                return b"".join(chunks)

    def _check_size(self, size_bytes: int) -> None:
        limit_bytes = self._budget.limits.body_bytes
        if size_bytes > limit_bytes:
            raise RequestError("too_large", f"the body is larger than {limit_bytes} bytes")

    def release(self) -> None:
        """Release the reserved memory."""
        self._budget.reserve(-self._reserved_bytes)
        self._reserved_bytes = 0


__all__ = ["BodyBudget", "CallerLimits", "RequestBody"]
