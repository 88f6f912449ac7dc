"""Tells callers who come back from those who ask first, by how long they still wait."""

from __future__ import annotations

from dataclasses import dataclass

USUAL_RATIO = 0.85
"""Part of the longest patience with a kind of requests that first tries have at least; callers give
theirs with a spread of 15% on the deployments of docs/platform.md."""
SPAN_S = 10.0
"""How long the longest patience counts; it then has been replaced by a newer one."""


@dataclass(slots=True)
class _Longest:
    since_s: float
    newest_s: float = 0.0
    before_s: float = 0.0


class Patience:
    """Longest time that callers were ready to wait lately, by kind of requests."""

    def __init__(self) -> None:
        """Start without having seen a caller."""
        self._longest: dict[str, _Longest] = {}

    def came_back(self, kind: str, patience_s: float | None, now_s: float) -> bool:
        """
        Note a caller, and tell whether it has waited before.

        :param kind: kind of the request
        :param patience_s: how long the caller still waits, ``None`` if it did not say
        :param now_s: monotonic time
        :return: whether the answer would come late, counted from the caller's first try
        """
        if patience_s is None:
            return False
        longest = self._longest.get(kind)
        if longest is None:
            longest = self._longest[kind] = _Longest(now_s)
        if now_s - longest.since_s > SPAN_S:
            longest.since_s = now_s
            longest.before_s, longest.newest_s = longest.newest_s, 0.0
        longest.newest_s = max(longest.newest_s, patience_s)
        return patience_s < USUAL_RATIO * max(longest.newest_s, longest.before_s)


__all__ = ["Patience"]
