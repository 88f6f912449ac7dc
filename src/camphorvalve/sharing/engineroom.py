"""
Finds how many requests an engine takes well, from its reports and the waits for its answers.

The law is described in docs/design/engine-loads.md. As in TCP Vegas and FAST TCP, a fixed number of
requests is kept in the queue: by Little's law, those that begin in the time that may be waited.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import NamedTuple

QUEUE_WINDOW_S = 1.7
"""Time over which the queue is averaged: four reports."""
ANSWERS_WINDOW_S = 2.0
"""Time over which answers are counted: routers tell of theirs once a second."""
TARGET_RATIO = 0.5
"""Mean time to the first event, as a part of the objective, that the law aims at."""
DEAD_BAND_RATIO = 0.3
"""Difference of the queue from its target, as a part of it, that changes nothing."""
GAIN = 0.15
"""Part of the difference that one change makes up."""
EMPTY_RATIO = 0.25
"""Part of the target below which the queue counts as empty, and the limit grows exponentially, as
in the slow start of TCP."""
USUAL_DECAY_RATIO = 0.002
"""Part by which the remembered limit falls with each report: by a tenth in 20 s. An engine that was
slow for some seconds gets its room back at once."""
RETURN_RATIO = 0.9
"""Part of the remembered limit that a short queue gives back at once."""
MAX_DECREASE_FACTOR = 0.7
MAX_INCREASE_FACTOR = 1.25
PAUSE_S = 1.1
"""Minimum time between two changes: its effect shows in the second report after it."""
USED_RATIO = 0.7
"""Part of the limit that has to be taken before it is raised; an idle engine teaches nothing."""
INITIAL_RATIO = 0.6
"""Initial limit, as a part of the nominal places."""
MAX_RATIO = 1.25
"""Highest limit, as a part of the nominal places; what goes beyond them is queued."""
MIN_LIMIT_COUNT = 2.0
MIN_QUEUE_COUNT = 1.0
MIN_PART_RATIO = 0.35
"""Smallest part of the limit that a request may use: the least urgent one over its share."""
REFILL_RATIO = 0.4
"""Part of the free room that is granted at once; the reports lag, and all of it would overshoot."""


class RoomChange(Enum):
    """Why a limit was changed."""

    QUEUE_TOO_LONG = "queue too long"
    QUEUE_SHORT = "queue short"


class _Report(NamedTuple):
    at_s: float
    queued_count: int
    taken_count: int


class _Answers(NamedTuple):
    at_s: float
    answers_count: int
    objective_s_sum: float


class EngineRoom:
    """Limit of one engine: the requests that it may run and queue at once."""

    def __init__(self, nominal_count: int) -> None:
        """
        Start with a part of the nominal places.

        :param nominal_count: places that the engine is said to have; a hint and the upper bound
        """
        self._nominal_count = nominal_count
        self.limit_count = max(MIN_LIMIT_COUNT, INITIAL_RATIO * nominal_count)
        self._usual_count = self.limit_count
        """Highest limit of the last time, which decays."""
        self.bound_count: float | None = None
        """Most requests that an operator allows, in addition to what is found."""
        self.taken_count = 0
        """Requests that it ran and queued at its last report."""
        self._reports: deque[_Report] = deque()
        self._answers: deque[_Answers] = deque()
        self._answers_from_s = float("inf")
        """Since when answers are counted."""
        self._changed_s = float("-inf")

    def record_answers(self, answers_count: int, objective_s_sum: float, now_s: float) -> None:
        """
        Add answers that began.

        :param answers_count: number of these answers
        :param objective_s_sum: sum of the objectives for their times to the first event
        :param now_s: monotonic time
        """
        self._answers_from_s = min(self._answers_from_s, now_s)
        self._answers.append(_Answers(now_s, answers_count, objective_s_sum))
        while self._answers[0].at_s <= now_s - ANSWERS_WINDOW_S:
            self._answers.popleft()

    def record_report(
        self, running_count: int, queued_count: int, now_s: float
    ) -> RoomChange | None:
        """
        Apply a report and change the limit if that is due.

        :param running_count: requests whose answers have begun
        :param queued_count: requests that wait for their first event
        :param now_s: monotonic time
        :return: why the limit was changed, ``None`` if it was not
        """
        self.taken_count = running_count + queued_count
        self._reports.append(_Report(now_s, queued_count, self.taken_count))
        while self._reports[0].at_s < now_s - QUEUE_WINDOW_S:
            self._reports.popleft()
        while self._answers and self._answers[0].at_s <= now_s - ANSWERS_WINDOW_S:
            self._answers.popleft()
        self._usual_count *= 1 - USUAL_DECAY_RATIO
        self._usual_count = max(self._usual_count, self.limit_count)
        is_known = now_s - self._answers_from_s >= ANSWERS_WINDOW_S
        if not is_known or now_s - self._changed_s < PAUSE_S:
            return None
        change = self._change()
        if change is not None:
            self._changed_s = now_s
        return change

    def answers_per_s(self) -> float:
        """:return: answers that begin in a second"""
        return sum(answers.answers_count for answers in self._answers) / ANSWERS_WINDOW_S

    def target_queue_count(self) -> float:
        """:return: requests that may wait for their first event: as many as begin in time"""
        objective_s_sum = sum(answers.objective_s_sum for answers in self._answers)
        return max(MIN_QUEUE_COUNT, TARGET_RATIO * objective_s_sum / ANSWERS_WINDOW_S)

    def used_limit_count(self) -> float:
        """:return: the limit that is granted: what is found, within an operator's bound"""
        bound_count = self.bound_count
        return self.limit_count if bound_count is None else min(self.limit_count, bound_count)

    def granted_count(self, interval_s: float) -> float:
        """
        Return how many requests all routers together may send until the next report.

        :param interval_s: time between two reports
        :return: those that begin in this time, and part of the free room
        """
        free_count = REFILL_RATIO * (self.used_limit_count() - self.taken_count)
        granted_count = max(0.0, free_count + interval_s * self.answers_per_s())
        if self.taken_count > 0:
            return granted_count
        # One request of any kind: an idle engine whose limit is low learns nothing without.
        return max(granted_count, 1.0 + reserved_count(self.used_limit_count(), MIN_PART_RATIO))

    def _change(self) -> RoomChange | None:
        reports_count = len(self._reports)
        queued_count = sum(report.queued_count for report in self._reports) / reports_count
        taken_count = sum(report.taken_count for report in self._reports) / reports_count
        target_count = self.target_queue_count()
        missing_count = target_count - queued_count
        if abs(missing_count) <= DEAD_BAND_RATIO * target_count:
            return None
        if missing_count > 0 and taken_count < USED_RATIO * self.limit_count:
            return None
        if missing_count > 0 and self.used_limit_count() < self.limit_count:
            return None
        before_count = self.limit_count
        if queued_count <= EMPTY_RATIO * target_count:
            changed_count = max(MAX_INCREASE_FACTOR * before_count, self._usual_count)
        elif missing_count > 0:
            changed_count = max(
                before_count + GAIN * missing_count, RETURN_RATIO * self._usual_count
            )
        else:
            changed_count = before_count + GAIN * missing_count
        changed_count = max(changed_count, MAX_DECREASE_FACTOR * before_count)
        highest_count = max(MIN_LIMIT_COUNT, MAX_RATIO * self._nominal_count)
        self.limit_count = min(highest_count, max(MIN_LIMIT_COUNT, changed_count))
        if self.limit_count == before_count:
            return None
        return RoomChange.QUEUE_SHORT if missing_count > 0 else RoomChange.QUEUE_TOO_LONG


def reserved_count(limit_count: float, ratio: float) -> float:
    """
    Return how much less is granted to requests that may use only a part of an engine.

    :param limit_count: limit of the engine
    :param ratio: part of the limit that they may use
    :return: requests
    """
    return REFILL_RATIO * (1.0 - ratio) * limit_count


__all__ = ["EngineRoom", "RoomChange", "reserved_count"]
