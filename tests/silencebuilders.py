"""Builders of test data: trials of fleets with silent upstreams."""

from __future__ import annotations

import random
from typing import Any

from tools.standins.stutter import Shares

from tests.processes.silentupstreams import Manifests, Stops, Trial, Work

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


__all__ = ["BESIDE", "SILENT_SHARES", "a_silence_trial"]
