"""Builders of the platform's settings files and worker list entries."""

from __future__ import annotations

import json
from typing import Any


def a_settings_file(**fields: Any) -> str:
    values: dict[str, Any] = {
        "node": "core-perth-a-1",
        "ip": "10.1.0.35",
        "zone": "perth-a",
        "internalPorts": [7400, 7415],
        "seeds": ["10.1.0.38:8785"],
        "bootstrap": True,
        "dataDir": "/data/core",
        "listen": {"front": "10.1.0.35:8783", "ready": "10.1.0.35:8780"},
        "limits": {"memoryMb": 300, "maxFds": 4100},
        "bounds": {
            "contactMs": 3000,
            "graceS": 8,
            "retryBudgetRatio": 0.2,
            "retryBudgetMin": 56,
        },
        "cloud": {"address": "10.200.0.28:8781", "ratePerS": 44.0},
    }
    values.update(fields)
    return "\n".join(
        f"{name} = {_toml(value)}" for name, value in values.items() if value is not None
    )


def an_entry(**fields: Any) -> dict[str, Any]:
    values = {
        "id": "i-1",
        "service": "engines",
        "address": "10.128.0.9:8080",
        "zone": "perth-a",
        "version": "v1",
        "slots": 96,
        "state": "ready",
        "coldRemainingMs": 0,
        "models": [{"name": "m", "version": 1, "adapters": []}],
    }
    return {**values, **fields}


def _toml(value: Any) -> str:
    if isinstance(value, dict):
        return "{" + ", ".join(f"{name} = {_toml(field)}" for name, field in value.items()) + "}"
    return json.dumps(value)


__all__ = ["a_settings_file", "an_entry"]
