"""Guards against a request that runs twice, work that is lost, and outcomes that change."""

from __future__ import annotations

import unittest

from camphorvalve.registry.commands import (
    Command,
    Conflict,
    Done,
    ExpireRecords,
    Finished,
    Invalid,
    Lost,
    Outcome,
    Running,
)
from camphorvalve.registry.state import RegistryState
from tests.builders import (
    a_run_abort,
    a_run_finish,
    a_run_loss,
    a_run_start,
    an_acceptance,
    an_assignment,
)

FINISHED = Finished("request-1", 1, 200, (), b"answer")
ONCE = {"idempotent": False}

# Commands in order, and the expected outcome of the last one; a type matches any instance of it.
TRANSITIONS: dict[str, tuple[list[Command], Outcome | type]] = {
    "accept": ([an_acceptance()], Done(0, 1)),
    "accept again": ([an_acceptance(), an_acceptance()], Done(0, 1)),
    "accept again after a move": (
        [an_acceptance(), an_assignment(), an_acceptance()],
        Done(0, 1),
    ),
    "accept again after the answer": (
        [an_acceptance(), a_run_start(), a_run_finish(), an_acceptance()],
        Done(0, 1),
    ),
    "accept other content": ([an_acceptance(), an_acceptance(payload=b"other")], Conflict),
    "start": ([a_run_start()], Done(0, 1)),
    "same start again": ([a_run_start(), a_run_start()], Done(0, 1)),
    "second request": (
        [a_run_start(), a_run_start(request_id="request-2")],
        Running("router-1", 1, 1),
    ),
    "second attempt": ([a_run_start(), a_run_start(attempt=2)], Running("router-1", 1, 1)),
    "second router": (
        [a_run_start(), a_run_start(router_id="router-2")],
        Running("router-1", 1, 1),
    ),
    "restarted router": ([a_run_start(), a_run_start(incarnation=2)], Running("router-1", 1, 1)),
    "start after abort": ([a_run_start(), a_run_abort(), a_run_start(attempt=2)], Done(0, 3)),
    "start of another request after abort": (
        [a_run_start(), a_run_abort(), a_run_start(request_id="request-2")],
        Done(0, 3),
    ),
    "late copy of an aborted start": ([a_run_start(), a_run_abort(), a_run_start()], Conflict),
    "late copy of a start aborted before another one": (
        [
            a_run_start(),
            a_run_abort(),
            a_run_start(attempt=2),
            a_run_abort(attempt=2),
            a_run_start(),
        ],
        Conflict,
    ),
    "start that its abort overtook": ([a_run_abort(), a_run_start()], Conflict),
    "abort of another run": ([a_run_start(), a_run_abort(attempt=2)], Conflict),
    "abort after the answer": ([a_run_start(), a_run_finish(), a_run_abort()], Conflict),
    "start after the answer": ([a_run_start(), a_run_finish(), a_run_start(attempt=2)], FINISHED),
    "start after the loss": ([a_run_start(), a_run_loss(), a_run_start(attempt=2)], Lost(1)),
    "answer again": ([a_run_start(), a_run_finish(), a_run_finish()], Done(0, 2)),
    "second answer": (
        [an_acceptance(), a_run_start(), a_run_finish(), a_run_finish(attempt=2, body=b"other")],
        FINISHED,
    ),
    "answer after the loss": ([a_run_start(), a_run_loss(), a_run_finish()], Lost(1)),
    "answer of an aborted run": ([a_run_start(), a_run_abort(), a_run_finish()], Conflict),
    "answer without record": ([a_run_finish()], Invalid),
    "loss after the answer": ([a_run_start(), a_run_finish(), a_run_loss()], FINISHED),
    "loss of another attempt": ([a_run_start(), a_run_loss(attempt=2)], Conflict),
    "assign unknown work": ([an_assignment()], Invalid),
    "assign a record without work": ([a_run_start(), an_assignment()], Invalid),
    "assign": ([an_acceptance(), an_assignment()], Done(0, 2)),
    "assign again": ([an_acceptance(), an_assignment(), an_assignment()], Done(0, 2)),
    "assign with a gap": ([an_acceptance(), an_assignment(attempt=3)], Conflict),
    "assign started work": ([an_acceptance(), a_run_start(), an_assignment()], Done(0, 3)),
    "assign started work that runs once": (
        [an_acceptance(**ONCE), a_run_start(**ONCE), an_assignment()],
        Conflict,
    ),
    "assign answered work": (
        [an_acceptance(), a_run_start(), a_run_finish(), an_assignment()],
        Conflict,
    ),
    "start by the claimant": ([an_acceptance(), a_run_start()], Done(0, 2)),
    "start with a lost claim": ([an_acceptance(), an_assignment(), a_run_start()], Conflict),
    "start by a restarted claimant": ([an_acceptance(), a_run_start(incarnation=2)], Conflict),
    "start by the next claimant": (
        [
            an_acceptance(),
            a_run_start(),
            an_assignment(),
            a_run_start(router_id="router-2", attempt=2),
        ],
        Done(0, 4),
    ),
    "start with an old attempt": (
        [an_acceptance(), a_run_start(attempt=2), a_run_start(attempt=1)],
        Conflict,
    ),
    "claimed start that runs once, twice": (
        [an_acceptance(**ONCE), a_run_start(), a_run_start(request_id="request-2")],
        Running("router-1", 1, 1),
    ),
    "answer with a lost claim": (
        [an_acceptance(), a_run_start(), an_assignment(), a_run_finish()],
        Done(0, 4),
    ),
    "expired answer": (
        [a_run_start(), a_run_finish(), ExpireRecords(1e6, 1e6), a_run_start()],
        Done(0, 4),
    ),
    "answer that is kept": (
        [a_run_start(), a_run_finish(), ExpireRecords(20.0, 20.0), a_run_start()],
        FINISHED,
    ),
    "start is never expired": (
        [a_run_start(), ExpireRecords(1e6, 1e6), a_run_start(attempt=2)],
        Running("router-1", 1, 1),
    ),
    "work is never expired": (
        [an_acceptance(), ExpireRecords(1e6, 1e6), a_run_start()],
        Done(0, 3),
    ),
}


class TransitionsTest(unittest.TestCase):
    def test_each_transition_with_and_without_snapshots(self) -> None:
        for name, (commands, expected) in TRANSITIONS.items():
            for restored in (False, True):
                with self.subTest(name, restored=restored):
                    state = RegistryState()
                    for index, command in enumerate(commands, 1):
                        outcome = state.apply(index, command)
                        if restored:
                            data = state.snapshot()
                            state = RegistryState()
                            state.restore(data)
                            self.assertEqual(state.snapshot(), data)
                    if isinstance(expected, type):
                        self.assertIsInstance(outcome, expected)
                    else:
                        self.assertEqual(outcome, expected)

    def test_the_oldest_answers_are_dropped_when_the_store_is_full(self) -> None:
        # The records have to stay: without them a key would run a second time.
        state = RegistryState()
        for number in range(10):
            record_id = f"key-{number}"
            state.apply(2 * number, a_run_start(record_id=record_id))
            finish = a_run_finish(
                record_id=record_id, body=b"x" * 100, finished_at_s=100.0 + number
            )
            state.apply(2 * number + 1, finish)
        expiry = state.records.expiry(0.0, 450)
        assert expiry is not None
        state.apply(99, expiry)
        kept = sorted(
            record.record_id for record in state.records.all() if record.answer is not None
        )
        self.assertEqual(kept, ["key-6", "key-7", "key-8", "key-9"])
        again = a_run_start(record_id="key-0", request_id="another", attempt=2)
        self.assertIsInstance(state.apply(100, again), Lost)
        self.assertIsNone(state.records.expiry(0.0, 450))

    def test_results_of_accepted_work_are_kept_when_the_store_is_full(self) -> None:
        state = RegistryState()
        for index, command in enumerate((an_acceptance(), a_run_start(), a_run_finish()), 1):
            state.apply(index, command)
        self.assertIsNone(state.records.expiry(0.0, 0))
