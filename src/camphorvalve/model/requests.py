"""Requests of callers, and the state that the filters keep for each of them."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, NamedTuple

import xxhash

if TYPE_CHECKING:
    from collections.abc import Callable

    from camphorvalve.model.answers import Framing, Head
    from camphorvalve.model.claims import OriginClaim
    from camphorvalve.model.routes import Route
    from camphorvalve.model.teams import KindParameters, TeamParameters


@dataclass(frozen=True, slots=True)
class Completion:
    """A call of a model engine; ``streamed`` asks for server-sent events."""

    streamed: bool


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A call of a plain service, forwarded unchanged."""

    method: str
    path: str


class PromptPart(NamedTuple):
    """A section of a prompt; sections with the same id have the same content in all requests."""

    part_id: str
    tokens_count: int


class Prompt(NamedTuple):
    """Sections and token counts of a request to a model engine."""

    parts: tuple[PromptPart, ...]
    """In the order of the prompt; the last one is specific to the request or its session."""
    input_tokens_count: int
    output_tokens_count: int
    """Maximum number of tokens in the response."""


class Resumption(NamedTuple):
    """A stream that broke off at its caller, who has its first events."""

    first_request_id: str | None
    """Id of the request that brought the first event, ``None`` if the caller does not name it."""
    events_count: int
    """Number of the last event that the caller has, 0 if that is no number."""


@dataclass(frozen=True, slots=True)
class RoutedCall:
    """A call that is matched by a route of the manifest and forwarded unchanged."""

    method: str
    target: str
    """Path and query, as the caller encoded them."""
    host: str
    headers: tuple[tuple[str, str], ...]
    """Headers that are forwarded to the upstream."""
    caller_timeout_s: float | None
    """Time that the caller allows for the complete response, if it sent one."""
    prompt: Prompt | None
    resumption: Resumption | None = None
    """The stream that this call goes on with, if the caller has a part of it."""


Call = Completion | ServiceCall | RoutedCall

REQUEST_KEY_PREFIX = "request/"
"""Begins the key of a whole request, and of no part of a prompt."""
MAX_SHARED_PARTS_COUNT = 64
"""Most parts of one prompt that are looked at."""
MAX_PART_ID_LENGTH = 64
"""Callers choose the ids; of a longer one, the first characters and a hash are used."""
PART_ID_HEAD_LENGTH = 40


def shared_part_ids(call: Call) -> tuple[str, ...]:
    """
    List the parts of a call's prompt that other requests may have as well.

    :param call: the call
    :return: ids of all parts but the last, shortened and without repetition; empty for a call
        without a prompt
    """
    match call:
        case RoutedCall(prompt=Prompt(parts=parts)):
            shared = parts[:-1][:MAX_SHARED_PARTS_COUNT]
            return tuple(dict.fromkeys(_shortened(part.part_id) for part in shared))
        case _:
            return ()


def _shortened(part_id: str) -> str:
    if part_id.startswith(REQUEST_KEY_PREFIX):
        return xxhash.xxh64_hexdigest(part_id.encode())
    if len(part_id) <= MAX_PART_ID_LENGTH:
        return part_id
    return part_id[:PART_ID_HEAD_LENGTH] + xxhash.xxh64_hexdigest(part_id.encode())


def request_key(caller: str, target: str, body: bytes) -> str:
    """
    Identify a whole request, however often and at whichever router it comes.

    :param caller: name of its team, or its key if there is none
    :param target: path and query
    :param body: complete body
    :return: the same text for the same caller, target and body; it begins with
        ``REQUEST_KEY_PREFIX``, and does not contain the caller's key
    """
    # The caller is hashed apart, so that callers find collisions among their own requests only.
    content = xxhash.xxh3_128(target.encode())
    content.update(b"\n")
    content.update(body)
    return f"{REQUEST_KEY_PREFIX}{xxhash.xxh3_64_hexdigest(caller.encode())}/{content.hexdigest()}"


class Request(NamedTuple):
    """A decoded request."""

    request_id: str
    call: Call
    pool: str | None
    """Pool named by the path of a service call; a completion uses the pool of its kind."""
    body: bytes
    content_type: str
    token: str
    team: str | None
    kind: str | None
    idempotency_key: str | None
    deferred: bool
    cost_hint_units: float | None


class Stage(enum.Enum):
    """Processing stage of an open request."""

    RECEIVED = "received"
    RECORDING = "recording"
    """Waiting until a quorum of the controllers has committed its acceptance or its start."""
    WAITING = "waiting"
    """Queued for its pool."""
    RUNNING = "running"
    """Assigned to an upstream."""


class BrokenStream(NamedTuple):
    """Progress of a stream before it was interrupted."""

    events_count: int
    text: str


class StreamOrigin(NamedTuple):
    """What began a stream; what other pools and versions send does not fit to it."""

    pool: str
    software: str | None
    """Version of the software of its upstreams, ``None`` if unknown."""


UNKNOWN_ORIGIN = StreamOrigin("", None)
"""Origin of a stream that can't go on: it is not known, or not the only one. Pools have names."""


class ResponseSource(NamedTuple):
    """How a response of an upstream arrived."""

    framing: Framing
    """What ends its body; if that is the end of the connection, a crash may look the same."""
    earlier_count: int
    """Responses that its connection had carried before."""

    def log_fields(self) -> dict[str, Any]:
        """:return: fields for the log lines of the request"""
        return {"framing": self.framing.value, "earlier_responses_count": self.earlier_count}


@dataclass(slots=True)
class Exchange:
    """State of one request in the filter chain; the filters set its fields as they run."""

    request: Request
    received_s: float
    team: TeamParameters | None = None
    kind: str = ""
    parameters: KindParameters | None = None
    route: Route | None = None
    """Route of a ``RoutedCall``."""
    allowed_data_centres: frozenset[str] | None = None
    """Data centres that route and team allow, ``None`` for all."""
    more_urgent_ranks_count: int = 0
    """Number of priority ranks at the same pool that are more urgent."""
    within_share: bool = True
    """Whether it is within its team's share; others may use only a part of an engine's limit."""
    within_resumptions: bool = True
    """Whether its team has resumed few enough streams for this one to precede new requests."""
    deadline_s: float | None = None
    """Monotonic time by which the response has to be complete."""
    prefix: str | None = None
    """Key of the first block of the prompt, for prefix affinity."""
    stage: Stage = Stage.RECEIVED
    attempt: int = 0
    upstream_id: str | None = None
    served_units: float = 0.0
    sent_upstream: bool = False
    """Whether a byte of the request may have reached an upstream."""
    record_id: str | None = None
    """Record that has to be started before the first byte is sent to an upstream."""
    may_have_run: bool = False
    """Whether an upstream may have run an attempt that failed."""
    assigned_attempt: int | None = None
    """Number of the attempt that the controllers have assigned, for accepted work."""
    failed_upstreams: set[str] = field(default_factory=set)
    """Upstreams at which an attempt failed: a routed call is not sent to them again, another call
    only when every live upstream of the pool is among them."""
    misdirected_count: int = 0
    """Attempts that met another upstream at the address; none of them counts for the route."""
    refused_at_s: dict[str, float] = field(default_factory=dict)
    """Monotonic time at which upstreams refused a routed call without running it; it may be sent to
    them once more if it can't be sent elsewhere."""
    key: str | None = None
    """Key of the whole request, once it was asked for; see ``identify``."""
    connected_s: float | None = None
    """Monotonic time at which the connection of the current attempt was established; ``None``
    before the head of its response."""
    source: ResponseSource | None = None
    """How the response of the current attempt arrived, ``None`` before its head."""
    output_started: bool = False
    """Whether the caller has received a part of the response."""
    head: Head | None = None
    """First head of the response, kept for the record."""
    stored: list[bytes] = field(default_factory=list)
    """Body chunks received so far, kept for the record, without those of discarded attempts."""
    broken: BrokenStream | None = None
    """Position at which a later attempt continues the stream."""
    origin: StreamOrigin | None = None
    """Where the stream began that the caller has a part of; it goes on only there."""
    claim: OriginClaim | None = None
    """That it began there, until the list settles it; ``None`` if that was certain."""
    events_count: int = 0
    """Number of the newest event that the running attempt of a stream has passed on."""
    gives_up: Callable[[], bool] = lambda: False
    """Asked now and then while the upstream is silent: whether the attempt ends now."""
    notes: list[tuple[float, str]] = field(default_factory=list)
    """Time and text of each decision, for the trace of the request."""
    is_return: bool = False
    """Whether its caller was refused before."""
    is_kept_return: bool = False
    """Whether room was promised to its caller then."""

    @property
    def streams(self) -> bool:
        """:return: whether the response is a stream of events"""
        match self.request.call:
            case Completion(streamed=streamed):
                return streamed
            case RoutedCall():
                return self.route is not None and self.route.streamed
            case ServiceCall():
                return False

    @property
    def precedes_new_requests(self) -> bool:
        """:return: whether it goes on with a stream and finds room where new requests don't"""
        return self.origin is not None and self.within_resumptions

    @property
    def is_last_attempt(self) -> bool:
        """:return: whether the route of a ``RoutedCall`` allows no attempt after the current one"""
        assert self.route is not None
        return self.attempt >= self.route.attempts_count + self.misdirected_count

    def identify(self) -> str | None:
        """
        Identify the whole request, by the caller that the filters found.

        :return: its key; ``None`` for a call that is not routed
        """
        match self.request.call:
            case RoutedCall(target=target) if self.key is None:
                caller = self.request.token if self.team is None else self.team.name
                self.key = request_key(caller, target, self.request.body)
            case _:
                pass
        return self.key

    @property
    def run_attempt(self) -> int:
        """:return: attempt number for records and upstreams; reassigned work continues its count"""
        return (self.assigned_attempt or 1) + self.attempt - 1

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
    "MAX_SHARED_PARTS_COUNT",
    "Prompt",
    "PromptPart",
    "REQUEST_KEY_PREFIX",
    "Request",
    "ResponseSource",
    "RoutedCall",
    "ServiceCall",
    "Stage",
    "StreamOrigin",
    "Resumption",
    "request_key",
    "shared_part_ids",
]
