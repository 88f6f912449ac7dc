"""What this router has seen of each upstream: failures, ended connections, its own notices."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING, NamedTuple

import structlog

from camphorvalve.model.hosts import HostState
from camphorvalve.sharing.ejection import Ejections
from camphorvalve.sharing.notices import Notices, has_restarted

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from camphorvalve.controllers.router.upstreamlist import UpstreamList
    from camphorvalve.model.upstreams import Upstream
    from camphorvalve.sharing.notices import Notice

LIST_LAG_S = 1.0
"""Time by which the list lags when it is read."""

_log = structlog.get_logger(__name__)


class ConfirmedStart(NamedTuple):
    """What an upstream has said of its start."""

    started_ms: int | None
    """Unix time in milliseconds."""
    asked_s: float
    """When it was asked, in monotonic time."""


class UpstreamRecords:
    """Owns what is recorded of the failures, ends and notices of listed upstreams."""

    def __init__(self, listed: UpstreamList) -> None:
        """
        Start without records.

        :param listed: the list of upstreams
        """
        self._listed = listed
        self._ejections = Ejections()
        self._notices = Notices()
        self._ended_s: dict[str, float] = {}
        """When each upstream has refused or ended a connection last."""
        self._confirmed: dict[str, ConfirmedStart] = {}
        """What each upstream has said last of its start, if it is the listed one."""

    def apply(self, previous: Mapping[str, Upstream], now_s: float) -> None:
        """
        Forget what no longer holds as the list was replaced.

        :param previous: the list used before, by id
        :param now_s: when the list was read, in monotonic time
        """
        current = self._listed.upstreams
        self._notices.apply_list(previous, current, now_s)
        self._ejections.keep_only(
            {
                upstream_id
                for upstream_id in current
                if not has_restarted(upstream_id, previous, current)
            }
        )
        self._ended_s = {
            upstream_id: ended_s
            for upstream_id, ended_s in self._ended_s.items()
            if upstream_id in current
        }
        self._confirmed = {
            upstream_id: confirmed
            for upstream_id, confirmed in self._confirmed.items()
            if upstream_id in current
        }

    def accepting(self, upstream_ids: Sequence[str], now_s: float) -> Sequence[str]:
        """
        Leave out the upstreams that want no requests by their own notices.

        :param upstream_ids: upstreams of one pool
        :param now_s: monotonic time
        :return: the others
        """
        return self._notices.usable(upstream_ids, now_s)

    def sound(self, upstream_ids: Sequence[str], now_s: float, *, may_probe: bool) -> Sequence[str]:
        """
        Leave out the upstreams that fail.

        :param upstream_ids: upstreams of one pool
        :param now_s: monotonic time
        :param may_probe: whether one that failed may be tried again
        :return: the others
        """
        return self._ejections.usable(upstream_ids, now_s, may_probe=may_probe)

    def hold_off_left_s(self, upstream_ids: Sequence[str], now_s: float) -> float | None:
        """
        Return when one of these upstreams may be used again after the pause it asked for.

        :param upstream_ids: upstreams of one pool
        :param now_s: monotonic time
        :return: time left in seconds, ``None`` if none asked for a pause
        """
        return self._notices.hold_off_left_s(upstream_ids, now_s)

    def is_unreachable(self, upstream_id: str) -> bool:
        """
        Tell whether no connection to an upstream could be established.

        :param upstream_id: the upstream
        :return: whether none could since its last ejection or success
        """
        return self._ejections.is_unreachable(upstream_id)

    def record_success(self, upstream_id: str) -> None:
        """
        Record a successful request.

        :param upstream_id: the upstream
        """
        self._ejections.record_success(upstream_id)

    def record_failure(self, upstream_id: str, now_s: float, *, unreachable: bool) -> None:
        """
        Record a failed request.

        :param upstream_id: the upstream
        :param now_s: monotonic time
        :param unreachable: whether no connection could be established
        """
        if self._ejections.record_failure(upstream_id, now_s, unreachable=unreachable):
            _log.warning("upstream left out", upstream_id=upstream_id, unreachable=unreachable)

    def record_end(self, upstream_id: str, now_s: float) -> None:
        """
        Record that an upstream has refused or ended a connection, as one does that starts again.

        :param upstream_id: the upstream
        :param now_s: monotonic time
        """
        self._ended_s[upstream_id] = now_s

    def record_idle_end(self, url: str, now_s: float) -> None:
        """
        Record that the upstream at an address has ended an idle connection.

        :param url: scheme, host and port
        :param now_s: monotonic time
        """
        for upstream in self._listed.upstreams.values():
            if upstream.url == url:
                self.record_end(upstream.upstream_id, now_s)

    def record_same_start(self, upstream: Upstream, asked_s: float) -> None:
        """
        Record that an upstream has not started again since it was listed.

        :param upstream: the upstream as it was listed
        :param asked_s: when it was asked, in monotonic time
        """
        upstream_id = upstream.upstream_id
        self._confirmed[upstream_id] = ConfirmedStart(upstream.started_ms, asked_s)
        if self._ended_s.get(upstream_id, asked_s) < asked_s:
            del self._ended_s[upstream_id]

    def is_start_confirmed(self, upstream: Upstream, since_s: float) -> bool:
        """
        Tell whether an upstream is known to have had its listed start at some time or later.

        :param upstream: the upstream as it was listed
        :param since_s: monotonic time
        :return: whether it has said so, or is still listed so in spite of the lag of the list
        """
        upstream_id, started_ms = upstream.upstream_id, upstream.started_ms
        listed = self._listed.upstreams.get(upstream_id)
        is_listed = listed is not None and listed.started_ms == started_ms
        if is_listed and since_s <= self._listed.read_s - LIST_LAG_S:
            return True
        said = self._confirmed.get(upstream_id)
        return said is not None and said.started_ms == started_ms and since_s <= said.asked_s

    def may_have_restarted(self, upstream_id: str) -> bool:
        """
        Tell whether an upstream may have started again since it was listed.

        :param upstream_id: the upstream
        :return: whether it ended a connection, and the list may not show what followed
        """
        ended_s = self._ended_s.get(upstream_id, float("-inf"))
        is_unreachable = self._ejections.is_unreachable(upstream_id)
        return is_unreachable or ended_s > self._listed.read_s - LIST_LAG_S

    def record_notice(self, upstream_id: str, notice: Notice, now_s: float) -> None:
        """
        Record what an upstream said of itself in an answer.

        :param upstream_id: the upstream
        :param notice: the notice
        :param now_s: monotonic time
        """
        upstream = self._listed.upstreams.get(upstream_id)
        if upstream is not None and self._notices.record(upstream, notice, now_s):
            _log.info(
                "upstream not used by its own notice",
                upstream_id=upstream_id,
                notice=type(notice).__name__,
                list_age_s=round(now_s - self._listed.read_s, 3),
                **asdict(notice),
            )

    def is_held_off(self, upstream_id: str, now_s: float) -> bool:
        """
        Tell whether an upstream wants no requests from this router now.

        :param upstream_id: the upstream
        :param now_s: monotonic time
        :return: whether it has said so and the time has not ended
        """
        return self._notices.is_held_off(upstream_id, now_s)

    def noticed_leaving_ids(self) -> list[str]:
        """:return: upstreams that said that they are leaving, and that the list has as live"""
        return [
            upstream.upstream_id
            for upstream in self._listed.upstreams.values()
            if upstream.state is HostState.LIVE and self._notices.is_leaving(upstream.upstream_id)
        ]


__all__ = ["LIST_LAG_S", "UpstreamRecords"]
