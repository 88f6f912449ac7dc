"""Builders of the platform's settings files and worker list entries."""

from __future__ import annotations

import json
from typing import Any

ODD_TEXTS = (
    b"1e400",
    b"7.5",
    b"9" * 500,
    b"-1",
    b"NaN",
    b"null",
    b"[" * 3000,
    b"{" * 3000,
    b'"',
    b"\\",
    b":",
)
"""Texts that break a JSON document, or that are no usable values in it."""


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
            "catchUpS": 4,
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


def a_page_with(entry: str, page_fields: str = "") -> bytes:
    """
    Build a page with a text as its second entry, between two valid ones.

    :param entry: text of the entry
    :param page_fields: text of more fields of the page, before the list
    :return: the page
    """
    first, last = (json.dumps(an_entry(id=entry_id)) for entry_id in ("i-1", "i-3"))
    return f'{{{page_fields}"instances":[{first},{entry},{last}],"nextToken":null}}'.encode()


def an_entry_text(**fields: str) -> str:
    """
    Build an entry from JSON texts of its fields.

    :param fields: JSON text by name of the field
    :return: the entry
    """
    values = {name: json.dumps(value) for name, value in an_entry(id="i-2").items()}
    return "{" + ",".join(f'"{key}":{value}' for key, value in {**values, **fields}.items()) + "}"


def _toml(value: Any) -> str:
    if isinstance(value, dict):
        return "{" + ", ".join(f"{name} = {_toml(field)}" for name, field in value.items()) + "}"
    return json.dumps(value)


__all__ = ["ODD_TEXTS", "a_page_with", "a_settings_file", "an_entry", "an_entry_text"]
