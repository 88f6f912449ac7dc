"""Reads request bodies, with limits on each body and on the total size of all bodies in memory."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, NamedTuple

import anyio
import structlog

from camphorvalve.model.errors import RequestError
from camphorvalve.sharing.memory import Denied, Granted, GrantedInstead, Holder, MemoryAccount

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from camphorvalve.http.asgi import Receive

RETRY_AFTER_S = 1.0
"""Time after which a request may come back that found no room for its body."""
LOG_INTERVAL_S = 1.0
"""Shortest interval between log lines about a lack of room."""

_log = structlog.get_logger(__name__)


class CallerLimits(NamedTuple):
    """Limits on the request bodies of a port."""

    body_bytes: int = 4 << 20
    """Maximum size of one body for any team; the filter chain checks the limit of each team."""
    held_bytes: int = 24 << 20
    """Maximum total size of all bodies in memory, each counted from its head to the end of the
    response, for a port without an account that it shares with others."""
    body_timeout_s: float = 30.0
    """Maximum time to receive a body."""
    full_code: str = "queue_full"
    """Code of the error of a request that finds no room for its body."""


class BodyBudget:
    """Limits the total size of the request bodies that a process keeps in memory."""

    def __init__(
        self,
        limits: CallerLimits,
        account: MemoryAccount | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """
        Create a budget.

        :param limits: limits on bodies
        :param account: account of the process; without one, the port has an account of its own
        :param clock: returns the monotonic time
        """
        self.limits = limits
        self.clock = clock
        self._account = MemoryAccount(limits.held_bytes) if account is None else account
        self._logged_s = -LOG_INTERVAL_S

    def reserve(self, holder: Holder, size_bytes: int) -> None:
        """
        Reserve memory for a part of a body.

        :param holder: what the request holds
        :param size_bytes: bytes to reserve
        :raises RequestError: ``full_code`` if there is no room
        """
        match self._account.reserve(holder, size_bytes, self.clock()):
            case Granted():
                return
            case GrantedInstead(given_up):
                self._log_lack("bodies given up for others", given_up_count=len(given_up))
                for other in given_up:
                    other.give_way()
            case Denied(held_bytes, limit_bytes):
                self._log_lack(
                    "no room for a body",
                    size_bytes=size_bytes,
                    held_bytes=held_bytes,
                    denied_count=self._account.denied_count,
                )
                raise self.lack_error(
                    f"the request bodies in memory take {held_bytes} bytes, "
                    f"the limit is {limit_bytes}"
                )

    def release(self, holder: Holder) -> None:
        """
        Release what a request holds.

        :param holder: what the request holds
        """
        self._account.release(holder)

    def lack_error(self, message: str) -> RequestError:
        """
        Build the error of a request that has no room.

        :param message: text for the caller
        :return: the error
        """
        return RequestError(self.limits.full_code, message, retry_after_s=RETRY_AFTER_S)

    def _log_lack(self, event: str, **fields: int) -> None:
        now_s = self.clock()
        if now_s - self._logged_s >= LOG_INTERVAL_S:
            self._logged_s = now_s
            _log.warning(event, **fields)


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
        self._scope = anyio.CancelScope()
        self._holder = Holder(budget.clock(), self._scope.cancel)

    @property
    def is_complete(self) -> bool:
        """:return: whether the whole body has been received"""
        return self._holder.is_complete

    async def read(self, receive: Receive) -> bytes | None:
        """
        Read the complete body.

        A body of a known length gets its memory before any of it is read, so that a refusal comes
        early.

        :param receive: ASGI receive function
        :return: the body, or ``None`` if the caller disconnected
        :raises RequestError: ``too_large``, ``bad_body`` on a timeout, or the code of the limits
            if there is no room
        """
        if self._content_length.isdigit():
            size_bytes = int(self._content_length)
            self._check_size(size_bytes)
            self._budget.reserve(self._holder, size_bytes)
        timeout_s = self._budget.limits.body_timeout_s
        content: bytes | None = None
        try:
            with anyio.fail_after(timeout_s), self._scope:
                content = await self._read_chunks(receive)
        except TimeoutError:
            message = f"the body did not arrive within {timeout_s:g} s"
            raise RequestError("bad_body", message) from None
        if self._holder.is_given_up:
            raise self._budget.lack_error("the body stood still while others needed its memory")
        return content

    async def _read_chunks(self, receive: Receive) -> bytes | None:
        # One buffer: a list would take 50 bytes for each piece, which may have a single byte.
        content = bytearray()
        holder = self._holder
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return None
            chunk = message.get("body", b"")
            size_bytes = len(content) + len(chunk)
            self._check_size(size_bytes)
            if size_bytes > holder.held_bytes:
                self._budget.reserve(holder, size_bytes - holder.held_bytes)
            holder.record_progress(len(chunk), self._budget.clock())
            content += chunk
            if not message.get("more_body", False):
                holder.is_complete = True
                return bytes(content)

    def _check_size(self, size_bytes: int) -> None:
        limit_bytes = self._budget.limits.body_bytes
        if size_bytes > limit_bytes:
            raise RequestError("too_large", f"the body is larger than {limit_bytes} bytes")

    def release(self) -> None:
        """Release the reserved memory."""
        self._budget.release(self._holder)


__all__ = ["BodyBudget", "CallerLimits", "RequestBody"]
