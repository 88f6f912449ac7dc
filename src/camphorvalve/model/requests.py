"""A caller's request and what the filters learn about it."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from camphorvalve.model.answers import Head
    from camphorvalve.model.routes import Route
    from camphorvalve.model.teams import KindParameters, TeamParameters


@dataclass(frozen=True, slots=True)
class Completion:
    """A call of a model engine; ``streamed`` asks for server-sent events."""

    streamed: bool


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A call of a plain service, passed on as it came."""

    method: str
    path: str


class PromptPart(NamedTuple):
    """A part of a prompt, in the order of the prompt; requests with the same id share it."""

    part_id: str
    tokens_count: int


class Prompt(NamedTuple):
    """What a request asks of a model engine."""

    parts: tuple[PromptPart, ...]
    """The last one belongs to the request or its session alone."""
    input_tokens_count: int
    output_tokens_count: int
    """Most tokens of the answer."""


@dataclass(frozen=True, slots=True)
class RoutedCall:
    """A call that a route of the manifest matches; it is passed on as it came."""

    method: str
    target: str
    """Path and query, as the caller encoded them."""
    host: str
    headers: tuple[tuple[str, str], ...]
    """Headers that go on to the upstream."""
    patience_s: float | None
    """How long the caller waits for the end of the answer, if it says so."""
    prompt: Prompt | None


Call = Completion | ServiceCall | RoutedCall


class Request(NamedTuple):
    """A decoded request."""

    request_id: str
    call: Call
    pool: str | None
    """Pool named by the path of a service call; a completion takes the pool of its kind."""
    body: bytes
    content_type: str
    token: str
    team: str | None
    kind: str | None
    idempotency_key: str | None
    deferred: bool
    cost_hint_units: float | None


class Stage(enum.Enum):
    """Where a request is that has not ended."""

    RECEIVED = "received"
    RECORDING = "recording"
    """Waits until a quorum of the controllers has committed its acceptance or its start."""
    WAITING = "waiting"
    """In the queue of its pool."""
    RUNNING = "running"
    """At an upstream."""


class BrokenStream(NamedTuple):
    """How far a stream got before it broke."""

    events_count: int
    text: str


@dataclass(slots=True)
class Exchange:
    """One request on its way through the chain; filters fill in what they learn."""

    request: Request
    received_s: float
    team: TeamParameters | None = None
    kind: str = ""
    parameters: KindParameters | None = None
    route: Route | None = None
    """Route of a ``RoutedCall``."""
    steps_behind: int = 0
    """Ranks of more urgent work at the same pool."""
    within_share: bool = True
    """Whether it is within its team's share; others wait for engines with room."""
    deadline_s: float | None = None
    """When the answer has to be complete."""
    prefix: str | None = None
    """Key of the first block of the prompt, for prefix affinity."""
    stage: Stage = Stage.RECEIVED
    attempt: int = 0
    upstream_id: str | None = None
    served_units: float = 0.0
    sent_upstream: bool = False
    """Whether a byte of the request may have reached an upstream."""
    record_id: str | None = None
    """Record that has to be started before the first byte goes out."""
    may_have_run: bool = False
    """Whether an upstream may have run an attempt that failed."""
    claim_attempt: int | None = None
    """Attempt that the controllers have assigned, for accepted work."""
    failed_upstreams: set[str] = field(default_factory=set)
    """Upstreams that this request is not sent to again."""
    output_started: bool = False
    """Whether the caller has got a part of the answer."""
    head: Head | None = None
    """First head of the answer, kept for the record."""
    stored: list[bytes] = field(default_factory=list)
    """Body so far, over all attempts, kept for the record."""
    broken: BrokenStream | None = None
    """Where a later attempt continues the stream."""
    notes: list[tuple[float, str]] = field(default_factory=list)

    @property
    def streams(self) -> bool:
        """:return: whether the answer is a stream of events"""
        match self.request.call:
            case Completion(streamed=streamed):
                return streamed
            case RoutedCall():
                return self.route is not None and self.route.streamed
            case ServiceCall():
                return False

    @property
    def run_attempt(self) -> int:
        """:return: attempt as records and upstreams know it; accepted work counts on when moved"""
        return (self.claim_attempt or 1) + self.attempt - 1

    def note(self, now_s: float, text: str) -> None:
        """
        Record a decision for the trace of this request.

        :param now_s: current time
        :param text: what was decided and why
        """
        self.notes.append((now_s, text))


__all__ = [
    "BrokenStream",
    "Call",
    "Completion",
    "Exchange",
    "Prompt",
    "PromptPart",
    "Request",
    "RoutedCall",
    "ServiceCall",
    "Stage",
]
