"""Continuous batching of a model engine: runs, slots, tokens."""

from __future__ import annotations

import hashlib
import time
from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple

import anyio
import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator

KEEP_S = 60.0
"""How long a finished or broken stream can be resumed."""
_WORDS = ("oboe", "viola", "cello", "flute", "reed", "bow", "score", "stand", "rest", "tutti")
DONE = b"data: [DONE]\n\n"


class BatchSettings(NamedTuple):
    """Speed and size of an engine."""

    slots_count: int = 4
    """Runs that proceed at full speed."""
    batch_count: int = 8
    """Runs that proceed at all; further ones wait in arrival order."""
    token_ms: float = 10.0
    """Time between two tokens of a run while at most ``slots_count`` run."""
    prompt_token_ms: float = 0.0
    """Time for each prompt token that is not in the prefix cache."""
    orphan_s: float = 5.0
    """How long a run goes on without a reader before it is cancelled."""


class RunRecord(NamedTuple):
    """One entry of ``GET /v1/log``."""

    request_id: str
    attempt: int
    idempotency_key: str | None
    start_s: float
    end_s: float | None
    outcome: str
    tokens_count: int


def token_text(prompt: str, index: int) -> str:
    """
    Give the token at a place of the completion of a prompt.

    :param prompt: the prompt
    :param index: number of the token, starting at 1
    :return: the same word for the same arguments
    """
    digest = hashlib.blake2b(f"{index}:{prompt}".encode(), digest_size=2).digest()
    return " " + _WORDS[int.from_bytes(digest, "big") % len(_WORDS)]


class Run:
    """One request at the engine."""

    def __init__(
        self, request_id: str, attempt: int, idempotency_key: str | None, body: dict[str, Any]
    ) -> None:
        """
        Create a run that has not started.

        :param request_id: id from the request header
        :param attempt: attempt from the request header
        :param idempotency_key: key from the request header
        :param body: decoded request body
        """
        self.request_id = request_id
        self.attempt = attempt
        self.idempotency_key = idempotency_key
        self.prompt = str(body.get("prompt", ""))
        self.first_index = int(body.get("continue_from", {}).get("after", 0))
        self.tokens_count = max(0, int(body.get("max_tokens", 16)) - self.first_index)
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
        """:return: whether no further token will come"""
        return self.outcome not in {"waiting", "running"}

    def record(self) -> RunRecord:
        """:return: entry of the log"""
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
        index = self.first_index + len(self.texts) + 1
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
        """Wake the readers."""
        self.changed.set()
        self.changed = anyio.Event()


class Batch:
    """Admits runs in arrival order and advances them together."""

    def __init__(self, settings: BatchSettings) -> None:
        """
        Start empty.

        :param settings: speed and size
        """
        self.settings = settings
        self.waiting: deque[Run] = deque()
        self.running: list[Run] = []
        self.log: list[Run] = []
        self._kept: dict[str, Run] = {}
        self._wake = anyio.Event()

    def add(self, run: Run) -> None:
        """
        Queue a run.

        :param run: a new run
        """
        self.waiting.append(run)
        self._kept[run.request_id] = run
        self._wake.set()

    def find(self, request_id: str) -> Run | None:
        """
        Find a run that can be read from.

        :param request_id: id of the request
        :return: the newest run of that id, unless it ended too long ago
        """
        return self._kept.get(request_id)

    def cancel(self, run: Run) -> None:
        """
        End a run at once.

        :param run: the run
        """
        if run.ended:
            return
        run.finish("cancelled")
        if run in self.waiting:
            self.waiting.remove(run)

    def admit(self, now_s: float) -> Iterator[Run]:
        """
        Start waiting runs while there is room.

        :param now_s: monotonic time
        :return: the runs that start
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
        Generate one token for each running run.

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
        """:return: time until the next step; longer when more than the slots run"""
        overload = max(1.0, len(self.running) / self.settings.slots_count)
        return self.settings.token_ms / 1000 * overload

    def forget(self) -> None:
        """Drop ended runs that can no longer be resumed."""
        oldest_s = time.time() - KEEP_S
        for run in [r for r in self._kept.values() if r.end_s is not None and r.end_s < oldest_s]:
            del self._kept[run.request_id]

    async def wait_for_work(self) -> None:
        """Return when a run waits."""
        while not self.waiting:
            self._wake = anyio.Event()
            await self._wake.wait()


__all__ = ["DONE", "Batch", "BatchSettings", "Run", "RunRecord", "token_text"]
