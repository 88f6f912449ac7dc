"""Commands of the replicated state machine and their outcomes."""

from __future__ import annotations

from dataclasses import dataclass

from camphorvalve.model.routes import Manifest
from camphorvalve.model.teams import Team, Template
from camphorvalve.wire.codec import TaggedCodec


@dataclass(frozen=True, slots=True)
class PutTemplate:
    """Create or replace a template."""

    template: Template


@dataclass(frozen=True, slots=True)
class PutTeam:
    """Create a team, or replace its own parameters."""

    team: Team


@dataclass(frozen=True, slots=True)
class DeleteTeam:
    """Remove a team; its waiting requests are still served."""

    name: str


@dataclass(frozen=True, slots=True)
class SetDrain:
    """Start or end draining a router or an upstream."""

    member_id: str
    draining: bool


@dataclass(frozen=True, slots=True)
class PutManifest:
    """Replace the current manifest by one with a higher version."""

    manifest: Manifest


@dataclass(frozen=True, slots=True)
class SetEvacuation:
    """Stop sending new work to the upstreams of a data centre, or end such an evacuation."""

    data_centre: str
    evacuated: bool


@dataclass(frozen=True, slots=True)
class SetRoom:
    """Bound the room that is found for an engine, or lift the bound."""

    upstream_id: str
    most_count: int | None
    """Most requests that all routers together may have at it; ``None`` lifts the bound."""


Change = PutTemplate | PutTeam | DeleteTeam | SetDrain | PutManifest | SetEvacuation | SetRoom
CHANGES: tuple[type, ...] = (
    PutTemplate,
    PutTeam,
    DeleteTeam,
    SetDrain,
    PutManifest,
    SetEvacuation,
    SetRoom,
)


@dataclass(frozen=True, slots=True)
class ChangeConfiguration:
    """An operator's change; refused unless the current revision is the expected one."""

    operation_id: str
    expected_revision: int
    change: bytes
    """A ``Change`` encoded by ``CHANGE_CODEC``."""


@dataclass(frozen=True, slots=True)
class AcceptWork:
    """Accept responsibility for running deferred work."""

    work_id: str
    team: str
    kind: str
    idempotent: bool
    router_id: str
    incarnation: int
    payload: bytes
    """The encoded request."""
    accepted_at_s: float
    """Wall-clock time of the accepting router, for retention only."""


@dataclass(frozen=True, slots=True)
class AssignWork:
    """Move unfinished work from a lost router to a live one; proposed by the leader."""

    work_id: str
    attempt: int
    """Attempt that the new router may start; refused unless it is the next one."""
    router_id: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class StartRun:
    """Record the start of a run before the first byte of its request is sent."""

    record_id: str
    """Work id, or team and idempotency key."""
    request_id: str
    attempt: int
    router_id: str
    incarnation: int
    idempotent: bool
    fingerprint: str
    """Checksum of the request, to detect a key reused with other content; empty for work."""
    started_at_s: float


@dataclass(frozen=True, slots=True)
class AbortRun:
    """Revoke a start: nothing was sent, or the run is idempotent and may start again."""

    record_id: str
    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class FinishRun:
    """Store the response of a run; the first one is kept."""

    record_id: str
    request_id: str
    attempt: int
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    finished_at_s: float


@dataclass(frozen=True, slots=True)
class LoseRun:
    """Record that the outcome of a run will never be known."""

    record_id: str
    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class ExpireRecords:
    """Remove finished records and results older than a time; proposed by the leader."""

    before_s: float
    answers_before_s: float
    """Older responses of idempotency keys are dropped; their records stay, so that no key runs
    again while the store is short of space."""


@dataclass(frozen=True, slots=True)
class LoadModel:
    """Load a model from the weight store."""

    model: str
    version: str
    size_bytes: int


@dataclass(frozen=True, slots=True)
class LoadAdapter:
    """Load an adapter of a loaded model."""

    model: str
    adapter: str
    size_bytes: int


@dataclass(frozen=True, slots=True)
class ChangeRole:
    """Change what an engine is used for, such as ``prefill`` or ``decode``."""

    role: str


EngineAction = LoadModel | LoadAdapter | ChangeRole
ENGINE_ACTIONS: tuple[type, ...] = (LoadModel, LoadAdapter, ChangeRole)


@dataclass(frozen=True, slots=True)
class SubmitOrder:
    """Submit an order to an engine; its fencing number is at least its log index."""

    operation_id: str
    upstream_id: str
    action: bytes
    """An ``EngineAction`` encoded by ``ACTION_CODEC``."""


@dataclass(frozen=True, slots=True)
class SettleOrder:
    """Record the outcome of an order; proposed by the leader."""

    order_index: int
    state: str
    """``done``, ``refused`` or ``failed``."""
    detail: str


@dataclass(frozen=True, slots=True)
class TakeLeadership:
    """First entry of a leader's term; its index fences off orders of earlier leaders."""

    leader_id: str


Command = (
    ChangeConfiguration
    | PutManifest
    | AcceptWork
    | AssignWork
    | StartRun
    | AbortRun
    | FinishRun
    | LoseRun
    | ExpireRecords
    | SubmitOrder
    | SettleOrder
    | TakeLeadership
)
COMMANDS: tuple[type, ...] = (
    ChangeConfiguration,
    PutManifest,
    AcceptWork,
    AssignWork,
    StartRun,
    AbortRun,
    FinishRun,
    LoseRun,
    ExpireRecords,
    SubmitOrder,
    SettleOrder,
    TakeLeadership,
)


@dataclass(frozen=True, slots=True)
class Done:
    """The command took effect, now or earlier under the same id."""

    revision: int
    """Configuration revision after the command."""
    index: int
    """Log index of the command that took effect."""


@dataclass(frozen=True, slots=True)
class Conflict:
    """Refused: another change was applied first, or the attempt is not the current one."""

    revision: int
    reason: str


@dataclass(frozen=True, slots=True)
class Invalid:
    """Refused: the command names something that does not exist or is out of range."""

    reason: str


@dataclass(frozen=True, slots=True)
class Running:
    """A start was refused: another attempt has started and has no outcome."""

    router_id: str
    incarnation: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Finished:
    """A start was refused: the response of an earlier run is stored."""

    request_id: str
    attempt: int
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Lost:
    """A start was refused: the outcome of an earlier attempt will never be known."""

    attempt: int


@dataclass(frozen=True, slots=True)
class Exhausted:
    """Refused: the store of accepted work and responses is full; nothing was appended."""

    held_bytes: int


Outcome = Done | Conflict | Invalid | Running | Finished | Lost | Exhausted
OUTCOMES: tuple[type, ...] = (Done, Conflict, Invalid, Running, Finished, Lost, Exhausted)

CHANGE_CODEC: TaggedCodec[Change] = TaggedCodec(CHANGES)
ACTION_CODEC: TaggedCodec[EngineAction] = TaggedCodec(ENGINE_ACTIONS)
COMMAND_CODEC: TaggedCodec[Command] = TaggedCodec(COMMANDS)
OUTCOME_CODEC: TaggedCodec[Outcome] = TaggedCodec(OUTCOMES)

__all__ = [
    "ACTION_CODEC",
    "CHANGES",
    "CHANGE_CODEC",
    "COMMANDS",
    "COMMAND_CODEC",
    "ENGINE_ACTIONS",
    "OUTCOMES",
    "OUTCOME_CODEC",
    "AbortRun",
    "AcceptWork",
    "AssignWork",
    "Change",
    "ChangeConfiguration",
    "ChangeRole",
    "Command",
    "Conflict",
    "DeleteTeam",
    "Done",
    "EngineAction",
    "Exhausted",
    "ExpireRecords",
    "FinishRun",
    "Finished",
    "Invalid",
    "LoadAdapter",
    "LoadModel",
    "LoseRun",
    "Lost",
    "Outcome",
    "PutManifest",
    "PutTeam",
    "PutTemplate",
    "Running",
    "SetDrain",
    "SetEvacuation",
    "SetRoom",
    "SettleOrder",
    "StartRun",
    "SubmitOrder",
    "TakeLeadership",
]
