"""Simulation of the continuous batching of a model engine."""

from __future__ import annotations

import hashlib
import time
from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple

import anyio
import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator

RESUME_WINDOW_S = 60.0
"""How long the stream of an ended run can be resumed."""
_WORDS = ("oboe", "viola", "cello", "flute", "reed", "bow", "score", "stand", "rest", "tutti")
DONE_EVENT = b"data: [DONE]\n\n"


class BatchSettings(NamedTuple):
    """Speed and capacity of an engine."""

    slots_count: int = 4
    """Number of concurrent runs at full speed; more of them slow each other down."""
    batch_count: int = 8
    """Largest number of concurrent runs; further runs wait in arrival order."""
    token_ms: float = 10.0
    """Time between two tokens of a run while at most ``slots_count`` runs are active."""
    prompt_token_ms: float = 0.0
    """Processing time of each prompt token that is not in the prefix cache."""
    orphan_s: float = 5.0
    """How long a run continues without a reader before it is cancelled."""


class RunRecord(NamedTuple):
    """Entry of ``GET /v1/log``."""

    request_id: str
    attempt: int
    idempotency_key: str | None
    start_s: float
    end_s: float | None
    outcome: str
    tokens_count: int


def token_text(prompt: str, index: int) -> str:
    """
    Generate one token of the completion of a prompt.

    :param prompt: the prompt
    :param index: position of the token in the completion, starting at 1
    :return: a word that depends on nothing but the arguments
    """
    digest = hashlib.blake2b(f"{index}:{prompt}".encode(), digest_size=2).digest()
    return " " + _WORDS[int.from_bytes(digest, "big") % len(_WORDS)]


class Run:
    """Execution of one request on the engine."""

    def __init__(
        self, request_id: str, attempt: int, idempotency_key: str | None, body: dict[str, Any]
    ) -> None:
        """
        Create a run that waits to be admitted.

        :param request_id: value of the ``x-request-id`` header
        :param attempt: value of the ``x-attempt`` header
        :param idempotency_key: value of the ``idempotency-key`` header
        :param body: decoded request body
        """
        self.request_id = request_id
        self.attempt = attempt
        self.idempotency_key = idempotency_key
        self.prompt = str(body.get("prompt", ""))
        self.previous_tokens_count = int(body.get("continue_from", {}).get("after", 0))
        self.tokens_count = max(0, int(body.get("max_tokens", 16)) - self.previous_tokens_count)
        self.events: list[bytes] = []
        self.texts: list[str] = []
        self.outcome = "waiting"
        self.start_s: float | None = None
        self.end_s: float | None = None
        self.ready_at_s = 0.0
        self.readers_count = 0
        self.unread_since_s = time.monotonic()
        self.slow_factor = 1.0
        self.changed = anyio.Event()

    @property
    def ended(self) -> bool:
        """:return: whether the run generates no further tokens"""
        return self.outcome not in {"waiting", "running"}

    def record(self) -> RunRecord:
        """:return: entry of ``GET /v1/log``"""
        return RunRecord(
            self.request_id,
            self.attempt,
            self.idempotency_key,
            self.start_s or 0.0,
            self.end_s,
            self.outcome,
            len(self.texts),
        )

    def emit(self) -> None:
        """Generate the next token."""
        index = self.previous_tokens_count + len(self.texts) + 1
        text = token_text(self.prompt, index)
        self.texts.append(text)
        data = msgspec.json.encode({"text": text, "index": index})
        self.events.append(b"id: %d\ndata: %b\n\n" % (index, data))
        if len(self.texts) >= self.tokens_count:
            self.finish("finished")
        self.notify()

    def finish(self, outcome: str) -> None:
        """
        End the run.

        :param outcome: ``finished`` or ``cancelled``
        """
        self.outcome = outcome
        self.end_s = time.time()
        self.notify()

    def notify(self) -> None:
        """Wake the tasks that read the run's output."""
        self.changed.set()
        self.changed = anyio.Event()


class Batch:
    """Admits runs in arrival order and generates their tokens in common steps."""

    def __init__(self, settings: BatchSettings) -> None:
        """
        Create an empty batch.

        :param settings: speed and capacity
        """
        self.settings = settings
        self.waiting: deque[Run] = deque()
        self.running: list[Run] = []
        self.log: list[Run] = []
        self._resumable: dict[str, Run] = {}
        self._run_added = anyio.Event()

    def add(self, run: Run) -> None:
        """
        Queue a run.

        :param run: a new run
        """
        self.waiting.append(run)
        self._resumable[run.request_id] = run
        self._run_added.set()

    def find(self, request_id: str) -> Run | None:
        """
        Find a run whose output can be read.

        :param request_id: id of the request
        :return: the newest run of that id, unless it ended more than ``RESUME_WINDOW_S`` ago
        """
        return self._resumable.get(request_id)

    def cancel(self, run: Run) -> None:
        """
        Cancel a run unless it has ended.

        :param run: the run
        """
        if run.ended:
            return
        run.finish("cancelled")
        if run in self.waiting:
            self.waiting.remove(run)

    def admit(self, now_s: float) -> Iterator[Run]:
        """
        Start waiting runs while the batch has capacity.

        :param now_s: monotonic time
        :return: the runs that were started
        """
        while self.waiting and len(self.running) < self.settings.batch_count:
            run = self.waiting.popleft()
            run.outcome = "running"
            run.start_s = time.time()
            run.ready_at_s = now_s
            self.running.append(run)
            self.log.append(run)
            yield run

    def step(self, now_s: float) -> None:
        """
        Generate one token for each run that is ready, and cancel runs without a reader.

        :param now_s: monotonic time
        """
        for run in self.running:
            if not run.readers_count and now_s - run.unread_since_s > self.settings.orphan_s:
                self.cancel(run)
            elif not run.ended and now_s >= run.ready_at_s:
                run.emit()
                if run.slow_factor > 1:
                    run.ready_at_s = now_s + self.settings.token_ms * run.slow_factor / 1000
        self.running = [run for run in self.running if not run.ended]

    def step_s(self) -> float:
        """:return: time until the next step; longer when more runs than slots are active"""
        overload = max(1.0, len(self.running) / self.settings.slots_count)
        return self.settings.token_ms / 1000 * overload

    def drop_expired(self) -> None:
        """Delete ended runs that can no longer be resumed."""
        expired_before_s = time.time() - RESUME_WINDOW_S
        for run in [
            r
            for r in self._resumable.values()
            if r.end_s is not None and r.end_s < expired_before_s
        ]:
            del self._resumable[run.request_id]

    async def wait_for_work(self) -> None:
        """Wait until a run is queued."""
        while not self.waiting:
            self._run_added = anyio.Event()
            await self._run_added.wait()


__all__ = ["DONE_EVENT", "Batch", "BatchSettings", "Run", "RunRecord", "token_text"]
