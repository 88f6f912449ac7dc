"""Builders of test data: trials of fleets with several software versions, and their streams."""

from __future__ import annotations

import random
from typing import Any

from tools.standins.versioned import (
    EVENTS_COUNT,
    Service,
    VersionedRun,
    VersionRecord,
    VersionShares,
    versioned_event,
)

from tests.processes.keptcallers import Received, SentCall
from tests.processes.resumingcallers import (
    Habits,
    NamesFirst,
    NamesNothing,
    NamesOtherRoute,
    NamesOtherTeam,
    NamesUnknown,
    Text,
    Try,
)
from tests.processes.versionedupstreams import (
    NEW,
    OLD,
    ControllerKills,
    CoreKills,
    FleetKills,
    Release,
    Replacements,
    RouterFreezes,
    RouterKills,
    Trial,
    VersionGone,
    VersionLeaves,
)

THIRD = "v1.3"
RESETS = VersionShares(reset=0.3)
DROPS = Habits(drop_share=0.4)
TWO_TEAMS = DROPS._replace(kinds=("stream", "feed"), keys=("key-1", "key-2"))
TROUBLES: dict[str, dict[str, Any]] = {
    "resets": {"shares": RESETS},
    "drops": {"habits": DROPS},
    "router kills": {"faults": (RouterKills(),)},
    "fleet kills": {"faults": (FleetKills(),), "habits": DROPS},
    "version gone": {"faults": (VersionGone(),)},
    "release": {
        "versions": (OLD, OLD, OLD),
        "faults": (Release(), RouterKills((4.5, 9.0))),
        "habits": DROPS,
    },
    "one version": {"versions": (OLD,) * 6, "habits": DROPS},
    "lagging list": {
        "versions": (OLD, OLD, OLD),
        "slots_count": 16,
        "faults": (Release(), RouterKills((4.5, 9.0)), ControllerKills()),
        "habits": DROPS,
        "list_lags_s": (0.0, 0.8),
    },
    "routers' own lists": {
        "versions": (OLD, OLD, OLD),
        "slots_count": 16,
        "faults": (Release(draining_s=6.0),),
        "habits": DROPS,
        "router_lags_s": (0.0, 0.8),
    },
    "controller kills": {"faults": (ControllerKills(),), "habits": DROPS},
    "silences": {"shares": VersionShares(reset=0.1, silent=0.3)},
    "shortage": {"shares": RESETS, "habits": DROPS, "slots_count": 2},
    "new ids": {"faults": (Replacements(same_address=True),), "habits": DROPS},
    "same ids": {"faults": (Replacements(same_id=True),), "habits": DROPS},
    "same ids and addresses": {
        "faults": (Replacements(same_id=True, same_address=True),),
        "habits": DROPS,
    },
    "no name": {"habits": DROPS._replace(naming=NamesNothing()), "shares": RESETS},
    "unknown name": {"habits": DROPS._replace(naming=NamesUnknown())},
    "not resumable": {"habits": DROPS._replace(kinds=("feed",)), "shares": RESETS},
    "other route": {"habits": TWO_TEAMS._replace(naming=NamesOtherRoute())},
    "other team": {"habits": TWO_TEAMS._replace(naming=NamesOtherTeam()), "shares": RESETS},
    "release of a fleet": {
        "versions": (OLD, OLD, OLD),
        "slots_count": 16,
        "faults": (Release(), FleetKills((4.6,))),
        "habits": DROPS,
    },
    "fleet kill after a release": {
        "versions": (OLD, OLD, OLD),
        "slots_count": 16,
        "faults": (Release(draining_s=1.0), FleetKills((5.2,))),
        "habits": DROPS,
    },
    "fleet kill as a version leaves": {
        "slots_count": 16,
        "faults": (VersionLeaves(), FleetKills((6.1,))),
        "habits": DROPS,
    },
    "core kill before router kills": {
        "faults": (CoreKills(), RouterKills((9.0,))),
        "habits": DROPS,
    },
    "freezes beside a release": {
        "versions": (OLD, OLD, OLD),
        "slots_count": 16,
        "faults": (Release(draining_s=1.0), RouterFreezes()),
        "habits": DROPS,
    },
    "mix": {},
}
"""Fields of the trials with each kind of trouble; those of ``mix`` are drawn."""


def a_version_trial(seed: int, trouble: str = "", **fields: Any) -> Trial:
    """Draw a trial; without a kind of trouble, the kinds take turns with the seeds."""
    names = list(TROUBLES)
    chosen = trouble or names[seed % len(names)]
    draw = random.Random(f"{seed} {chosen}")
    drawn = _mixed_fields(draw) if chosen == "mix" else TROUBLES[chosen]
    return Trial(**{"seed": seed, "attempts_count": draw.choice((2, 3)), **drawn, **fields})


def _mixed_fields(draw: random.Random) -> dict[str, Any]:
    """Draw a trial with several kinds of trouble and two or three versions."""
    at_s = draw.uniform(2.0, 9.0)
    faults = (
        RouterKills((at_s, at_s + 4.0)),
        FleetKills((at_s,)),
        CoreKills((at_s,)),
        RouterFreezes(at_s, draw.uniform(0.5, 3.0)),
        ControllerKills(),
        VersionGone(),
        VersionLeaves(draw.uniform(2.0, 9.0)),
        Replacements(same_id=draw.random() < 0.5),
        Release(3.0, 4.0, draw.uniform(0.5, 4.0)),
    )
    return {
        "versions": draw.choice(
            ((OLD, OLD, OLD, NEW, NEW, NEW), (OLD, OLD, NEW, NEW, THIRD, THIRD))
        ),
        "slots_count": draw.choice((8, 16)),
        "shares": VersionShares(draw.choice((0.0, 0.1, 0.3)), draw.choice((0.0, 0.1))),
        "habits": Habits(
            drop_share=draw.choice((0.1, 0.4)),
            naming=draw.choice((NamesFirst(), NamesUnknown(), NamesOtherRoute())),
            naming_share=0.2,
            kinds=draw.choice((("stream",), ("stream", "feed"))),
        ),
        "faults": tuple(draw.sample(faults, 2)),
        "list_lags_s": draw.choice(((0.2,), (0.0, 0.8))),
    }


def some_versioned_events(first: int, last: int, **fields: Any) -> bytes:
    values = {"stream": "text-1", "version": OLD, "run_id": "i-1.1", **fields}
    return b"".join(versioned_event(number=number, **values) for number in range(first, last + 1))


def a_versioned_run(request_id: str = "text-1-1", **fields: Any) -> VersionedRun:
    values = {
        "request_id": request_id,
        "run_id": "i-1.1",
        "worker_id": "i-1",
        "version": OLD,
        "stream": "text-1",
        "first_number": 1,
        "started_s": 100.0,
    }
    return VersionedRun(**{**values, **fields})


def a_try(number: int = 1, last_event_id: int = 0, **fields: Any) -> Try:
    """Build a request for ``text-1`` and its answer, the whole stream unless fields differ."""
    request_id = f"text-1-{number}"
    named = fields.pop("named", "text-1-1" if last_event_id else None)
    call = SentCall(
        request_id,
        fields.pop("kind", "stream"),
        b"violins",
        name="text-1",
        headers=() if named is None else (("Resumes", named),),
    )
    is_dropped = fields.pop("is_dropped", False)
    values = {
        "call": call,
        "router": "router-1",
        "status": 200,
        "headers": {"attempt-id": request_id, "server-stamp": "i-1.1"},
        "content": some_versioned_events(last_event_id + 1, EVENTS_COUNT),
        "is_whole": not is_dropped,
        "sent_s": 100.0,
        "ended_s": 101.2,
    }
    return Try(Received(**{**values, **fields}), last_event_id, is_dropped)


def a_refused_try(number: int = 2, last_event_id: int = 10, **fields: Any) -> Try:
    values = {"status": 503, "headers": {}, "content": b"{}", "ended_s": 100.1}
    return a_try(number, last_event_id, **{**values, **fields})


def a_text(*tries: Try, kind: str = "stream") -> Text:
    return Text("text-1", kind, tries)


def a_version_record(*entries: VersionedRun | Service) -> VersionRecord:
    record = VersionRecord()
    for entry in entries:
        match entry:
            case VersionedRun():
                record.runs[entry.request_id].append(entry)
            case Service():
                record.services.append(entry)
    return record


__all__ = [
    "TROUBLES",
    "a_refused_try",
    "a_text",
    "a_try",
    "a_version_record",
    "a_version_trial",
    "a_versioned_run",
    "some_versioned_events",
]
