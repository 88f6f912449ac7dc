"""Reads request bodies within bounds on each body and on all bodies together."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import anyio

from camphorvalve.model.errors import RequestError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from camphorvalve.http.asgi import Receive


class CallerLimits(NamedTuple):
    """Bounds of the caller port."""

    body_bytes: int = 4 << 20
    """Largest body of any team; the teams' own limits are checked in the chain."""
    held_bytes: int = 24 << 20
    """Bodies of all requests from their first byte to the end of the answer."""
    body_timeout_s: float = 30.0
    """Longest time for a body to arrive."""


class BodyStore:
    """Counts the bytes of all bodies that a caller port holds."""

    def __init__(self, limits: CallerLimits) -> None:
        """
        Start empty.

        :param limits: bounds
        """
        self.limits = limits
        self._held_bytes = 0

    def hold(self, size_bytes: int) -> None:
        """
        Count bytes of a body.

        :param size_bytes: bytes to add, negative to release
        :raises RequestError: ``queue_full`` at the bound for all bodies
        """
        if size_bytes > 0 and self._held_bytes + size_bytes > self.limits.held_bytes:
            raise RequestError(
                "queue_full",
                f"the router holds request bodies of {self._held_bytes} bytes, "
                f"its limit is {self.limits.held_bytes}",
                retry_after_s=1.0,
            )
        self._held_bytes += size_bytes


class RequestBody:
    """Reads one body."""

    def __init__(self, store: BodyStore, headers: Mapping[str, str]) -> None:
        """
        Prepare to read.

        :param store: counts the bytes until ``release``
        :param headers: headers of the request, names in lower case
        """
        self._store = store
        self._declared = headers.get("content-length", "")
        self._held_bytes = 0

    async def read(self, receive: Receive) -> bytes | None:
        """
        Read the body.

        :param receive: the ASGI receive function
        :return: the body, ``None`` when the caller left
        :raises RequestError: ``too_large``, ``queue_full``, or ``bad_body`` when it takes too long
        """
        if self._declared.isdigit():
            self._check(int(self._declared))
        timeout_s = self._store.limits.body_timeout_s
        try:
            with anyio.fail_after(timeout_s):
                return await self._read(receive)
        except TimeoutError:
            message = f"the body did not arrive within {timeout_s:g} s"
            raise RequestError("bad_body", message) from None

    async def _read(self, receive: Receive) -> bytes | None:
        chunks: list[bytes] = []
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return None
            chunk = message.get("body", b"")
            self._check(self._held_bytes + len(chunk))
            self._store.hold(len(chunk))
            self._held_bytes += len(chunk)
            chunks.append(chunk)
            if not message.get("more_body", False):
                return b"".join(chunks)

    def _check(self, size_bytes: int) -> None:
        limit_bytes = self._store.limits.body_bytes
        if size_bytes > limit_bytes:
            raise RequestError("too_large", f"the body is larger than {limit_bytes} bytes")

    def release(self) -> None:
        """Give the held bytes back."""
        self._store.hold(-self._held_bytes)
        self._held_bytes = 0


__all__ = ["BodyStore", "CallerLimits", "RequestBody"]
