"""Builders of test data: trials of fleets with silent upstreams, and of changes under requests."""

from __future__ import annotations

import random
from typing import Any

from tools.standins.stutter import Shares

from tests.manifestterms import CHANGES
from tests.processes.keptcallers import Habits
from tests.processes.silentupstreams import (
    Changes,
    ControllerStops,
    Hangups,
    Manifests,
    Replacements,
    Stops,
    Trial,
    Work,
)

SILENT_SHARES = Shares(second=0.0, reset=0.0, failure=0.0, refusal=0.0, silent=1 / 3)
BESIDE: dict[str, tuple[Work, ...]] = {
    "nothing": (),
    "manifests": (Manifests(),),
    "stops": (Stops(),),
    "both": (Manifests(), Stops()),
}


def a_silence_trial(seed: int, **fields: Any) -> Trial:
    """Draw a trial; one in four has too few workers for its callers."""
    draw = random.Random(seed)
    has_shortage = draw.random() < 0.25
    values = {
        "seed": seed,
        "workers_count": draw.randint(1, 2) if has_shortage else draw.randint(1, 6),
        "callers_count": 48 if has_shortage else 16,
        "attempts_count": draw.randint(1, 3),
        "shares": SILENT_SHARES._replace(refusal=0.2 if has_shortage else 0.0),
        "works": BESIDE[draw.choice(list(BESIDE))],
    }
    return Trial(**{**values, **fields})


CHANGE_HABITS = Habits(in_pieces=0.3, chunked=0.5, pipelined=0.1, idle=0.05, prompts=0.4)
BESIDE_CHANGES: tuple[Work, ...] = (Stops(), Hangups(), ControllerStops(), Replacements())


def a_change_trial(seed: int, **fields: Any) -> Trial:
    """Draw a trial in which manifests change the terms of requests, beside some other work."""
    draw = random.Random(f"{seed} changes")
    # Half of the trials play few kinds of changes, more often.
    count = draw.choice((len(CHANGES), draw.randint(1, 3)))
    changes = Changes(tuple(draw.sample(CHANGES, count)), draw.choice((0.5, 1.2)))
    others = tuple(work for work in BESIDE_CHANGES if draw.random() < 0.4)
    values = {
        "seed": seed,
        "workers_count": draw.randint(3, 5),
        "callers_count": draw.choice((16, 24)),
        "attempts_count": draw.randint(2, 3),
        "shares": SILENT_SHARES._replace(silent=draw.choice((0.0, 0.1, 1 / 3))),
        "works": (changes, *others),
        "habits": CHANGE_HABITS,
    }
    return Trial(**{**values, **fields})


__all__ = [
    "BESIDE",
    "BESIDE_CHANGES",
    "CHANGE_HABITS",
    "SILENT_SHARES",
    "a_change_trial",
    "a_silence_trial",
]
