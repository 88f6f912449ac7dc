"""Replies of operator ports, and the decisions and errors that follow from them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from camphorvalve.cli.output import CommandError, ExitCode

if TYPE_CHECKING:
    from collections.abc import Sequence

_EXIT_CODES = {
    "conflict": ExitCode.CONFLICT,
    "bad_body": ExitCode.USAGE,
    "too_large": ExitCode.USAGE,
}
_RETRYABLE_CODES = frozenset({"no_quorum", "outcome_unknown", "leaving"})
_UNKNOWN_OUTCOME_STATUSES = frozenset({500, 502, 504})


class Reply(NamedTuple):
    """Response of one operator port, or the error that prevented one."""

    url: str
    status: int
    """HTTP status; 0 without a response."""
    body: Any
    sent: bool = True
    """Whether the request may have reached the port."""

    @property
    def code(self) -> str | None:
        """:return: the error code of the response"""
        error = self.body.get("error") if isinstance(self.body, dict) else None
        return error.get("code") if isinstance(error, dict) else None

    @property
    def text(self) -> str:
        """:return: the error, as text for operators"""
        error = self.body.get("error") if isinstance(self.body, dict) else None
        if not isinstance(error, dict):
            return f"{self.url}: status {self.status}"
        return f"{self.url}: {error.get('code')}: {error.get('message')}"


def successful_replies(replies: Sequence[Reply]) -> list[Reply]:
    """
    Select the successful replies.

    :param replies: replies of several ports
    :return: the replies with status 200, at least one
    :raises CommandError: no reply was successful
    """
    successful = [reply for reply in replies if reply.status == 200]
    if successful:
        return successful
    unreachable = "; ".join(reply.text for reply in replies if reply.status == 0)
    rejections = [reply for reply in replies if reply.status != 0]
    if not rejections:
        raise CommandError(ExitCode.UNREACHABLE, unreachable)
    error = rejection_error(rejections[0])
    raise CommandError(error.code, f"{error}; {unreachable}" if unreachable else str(error))


def error_body(error: Exception) -> dict[str, Any]:
    """
    Build the body that stands for a missing response.

    :param error: exception of the HTTP client
    :return: body with an ``error``
    """
    message = f"{type(error).__name__} {error}".strip()
    return {"error": {"code": "no_answer", "message": message}}


def is_outcome_unknown(reply: Reply) -> bool:
    """
    Tell whether a change may have been committed although its outcome is unknown.

    :param reply: reply to the change
    :return: whether it may have been committed
    """
    no_response = reply.status == 0 and reply.sent
    return (
        no_response or reply.status in _UNKNOWN_OUTCOME_STATUSES or reply.code == "outcome_unknown"
    )


def is_retryable(reply: Reply) -> bool:
    """
    Tell whether a retry may succeed; retries are safe, as they carry the same operation id.

    :param reply: reply to the change
    :return: whether to retry
    """
    no_response = reply.status == 0 or reply.status in _UNKNOWN_OUTCOME_STATUSES
    return no_response or reply.code in _RETRYABLE_CODES or reply.code == "not_leader"


def leader_url(reply: Reply) -> str | None:
    """
    Read the leader that a follower redirects to.

    :param reply: reply to the change
    :return: operator URL of the leader, if the reply names one
    """
    return reply.body.get("leader_url") if reply.code == "not_leader" else None


def rejection_error(reply: Reply) -> CommandError:
    """
    Build the error for a rejected request.

    :param reply: reply that rejects it
    :return: the error to raise
    """
    text = reply.text
    if reply.code == "conflict":
        text = f"{text} (current revision {reply.body.get('revision')})"
    return CommandError(_EXIT_CODES.get(reply.code or "", ExitCode.FAILED), text)


def retries_exhausted(reply: Reply, operation_id: str, may_be_committed: bool) -> CommandError:
    """
    Build the error for a request whose retries are exhausted.

    :param reply: last reply
    :param operation_id: id under which to repeat the request
    :param may_be_committed: whether some attempt may have been committed
    :return: the error to raise
    """
    code = ExitCode.UNREACHABLE if reply.status == 0 else ExitCode.FAILED
    if not may_be_committed:
        return CommandError(code, f"nothing was changed: {reply.text}")
    hint = f"run the same command with --operation-id {operation_id} to learn the outcome"
    return CommandError(code, f"outcome unknown, {hint}: {reply.text}")


__all__ = [
    "Reply",
    "error_body",
    "is_outcome_unknown",
    "is_retryable",
    "leader_url",
    "rejection_error",
    "retries_exhausted",
    "successful_replies",
]
