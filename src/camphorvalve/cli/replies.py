"""Replies of operator ports, and what a command makes of them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from camphorvalve.cli.output import CommandError, ExitCode

if TYPE_CHECKING:
    from collections.abc import Sequence

_CODES = {"conflict": ExitCode.CONFLICT, "bad_body": ExitCode.USAGE, "too_large": ExitCode.USAGE}
_RESENT = frozenset({"no_quorum", "outcome_unknown", "leaving"})
_LOST_STATUSES = frozenset({500, 502, 504})


class Reply(NamedTuple):
    """Answer of one operator port, or why there is none."""

    url: str
    status: int
    """Zero without an answer."""
    body: Any
    sent: bool = True
    """Whether the request may have reached the port."""

    @property
    def code(self) -> str | None:
        """:return: the error code of the answer"""
        error = self.body.get("error") if isinstance(self.body, dict) else None
        return error.get("code") if isinstance(error, dict) else None

    @property
    def text(self) -> str:
        """:return: the error in words"""
        error = self.body.get("error") if isinstance(self.body, dict) else None
        if not isinstance(error, dict):
            return f"{self.url}: status {self.status}"
        return f"{self.url}: {error.get('code')}: {error.get('message')}"


def answered(replies: Sequence[Reply]) -> list[Reply]:
    """
    Keep the successful replies.

    :param replies: replies of several ports
    :return: at least one reply with status 200
    :raises CommandError: there is none
    """
    good = [reply for reply in replies if reply.status == 200]
    if good:
        return good
    silent = "; ".join(reply.text for reply in replies if reply.status == 0)
    refused = [reply for reply in replies if reply.status != 0]
    if not refused:
        raise CommandError(ExitCode.UNREACHABLE, silent)
    error = failure(refused[0])
    raise CommandError(error.code, f"{error}; {silent}" if silent else str(error))


def no_answer(error: Exception) -> dict[str, Any]:
    """
    Word the body of a reply that never came.

    :param error: what the HTTP client raised
    :return: body with an ``error``
    """
    message = f"{type(error).__name__} {error}".strip()
    return {"error": {"code": "no_answer", "message": message}}


def in_doubt(reply: Reply) -> bool:
    """
    Tell whether a change may have been committed although no outcome is known.

    :param reply: reply to the change
    :return: whether the outcome is in doubt
    """
    lost = reply.status == 0 and reply.sent
    return lost or reply.status in _LOST_STATUSES or reply.code == "outcome_unknown"


def may_resend(reply: Reply) -> bool:
    """
    Tell whether another try may succeed; safe because it carries the same operation id.

    :param reply: reply to the change
    :return: whether to try again
    """
    lost = reply.status == 0 or reply.status in _LOST_STATUSES
    return lost or reply.code in _RESENT or reply.code == "not_leader"


def leader_url(reply: Reply) -> str | None:
    """
    Read where a follower sends its clients.

    :param reply: reply to the change
    :return: operator URL of the leader, if the reply names one
    """
    return reply.body.get("leader_url") if reply.code == "not_leader" else None


def failure(reply: Reply) -> CommandError:
    """
    Word a refusal.

    :param reply: reply that refuses
    :return: the error to raise
    """
    text = reply.text
    if reply.code == "conflict":
        text = f"{text} (current revision {reply.body.get('revision')})"
    return CommandError(_CODES.get(reply.code or "", ExitCode.FAILED), text)


def given_up(reply: Reply, operation_id: str, sent: bool) -> CommandError:
    """
    Word the end of all tries.

    :param reply: last reply
    :param operation_id: id to resend under
    :param sent: whether some try may have been committed
    :return: the error to raise
    """
    code = ExitCode.UNREACHABLE if reply.status == 0 else ExitCode.FAILED
    if not sent:
        return CommandError(code, f"nothing was changed: {reply.text}")
    hint = f"run the same command with --operation-id {operation_id} to learn the outcome"
    return CommandError(code, f"outcome unknown, {hint}: {reply.text}")


__all__ = [
    "Reply",
    "answered",
    "failure",
    "given_up",
    "in_doubt",
    "leader_url",
    "may_resend",
    "no_answer",
]
