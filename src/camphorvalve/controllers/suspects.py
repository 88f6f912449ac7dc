"""Exchange of the parts of prompts that may crash upstreams: two controllers merge what is seen."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import structlog

from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.sharing.placement import ranked
from camphorvalve.sharing.suspects import (
    SUSPECTED_COUNT,
    Condemned,
    End,
    Ended,
    Sound,
    Suspected,
    SuspectParts,
)
from camphorvalve.wire.messages import (
    EndedUpstream,
    SuspectEnd,
    SuspectPart,
    SuspectPoll,
    SuspectRecall,
    SuspectReport,
    SuspectUpdate,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Sequence

    from camphorvalve.controllers.runtime import Sender
    from camphorvalve.sharing.suspects import Ends, Verdict

SUSPECTS_KEY = "suspected parts"
"""Key by which rendezvous hashing selects the controllers that merge the ends."""
MERGING_COUNT = 2
"""Controllers that do so, so that the restart of one leaves no gap."""
POLL_S = 1.0
INITIAL_POLL_S = 0.2
"""Poll interval until the first answer: answers are dropped until the controller has connected
back."""
POLL_LIFETIME_S = 5.0
"""How long a controller sends changes to a router after its last poll: five poll intervals."""

_log = structlog.get_logger(__name__)


class SuspectsFollower:
    """Owns the suspected parts that a router knows, and reports what its requests show of them."""

    name = "suspects"
    accepts = (SuspectUpdate, SuspectRecall)

    def __init__(self, controller_ids: Callable[[], Iterable[str]]) -> None:
        """
        Start without ends.

        :param controller_ids: returns the controllers that answered recently
        """
        self._controller_ids = controller_ids
        self._parts = SuspectParts()
        self._levels = _LevelLog(self._parts)
        self._was_answered = False

    @property
    def tick_s(self) -> float:
        """:return: time until the next poll"""
        return POLL_S if self._was_answered else INITIAL_POLL_S

    def judge(self, part_ids: Sequence[str]) -> Verdict:
        """
        Judge the parts of a prompt.

        :param part_ids: its shared parts
        :return: the gravest verdict
        """
        return self._parts.judge(part_ids)

    def condemned_count(self) -> int:
        """:return: number of condemned parts"""
        return self._parts.condemned_count()

    def record_end(
        self, part_ids: Iterable[str], upstream: str, now_s: float
    ) -> Iterator[Outgoing]:
        """
        Record and report that an upstream ended during a request.

        :param part_ids: shared parts of the request, none if its answer was under way
        :param upstream: identifies the start of the upstream
        :param now_s: monotonic time
        :return: reports to the controllers
        """
        is_new = self._parts.merge_ended(upstream, Ended(now_s, survived=False), now_s)
        changed_ids = self._parts.record_end(part_ids, upstream, now_s)
        yield from self._report(changed_ids, now_s, (upstream,) if is_new else ())

    def record_answer(
        self, part_ids: Iterable[str], upstream: str, begun_s: float, now_s: float
    ) -> Iterator[Outgoing]:
        """
        Record an answer whose beginning the upstream has outlived; report it if that matters.

        :param part_ids: shared parts of the request
        :param upstream: identifies the start of the upstream
        :param begun_s: monotonic time at which the answer began
        :param now_s: monotonic time
        :return: reports to the controllers
        """
        has_survived = self._parts.record_survival(upstream, begun_s)
        changed_ids = self._parts.record_answer(part_ids, begun_s)
        yield from self._report(changed_ids, now_s, (upstream,) if has_survived else ())

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Merge suspected parts, or report all ends to a controller that lacks them.

        :param sender: the controller
        :param message: ``SuspectUpdate`` or ``SuspectRecall``
        :param now_s: monotonic time
        :return: reports of ends that are cleared here
        """
        match message:
            case SuspectUpdate(parts, ended):
                self._was_answered = True
                _merge_ended(self._parts, ended, now_s)
                _merge(self._parts, parts, now_s)
                self._levels.write(part.part_id for part in parts)
                corrected_ids = _cleared_more(self._parts, parts)
                if corrected_ids:
                    report = SuspectReport(_encode(self._parts, corrected_ids, now_s), ())
                    yield Outgoing(sender.host_id, report)
            case SuspectRecall():
                unsuspected = self._parts.unsuspected()
                held_ids = [*self._parts.suspected().part_ids, *unsuspected.part_ids]
                encoded = _encode(self._parts, held_ids, now_s)
                ended = _encode_ended(self._parts.newest_ended(), now_s)
                report = SuspectReport(encoded, ended, unsuspected.version)
                yield Outgoing(sender.host_id, report)

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Forget old ends, and poll the merging controllers.

        :param now_s: monotonic time
        :return: polls
        """
        self._levels.write(self._parts.expire(now_s))
        poll = SuspectPoll(
            self._parts.suspected().version,
            self._parts.unsuspected().version,
            not self._was_answered,
        )
        for controller_id in self._merging_ids():
            yield Outgoing(controller_id, poll)

    def _report(
        self, part_ids: list[str], now_s: float, ended_ids: tuple[str, ...] = ()
    ) -> Iterator[Outgoing]:
        if not part_ids and not ended_ids:
            return
        self._levels.write(part_ids)
        ended = _encode_ended(self._parts.ended(ended_ids), now_s)
        report = SuspectReport(_encode(self._parts, part_ids, now_s), ended)
        for controller_id in self._merging_ids():
            yield Outgoing(controller_id, report)

    def _merging_ids(self) -> list[str]:
        return ranked(SUSPECTS_KEY, self._controller_ids())[:MERGING_COUNT]


class SuspectsPublisher:
    """Owns the merged ends of a controller, and tells its routers which parts are suspected."""

    name = "suspects"
    tick_s = 1.0
    accepts = (SuspectPoll, SuspectReport)

    def __init__(self) -> None:
        """Start without ends and routers."""
        self._parts = SuspectParts()
        self._levels = _LevelLog(self._parts)
        self._polled_s: dict[str, float] = {}
        self._reported_versions: dict[str, int] = {}
        """Version of the unsuspected parts in the newest complete report of each router."""

    def condemned_count(self) -> int:
        """:return: number of condemned parts"""
        return self._parts.condemned_count()

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Answer a router whose knowledge differs, or merge a report and tell the routers.

        :param sender: the router
        :param message: ``SuspectPoll`` or ``SuspectReport``
        :param now_s: monotonic time
        :return: suspected parts, and requests for complete reports
        """
        router_id = sender.host_id
        match message:
            case SuspectPoll(version, unsuspected_version, is_first):
                self._polled_s[router_id] = now_s
                suspected = self._parts.suspected()
                is_different = version != suspected.version
                has_more = unsuspected_version not in (0, self._reported_versions.get(router_id))
                if has_more or (version and is_different):
                    yield Outgoing(router_id, SuspectRecall())
                if is_first or (suspected.part_ids and is_different):
                    yield Outgoing(router_id, self._update(suspected.part_ids, now_s))
            case SuspectReport(unsuspected_version=unsuspected_version):
                if unsuspected_version:
                    self._reported_versions[router_id] = unsuspected_version
                yield from self._merge_report(message, now_s)
                corrected_ids = _cleared_more(self._parts, message.parts)
                if corrected_ids:
                    yield Outgoing(router_id, self._update(corrected_ids, now_s))

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Forget old ends, and routers that no longer poll.

        :param now_s: monotonic time
        :return: nothing
        """
        self._levels.write(self._parts.expire(now_s))
        self._polled_s = {
            router_id: polled_s
            for router_id, polled_s in self._polled_s.items()
            if now_s - polled_s <= POLL_LIFETIME_S
        }
        self._reported_versions = {
            router_id: version
            for router_id, version in self._reported_versions.items()
            if router_id in self._polled_s
        }
        yield from ()

    def _merge_report(self, report: SuspectReport, now_s: float) -> Iterator[Outgoing]:
        has_new_ended = _merge_ended(self._parts, report.ended, now_s)
        were_suspected = {part.part_id for part in report.parts if self._is_suspected(part.part_id)}
        changed_ids = _merge(self._parts, report.parts, now_s)
        self._levels.write(changed_ids)
        told_ids = [
            part_id
            for part_id in changed_ids
            if part_id in were_suspected or self._is_suspected(part_id)
        ]
        if told_ids or (has_new_ended and self._parts.suspected().part_ids):
            update = self._update(told_ids, now_s)
            for router_id in self._polled_s:
                yield Outgoing(router_id, update)

    def _is_suspected(self, part_id: str) -> bool:
        return self._parts.count(part_id) >= SUSPECTED_COUNT

    def _update(self, part_ids: Iterable[str], now_s: float) -> SuspectUpdate:
        ended = _encode_ended(self._parts.newest_ended(), now_s)
        return SuspectUpdate(_encode(self._parts, part_ids, now_s), ended)


class _LevelLog:
    """Logs each part that becomes suspected, condemned or sound again."""

    def __init__(self, parts: SuspectParts) -> None:
        self._parts = parts
        self._verdicts: dict[str, Verdict] = {}
        """The verdicts of parts that are not sound."""

    def write(self, part_ids: Iterable[str]) -> None:
        for part_id in part_ids:
            verdict = self._parts.judge((part_id,))
            if verdict == self._verdicts.get(part_id, Sound()):
                continue
            upstreams = list(self._parts.ends(part_id))
            match verdict:
                case Sound():
                    del self._verdicts[part_id]
                    _log.info("part cleared", part=part_id, upstreams=upstreams)
                case Suspected():
                    self._verdicts[part_id] = verdict
                    _log.info("part suspected", part=part_id, upstreams=upstreams)
                case Condemned():
                    self._verdicts[part_id] = verdict
                    _log.warning("part condemned", part=part_id, upstreams=upstreams)


def _merge(parts: SuspectParts, received: Iterable[SuspectPart], now_s: float) -> list[str]:
    return [
        part.part_id
        for part in received
        if parts.merge(part.part_id, _decode_ends(part, now_s), now_s)
    ]


def _cleared_more(parts: SuspectParts, received: Iterable[SuspectPart]) -> list[str]:
    """List the parts of which the sender counts ends that are known to be cleared."""
    return [
        part.part_id
        for part in received
        if any(
            not end.cleared
            and end.upstream in parts.ends(part.part_id)
            and parts.ends(part.part_id)[end.upstream].cleared
            for end in part.ends
        )
    ]


def _merge_ended(parts: SuspectParts, received: Iterable[EndedUpstream], now_s: float) -> bool:
    """Merge ends of upstreams, and return whether that may change a verdict."""
    is_new = False
    for upstream, age_ms, survived in received:
        ended = Ended(now_s - max(0, age_ms) / 1000, survived)
        is_new |= parts.merge_ended(upstream, ended, now_s)
    return is_new


def _decode_ends(part: SuspectPart, now_s: float) -> Ends:
    return {
        end.upstream: End(now_s - max(0, end.age_ms) / 1000, cleared=end.cleared)
        for end in part.ends
    }


def _encode(parts: SuspectParts, part_ids: Iterable[str], now_s: float) -> tuple[SuspectPart, ...]:
    return tuple(
        SuspectPart(
            part_id,
            tuple(
                SuspectEnd(upstream, _age_ms(end.at_s, now_s), end.cleared)
                for upstream, end in parts.ends(part_id).items()
            ),
        )
        for part_id in part_ids
    )


def _encode_ended(ended: Iterable[tuple[str, Ended]], now_s: float) -> tuple[EndedUpstream, ...]:
    return tuple(
        EndedUpstream(upstream, _age_ms(at_s, now_s), survived)
        for upstream, (at_s, survived) in ended
    )


def _age_ms(at_s: float, now_s: float) -> int:
    # Rounded down, so that an end that is sent to and fro does not grow older.
    return max(0, int(1000 * (now_s - at_s)))


__all__ = ["SuspectsFollower", "SuspectsPublisher"]
