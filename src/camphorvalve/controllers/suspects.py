"""Exchange of what may crash upstreams: two controllers merge what the routers see."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
import structlog

from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.sharing.placement import ranked
from camphorvalve.sharing.suspectends import (
    SUSPECTED_COUNT,
    End,
    Ended,
    SharedPart,
    WholeRequest,
    count_ends,
    kind_of,
)
from camphorvalve.sharing.suspects import Condemned, Sound, Suspected, SuspectRecord
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
    from camphorvalve.sharing.suspectends import Ends
    from camphorvalve.sharing.suspects import Verdict

SUSPECTS_KEY = "suspected parts"
"""Key by which rendezvous hashing selects the controllers that merge the ends."""
MERGING_COUNT = 2
"""Controllers that do so, so that the restart of one leaves no gap."""
POLL_S = 1.0
REPEAT_POLL_S = 0.2
"""Poll interval while an answer is missing: messages are dropped until the controller has connected
back."""
MAX_REPEATS_COUNT = 10
"""Polls in a row that ask for an answer; a controller may be gone, or list other suspects."""
MAX_SILENCE_S = 1.0
"""Longest time after the start in which a router waits for the controllers' first answers."""
POLL_LIFETIME_S = 5.0
"""How long a controller sends changes to a router after its last poll: five poll intervals."""

_log = structlog.get_logger(__name__)


class SuspectsFollower:
    """Owns the suspects that a router knows, and reports what its requests show of them."""

    name = "suspects"
    accepts = (SuspectUpdate, SuspectRecall)

    def __init__(self, controller_ids: Callable[[], Iterable[str]]) -> None:
        """
        Start without ends.

        :param controller_ids: returns the controllers that answered recently
        """
        self._controller_ids = controller_ids
        self._record = SuspectRecord()
        self._levels = _LevelLog(self._record)
        self._was_answered = False
        self._awaited_until_s = float("-inf")
        self._informing_ids: set[str] = set()
        """Controllers that have answered since the start."""
        self._was_informed = anyio.Event()
        """Set when all merging controllers have."""
        self._settled_ids: set[str] = set()
        """Controllers that have answered since the last report, and did not ask for another one."""
        self._recalling_ids: set[str] = set()
        """Controllers that have asked for a report since the last poll."""
        self._repeats_count = 0

    @property
    def tick_s(self) -> float:
        """:return: time until the next poll"""
        return REPEAT_POLL_S if self._asks() and self._unsettled_ids() else POLL_S

    async def wait_for_first_answers(self, now_s: float) -> None:
        """
        Wait for a short time after the start until the controllers have told what they know.

        One that has just started as well may know nothing yet, so that both have to answer.

        :param now_s: monotonic time
        """
        if now_s < self._awaited_until_s and not self._was_informed.is_set():
            with anyio.move_on_after(self._awaited_until_s - now_s):
                await self._was_informed.wait()

    def judge(self, keys: Sequence[str]) -> Verdict:
        """
        Judge a request.

        :param keys: its shared parts, and its own key
        :return: the gravest verdict
        """
        return self._record.judge(keys)

    def condemned_between_s(self, key: str) -> tuple[float, float]:
        """
        Tell for how long the ends of a condemned suspect condemn it.

        :param key: the suspect
        :return: monotonic times of its newest end, and at which they are forgotten
        """
        return self._record.condemned_between_s(key)

    def condemned_count(self) -> int:
        """:return: number of condemned parts and requests"""
        return self._record.condemned_count()

    def record_end(self, keys: Iterable[str], upstream: str, now_s: float) -> Iterator[Outgoing]:
        """
        Record and report that an upstream ended during a request.

        :param keys: shared parts and key of the request, none if its answer was under way
        :param upstream: identifies the start of the upstream
        :param now_s: monotonic time
        :return: reports to the controllers
        """
        is_new = self._record.merge_ended(upstream, Ended(now_s, survived=False), now_s)
        changed_keys = self._record.record_end(keys, upstream, now_s)
        yield from self._report(changed_keys, now_s, (upstream,) if is_new else ())

    def record_answer(
        self, keys: Iterable[str], upstream: str, begun_s: float, now_s: float
    ) -> Iterator[Outgoing]:
        """
        Record an answer whose beginning the upstream has outlived; report it if that matters.

        :param keys: shared parts and key of the request
        :param upstream: identifies the start of the upstream
        :param begun_s: monotonic time at which the answer began
        :param now_s: monotonic time
        :return: reports to the controllers
        """
        has_survived = self._record.record_survival(upstream, begun_s)
        changed_keys = self._record.record_answer(keys, begun_s)
        yield from self._report(changed_keys, now_s, (upstream,) if has_survived else ())

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Merge suspects, or report all ends to a controller that lacks them.

        :param sender: the controller
        :param message: ``SuspectUpdate`` or ``SuspectRecall``
        :param now_s: monotonic time
        :return: reports of ends that are cleared here
        """
        match message:
            case SuspectUpdate(parts, ended):
                self._was_answered = True
                if sender.host_id not in self._recalling_ids:
                    self._settled_ids.add(sender.host_id)
                _merge_ended(self._record, ended, now_s)
                _merge(self._record, parts, now_s)
                self._informing_ids.add(sender.host_id)
                if self._informing_ids.issuperset(self._merging_ids()):
                    self._was_informed.set()
                self._levels.write(part.part_id for part in parts)
                corrected_keys = _cleared_more(self._record, parts)
                if corrected_keys:
                    report = SuspectReport(_encode(self._record, corrected_keys, now_s), ())
                    yield Outgoing(sender.host_id, report)
            case SuspectRecall():
                self._recalling_ids.add(sender.host_id)
                self._settled_ids.discard(sender.host_id)
                unsuspected = self._record.unsuspected()
                held_keys = [*self._record.suspected().keys, *unsuspected.keys]
                encoded = _encode(self._record, held_keys, now_s)
                ended = _encode_ended(self._record.newest_ended(), now_s)
                report = SuspectReport(encoded, ended, unsuspected.version)
                yield Outgoing(sender.host_id, report)

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Forget old ends, and poll the merging controllers.

        :param now_s: monotonic time
        :return: polls
        """
        self._levels.write(self._record.expire(now_s))
        self._recalling_ids.clear()
        if self._awaited_until_s == float("-inf"):
            self._awaited_until_s = now_s + MAX_SILENCE_S
        unsettled_ids = self._unsettled_ids()
        asked_ids = unsettled_ids if self._asks() else []
        self._repeats_count = self._repeats_count + 1 if unsettled_ids else 0
        for controller_id in self._merging_ids():
            poll = SuspectPoll(
                self._record.suspected().version,
                self._record.unsuspected().version,
                controller_id in asked_ids,
            )
            yield Outgoing(controller_id, poll)

    def _report(
        self, keys: list[str], now_s: float, ended_ids: tuple[str, ...] = ()
    ) -> Iterator[Outgoing]:
        if not keys and not ended_ids:
            return
        self._levels.write(keys)
        self._settled_ids.clear()
        self._repeats_count = 0
        ended = _encode_ended(self._record.ended(ended_ids), now_s)
        report = SuspectReport(_encode(self._record, keys, now_s), ended)
        for controller_id in self._merging_ids():
            yield Outgoing(controller_id, report)

    def _asks(self) -> bool:
        """Tell whether to ask for missing answers, or they were asked for in vain."""
        return not self._was_answered or self._repeats_count < MAX_REPEATS_COUNT

    def _unsettled_ids(self) -> list[str]:
        """Return the controllers whose answer is missing."""
        return [
            controller_id
            for controller_id in self._merging_ids()
            if controller_id not in self._settled_ids
        ]

    def _merging_ids(self) -> list[str]:
        return ranked(SUSPECTS_KEY, self._controller_ids())[:MERGING_COUNT]


class SuspectsPublisher:
    """Owns the merged ends of a controller, and tells its routers of suspects."""

    name = "suspects"
    tick_s = 1.0
    accepts = (SuspectPoll, SuspectReport)

    def __init__(self) -> None:
        """Start without ends and routers."""
        self._record = SuspectRecord()
        self._levels = _LevelLog(self._record)
        self._polled_s: dict[str, float] = {}
        self._reported_versions: dict[str, int] = {}
        """Version of what is not suspected in the newest complete report of each router."""

    def condemned_count(self) -> int:
        """:return: number of condemned parts and requests"""
        return self._record.condemned_count()

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Answer a router whose knowledge differs, or merge a report and tell the routers.

        :param sender: the router
        :param message: ``SuspectPoll`` or ``SuspectReport``
        :param now_s: monotonic time
        :return: suspects, and requests for complete reports
        """
        router_id = sender.host_id
        match message:
            case SuspectPoll(version, unsuspected_version, needs_answer):
                self._polled_s[router_id] = now_s
                suspected = self._record.suspected()
                is_different = version != suspected.version
                has_more = unsuspected_version not in (0, self._reported_versions.get(router_id))
                if has_more or (version and is_different):
                    yield Outgoing(router_id, SuspectRecall())
                if needs_answer or (suspected.keys and is_different):
                    told_keys = suspected.keys if is_different else ()
                    yield Outgoing(router_id, self._update(told_keys, now_s))
            case SuspectReport(unsuspected_version=unsuspected_version):
                if unsuspected_version:
                    self._reported_versions[router_id] = unsuspected_version
                yield from self._merge_report(message, now_s)
                corrected_keys = _cleared_more(self._record, message.parts)
                lacking_keys = [
                    part.part_id for part in message.parts if self._lacks_suspicion(part)
                ]
                told_keys = dict.fromkeys((*corrected_keys, *lacking_keys))
                if told_keys:
                    yield Outgoing(router_id, self._update(told_keys, now_s))

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Forget old ends, and routers that no longer poll.

        :param now_s: monotonic time
        :return: nothing
        """
        self._levels.write(self._record.expire(now_s))
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
        has_new_ended = _merge_ended(self._record, report.ended, now_s)
        were_urgent = {part.part_id for part in report.parts if self._is_urgent(part.part_id)}
        changed_keys = _merge(self._record, report.parts, now_s)
        self._levels.write(changed_keys)
        told_keys = [key for key in changed_keys if key in were_urgent or self._is_urgent(key)]
        if told_keys or (has_new_ended and self._has_suspected_part()):
            update = self._update(told_keys, now_s)
            for router_id in self._polled_s:
                yield Outgoing(router_id, update)

    def _is_urgent(self, key: str) -> bool:
        """Tell whether routers have to know of a change before their next poll."""
        match kind_of(key):
            case SharedPart():
                return self._record.count(key) >= SUSPECTED_COUNT
            case WholeRequest():
                # A power failure leaves many suspected requests that don't come again.
                return self._record.has_condemned(key)

    def _lacks_suspicion(self, part: SuspectPart) -> bool:
        """Tell whether a router that reports a suspected request takes it for a sound one."""
        reported_s = [-end.age_ms / 1000 for end in part.ends if not end.cleared]
        kind = kind_of(part.part_id)
        return (
            kind == WholeRequest()
            and count_ends(kind, reported_s) < SUSPECTED_COUNT
            and self._record.count(part.part_id) >= SUSPECTED_COUNT
        )

    def _has_suspected_part(self) -> bool:
        """Tell whether a verdict depends on which upstreams ended."""
        return any(kind_of(key) == SharedPart() for key in self._record.suspected().keys)

    def _update(self, keys: Iterable[str], now_s: float) -> SuspectUpdate:
        ended = _encode_ended(self._record.newest_ended(), now_s)
        return SuspectUpdate(_encode(self._record, keys, now_s), ended)


class _LevelLog:
    """Logs each part and request that becomes suspected, condemned or sound again."""

    def __init__(self, record: SuspectRecord) -> None:
        self._record = record
        self._verdicts: dict[str, Verdict] = {}
        """The verdicts on suspects that are not sound."""

    def write(self, keys: Iterable[str]) -> None:
        for key in keys:
            verdict = self._record.judge((key,))
            if verdict == self._verdicts.get(key, Sound()):
                continue
            if verdict == Sound():
                del self._verdicts[key]
            else:
                self._verdicts[key] = verdict
            self._log(key, verdict)

    def _log(self, key: str, verdict: Verdict) -> None:
        upstreams = list(self._record.ends(key))
        match kind_of(key), verdict:
            case SharedPart(), Sound():
                _log.info("part cleared", part=key, upstreams=upstreams)
            case SharedPart(), Suspected():
                _log.info("part suspected", part=key, upstreams=upstreams)
            case SharedPart(), Condemned():
                _log.warning("part condemned", part=key, upstreams=upstreams)
            case WholeRequest(), Sound():
                _log.info("request cleared", request_key=key, upstreams=upstreams)
            case WholeRequest(), Suspected():
                _log.info("request suspected", request_key=key, upstreams=upstreams)
            case WholeRequest(), Condemned():
                _log.warning("request condemned", request_key=key, upstreams=upstreams)


def _merge(record: SuspectRecord, received: Iterable[SuspectPart], now_s: float) -> list[str]:
    return [
        part.part_id
        for part in received
        if record.merge(part.part_id, _decode_ends(part, now_s), now_s)
    ]


def _cleared_more(record: SuspectRecord, received: Iterable[SuspectPart]) -> list[str]:
    """List the parts of which the sender counts ends that are known to be cleared."""
    return [
        part.part_id
        for part in received
        if any(
            not end.cleared
            and end.upstream in record.ends(part.part_id)
            and record.ends(part.part_id)[end.upstream].cleared
            for end in part.ends
        )
    ]


def _merge_ended(record: SuspectRecord, received: Iterable[EndedUpstream], now_s: float) -> bool:
    """Merge ends of upstreams, and return whether that may change a verdict."""
    is_new = False
    for upstream, age_ms, survived in received:
        ended = Ended(now_s - max(0, age_ms) / 1000, survived)
        is_new |= record.merge_ended(upstream, ended, now_s)
    return is_new


def _decode_ends(part: SuspectPart, now_s: float) -> Ends:
    return {
        end.upstream: End(now_s - max(0, end.age_ms) / 1000, cleared=end.cleared)
        for end in part.ends
    }


def _encode(record: SuspectRecord, keys: Iterable[str], now_s: float) -> tuple[SuspectPart, ...]:
    return tuple(
        SuspectPart(
            key,
            tuple(
                SuspectEnd(upstream, _age_ms(end.at_s, now_s), end.cleared)
                for upstream, end in record.ends(key).items()
            ),
        )
        for key in keys
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
