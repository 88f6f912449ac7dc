"""Errors returned to callers: stable codes, and whether an upstream ran the request."""

from __future__ import annotations

import enum
from typing import NamedTuple, TypedDict


class Run(enum.StrEnum):
    """Whether an upstream ran the request."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorDetail(TypedDict):
    """The object under ``error`` in the body of every error response."""

    code: str
    message: str
    run: str
    retry_after_s: float | None
    request_id: str | None


class ErrorBody(TypedDict):
    """The JSON body of every error response."""

    error: ErrorDetail


class _Code(NamedTuple):
    """HTTP status of an error code, and whether an upstream ran the request."""

    status: int
    run: Run


CODES: dict[str, _Code] = {
    "bad_body": _Code(400, Run.NO),
    "unknown_kind": _Code(400, Run.NO),
    "unknown_pool": _Code(400, Run.NO),
    "unauthorised": _Code(401, Run.NO),
    "unknown_team": _Code(403, Run.NO),
    "not_allowed": _Code(403, Run.NO),
    "not_found": _Code(404, Run.NO),
    "conflict": _Code(409, Run.NO),
    "not_leader": _Code(409, Run.NO),
    "outcome_unknown": _Code(409, Run.UNKNOWN),
    "too_large": _Code(413, Run.NO),
    "queue_full": _Code(429, Run.NO),
    "wait_too_long": _Code(429, Run.NO),
    "over_share": _Code(429, Run.NO),
    "internal_error": _Code(500, Run.UNKNOWN),
    "upstream_failed": _Code(502, Run.UNKNOWN),
    "stream_broken": _Code(502, Run.UNKNOWN),
    "no_upstream": _Code(503, Run.NO),
    "overloaded": _Code(503, Run.NO),
    "quarantined": _Code(503, Run.NO),
    "not_resumed": _Code(503, Run.NO),
    "timed_out": _Code(504, Run.UNKNOWN),
    "no_quorum": _Code(503, Run.NO),
    "leaving": _Code(503, Run.NO),
}


class RequestError(Exception):
    """An error that ends a request with one of the documented codes."""

    def __init__(self, code: str, message: str, *, retry_after_s: float | None = None) -> None:
        """
        Create an error for the caller.

        :param code: a key of ``CODES``
        :param message: text for the caller; names the field or limit that caused the error
        :param retry_after_s: delay after which the caller may retry
        """
        super().__init__(message)
        self.code = code
        self.message = message
        self.retry_after_s = retry_after_s

    @property
    def status(self) -> int:
        """:return: the HTTP status"""
        return CODES[self.code].status

    @property
    def run(self) -> Run:
        """:return: whether an upstream ran the request"""
        return CODES[self.code].run

    def body(self, request_id: str | None) -> ErrorBody:
        """
        Build the JSON body.

        :param request_id: id of the request, if one was assigned
        :return: the body
        """
        return {
            "error": {
                "code": self.code,
                "message": self.message,
                "run": self.run.value,
                "retry_after_s": self.retry_after_s,
                "request_id": request_id,
            }
        }


__all__ = ["CODES", "ErrorBody", "ErrorDetail", "RequestError", "Run"]
